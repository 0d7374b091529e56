/* Listening sockets, and the options that all TCP connections get.  */
#ifndef MARJORAM_SOCKET_OPTION_H
#define MARJORAM_SOCKET_OPTION_H

#include "error.h"

#include <event2/listener.h>

/* Small writes go out at once, and a connection whose other end is gone
   without a word ends in error within a few seconds, instead of holding its
   request until a timeout of the caller.  */
void marjoram_socket_tune (evutil_socket_t fd);

/* Null with ERR set if ADDRESS, IP:port, can't be listened on.  */
struct evconnlistener *
marjoram_socket_listen (struct event_base *base, const char *address,
                        int backlog, evconnlistener_cb on_accept,
                        void *context, struct marjoram_error *err);

#endif
