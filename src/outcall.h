/* Short HTTP calls to upstreams that carry no caller's work: probes and
   orders.  Each has a connection of its own.  */
#ifndef MARJORAM_OUTCALL_H
#define MARJORAM_OUTCALL_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct marjoram_outcalls marjoram_outcalls;

/* STATUS is 0 if no answer came; then TIMED_OUT says whether the connection
   was merely silent.  RETRY_MS is from Retry-After, 0 if there is none.  */
typedef void marjoram_outcall_done (void *context, int status, bool timed_out,
                                    int64_t retry_ms);

/* A connection to ADDRESS, IP:port; null if that is no address.  */
struct evhttp_connection *marjoram_outcall_connect (struct event_base *base,
                                                    const char *address);
/* From the event loop, as evhttp may still be at work on it.  */
void marjoram_outcall_free_later (struct event_base *base,
                                  struct evhttp_connection *connection);

marjoram_outcalls *marjoram_outcalls_create (struct event_base *base);
/* Calls under way end without DONE; FORGET is called with their contexts.  */
void marjoram_outcalls_destroy (marjoram_outcalls *calls,
                                void (*forget) (void *context));
/* BODY is JSON text, or null for a GET.  DONE is called once, not before this
   returns true.  */
bool marjoram_outcall (marjoram_outcalls *calls, const char *address,
                       const char *path, const char *body, int64_t timeout_ms,
                       marjoram_outcall_done *done, void *context);

#endif
