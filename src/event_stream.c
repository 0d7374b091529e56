#include "event_stream.h"

#include "cleanup.h"
#include "dialect.h"

#include <stdio.h>
#include <string.h>

/* Progress of the search for the end of an event, as offsets from its
   start.  */
struct scan
{
  size_t at;     /* the next byte to look at */
  size_t line;   /* start of its line */
  bool has_line; /* a line that is not empty has ended */
  bool after_cr; /* the line before ended with a CR alone */
};

struct marjoram_event_stream
{
  struct evbuffer *incomplete; /* data of the incomplete event */
  struct scan scan;
  char last_id[MARJORAM_ID_MAX];
  bool resumed;
};

marjoram_event_stream *
marjoram_event_stream_create (void)
{
  marjoram_event_stream *stream = marjoram_alloc (sizeof *stream);

  stream->incomplete = evbuffer_new ();
  return stream;
}

void
marjoram_event_stream_destroy (marjoram_event_stream *stream)
{
  if (!stream)
    return;
  evbuffer_free (stream->incomplete);
  free (stream);
}

static bool
is_line_end (char c)
{
  return c == '\n' || c == '\r';
}

/* Returns the size of the first complete event with its empty line, or 0 if
   none is complete; the next call then goes on where this one ended.  Lines
   end with LF, CRLF or CR.  The last byte of TEXT may be the first half of a
   CRLF, unless the line before ended with a CR alone.  */
static size_t
find_end (struct scan *scan, const char *text, size_t size)
{
  while (scan->at < size)
    {
      const char c = text[scan->at];
      const bool is_last = scan->at + 1 == size;
      const bool is_empty = scan->at == scan->line;
      bool is_crlf;

      if (!is_line_end (c))
        {
          scan->at++;
          continue;
        }
      if (c == '\r' && is_last && !scan->after_cr)
        return 0;
      is_crlf = c == '\r' && !is_last && text[scan->at + 1] == '\n';
      scan->after_cr = c == '\r' && !is_crlf;
      scan->at += is_crlf ? 2 : 1;
      scan->line = scan->at;
      if (is_empty && scan->has_line)
        return scan->at;
      scan->has_line = scan->has_line || !is_empty;
    }
  return 0;
}

/* Stores the value of the event's id field in ID, or "" if it has none.  */
static void
read_id (const char *event, size_t size, char id[MARJORAM_ID_MAX])
{
  const char *end = event + size;

  id[0] = '\0';
  while (event < end)
    {
      const char *line_end = event;

      while (line_end < end && !is_line_end (*line_end))
        line_end++;
      if (line_end - event > 3 && memcmp (event, "id:", 3) == 0)
        {
          const char *value = event + 3;

          while (value < line_end && *value == ' ')
            value++;
          if (line_end - value < MARJORAM_ID_MAX)
            snprintf (id, MARJORAM_ID_MAX, "%.*s", (int)(line_end - value),
                      value);
        }
      event = line_end + 1;
    }
}

/* Whether the event was already forwarded before the stream was resumed.
   Event ids are increasing numbers.  */
static bool
is_repeated (const marjoram_event_stream *stream, const char *id)
{
  return stream->resumed && *id && *stream->last_id
         && strtoll (id, NULL, 10) <= strtoll (stream->last_id, NULL, 10);
}

size_t
marjoram_event_stream_feed (marjoram_event_stream *stream, const void *data,
                            size_t size, struct evbuffer *out)
{
  size_t events = 0;
  const char *text;
  size_t length;

  evbuffer_add (stream->incomplete, data, size);
  while ((text = (const char *)evbuffer_pullup (stream->incomplete, -1))
         && (length = find_end (&stream->scan, text,
                                evbuffer_get_length (stream->incomplete)))
                > 0)
    {
      char id[MARJORAM_ID_MAX];

      stream->scan = (struct scan){ 0 };
      read_id (text, length, id);
      if (is_repeated (stream, id))
        {
          evbuffer_drain (stream->incomplete, length);
          continue;
        }
      evbuffer_remove_buffer (stream->incomplete, out, length);
      if (*id)
        snprintf (stream->last_id, sizeof stream->last_id, "%s", id);
      events++;
    }
  return events;
}

/* Whether TEXT has a line that is neither empty nor a comment.  */
static bool
has_field (const char *text, size_t size)
{
  bool at_line_start = true;

  for (size_t i = 0; i < size; i++)
    {
      if (at_line_start && !is_line_end (text[i]) && text[i] != ':')
        return true;
      at_line_start = is_line_end (text[i]);
    }
  return false;
}

bool
marjoram_event_stream_finish (marjoram_event_stream *stream,
                              struct evbuffer *out)
{
  if (has_field ((const char *)evbuffer_pullup (stream->incomplete, -1),
                 evbuffer_get_length (stream->incomplete)))
    return false;
  evbuffer_add_buffer (out, stream->incomplete);
  return true;
}

void
marjoram_event_stream_resume (marjoram_event_stream *stream)
{
  evbuffer_drain (stream->incomplete,
                  evbuffer_get_length (stream->incomplete));
  stream->scan = (struct scan){ 0 };
  stream->resumed = true;
}

const char *
marjoram_event_stream_last_id (const marjoram_event_stream *stream)
{
  return *stream->last_id ? stream->last_id : NULL;
}

size_t
marjoram_event_stream_unfinished (const marjoram_event_stream *stream)
{
  return evbuffer_get_length (stream->incomplete);
}
