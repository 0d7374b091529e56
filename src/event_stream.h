/* The events of one streamed answer (text/event-stream): passes on whole ones
   only, so that another upstream can go on after the last of them.  */
#ifndef MARJORAM_EVENT_STREAM_H
#define MARJORAM_EVENT_STREAM_H

#include <event2/buffer.h>
#include <stdbool.h>

typedef struct marjoram_event_stream marjoram_event_stream;

marjoram_event_stream *marjoram_event_stream_create (void);
void marjoram_event_stream_destroy (marjoram_event_stream *stream);
/* Bytes as an upstream sent them; whole events are moved to OUT.  Returns how
   many events that were.  */
size_t marjoram_event_stream_feed (marjoram_event_stream *stream,
                                   const void *data, size_t size,
                                   struct evbuffer *out);
/* The upstream has ended in order: what is left goes to OUT as it is.  */
void marjoram_event_stream_finish (marjoram_event_stream *stream,
                                   struct evbuffer *out);
/* Another upstream goes on: the torn event is dropped, and events that were
   passed on already will be.  */
void marjoram_event_stream_resume (marjoram_event_stream *stream);
/* The id of the last event that was passed on; null before any.  */
const char *marjoram_event_stream_last (const marjoram_event_stream *stream);

#endif
