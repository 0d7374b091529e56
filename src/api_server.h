/* HTTP server for a host's own interface: look-ups, heartbeats, operators'
   commands, readiness and metrics.  Responses may be sent asynchronously.  */
#ifndef MARJORAM_API_SERVER_H
#define MARJORAM_API_SERVER_H

#include "address.h"
#include "clock.h"
#include "error.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct marjoram_api_server marjoram_api_server;

/* How a request arrived.  */
struct marjoram_api_arrival
{
  char caller[MARJORAM_IP_MAX + 8]; /* IP:port; "" if unknown */
  /* A time before which its caller can't have sent it: its connection was not
     open, or the answer to the request before it had not been sent.  INT64_MIN
     if unknown.  */
  int64_t not_before;
  int requests; /* earlier ones on its connection */
};

struct marjoram_api_server_ops
{
  /* BODY is NUL-terminated and only valid during the call.  */
  void (*receive) (void *context, uint64_t request_id, const char *method,
                   const char *target, const char *body, size_t size);
};

/* CLOCK is borrowed.  */
marjoram_api_server *marjoram_api_server_create (
    struct event_base *base, struct marjoram_clock *clock,
    const struct marjoram_api_server_ops *ops, void *context);
void marjoram_api_server_destroy (marjoram_api_server *server);
/* Adds a listener on ADDRESS (IP:port).  Returns false with ERR set on
   failure.  */
bool marjoram_api_server_listen (marjoram_api_server *server,
                                 const char *address,
                                 struct marjoram_error *err);
/* Sends the response to REQUEST_ID.  BODY may be null; TYPE is its media type.
   Does nothing if the connection has been closed.  */
void marjoram_api_server_respond (marjoram_api_server *server,
                                  uint64_t request_id, int status,
                                  const char *type, const char *body,
                                  size_t size);
/* Responds with status 307 and the URL LOCATION.  */
void marjoram_api_server_redirect (marjoram_api_server *server,
                                   uint64_t request_id, const char *location);
/* How REQUEST_ID, which has not been answered, arrived.  False if its
   caller has closed the connection.  */
bool marjoram_api_server_arrival (marjoram_api_server *server,
                                  uint64_t request_id,
                                  struct marjoram_api_arrival *arrival);
/* To be called at least every 100 ms.  */
void marjoram_api_server_tick (marjoram_api_server *server);

#endif
