#include "upstream_call.h"

#include "address.h"
#include "cleanup.h"
#include "clock.h"
#include "retry_after.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

enum
{
  /* Limits of a response, of which only the status and Retry-After count.  */
  HEAD_BYTES_MAX = 64 * 1024,
  BODY_BYTES_MAX = 64 * 1024
};

struct upstream_call
{
  marjoram_upstream_calls *calls;
  struct evhttp_connection *connection;
  marjoram_upstream_call_done *done;
  void *context;
  bool timed_out;
  bool starting; /* evhttp may call on_done from evhttp_make_request */
  TAILQ_ENTRY (upstream_call) next;
};

struct marjoram_upstream_calls
{
  struct event_base *base;
  TAILQ_HEAD (, upstream_call) all;
};

struct evhttp_connection *
marjoram_upstream_call_connect (struct event_base *base, const char *address)
{
  char ip[MARJORAM_IP_MAX];
  uint16_t port;

  struct evhttp_connection *connection;

  if (!marjoram_address_split (address, ip, &port))
    return NULL;
  connection = evhttp_connection_base_new (base, NULL, ip, port);
  if (!connection)
    return NULL;
  evhttp_connection_set_max_headers_size (connection, HEAD_BYTES_MAX);
  evhttp_connection_set_max_body_size (connection, BODY_BYTES_MAX);
  return connection;
}

static void
free_connection (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  evhttp_connection_free (context);
}

void
marjoram_upstream_call_free_later (struct event_base *base,
                                   struct evhttp_connection *connection)
{
  struct timeval at_once = { 0, 0 };

  event_base_once (base, -1, EV_TIMEOUT, free_connection, connection,
                   &at_once);
}

marjoram_upstream_calls *
marjoram_upstream_calls_create (struct event_base *base)
{
  marjoram_upstream_calls *calls = marjoram_alloc (sizeof *calls);

  calls->base = base;
  TAILQ_INIT (&calls->all);
  return calls;
}

static void
upstream_call_destroy (struct upstream_call *call)
{
  TAILQ_REMOVE (&call->calls->all, call, next);
  free (call);
}

void
marjoram_upstream_calls_destroy (marjoram_upstream_calls *calls,
                                 void (*release) (void *context))
{
  struct upstream_call *call;

  if (!calls)
    return;
  while ((call = TAILQ_FIRST (&calls->all)))
    {
      /* False positive on TAILQ.  NOLINTNEXTLINE(clang-analyzer-unix.*) */
      release (call->context);
      evhttp_connection_free (call->connection);
      upstream_call_destroy (call);
    }
  free (calls);
}

static void
on_error (enum evhttp_request_error error, void *context)
{
  struct upstream_call *call = context;

  call->timed_out = error == EVREQ_HTTP_TIMEOUT;
}

static int64_t
retry_after_ms (struct evhttp_request *request)
{
  int64_t ms = 0;

  marjoram_retry_after_parse (
      evhttp_find_header (evhttp_request_get_input_headers (request),
                          "Retry-After"),
      &ms);
  return ms;
}

static void
on_done (struct evhttp_request *request, void *context)
{
  struct upstream_call *call = context;
  int status = request ? evhttp_request_get_response_code (request) : 0;

  if (call->starting)
    return;
  call->done (call->context, status, call->timed_out,
              status ? retry_after_ms (request) : 0);
  marjoram_upstream_call_free_later (call->calls->base, call->connection);
  upstream_call_destroy (call);
}

static struct upstream_call *
upstream_call_create (marjoram_upstream_calls *calls,
                      struct evhttp_connection *connection, int64_t timeout_ms,
                      marjoram_upstream_call_done *done, void *context)
{
  struct upstream_call *call = marjoram_alloc (sizeof *call);
  struct timeval limit = marjoram_clock_timeval (timeout_ms);

  call->calls = calls;
  call->connection = connection;
  call->done = done;
  call->context = context;
  evhttp_connection_set_timeout_tv (connection, &limit);
  TAILQ_INSERT_TAIL (&calls->all, call, next);
  return call;
}

bool
marjoram_upstream_call (marjoram_upstream_calls *calls, const char *address,
                        const char *path, const char *body, int64_t timeout_ms,
                        marjoram_upstream_call_done *done, void *context)
{
  struct evhttp_connection *connection
      = marjoram_upstream_call_connect (calls->base, address);
  struct evhttp_request *request;
  struct upstream_call *call;
  bool started;

  if (!connection)
    return false;
  call = upstream_call_create (calls, connection, timeout_ms, done, context);
  request = evhttp_request_new (on_done, call);
  evhttp_request_set_error_cb (request, on_error);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host",
                     address);
  if (body)
    {
      evhttp_add_header (evhttp_request_get_output_headers (request),
                         "Content-Type", "application/json");
      evbuffer_add (evhttp_request_get_output_buffer (request), body,
                    strlen (body));
    }
  call->starting = true;
  started = evhttp_make_request (connection, request,
                                 body ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, path)
            == 0;
  call->starting = false;
  if (started)
    return true;
  evhttp_connection_free (connection);
  upstream_call_destroy (call);
  return false;
}
