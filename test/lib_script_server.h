/* Server on a loopback port that answers each request with a fixed text.  */
#ifndef MARJORAM_TEST_LIB_SCRIPT_SERVER_H
#define MARJORAM_TEST_LIB_SCRIPT_SERVER_H

#include <event2/event.h>
#include <stddef.h>

/* What happens to a connection after its answer.  */
enum script_end
{
  SCRIPT_KEEP,
  SCRIPT_CLOSE,
  SCRIPT_RESET /* soon, with the rest of the request unread */
};

struct script_server;

struct script_server *script_server_create (struct event_base *base);
void script_server_destroy (struct script_server *server);
/* IP:port.  */
const char *script_server_address (const struct script_server *server);
/* The SIZE bytes of TEXT, borrowed, are the answer to each request, sent as
   soon as its head has come.  */
void script_server_set (struct script_server *server, const char *text,
                        size_t size, enum script_end end);
/* Connections accepted.  */
int script_server_connections (const struct script_server *server);

#endif
