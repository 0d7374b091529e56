#include "blocking_call.h"

#include "address.h"
#include "cleanup.h"
#include "clock.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <string.h>

enum
{
  HEAD_BYTES_MAX = 64 * 1024,
  BODY_BYTES_MAX = 64 * 1024 * 1024 /* above any report */
};

struct exchange
{
  struct event_base *base;
  int status;
  char *body;
};

static void
on_response (struct evhttp_request *response, void *context)
{
  struct exchange *exchange = context;

  if (response && evhttp_request_get_response_code (response) > 0)
    {
      struct evbuffer *input = evhttp_request_get_input_buffer (response);
      size_t size = evbuffer_get_length (input);

      exchange->status = evhttp_request_get_response_code (response);
      exchange->body = marjoram_alloc (size + 1);
      evbuffer_remove (input, exchange->body, size);
    }
  event_base_loopbreak (exchange->base);
}

bool
marjoram_blocking_call (const struct marjoram_blocking_call *call, int *status,
                        char **body)
{
  struct exchange exchange = { NULL, 0, NULL };
  struct timeval timeout = marjoram_clock_timeval (call->timeout_ms);
  struct evhttp_connection *connection;
  struct evhttp_request *request;
  char ip[MARJORAM_IP_MAX];
  uint16_t port;

  if (!marjoram_address_split (call->address, ip, &port))
    return false;
  exchange.base = event_base_new ();
  connection = evhttp_connection_base_new (exchange.base, NULL, ip, port);
  evhttp_connection_set_timeout_tv (connection, &timeout);
  evhttp_connection_set_max_headers_size (connection, HEAD_BYTES_MAX);
  evhttp_connection_set_max_body_size (connection, BODY_BYTES_MAX);
  request = evhttp_request_new (on_response, &exchange);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host", ip);
  if (call->body)
    evbuffer_add (evhttp_request_get_output_buffer (request), call->body,
                  strlen (call->body));
  if (evhttp_make_request (connection, request, call->method, call->path) == 0)
    event_base_dispatch (exchange.base);
  evhttp_connection_free (connection);
  event_base_free (exchange.base);
  *status = exchange.status;
  *body = exchange.body;
  return true;
}
