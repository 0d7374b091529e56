#include "lib_call.h"

#include "cleanup.h"
#include "clock.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

enum
{
  ADDRESS_SIZE = 64
};

struct call
{
  struct evhttp_connection *connection; /* or NULL */
  struct bufferevent *raw;              /* or NULL */
  struct evbuffer *body;
  struct evkeyvalq headers;
  int status;
  bool done;
  bool whole;
  double started;
  double first;
  double ended;
};

static double
now_ms (void)
{
  struct marjoram_clock *clock = marjoram_clock_system ();
  struct timespec now = clock->ops->monotonic (clock);

  return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

static void
finish_call (struct call *call)
{
  call->done = true;
  call->ended = now_ms ();
}

static int
on_header (struct evhttp_request *request, void *context)
{
  struct call *call = context;
  struct evkeyval *header;

  call->status = evhttp_request_get_response_code (request);
  evhttp_clear_headers (&call->headers);
  TAILQ_FOREACH (header, evhttp_request_get_input_headers (request), next)
  {
    evhttp_add_header (&call->headers, header->key, header->value);
  }
  return 0;
}

static void
on_body_chunk (struct evhttp_request *request, void *context)
{
  struct call *call = context;

  if (call->first < 0)
    call->first = now_ms ();
  evbuffer_add_buffer (call->body, evhttp_request_get_input_buffer (request));
}

/* evhttp reports a response with neither Content-Length nor chunked encoding
   as complete when the connection closes, so it may be truncated.  */
static bool
has_explicit_framing (const struct call *call)
{
  return call_header_value (call, "Content-Length")
         || call_header_value (call, "Transfer-Encoding")
         || call->status == HTTP_NOCONTENT;
}

static void
on_response (struct evhttp_request *request, void *context)
{
  struct call *call = context;

  call->connection = NULL;
  finish_call (call);
  if (!request || !evhttp_request_get_response_code (request))
    return;
  on_header (request, call);
  on_body_chunk (request, call);
  call->whole = has_explicit_framing (call);
}

static enum evhttp_cmd_type
method_from_name (const char *method)
{
  if (strcmp (method, "GET") == 0)
    return EVHTTP_REQ_GET;
  if (strcmp (method, "PUT") == 0)
    return EVHTTP_REQ_PUT;
  if (strcmp (method, "DELETE") == 0)
    return EVHTTP_REQ_DELETE;
  return EVHTTP_REQ_POST;
}

static void
start_http (struct event_base *base, struct call *call,
            const struct call_request *source)
{
  char address[ADDRESS_SIZE];
  char *colon;
  struct evhttp_request *request = evhttp_request_new (on_response, call);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  struct timeval timeout
      = { source->timeout_ms / 1000, source->timeout_ms % 1000 * 1000L };

  snprintf (address, sizeof address, "%s", source->address);
  colon = strchr (address, ':');
  *colon = 0;
  call->connection = evhttp_connection_base_new (
      base, NULL, address, (uint16_t)strtoul (colon + 1, NULL, 10));
  evhttp_connection_set_timeout_tv (call->connection, &timeout);
  evhttp_connection_free_on_completion (call->connection);
  evhttp_request_set_header_cb (request, on_header);
  evhttp_request_set_chunked_cb (request, on_body_chunk);
  evhttp_add_header (headers, "Connection", "close");
  for (size_t i = 0; i < source->header_count; i++)
    evhttp_add_header (headers, source->headers[i].name,
                       source->headers[i].value);
  if (!evhttp_find_header (headers, "Host"))
    evhttp_add_header (headers, "Host", source->address);
  evbuffer_add (evhttp_request_get_output_buffer (request), source->body,
                source->size);
  if (evhttp_make_request (call->connection, request,
                           method_from_name (source->method), source->path))
    {
      call->connection = NULL;
      finish_call (call);
    }
}

static void
on_raw_read (struct bufferevent *stream, void *context)
{
  struct call *call = context;

  if (call->first < 0)
    call->first = now_ms ();
  evbuffer_add_buffer (call->body, bufferevent_get_input (stream));
}

static void
on_raw_event (struct bufferevent *stream, short what, void *context)
{
  struct call *call = context;

  if (what & BEV_EVENT_CONNECTED)
    return;
  on_raw_read (stream, call);
  finish_call (call);
}

static void
start_raw (struct event_base *base, struct call *call,
           const struct call_request *source)
{
  struct sockaddr_storage address;
  int size = sizeof address;

  call->raw = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (call->raw, on_raw_read, NULL, on_raw_event, call);
  bufferevent_enable (call->raw, EV_READ | EV_WRITE);
  bufferevent_write (call->raw, source->body, source->size);
  if (evutil_parse_sockaddr_port (source->address, (struct sockaddr *)&address,
                                  &size)
      || bufferevent_socket_connect (call->raw, (struct sockaddr *)&address,
                                     size))
    finish_call (call);
}

struct call *
call_start (struct event_base *base, const struct call_request *request)
{
  struct call *call = marjoram_alloc (sizeof *call);

  *call = (struct call){ .body = evbuffer_new (),
                         .started = now_ms (),
                         .first = -1 };
  TAILQ_INIT (&call->headers);
  if (request->method)
    start_http (base, call, request);
  else
    start_raw (base, call, request);
  return call;
}

void
call_destroy (struct call *call)
{
  if (call->connection)
    evhttp_connection_free (call->connection);
  if (call->raw)
    bufferevent_free (call->raw);
  evhttp_clear_headers (&call->headers);
  evbuffer_free (call->body);
  free (call);
}

bool
call_done (const struct call *call)
{
  return call->done;
}

bool
call_whole (const struct call *call)
{
  return call->whole;
}

int
call_status (const struct call *call)
{
  return call->status;
}

const char *
call_header_value (const struct call *call, const char *name)
{
  return evhttp_find_header (&call->headers, name);
}

const char *
call_body (struct call *call, size_t *size)
{
  *size = evbuffer_get_length (call->body);
  return (const char *)evbuffer_pullup (call->body, -1);
}

double
call_first_ms (const struct call *call)
{
  return call->first < 0 ? -1 : call->first - call->started;
}

double
call_whole_ms (const struct call *call)
{
  return call->ended - call->started;
}
