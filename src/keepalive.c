#include "keepalive.h"

#include "cleanup.h"
#include "upstream_call.h"

#include <stdio.h>
#include <string.h>
#include <sys/queue.h>

enum
{
  /* Short, as the peer of an idle connection may have become unreachable.  */
  IDLE_SEC = 2,
  IDLE_MAX = 256,
  ADDRESS_SIZE = 64
};

struct idle
{
  marjoram_keepalive *keepalive;
  struct evhttp_connection *connection;
  char address[ADDRESS_SIZE];
  struct event *timer;
  TAILQ_ENTRY (idle) next;
};

struct marjoram_keepalive
{
  struct event_base *base;
  TAILQ_HEAD (, idle) idle_connections;
  size_t count;
};

marjoram_keepalive *
marjoram_keepalive_create (struct event_base *base)
{
  marjoram_keepalive *keepalive = marjoram_alloc (sizeof *keepalive);

  keepalive->base = base;
  TAILQ_INIT (&keepalive->idle_connections);
  return keepalive;
}

static void
idle_destroy (struct idle *idle)
{
  TAILQ_REMOVE (&idle->keepalive->idle_connections, idle, next);
  idle->keepalive->count--;
  evhttp_connection_set_closecb (idle->connection, NULL, NULL);
  event_free (idle->timer);
  free (idle);
}

void
marjoram_keepalive_destroy (marjoram_keepalive *keepalive)
{
  struct idle *idle;

  if (!keepalive)
    return;
  while ((idle = TAILQ_FIRST (&keepalive->idle_connections)))
    {
      /* False positive on TAILQ.  NOLINTNEXTLINE(clang-analyzer-unix.*) */
      struct evhttp_connection *connection = idle->connection;

      idle_destroy (idle);
      evhttp_connection_free (connection);
    }
  free (keepalive);
}

static void
on_timeout (evutil_socket_t fd, short what, void *context)
{
  struct idle *idle = context;
  struct evhttp_connection *connection = idle->connection;

  (void)fd;
  (void)what;
  idle_destroy (idle);
  evhttp_connection_free (connection);
}

static void
on_closed (struct evhttp_connection *connection, void *context)
{
  struct idle *idle = context;
  struct timeval at_once = { 0, 0 };

  /* evhttp still uses the connection, so it is freed from the event loop.  */
  (void)connection;
  evtimer_add (idle->timer, &at_once);
}

void
marjoram_keepalive_put (marjoram_keepalive *keepalive,
                        struct evhttp_connection *connection,
                        const char *address)
{
  struct timeval limit = { IDLE_SEC, 0 };
  struct idle *idle;

  if (keepalive->count >= IDLE_MAX)
    {
      marjoram_upstream_call_free_later (keepalive->base, connection);
      return;
    }
  idle = marjoram_alloc (sizeof *idle);
  idle->keepalive = keepalive;
  idle->connection = connection;
  snprintf (idle->address, sizeof idle->address, "%s", address);
  idle->timer = evtimer_new (keepalive->base, on_timeout, idle);
  evtimer_add (idle->timer, &limit);
  evhttp_connection_set_closecb (connection, on_closed, idle);
  TAILQ_INSERT_HEAD (&keepalive->idle_connections, idle, next);
  keepalive->count++;
}

struct evhttp_connection *
marjoram_keepalive_take (marjoram_keepalive *keepalive, const char *address)
{
  struct idle *idle;

  TAILQ_FOREACH (idle, &keepalive->idle_connections, next)
  {
    struct evhttp_connection *connection = idle->connection;

    if (strcmp (idle->address, address) != 0)
      continue;
    idle_destroy (idle);
    return connection;
  }
  return NULL;
}
