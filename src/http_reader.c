#include "http_reader.h"

#include "cleanup.h"
#include "head_syntax.h"

#include <string.h>

enum
{
  INITIAL_TEXT_CAPACITY = 64,
  DEFAULT_HEAD_LIMIT = 64 * 1024 /* bytes */
};

struct text
{
  char *data; /* NUL-terminated if not null */
  size_t size;
  size_t capacity;
};

struct marjoram_http_reader
{
  http_parser parser;
  const struct marjoram_http_reader_ops *ops;
  void *context;
  struct text target;
  struct text name;
  struct text value;
  bool in_value;
  struct marjoram_header_list headers;
  struct marjoram_head_syntax syntax; /* of the current message */
  bool in_head;
  size_t head_size;
  size_t head_limit;
  enum marjoram_http_read_result result;
};

static void
text_append (struct text *text, const char *data, size_t size)
{
  if (text->size + size + 1 > text->capacity)
    {
      text->capacity = 2 * (text->size + size) + INITIAL_TEXT_CAPACITY;
      text->data = realloc (text->data, text->capacity);
      if (!text->data)
        abort ();
    }
  memcpy (text->data + text->size, data, size);
  text->size += size;
  text->data[text->size] = '\0';
}

static void
text_clear (struct text *text)
{
  text->size = 0;
  if (text->data)
    text->data[0] = '\0';
}

static marjoram_http_reader *
reader_of (http_parser *parser)
{
  return parser->data;
}

static int
stop (marjoram_http_reader *reader, enum marjoram_http_read_result result)
{
  reader->result = result;
  return 1;
}

static int
add_head_size (marjoram_http_reader *reader, size_t size)
{
  reader->head_size += size;
  if (reader->head_size > reader->head_limit)
    return stop (reader, MARJORAM_HTTP_HEAD_TOO_LARGE);
  return 0;
}

static int
on_begin (http_parser *parser)
{
  marjoram_http_reader *reader = reader_of (parser);

  text_clear (&reader->target);
  text_clear (&reader->name);
  text_clear (&reader->value);
  reader->in_value = false;
  reader->head_size = 0;
  marjoram_header_list_clear (&reader->headers);
  return 0;
}

static int
on_url (http_parser *parser, const char *data, size_t size)
{
  marjoram_http_reader *reader = reader_of (parser);

  text_append (&reader->target, data, size);
  return add_head_size (reader, size);
}

/* Stores the header that was just parsed.  Rejects values with an embedded
   NUL, which the parser accepts but which would truncate the C string.  */
static int
finish_header (marjoram_http_reader *reader)
{
  if (!reader->in_value)
    return 0;
  reader->in_value = false;
  if (reader->value.size > 0
      && memchr (reader->value.data, '\0', reader->value.size))
    return stop (reader, MARJORAM_HTTP_MALFORMED);
  marjoram_header_list_add_size (&reader->headers, reader->name.data,
                                 reader->value.data ? reader->value.data : "",
                                 reader->value.size);
  text_clear (&reader->name);
  text_clear (&reader->value);
  return 0;
}

static int
on_field (http_parser *parser, const char *data, size_t size)
{
  marjoram_http_reader *reader = reader_of (parser);

  if (finish_header (reader) != 0)
    return 1;
  text_append (&reader->name, data, size);
  return add_head_size (reader, size);
}

static int
on_value (http_parser *parser, const char *data, size_t size)
{
  marjoram_http_reader *reader = reader_of (parser);

  reader->in_value = true;
  text_append (&reader->value, data, size);
  /* Includes ": " and CRLF.  */
  return add_head_size (reader, size + 4);
}

static int
on_head (http_parser *parser)
{
  marjoram_http_reader *reader = reader_of (parser);
  bool skip_body = false;

  if (finish_header (reader) != 0)
    return -1;
  reader->in_head = false;
  if (!reader->ops->head (reader->context, &skip_body))
    {
      stop (reader, MARJORAM_HTTP_STOPPED);
      return -1;
    }
  return skip_body ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *data, size_t size)
{
  marjoram_http_reader *reader = reader_of (parser);

  if (reader->ops->body (reader->context, data, size))
    return 0;
  return stop (reader, MARJORAM_HTTP_STOPPED);
}

static void
expect_head (marjoram_http_reader *reader)
{
  reader->in_head = true;
  marjoram_head_syntax_start (&reader->syntax,
                              reader->parser.type == HTTP_RESPONSE);
}

/* Pauses the parser, as the header section that follows has to be checked
   before it is parsed.  */
static int
on_complete (http_parser *parser)
{
  marjoram_http_reader *reader = reader_of (parser);

  expect_head (reader);
  if (!reader->ops->complete (reader->context))
    reader->result = MARJORAM_HTTP_STOPPED;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings settings = {
  .on_message_begin = on_begin,
  .on_url = on_url,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

marjoram_http_reader *
marjoram_http_reader_create (enum http_parser_type type,
                             const struct marjoram_http_reader_ops *ops,
                             void *context)
{
  marjoram_http_reader *reader = marjoram_alloc (sizeof *reader);

  http_parser_init (&reader->parser, type);
  reader->parser.data = reader;
  reader->ops = ops;
  reader->context = context;
  reader->head_limit = DEFAULT_HEAD_LIMIT;
  expect_head (reader);
  return reader;
}

void
marjoram_http_reader_destroy (marjoram_http_reader *reader)
{
  if (!reader)
    return;
  marjoram_header_list_clear (&reader->headers);
  free (reader->target.data);
  free (reader->name.data);
  free (reader->value.data);
  free (reader);
}

void
marjoram_http_reader_set_limit (marjoram_http_reader *reader, size_t limit)
{
  reader->head_limit = limit;
}

static enum marjoram_http_read_result
read_result (marjoram_http_reader *reader)
{
  enum http_errno error = HTTP_PARSER_ERRNO (&reader->parser);

  if (error == HPE_PAUSED)
    {
      http_parser_pause (&reader->parser, 0);
      error = HPE_OK;
    }
  if (reader->result != MARJORAM_HTTP_READ_OK)
    return reader->result;
  /* The parser also counts what no callback gets, such as spaces before
     values and chunk extensions.  */
  if (error == HPE_HEADER_OVERFLOW)
    return MARJORAM_HTTP_HEAD_TOO_LARGE;
  return error == HPE_OK && !reader->parser.upgrade ? MARJORAM_HTTP_READ_OK
                                                    : MARJORAM_HTTP_MALFORMED;
}

/* Parses a part of DATA that is within one header section or body, after which
   another call may be needed.  Sets USED to its size.  */
static enum marjoram_http_read_result
parse_part (marjoram_http_reader *reader, const char *data, size_t size,
            size_t *used)
{
  enum marjoram_http_read_result result;

  *used = 0;
  if (reader->in_head)
    size = marjoram_head_syntax_feed (&reader->syntax, data, size);
  /* The parser would take no bytes for the end of the stream.  */
  if (size == 0)
    return MARJORAM_HTTP_MALFORMED;
  *used = http_parser_execute (&reader->parser, &settings, data, size);
  result = read_result (reader);
  if (result == MARJORAM_HTTP_READ_OK
      && reader->syntax.state == MARJORAM_HEAD_INVALID)
    return MARJORAM_HTTP_MALFORMED;
  return result;
}

enum marjoram_http_read_result
marjoram_http_reader_feed (marjoram_http_reader *reader,
                           struct evbuffer *input)
{
  const size_t size = evbuffer_get_length (input);
  const char *data;
  size_t used = 0;

  if (size == 0)
    return MARJORAM_HTTP_READ_OK;
  data = (const char *)evbuffer_pullup (input, -1);
  reader->result = MARJORAM_HTTP_READ_OK;
  while (used < size && reader->result == MARJORAM_HTTP_READ_OK)
    {
      size_t part;

      reader->result = parse_part (reader, data + used, size - used, &part);
      used += part;
    }
  evbuffer_drain (input, used);
  return reader->result;
}

enum marjoram_http_read_result
marjoram_http_reader_finish (marjoram_http_reader *reader)
{
  reader->result = MARJORAM_HTTP_READ_OK;
  http_parser_execute (&reader->parser, &settings, NULL, 0);
  return read_result (reader);
}

const struct http_parser *
marjoram_http_reader_parser (const marjoram_http_reader *reader)
{
  return &reader->parser;
}

const char *
marjoram_http_reader_target (const marjoram_http_reader *reader)
{
  return reader->target.data ? reader->target.data : "";
}

struct marjoram_header_list *
marjoram_http_reader_headers (marjoram_http_reader *reader)
{
  return &reader->headers;
}

bool
marjoram_http_reader_is_close_delimited (const marjoram_http_reader *reader)
{
  const http_parser *parser = &reader->parser;
  unsigned int status = parser->status_code;

  if (parser->flags & (F_CHUNKED | F_SKIPBODY))
    return false;
  if (status / 100 == 1 || status == 204 || status == 304)
    return false;
  return parser->content_length == UINT64_MAX;
}
