#include "http_reader.h"

#include "cleanup.h"

#include <string.h>

enum
{
  FIRST_TEXT_ROOM = 64,
  DEFAULT_HEAD_LIMIT = 64 * 1024 /* bytes */
};

struct text
{
  char *data; /* NUL-terminated if not null */
  size_t size;
  size_t room;
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
  size_t head_size;
  size_t head_limit;
  enum marjoram_http_fault fault;
};

static void
text_add (struct text *text, const char *data, size_t size)
{
  if (text->size + size + 1 > text->room)
    {
      text->room = 2 * (text->size + size) + FIRST_TEXT_ROOM;
      text->data = realloc (text->data, text->room);
      if (!text->data)
        abort ();
    }
  memcpy (text->data + text->size, data, size);
  text->size += size;
  text->data[text->size] = '\0';
}

static void
text_reset (struct text *text)
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
stop (marjoram_http_reader *reader, enum marjoram_http_fault fault)
{
  reader->fault = fault;
  return 1;
}

static int
count_head (marjoram_http_reader *reader, size_t size)
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

  text_reset (&reader->target);
  text_reset (&reader->name);
  text_reset (&reader->value);
  reader->in_value = false;
  reader->head_size = 0;
  marjoram_header_list_clear (&reader->headers);
  return 0;
}

static int
on_url (http_parser *parser, const char *data, size_t size)
{
  marjoram_http_reader *reader = reader_of (parser);

  text_add (&reader->target, data, size);
  return count_head (reader, size);
}

/* Stores the header that was just parsed.  Rejects values with an embedded
   NUL, which the parser accepts but which would truncate the C string.  */
static int
keep_header (marjoram_http_reader *reader)
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
  text_reset (&reader->name);
  text_reset (&reader->value);
  return 0;
}

static int
on_field (http_parser *parser, const char *data, size_t size)
{
  marjoram_http_reader *reader = reader_of (parser);

  if (keep_header (reader) != 0)
    return 1;
  text_add (&reader->name, data, size);
  return count_head (reader, size);
}

static int
on_value (http_parser *parser, const char *data, size_t size)
{
  marjoram_http_reader *reader = reader_of (parser);

  reader->in_value = true;
  text_add (&reader->value, data, size);
  /* Includes ": " and CRLF.  */
  return count_head (reader, size + 4);
}

static int
on_head (http_parser *parser)
{
  marjoram_http_reader *reader = reader_of (parser);
  bool skip_body = false;

  if (keep_header (reader) != 0)
    return -1;
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

static int
on_complete (http_parser *parser)
{
  marjoram_http_reader *reader = reader_of (parser);

  if (!reader->ops->complete (reader->context))
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

static enum marjoram_http_fault
outcome (marjoram_http_reader *reader)
{
  enum http_errno error = HTTP_PARSER_ERRNO (&reader->parser);

  if (error == HPE_PAUSED)
    {
      http_parser_pause (&reader->parser, 0);
      return MARJORAM_HTTP_STOPPED;
    }
  if (reader->fault != MARJORAM_HTTP_FINE)
    return reader->fault;
  return error == HPE_OK && !reader->parser.upgrade ? MARJORAM_HTTP_FINE
                                                    : MARJORAM_HTTP_MALFORMED;
}

enum marjoram_http_fault
marjoram_http_reader_feed (marjoram_http_reader *reader,
                           struct evbuffer *input)
{
  size_t size = evbuffer_get_length (input);
  const char *data;
  size_t used;

  if (size == 0)
    return MARJORAM_HTTP_FINE;
  data = (const char *)evbuffer_pullup (input, -1);
  reader->fault = MARJORAM_HTTP_FINE;
  used = http_parser_execute (&reader->parser, &settings, data, size);
  evbuffer_drain (input, used);
  return outcome (reader);
}

enum marjoram_http_fault
marjoram_http_reader_finish (marjoram_http_reader *reader)
{
  reader->fault = MARJORAM_HTTP_FINE;
  http_parser_execute (&reader->parser, &settings, NULL, 0);
  return outcome (reader);
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
marjoram_http_reader_ends_with_stream (const marjoram_http_reader *reader)
{
  const http_parser *parser = &reader->parser;
  unsigned int status = parser->status_code;

  if (parser->flags & (F_CHUNKED | F_SKIPBODY))
    return false;
  if (status / 100 == 1 || status == 204 || status == 304)
    return false;
  return parser->content_length == UINT64_MAX;
}
