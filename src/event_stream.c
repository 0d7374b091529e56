#include "event_stream.h"

#include "cleanup.h"
#include "dialect.h"

#include <stdio.h>
#include <string.h>

struct marjoram_event_stream
{
  struct evbuffer *incomplete; /* data of the incomplete event */
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

/* Returns the size of the first complete event with its empty line, or 0.  */
static size_t
event_size (struct evbuffer *buffer)
{
  struct evbuffer_ptr lf = evbuffer_search (buffer, "\n\n", 2, NULL);
  struct evbuffer_ptr crlf = evbuffer_search (buffer, "\r\n\r\n", 4, NULL);

  if (crlf.pos >= 0 && (lf.pos < 0 || crlf.pos < lf.pos))
    return (size_t)crlf.pos + 4;
  return lf.pos >= 0 ? (size_t)lf.pos + 2 : 0;
}

/* Stores the value of the event's id field in ID, or "" if it has none.  */
static void
read_id (const char *event, size_t size, char id[MARJORAM_ID_MAX])
{
  const char *end = event + size;

  id[0] = '\0';
  while (event < end)
    {
      const char *line_end = memchr (event, '\n', (size_t)(end - event));
      size_t length = (size_t)((line_end ? line_end : end) - event);

      if (length > 3 && memcmp (event, "id:", 3) == 0)
        {
          const char *value = event + 3;
          size_t value_size = length - 3;

          while (value_size > 0 && *value == ' ')
            {
              value++;
              value_size--;
            }
          while (value_size > 0 && value[value_size - 1] == '\r')
            value_size--;
          if (value_size < MARJORAM_ID_MAX)
            snprintf (id, MARJORAM_ID_MAX, "%.*s", (int)value_size, value);
        }
      event = line_end ? line_end + 1 : end;
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
  size_t length;

  evbuffer_add (stream->incomplete, data, size);
  while ((length = event_size (stream->incomplete)) > 0)
    {
      char id[MARJORAM_ID_MAX];

      read_id ((const char *)evbuffer_pullup (stream->incomplete,
                                              (ev_ssize_t)length),
               length, id);
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
      const bool is_line_end = text[i] == '\n' || text[i] == '\r';

      if (at_line_start && !is_line_end && text[i] != ':')
        return true;
      at_line_start = is_line_end;
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
