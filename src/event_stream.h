/* Splits a text/event-stream response into events.  Forwards complete events
   only, so that another upstream can resume the stream after the last one.  */
#ifndef MARJORAM_EVENT_STREAM_H
#define MARJORAM_EVENT_STREAM_H

#include <event2/buffer.h>
#include <stdbool.h>

typedef struct marjoram_event_stream marjoram_event_stream;

marjoram_event_stream *marjoram_event_stream_create (void);
void marjoram_event_stream_destroy (marjoram_event_stream *stream);
/* Adds data received from an upstream and moves complete events to OUT.
   Returns the number of events moved.  */
size_t marjoram_event_stream_feed (marjoram_event_stream *stream,
                                   const void *data, size_t size,
                                   struct evbuffer *out);
/* Signals the end of an answer.  Returns false if it lies within an event,
   whose bytes are kept; otherwise moves comments after the last event to OUT.
 */
bool marjoram_event_stream_finish (marjoram_event_stream *stream,
                                   struct evbuffer *out);
/* Prepares for data from another upstream.  Discards the incomplete event;
   events that were already forwarded will be discarded as well.  */
void marjoram_event_stream_resume (marjoram_event_stream *stream);
/* Bytes received of an event whose end has not been received.  */
size_t marjoram_event_stream_unfinished (const marjoram_event_stream *stream);
/* Returns the id of the last forwarded event, or null.  */
const char *
marjoram_event_stream_last_id (const marjoram_event_stream *stream);

#endif
