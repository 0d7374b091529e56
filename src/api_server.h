/* HTTP server for a host's own interface: look-ups, heartbeats, operators'
   commands, readiness and metrics.  Responses may be sent asynchronously.  */
#ifndef MARJORAM_API_SERVER_H
#define MARJORAM_API_SERVER_H

#include "error.h"

#include <event2/event.h>
#include <stddef.h>
#include <stdint.h>

typedef struct marjoram_api_server marjoram_api_server;

struct marjoram_api_server_ops
{
  /* BODY is NUL-terminated and only valid during the call.  */
  void (*receive) (void *context, uint64_t request_id, const char *method,
                   const char *target, const char *body, size_t size);
};

marjoram_api_server *
marjoram_api_server_create (struct event_base *base,
                            const struct marjoram_api_server_ops *ops,
                            void *context);
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

#endif
