#include "lib_script_server.h"

#include "cleanup.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

enum
{
  ADDRESS_SIZE = 32,
  RESET_US = 10000 /* for the answer to be read before */
};

struct peer
{
  TAILQ_ENTRY (peer) link;
  struct script_server *server;
  struct bufferevent *bev;
  struct event *reset;
};

struct script_server
{
  struct event_base *base;
  struct evconnlistener *listener;
  TAILQ_HEAD (, peer) peers;
  const char *text;
  size_t size;
  enum script_end end;
  int connections;
  char address[ADDRESS_SIZE];
};

static void
peer_destroy (struct peer *peer)
{
  TAILQ_REMOVE (&peer->server->peers, peer, link);
  bufferevent_free (peer->bev);
  event_free (peer->reset);
  free (peer);
}

static void
on_reset (evutil_socket_t fd, short what, void *context)
{
  struct peer *peer = context;
  const struct linger hard = { 1, 0 };

  (void)fd;
  (void)what;
  setsockopt (bufferevent_getfd (peer->bev), SOL_SOCKET, SO_LINGER, &hard,
              sizeof hard);
  peer_destroy (peer);
}

static void
answer (struct peer *peer)
{
  const struct script_server *server = peer->server;
  const struct timeval soon = { 0, RESET_US };

  if (send (bufferevent_getfd (peer->bev), server->text, server->size, 0) < 0)
    perror ("send");
  if (server->end == SCRIPT_CLOSE)
    peer_destroy (peer);
  if (server->end != SCRIPT_RESET)
    return;
  bufferevent_disable (peer->bev, EV_READ);
  evtimer_add (peer->reset, &soon);
}

static void
on_read (struct bufferevent *bev, void *context)
{
  struct peer *peer = context;
  struct evbuffer *input = bufferevent_get_input (bev);

  if (evbuffer_search (input, "\r\n\r\n", 4, NULL).pos < 0)
    return;
  evbuffer_drain (input, evbuffer_get_length (input));
  answer (peer);
}

static void
on_event (struct bufferevent *bev, short events, void *context)
{
  (void)bev;
  if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    peer_destroy (context);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int size, void *context)
{
  struct script_server *server = context;
  struct peer *peer = marjoram_alloc (sizeof *peer);

  (void)listener;
  (void)address;
  (void)size;
  server->connections++;
  peer->server = server;
  peer->bev = bufferevent_socket_new (server->base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (peer->bev, on_read, NULL, on_event, peer);
  peer->reset = evtimer_new (server->base, on_reset, peer);
  bufferevent_enable (peer->bev, EV_READ | EV_WRITE);
  TAILQ_INSERT_TAIL (&server->peers, peer, link);
}

struct script_server *
script_server_create (struct event_base *base)
{
  struct script_server *server = marjoram_alloc (sizeof *server);
  struct sockaddr_in where = { .sin_family = AF_INET };
  socklen_t size = sizeof where;

  server->base = base;
  server->text = "";
  TAILQ_INIT (&server->peers);
  where.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  server->listener = evconnlistener_new_bind (
      base, on_accept, server, LEV_OPT_CLOSE_ON_FREE, -1,
      (struct sockaddr *)&where, sizeof where);
  if (!server->listener
      || getsockname (evconnlistener_get_fd (server->listener),
                      (struct sockaddr *)&where, &size)
             != 0)
    abort ();
  snprintf (server->address, sizeof server->address, "127.0.0.1:%d",
            ntohs (where.sin_port));
  return server;
}

void
script_server_destroy (struct script_server *server)
{
  struct peer *peer;

  while ((peer = TAILQ_FIRST (&server->peers)))
    /* False positive on TAILQ.  NOLINTNEXTLINE(clang-analyzer-*) */
    peer_destroy (peer);
  evconnlistener_free (server->listener);
  free (server);
}

const char *
script_server_address (const struct script_server *server)
{
  return server->address;
}

void
script_server_set (struct script_server *server, const char *text, size_t size,
                   enum script_end end)
{
  server->text = text;
  server->size = size;
  server->end = end;
}

int
script_server_connections (const struct script_server *server)
{
  return server->connections;
}
