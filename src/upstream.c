#include "upstream.h"

#include "cleanup.h"
#include "head_syntax.h"
#include "header.h"
#include "upstream_call.h"
#include "keepalive.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>
#include <uthash.h>

enum
{
  /* Not relied on: the host detects stalled attempts.  */
  CONNECTION_TIMEOUT_SEC = 3600,
  PROBE_TIMEOUT_MSEC = 500,
  HEADERS_BYTES_MAX = 64 * 1024,
  ADDRESS_MAX = 64,
  HEAD_PIECE = 1024, /* bytes of a head that are checked at once */
  INTERIM = 1,       /* status class 1xx */
  STATUS_TOO_MANY = 429,
  HTTP_BADGATEWAY = 502,
  HTTP_GATEWAYTIMEOUT = 504
};

struct attempt;
struct control_call;

/* One HTTP request and its connection.  */
struct exchange
{
  struct attempt *attempt;
  struct evhttp_connection *connection;
  struct evhttp_request *request; /* owned by the connection */
  char address[ADDRESS_MAX];
  bool resume;
  bool sent;        /* part of the request was written to the socket */
  bool framed;      /* the head is valid and the end of the body detectable */
  bool unframed;    /* the response head was rejected */
  bool own;         /* the head is valid and belongs to this request */
  bool refused;     /* the response says that the request was not run */
  bool unavailable; /* the status says that the upstream can't serve it now */
  bool reused;      /* the connection carried an earlier request */
  bool reusable;
  char id[MARJORAM_KEY_MAX + 1];
  struct marjoram_head_syntax syntax; /* of the response */
};

struct attempt
{
  marjoram_upstreams *upstreams;
  uint64_t number;
  struct exchange *current;
  struct exchange *resumed; /* fetches the same answer by request id */
  UT_hash_handle hh;
};

struct marjoram_upstreams
{
  struct event_base *base;
  const struct marjoram_upstreams_ops *ops;
  void *context;
  struct attempt *attempts;
  marjoram_keepalive *keepalive;
  marjoram_upstream_calls *calls;
  TAILQ_HEAD (, control_call) control_calls;
};

static struct evhttp_connection *
connect_to (marjoram_upstreams *upstreams, const char *address)
{
  struct evhttp_connection *connection
      = marjoram_upstream_call_connect (upstreams->base, address);

  if (!connection)
    return NULL;
  evhttp_connection_set_timeout (connection, CONNECTION_TIMEOUT_SEC);
  evhttp_connection_set_max_headers_size (connection, HEADERS_BYTES_MAX);
  evhttp_connection_set_max_body_size (connection, MARJORAM_BODY_MAX);
  return connection;
}

/* ---- Exchanges ---- */

static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
           void *context)
{
  struct exchange *exchange = context;

  (void)buffer;
  if (info->n_deleted > 0)
    exchange->sent = true;
}

/* Checks the SIZE bytes of INPUT from START on, up to the end of the head.  */
static void
check_head (struct exchange *exchange, struct evbuffer *input, size_t start,
            size_t size)
{
  char data[HEAD_PIECE];

  while (size > 0 && exchange->syntax.state != MARJORAM_HEAD_END
         && exchange->syntax.state != MARJORAM_HEAD_INVALID)
    {
      const size_t piece = size < sizeof data ? size : sizeof data;
      struct evbuffer_ptr position;
      size_t used;

      evbuffer_ptr_set (input, &position, start, EVBUFFER_PTR_SET);
      evbuffer_copyout_from (input, &position, data, piece);
      used = marjoram_head_syntax_feed (&exchange->syntax, data, piece);
      start += used;
      size -= used;
      if (exchange->syntax.state == MARJORAM_HEAD_END
          && exchange->syntax.status / 100 == INTERIM)
        marjoram_head_syntax_start (&exchange->syntax, true);
    }
}

/* Called before evhttp reads the bytes; it accepts more than the grammar, and
   does not keep them.  */
static void
on_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *context)
{
  check_head (context, buffer, info->orig_size - info->n_deleted,
              info->n_added);
}

static void
unwatch (struct exchange *exchange)
{
  struct bufferevent *bev
      = evhttp_connection_get_bufferevent (exchange->connection);

  evbuffer_remove_cb (bufferevent_get_output (bev), on_output, exchange);
  evbuffer_remove_cb (bufferevent_get_input (bev), on_input, exchange);
}

/* Frees EXCHANGE after its request has ended; KEEP returns the connection to
   the keep-alive pool.  Otherwise the event loop frees the connection later,
   since this may be called from one of its callbacks.  */
static void
exchange_destroy (marjoram_upstreams *upstreams, struct exchange *exchange,
                  bool keep)
{
  unwatch (exchange);
  if (keep)
    marjoram_keepalive_put (upstreams->keepalive, exchange->connection,
                            exchange->address);
  else
    marjoram_upstream_call_free_later (upstreams->base, exchange->connection);
  free (exchange);
}

/* Frees EXCHANGE while its request is in progress.  */
static void
exchange_cancel (marjoram_upstreams *upstreams, struct exchange *exchange)
{
  unwatch (exchange);
  if (exchange->request)
    evhttp_cancel_request (exchange->request);
  /* Cancelling the request does not free the connection.  */
  marjoram_upstream_call_free_later (upstreams->base, exchange->connection);
  free (exchange);
}

static void
attempt_destroy (struct attempt *attempt)
{
  HASH_DEL (attempt->upstreams->attempts, attempt);
  free (attempt);
}

static void
attempt_cancel (struct attempt *attempt)
{
  if (attempt->current)
    exchange_cancel (attempt->upstreams, attempt->current);
  if (attempt->resumed)
    exchange_cancel (attempt->upstreams, attempt->resumed);
  attempt_destroy (attempt);
}

/* Returns true if the end of the response can be detected.  Without a
   Content-Length or chunked coding a truncated response looks complete, and a
   response with both is ambiguous.  */
static bool
is_framed (struct evhttp_request *request)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  int status = evhttp_request_get_response_code (request);
  const char *value = NULL;
  size_t lengths = marjoram_header_count (headers, "Content-Length", &value);
  size_t codings
      = marjoram_header_count (headers, "Transfer-Encoding", &value);

  /* Also rejects headers that don't fit the frames between hosts.  */
  if (lengths + codings > 1 || !marjoram_headers_fit_frame (headers))
    return false;
  if (codings == 1)
    return marjoram_header_is_chunked (value);
  if (lengths == 1)
    return marjoram_header_is_length (value);
  return status == HTTP_NOCONTENT || status == HTTP_NOTMODIFIED
         || evhttp_request_get_command (request) == EVHTTP_REQ_HEAD;
}

static void
report_head (struct attempt *attempt, struct evhttp_request *request)
{
  struct marjoram_header items[MARJORAM_HEADERS_MAX];
  struct marjoram_head head = { 0 };
  struct evkeyval *header;

  head.status = (uint64_t)evhttp_request_get_response_code (request);
  head.headers.items = items;
  TAILQ_FOREACH (header, evhttp_request_get_input_headers (request), next)
  {
    if (!marjoram_header_is_forwarded (header->key))
      continue;
    items[head.headers.count].name = header->key;
    items[head.headers.count].value = header->value;
    head.headers.count++;
  }
  attempt->upstreams->ops->head (attempt->upstreams->context, attempt->number,
                                 &head);
}

/* Returns true for a status that reports a temporary inability to serve the
   request, rather than a response to it.  */
static bool
is_unavailable (int status)
{
  return status == HTTP_SERVUNAVAIL || status == STATUS_TOO_MANY
         || status == HTTP_BADGATEWAY || status == HTTP_GATEWAYTIMEOUT;
}

static bool
is_refusal (struct evhttp_request *request)
{
  int status = evhttp_request_get_response_code (request);
  const char *word = evhttp_find_header (
      evhttp_request_get_input_headers (request), "Marjoram-Not-Run");

  return (status == HTTP_SERVUNAVAIL || status == STATUS_TOO_MANY) && word
         && strcasecmp (word, "yes") == 0;
}

/* Replaces the current exchange by the resumed one, which has begun to
   respond, so that the body comes from one connection only.  */
static void
switch_to_resumed (struct attempt *attempt)
{
  if (attempt->current)
    exchange_cancel (attempt->upstreams, attempt->current);
  attempt->current = attempt->resumed;
  attempt->resumed = NULL;
}

/* Returns true if the response belongs to the request that was sent.  A
   duplicate response left on a connection would be taken for the response to
   the next request.  So a connection is reused only if the upstream echoes the
   request id in Marjoram-Request, and the id must match.  */
static bool
is_own_response (struct exchange *exchange, struct evhttp_request *request)
{
  const char *name = evhttp_find_header (
      evhttp_request_get_input_headers (request), "Marjoram-Request");

  if (!name)
    {
      exchange->reusable = false;
      return !exchange->reused;
    }
  return strcmp (name, exchange->id) == 0;
}

static int
on_header (struct evhttp_request *request, void *context)
{
  struct exchange *exchange = context;
  struct attempt *attempt = exchange->attempt;

  exchange->own = exchange->syntax.state == MARJORAM_HEAD_END
                  && is_own_response (exchange, request);
  if (exchange->resume
      && evhttp_request_get_response_code (request) != HTTP_OK)
    return 0;
  exchange->refused = exchange->own && is_refusal (request);
  exchange->unavailable
      = is_unavailable (evhttp_request_get_response_code (request));
  exchange->framed = exchange->own && is_framed (request);
  exchange->unframed = !exchange->framed;
  if (exchange->refused || exchange->unavailable || exchange->unframed)
    return 0;
  if (exchange->resume && attempt->resumed == exchange)
    switch_to_resumed (attempt);
  report_head (attempt, request);
  return 0;
}

static void
on_chunk (struct evhttp_request *request, void *context)
{
  struct exchange *exchange = context;
  struct attempt *attempt = exchange->attempt;
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (input);
  marjoram_bytes *bytes;

  if (!exchange->framed || exchange->refused || exchange->unavailable
      || attempt->current != exchange || size == 0)
    return;
  bytes = marjoram_bytes_create (evbuffer_pullup (input, -1), size);
  attempt->upstreams->ops->data (attempt->upstreams->context, attempt->number,
                                 bytes);
  marjoram_bytes_release (bytes);
}

static void
fail (struct attempt *attempt, struct exchange *exchange,
      enum marjoram_run_failure failure)
{
  marjoram_upstreams *upstreams = attempt->upstreams;
  uint64_t number = attempt->number;

  if (attempt->resumed && attempt->resumed != exchange)
    exchange_cancel (upstreams, attempt->resumed);
  if (attempt->current && attempt->current != exchange)
    exchange_cancel (upstreams, attempt->current);
  exchange_destroy (upstreams, exchange, false);
  attempt_destroy (attempt);
  upstreams->ops->failed (upstreams->context, number, failure);
}

/* A resume ended without a response body.  Status 404 means that the request
   never started, which ends the attempt; otherwise the current connection may
   still respond.  */
static void
resume_done (struct attempt *attempt, struct exchange *exchange,
             struct evhttp_request *request)
{
  marjoram_upstreams *upstreams = attempt->upstreams;
  int status = request ? evhttp_request_get_response_code (request) : 0;

  if (status == HTTP_NOTFOUND && exchange->own)
    {
      fail (attempt, exchange, MARJORAM_RUN_NOT_STARTED);
      return;
    }
  attempt->resumed = NULL;
  exchange_destroy (upstreams, exchange, false);
  if (status > 0)
    upstreams->ops->failed (upstreams->context, attempt->number,
                            MARJORAM_RUN_NO_RESUME);
}

static void
on_done (struct evhttp_request *request, void *context)
{
  struct exchange *exchange = context;
  struct attempt *attempt = exchange->attempt;
  marjoram_upstreams *upstreams = attempt->upstreams;
  int status = request ? evhttp_request_get_response_code (request) : 0;
  uint64_t number = attempt->number;

  exchange->request = NULL;
  if (attempt->resumed == exchange)
    resume_done (attempt, exchange, request);
  else if (exchange->refused)
    fail (attempt, exchange, MARJORAM_RUN_REFUSED);
  else if (exchange->unavailable)
    fail (attempt, exchange, MARJORAM_RUN_UNAVAILABLE);
  else if (exchange->unframed)
    fail (attempt, exchange, MARJORAM_RUN_UNFRAMED);
  else if (status == 0)
    fail (attempt, exchange,
          exchange->sent ? MARJORAM_RUN_BROKEN : MARJORAM_RUN_UNSENT);
  else
    {
      struct bufferevent *bev
          = evhttp_connection_get_bufferevent (exchange->connection);
      bool keep = exchange->reusable && !exchange->resume
                  && evbuffer_get_length (bufferevent_get_input (bev)) == 0;

      if (attempt->resumed)
        exchange_cancel (upstreams, attempt->resumed);
      exchange_destroy (upstreams, exchange, keep);
      attempt_destroy (attempt);
      upstreams->ops->end (upstreams->context, number);
    }
}

static enum evhttp_cmd_type
parse_method (const char *method)
{
  static const struct
  {
    const char *name;
    enum evhttp_cmd_type command;
  } commands[] = {
    { "GET", EVHTTP_REQ_GET },         { "POST", EVHTTP_REQ_POST },
    { "PUT", EVHTTP_REQ_PUT },         { "DELETE", EVHTTP_REQ_DELETE },
    { "HEAD", EVHTTP_REQ_HEAD },       { "PATCH", EVHTTP_REQ_PATCH },
    { "OPTIONS", EVHTTP_REQ_OPTIONS },
  };

  for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
    if (strcmp (method, commands[i].name) == 0)
      return commands[i].command;
  return EVHTTP_REQ_POST;
}

static void
add_headers (struct evhttp_request *request, const struct marjoram_run *run)
{
  struct evkeyvalq *to = evhttp_request_get_output_headers (request);
  const struct marjoram_header *from = run->headers->items;

  evhttp_add_header (to, "Host", run->address);
  for (size_t i = 0; i < run->headers->count; i++)
    evhttp_add_header (to, from[i].name, from[i].value);
  evhttp_add_header (to, "Marjoram-Request", run->id);
  evhttp_add_header (to, "Marjoram-Priority",
                     run->class == MARJORAM_CLASS_INTERACTIVE ? "0" : "1");
  if (run->key)
    evhttp_add_header (to, "Idempotency-Key", run->key);
}

static struct exchange *
exchange_create (struct attempt *attempt, struct evhttp_connection *connection,
                 const char *address, const char *id)
{
  struct exchange *exchange = marjoram_alloc (sizeof *exchange);
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);

  exchange->attempt = attempt;
  exchange->connection = connection;
  snprintf (exchange->address, sizeof exchange->address, "%s", address);
  snprintf (exchange->id, sizeof exchange->id, "%s", id);
  marjoram_head_syntax_start (&exchange->syntax, true);
  evbuffer_add_cb (bufferevent_get_output (bev), on_output, exchange);
  evbuffer_add_cb (bufferevent_get_input (bev), on_input, exchange);
  exchange->request = evhttp_request_new (on_done, exchange);
  evhttp_request_set_header_cb (exchange->request, on_header);
  evhttp_request_set_chunked_cb (exchange->request, on_chunk);
  return exchange;
}

static void
set_no_delay (struct evhttp_connection *connection)
{
  evutil_socket_t fd
      = bufferevent_getfd (evhttp_connection_get_bufferevent (connection));
  int one = 1;

  if (fd >= 0)
    setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

static struct attempt *
find_attempt (marjoram_upstreams *upstreams, uint64_t number)
{
  struct attempt *attempt;

  HASH_FIND (hh, upstreams->attempts, &number, sizeof number, attempt);
  return attempt;
}

void
marjoram_upstreams_run (marjoram_upstreams *upstreams, uint64_t number,
                        const struct marjoram_run *run)
{
  struct attempt *attempt = marjoram_alloc (sizeof *attempt);
  struct evhttp_connection *connection
      = run->fresh
            ? NULL
            : marjoram_keepalive_take (upstreams->keepalive, run->address);
  bool reused = connection != NULL;
  struct exchange *exchange;

  attempt->upstreams = upstreams;
  attempt->number = number;
  HASH_ADD (hh, upstreams->attempts, number, sizeof number, attempt);
  if (!connection)
    connection = connect_to (upstreams, run->address);
  if (!connection)
    {
      attempt_destroy (attempt);
      upstreams->ops->failed (upstreams->context, number, MARJORAM_RUN_UNSENT);
      return;
    }
  exchange = exchange_create (attempt, connection, run->address, run->id);
  exchange->reusable = !run->fresh;
  exchange->reused = reused;
  attempt->current = exchange;
  add_headers (exchange->request, run);
  evbuffer_add (evhttp_request_get_output_buffer (exchange->request),
                marjoram_bytes_data (run->body),
                marjoram_bytes_size (run->body));
  set_no_delay (connection);
  /* On an immediate failure evhttp frees the request without a callback.  */
  if (evhttp_make_request (connection, exchange->request,
                           parse_method (run->method), run->path)
          != 0
      && find_attempt (upstreams, number) == attempt)
    fail (attempt, exchange, MARJORAM_RUN_UNSENT);
}

void
marjoram_upstreams_resume (marjoram_upstreams *upstreams, uint64_t number,
                           const char *address, const char *id,
                           uint64_t offset)
{
  struct attempt *attempt = find_attempt (upstreams, number);
  struct evhttp_connection *connection;
  struct evkeyvalq *headers;
  char text[MARJORAM_KEY_MAX + 32];

  if (!attempt || attempt->resumed)
    return;
  connection = connect_to (upstreams, address);
  if (!connection)
    return;
  attempt->resumed = exchange_create (attempt, connection, address, id);
  attempt->resumed->resume = true;
  headers = evhttp_request_get_output_headers (attempt->resumed->request);
  evhttp_add_header (headers, "Host", address);
  snprintf (text, sizeof text, "%llu", (unsigned long long)offset);
  evhttp_add_header (headers, "Marjoram-Offset", text);
  snprintf (text, sizeof text, "/v1/requests/%s", id);
  evhttp_make_request (connection, attempt->resumed->request, EVHTTP_REQ_GET,
                       text);
}

void
marjoram_upstreams_cancel (marjoram_upstreams *upstreams, uint64_t number)
{
  struct attempt *attempt = find_attempt (upstreams, number);

  if (attempt)
    attempt_cancel (attempt);
}

/* ---- Probes and orders ---- */

/* Context of a probe or an order in progress.  */
struct control_call
{
  marjoram_upstreams *upstreams;
  char *name;      /* of the probed upstream; null for an order */
  uint64_t number; /* of the order, or the probed upstream's incarnation */
  TAILQ_ENTRY (control_call) next;
};

static void
control_call_destroy (void *context)
{
  struct control_call *call = context;

  TAILQ_REMOVE (&call->upstreams->control_calls, call, next);
  free (call->name);
  free (call);
}

static struct control_call *
control_call_create (marjoram_upstreams *upstreams, const char *name,
                     uint64_t number)
{
  struct control_call *call = marjoram_alloc (sizeof *call);

  call->upstreams = upstreams;
  call->name = name ? marjoram_strdup (name) : NULL;
  call->number = number;
  TAILQ_INSERT_TAIL (&upstreams->control_calls, call, next);
  return call;
}

/* Any response shows that the process is alive.  A connection refused, or
   closed without a response, shows that it is dead.  A timeout proves nothing,
   since the network may be at fault, and counts as alive.  */
static void
on_probed (void *context, int status, bool timed_out, int64_t retry_ms)
{
  struct control_call *call = context;
  marjoram_upstreams *upstreams = call->upstreams;

  (void)retry_ms;
  upstreams->ops->probed (upstreams->context, call->name, call->number,
                          status != 0 || timed_out);
  control_call_destroy (call);
}

static bool
is_probed (const marjoram_upstreams *upstreams, const char *name,
           uint64_t incarnation)
{
  const struct control_call *call;

  TAILQ_FOREACH (call, &upstreams->control_calls, next)
  {
    if (call->name && call->number == incarnation
        && strcmp (call->name, name) == 0)
      return true;
  }
  return false;
}

void
marjoram_upstreams_probe (marjoram_upstreams *upstreams, const char *name,
                          uint64_t incarnation, const char *address)
{
  struct control_call *call;

  if (is_probed (upstreams, name, incarnation))
    return;
  call = control_call_create (upstreams, name, incarnation);
  if (!marjoram_upstream_call (upstreams->calls, address, "/healthz", NULL,
                               PROBE_TIMEOUT_MSEC, on_probed, call))
    on_probed (call, 0, false, 0);
}

static void
on_ordered (void *context, int status, bool timed_out, int64_t retry_ms)
{
  struct control_call *call = context;
  marjoram_upstreams *upstreams = call->upstreams;

  (void)timed_out;
  upstreams->ops->ordered (upstreams->context, call->number, status, retry_ms);
  control_call_destroy (call);
}

void
marjoram_upstreams_order (marjoram_upstreams *upstreams,
                          const struct marjoram_order *order)
{
  json_t *json
      = json_pack ("{s:I, s:s, s:s}", "fence", (json_int_t)order->fence,
                   "order", "load", "model", order->model);
  marjoram_auto_free char *body = json_dumps (json, JSON_COMPACT);
  struct control_call *call
      = control_call_create (upstreams, NULL, order->number);

  json_decref (json);
  if (!marjoram_upstream_call (upstreams->calls, order->address, "/v1/orders",
                               body, MARJORAM_ORDER_MS, on_ordered, call))
    on_ordered (call, 0, false, 0);
}

/* ---- Lifecycle ---- */

marjoram_upstreams *
marjoram_upstreams_create (struct event_base *base,
                           const struct marjoram_upstreams_ops *ops,
                           void *context)
{
  marjoram_upstreams *upstreams = marjoram_alloc (sizeof *upstreams);

  upstreams->base = base;
  upstreams->ops = ops;
  upstreams->context = context;
  upstreams->keepalive = marjoram_keepalive_create (base);
  TAILQ_INIT (&upstreams->control_calls);
  upstreams->calls = marjoram_upstream_calls_create (base);
  return upstreams;
}

void
marjoram_upstreams_destroy (marjoram_upstreams *upstreams)
{
  struct attempt *attempt;
  struct attempt *next;

  if (!upstreams)
    return;
  HASH_ITER (hh, upstreams->attempts, attempt, next)
  {
    attempt_cancel (attempt);
  }
  marjoram_keepalive_destroy (upstreams->keepalive);
  marjoram_upstream_calls_destroy (upstreams->calls, control_call_destroy);
  free (upstreams);
}
