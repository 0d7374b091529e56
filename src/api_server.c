#include "api_server.h"

#include "cleanup.h"
#include "state.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <uthash.h>

enum
{
  HEAD_BYTES_MAX = 16 * 1024,
  CONNECTION_TIMEOUT_S = 10,
  /* evhttp closes idle connections before, so that what is known of those
     left can be forgotten.  */
  FORGET_CONNECTION_MS = 3 * CONNECTION_TIMEOUT_S * 1000,
  FORGET_INTERVAL_MS = 1000,
  LISTENERS_MAX = 4,
  STATUS_TEMPORARY_REDIRECT = 307,
  USEC_PER_MSEC = 1000
};

/* A connection, from its acceptance on.  */
struct connection
{
  struct bufferevent *bev; /* only compared: it may have been freed */
  int64_t active_at;
  int64_t not_before;  /* of its next request, as in the arrival */
  int requests;        /* answered */
  uint64_t request_id; /* to be answered; 0 if there is none */
  UT_hash_handle hh;
};

struct pending
{
  uint64_t request_id;
  marjoram_api_server *server;
  struct evhttp_request *req;
  UT_hash_handle hh;
};

struct marjoram_api_server
{
  struct evhttp *http;
  struct marjoram_clock *clock;
  const struct marjoram_api_server_ops *ops;
  void *context;
  struct pending *pending;
  struct connection *connections;
  uint64_t last_request_id;
  int listeners[LISTENERS_MAX];
  size_t listener_count;
  int64_t idle_at; /* no connection waited to be accepted */
  int64_t forgot_at;
};

static void
pending_destroy (struct pending *pending)
{
  HASH_DELETE (hh, pending->server->pending, pending);
  free (pending);
}

static struct pending *
find_pending (marjoram_api_server *server, uint64_t request_id)
{
  struct pending *pending;

  HASH_FIND (hh, server->pending, &request_id, sizeof request_id, pending);
  return pending;
}

/* ---- Connections.  ---- */

static struct connection *
find_connection (marjoram_api_server *server, struct bufferevent *bev)
{
  struct connection *connection;

  HASH_FIND_PTR (server->connections, &bev, connection);
  return connection;
}

static void
forget_connection (marjoram_api_server *server, struct connection *connection)
{
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, server->connections, connection);
  free (connection);
}

static struct connection *
add_connection (marjoram_api_server *server, struct bufferevent *bev,
                int64_t not_before)
{
  struct connection *connection = find_connection (server, bev);

  if (connection)
    forget_connection (server, connection);
  connection = marjoram_alloc (sizeof *connection);
  connection->bev = bev;
  connection->active_at = marjoram_clock_now (server->clock);
  connection->not_before = not_before;
  HASH_ADD_PTR (server->connections, bev, connection);
  return connection;
}

static struct bufferevent *
on_accept (struct event_base *base, void *context)
{
  marjoram_api_server *server = context;
  struct bufferevent *bev = bufferevent_socket_new (base, -1, 0);

  if (bev)
    add_connection (server, bev, server->idle_at);
  return bev;
}

static void
on_close (struct evhttp_connection *connection, void *context)
{
  marjoram_api_server *server = context;
  struct connection *closed = find_connection (
      server, evhttp_connection_get_bufferevent (connection));
  struct pending *pending;

  if (!closed)
    return;
  pending = find_pending (server, closed->request_id);
  forget_connection (server, closed);
  if (pending)
    pending_destroy (pending);
}

/* A connection that is accepted later was opened after this check, unless it
   waited already.  */
static void
check_idle (marjoram_api_server *server)
{
  const int64_t now = marjoram_clock_now (server->clock);
  struct pollfd waiting[LISTENERS_MAX];

  for (size_t i = 0; i < server->listener_count; i++)
    waiting[i] = (struct pollfd){ server->listeners[i], POLLIN, 0 };
  if (poll (waiting, server->listener_count, 0) == 0)
    server->idle_at = now;
}

static bool
has_unread_input (struct bufferevent *bev)
{
  char byte;

  return evbuffer_get_length (bufferevent_get_input (bev)) > 0
         || recv (bufferevent_getfd (bev), &byte, sizeof byte,
                  MSG_PEEK | MSG_DONTWAIT)
                > 0;
}

/* The caller may have sent its first request when it had the answer to its
   SYN, a round trip before this host had a connection to accept.  If that
   answer was repeated, it is unknown when.  */
static int64_t
first_not_before (const struct connection *connection)
{
  struct tcp_info info = { 0 };
  socklen_t size = sizeof info;

  if (connection->not_before == INT64_MIN
      || getsockopt (bufferevent_getfd (connection->bev), IPPROTO_TCP,
                     TCP_INFO, &info, &size)
             != 0)
    return connection->not_before;
  if (info.tcpi_total_retrans > 0)
    return INT64_MIN;
  return connection->not_before - info.tcpi_rtt / USEC_PER_MSEC;
}

static struct connection *
connection_of (marjoram_api_server *server, struct evhttp_request *req)
{
  struct evhttp_connection *http = evhttp_request_get_connection (req);
  struct bufferevent *bev = evhttp_connection_get_bufferevent (http);
  struct connection *connection = find_connection (server, bev);

  if (!connection)
    connection = add_connection (server, bev, INT64_MIN);
  evhttp_connection_set_closecb (http, on_close, server);
  return connection;
}

static struct pending *
pending_create (marjoram_api_server *server, struct evhttp_request *req)
{
  struct pending *pending = marjoram_alloc (sizeof *pending);
  struct connection *connection = connection_of (server, req);

  pending->request_id = ++server->last_request_id;
  pending->server = server;
  pending->req = req;
  HASH_ADD (hh, server->pending, request_id, sizeof pending->request_id,
            pending);
  if (connection->requests == 0)
    connection->not_before = first_not_before (connection);
  connection->request_id = pending->request_id;
  return pending;
}

static const char *
method_name (enum evhttp_cmd_type command)
{
  switch (command)
    {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    default:
      return "-";
    }
}

static void
receive (struct evhttp_request *req, void *context)
{
  marjoram_api_server *server = context;
  struct evbuffer *input = evhttp_request_get_input_buffer (req);
  size_t size = evbuffer_get_length (input);
  marjoram_auto_free char *body = marjoram_alloc (size + 1);
  struct pending *pending = pending_create (server, req);

  evbuffer_remove (input, body, size);
  /* The callback may send the response, which frees PENDING.  */
  server->ops->receive (server->context, pending->request_id,
                        method_name (evhttp_request_get_command (req)),
                        evhttp_request_get_uri (req), body, size);
}

marjoram_api_server *
marjoram_api_server_create (struct event_base *base,
                            struct marjoram_clock *clock,
                            const struct marjoram_api_server_ops *ops,
                            void *context)
{
  marjoram_api_server *server = marjoram_alloc (sizeof *server);

  server->clock = clock;
  server->ops = ops;
  server->context = context;
  server->http = evhttp_new (base);
  if (!server->http)
    abort ();
  evhttp_set_allowed_methods (server->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST
                                                | EVHTTP_REQ_PUT
                                                | EVHTTP_REQ_DELETE);
  evhttp_set_max_headers_size (server->http, HEAD_BYTES_MAX);
  evhttp_set_max_body_size (server->http, MARJORAM_FILE_TEXT_MAX);
  evhttp_set_timeout (server->http, CONNECTION_TIMEOUT_S);
  /* Without it a sender of too large a body gets a reset, not the 413.  */
  evhttp_set_flags (server->http, EVHTTP_SERVER_LINGERING_CLOSE);
  evhttp_set_bevcb (server->http, on_accept, server);
  evhttp_set_gencb (server->http, receive, server);
  return server;
}

void
marjoram_api_server_destroy (marjoram_api_server *server)
{
  struct connection *connection;
  struct connection *next;

  if (!server)
    return;
  /* Closing the connections frees the pending requests.  */
  evhttp_free (server->http);
  HASH_ITER (hh, server->connections, connection, next)
  {
    forget_connection (server, connection);
  }
  free (server);
}

bool
marjoram_api_server_listen (marjoram_api_server *server, const char *address,
                            struct marjoram_error *err)
{
  struct evhttp_bound_socket *bound = NULL;
  char ip[MARJORAM_IP_MAX];
  uint16_t port;

  if (server->listener_count == LISTENERS_MAX)
    return marjoram_error_set (err, MARJORAM_ERROR_LIMIT,
                               "can't listen on %s: there are %d listeners",
                               address, LISTENERS_MAX);
  if (marjoram_address_split (address, ip, &port))
    bound = evhttp_bind_socket_with_handle (server->http, ip, port);
  if (bound)
    {
      server->listeners[server->listener_count++]
          = evhttp_bound_socket_get_fd (bound);
      check_idle (server);
      return true;
    }
  return marjoram_error_set (err, MARJORAM_ERROR_IO,
                             "can't listen on %s: %s; free the address or "
                             "change it in [listen]",
                             address, strerror (errno));
}

/* The next request on the connection can't have been sent before this answer,
   unless it is there already.  */
static void
note_answer (marjoram_api_server *server, const struct pending *pending)
{
  struct connection *connection = connection_of (server, pending->req);

  connection->requests++;
  connection->request_id = 0;
  connection->active_at = marjoram_clock_now (server->clock);
  if (!has_unread_input (connection->bev))
    connection->not_before = connection->active_at;
  check_idle (server);
}

static void
send_response (struct pending *pending, int status, const char *type,
               const char *body, size_t size)
{
  struct evbuffer *output = evbuffer_new ();

  note_answer (pending->server, pending);
  evbuffer_add (output, body ? body : "", body ? size : 0);
  if (body)
    evhttp_add_header (evhttp_request_get_output_headers (pending->req),
                       "Content-Type", type);
  evhttp_send_reply (pending->req, status, NULL, output);
  evbuffer_free (output);
  pending_destroy (pending);
}

void
marjoram_api_server_respond (marjoram_api_server *server, uint64_t request_id,
                             int status, const char *type, const char *body,
                             size_t size)
{
  struct pending *pending = find_pending (server, request_id);

  if (pending)
    send_response (pending, status, type, body, size);
}

void
marjoram_api_server_redirect (marjoram_api_server *server, uint64_t request_id,
                              const char *location)
{
  struct pending *pending = find_pending (server, request_id);

  if (!pending)
    return;
  evhttp_add_header (evhttp_request_get_output_headers (pending->req),
                     "Location", location);
  send_response (pending, STATUS_TEMPORARY_REDIRECT, "text/uri-list", location,
                 strlen (location));
}

/* Whether the peer has closed the connection, read or not.  */
static bool
is_closed_by_peer (struct bufferevent *bev)
{
  char byte;

  return recv (bufferevent_getfd (bev), &byte, sizeof byte,
               MSG_PEEK | MSG_DONTWAIT)
         == 0;
}

bool
marjoram_api_server_arrival (marjoram_api_server *server, uint64_t request_id,
                             struct marjoram_api_arrival *arrival)
{
  const struct pending *pending = find_pending (server, request_id);
  const struct connection *connection;
  char *ip = NULL;
  ev_uint16_t port = 0;

  if (!pending)
    return false;
  connection = connection_of (server, pending->req);
  if (is_closed_by_peer (connection->bev))
    return false;
  evhttp_connection_get_peer (evhttp_request_get_connection (pending->req),
                              &ip, &port);
  snprintf (arrival->caller, sizeof arrival->caller, "%s:%u", ip ? ip : "",
            port);
  arrival->not_before = connection->not_before;
  arrival->requests = connection->requests;
  return true;
}

/* Connections without a request in progress, which may have been closed.  */
static void
forget_old_connections (marjoram_api_server *server, int64_t now)
{
  struct connection *connection;
  struct connection *next;

  if (now < server->forgot_at + FORGET_INTERVAL_MS)
    return;
  server->forgot_at = now;
  HASH_ITER (hh, server->connections, connection, next)
  {
    if (connection->request_id == 0
        && now >= connection->active_at + FORGET_CONNECTION_MS)
      forget_connection (server, connection);
  }
}

void
marjoram_api_server_tick (marjoram_api_server *server)
{
  check_idle (server);
  forget_old_connections (server, marjoram_clock_now (server->clock));
}
