/* Connections to upstreams that are kept open for a short time, to be used
   again.  */
#ifndef MARJORAM_KEEPALIVE_H
#define MARJORAM_KEEPALIVE_H

#include <event2/event.h>
#include <event2/http.h>

typedef struct marjoram_keepalive marjoram_keepalive;

marjoram_keepalive *marjoram_keepalive_create (struct event_base *base);
void marjoram_keepalive_destroy (marjoram_keepalive *keepalive);
/* Takes CONNECTION, which has no request on it.  */
void marjoram_keepalive_put (marjoram_keepalive *keepalive,
                             struct evhttp_connection *connection,
                             const char *address);
/* Gives up the connection used last to ADDRESS; null if there is none.  */
struct evhttp_connection *
marjoram_keepalive_take (marjoram_keepalive *keepalive, const char *address);

#endif
