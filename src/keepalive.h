/* Pool of idle evhttp connections to upstreams, kept open briefly for
   reuse.  */
#ifndef MARJORAM_KEEPALIVE_H
#define MARJORAM_KEEPALIVE_H

#include <event2/event.h>
#include <event2/http.h>

typedef struct marjoram_keepalive marjoram_keepalive;

marjoram_keepalive *marjoram_keepalive_create (struct event_base *base);
void marjoram_keepalive_destroy (marjoram_keepalive *keepalive);
/* Takes ownership of CONNECTION, which must have no pending request.  */
void marjoram_keepalive_put (marjoram_keepalive *keepalive,
                             struct evhttp_connection *connection,
                             const char *address);
/* Removes and returns the most recently used connection to ADDRESS, or
   null.  */
struct evhttp_connection *
marjoram_keepalive_take (marjoram_keepalive *keepalive, const char *address);

#endif
