/* Listening sockets and common TCP socket options.  */
#ifndef MARJORAM_SOCKET_OPTION_H
#define MARJORAM_SOCKET_OPTION_H

#include "error.h"

#include <event2/listener.h>

/* Disables Nagle's algorithm, and sets keepalive and user timeouts so that an
   unreachable peer is detected within a few seconds.  */
void marjoram_socket_set_options (evutil_socket_t fd);

/* Sets whether closing FD resets the connection, also when the process ends,
   so that a body without a length is not taken for complete.  */
void marjoram_socket_set_reset_on_close (evutil_socket_t fd, bool reset);

/* Makes a listening socket ignore new connections, whose peers will try again.
   Those that are being opened can still be accepted.  */
void marjoram_socket_ignore_connections (evutil_socket_t fd);

/* Listens on ADDRESS (IP:port).  Returns null with ERR set on failure.  */
struct evconnlistener *
marjoram_socket_listen (struct event_base *base, const char *address,
                        int backlog, evconnlistener_cb on_accept,
                        void *context, struct marjoram_error *err);

#endif
