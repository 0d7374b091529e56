/* Asynchronous HTTP calls to upstreams for probes and control commands.  Each
   uses a separate connection.  */
#ifndef MARJORAM_UPSTREAM_CALL_H
#define MARJORAM_UPSTREAM_CALL_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct marjoram_upstream_calls marjoram_upstream_calls;

/* STATUS is 0 if there was no response; TIMED_OUT then tells a timeout from
   other failures.  RETRY_MS is the value of Retry-After (retry_after.h), or 0
   if there is none or an invalid one.  */
typedef void marjoram_upstream_call_done (void *context, int status,
                                          bool timed_out, int64_t retry_ms);

/* Returns null if ADDRESS is not IP:port.  */
struct evhttp_connection *
marjoram_upstream_call_connect (struct event_base *base, const char *address);
/* Frees CONNECTION from the event loop, as evhttp may still be using it.  */
void marjoram_upstream_call_free_later (struct event_base *base,
                                        struct evhttp_connection *connection);

marjoram_upstream_calls *
marjoram_upstream_calls_create (struct event_base *base);
/* Aborts pending calls without calling DONE; calls RELEASE with their
   contexts.  */
void marjoram_upstream_calls_destroy (marjoram_upstream_calls *calls,
                                      void (*release) (void *context));
/* Sends a POST with the JSON text BODY, or a GET if BODY is null.  If this
   returns true, DONE is called once, from the event loop.  */
bool marjoram_upstream_call (marjoram_upstream_calls *calls,
                             const char *address, const char *path,
                             const char *body, int64_t timeout_ms,
                             marjoram_upstream_call_done *done, void *context);

#endif
