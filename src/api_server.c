#include "api_server.h"

#include "address.h"
#include "cleanup.h"
#include "state.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <string.h>
#include <uthash.h>

enum
{
  HEAD_BYTES_MAX = 16 * 1024,
  CONNECTION_TIMEOUT_S = 10
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
  const struct marjoram_api_server_ops *ops;
  void *context;
  struct pending *pending;
  uint64_t last_request_id;
};

static void
pending_destroy (struct pending *pending)
{
  HASH_DELETE (hh, pending->server->pending, pending);
  free (pending);
}

static void
connection_closed (struct evhttp_connection *connection, void *context)
{
  (void)connection;
  pending_destroy (context);
}

static struct pending *
pending_create (marjoram_api_server *server, struct evhttp_request *req)
{
  struct pending *pending = marjoram_alloc (sizeof *pending);

  pending->request_id = ++server->last_request_id;
  pending->server = server;
  pending->req = req;
  HASH_ADD (hh, server->pending, request_id, sizeof pending->request_id,
            pending);
  evhttp_connection_set_closecb (evhttp_request_get_connection (req),
                                 connection_closed, pending);
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
                            const struct marjoram_api_server_ops *ops,
                            void *context)
{
  marjoram_api_server *server = marjoram_alloc (sizeof *server);

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
  evhttp_set_gencb (server->http, receive, server);
  return server;
}

void
marjoram_api_server_destroy (marjoram_api_server *server)
{
  if (!server)
    return;
  /* Closing the connections frees the pending requests.  */
  evhttp_free (server->http);
  free (server);
}

bool
marjoram_api_server_listen (marjoram_api_server *server, const char *address,
                            struct marjoram_error *err)
{
  char ip[MARJORAM_IP_MAX];
  uint16_t port;

  if (marjoram_address_split (address, ip, &port)
      && evhttp_bind_socket_with_handle (server->http, ip, port))
    return true;
  return marjoram_error_set (err, MARJORAM_ERROR_IO,
                             "can't listen on %s: %s; free the address or "
                             "change it in [listen]",
                             address, strerror (errno));
}

void
marjoram_api_server_respond (marjoram_api_server *server, uint64_t request_id,
                             int status, const char *type, const char *body,
                             size_t size)
{
  struct pending *pending;
  struct evbuffer *output;

  HASH_FIND (hh, server->pending, &request_id, sizeof request_id, pending);
  if (!pending)
    return;
  evhttp_connection_set_closecb (evhttp_request_get_connection (pending->req),
                                 NULL, NULL);
  output = evbuffer_new ();
  evbuffer_add (output, body ? body : "", body ? size : 0);
  if (body)
    evhttp_add_header (evhttp_request_get_output_headers (pending->req),
                       "Content-Type", type);
  evhttp_send_reply (pending->req, status, NULL, output);
  evbuffer_free (output);
  pending_destroy (pending);
}
