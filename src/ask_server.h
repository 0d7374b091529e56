/* The task of short calls to a host's own interface: look-ups, heartbeats,
   operators' orders, readiness, metrics.  An answer may come later.  */
#ifndef MARJORAM_ASK_SERVER_H
#define MARJORAM_ASK_SERVER_H

#include "error.h"

#include <event2/event.h>
#include <stddef.h>
#include <stdint.h>

typedef struct marjoram_ask_server marjoram_ask_server;

struct marjoram_ask_server_ops
{
  /* BODY is NUL-terminated and borrowed.  */
  void (*receive) (void *context, uint64_t ask, const char *method,
                   const char *target, const char *body, size_t size);
};

marjoram_ask_server *
marjoram_ask_server_create (struct event_base *base,
                            const struct marjoram_ask_server_ops *ops,
                            void *context);
void marjoram_ask_server_destroy (marjoram_ask_server *server);
/* May be called for several addresses; false with ERR set if ADDRESS, IP:port,
   can't be listened on.  */
bool marjoram_ask_server_listen (marjoram_ask_server *server,
                                 const char *address,
                                 struct marjoram_error *err);
/* BODY may be null; TYPE is its media type.  Calls that are gone are
   ignored.  */
void marjoram_ask_server_answer (marjoram_ask_server *server, uint64_t ask,
                                 int status, const char *type,
                                 const char *body, size_t size);

#endif
