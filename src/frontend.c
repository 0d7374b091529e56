#include "frontend.h"

#include "address.h"
#include "cleanup.h"
#include "clock.h"
#include "request_parser.h"
#include "log.h"
#include "socket_option.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <uthash.h>

enum
{
  /* How often pending requests are checked for disconnected callers.  evhttp
     does not report them, since it stops reading during a request.  */
  DISCONNECT_CHECK_MSEC = 250,
  CLOSE_CHECK_MSEC = 1, /* poll interval of a listener to be closed */
  /* Bytes buffered for a slow reader before its response is aborted.  */
  OUTPUT_BUFFER_MAX = 32 * 1024 * 1024,
  MSEC_PER_SEC = 1000
};

/* A request whose response is incomplete.  */
struct pending
{
  marjoram_frontend *frontend;
  uint64_t number;
  struct evhttp_request *request;
  bool started; /* the head was sent */
  UT_hash_handle hh;
};

struct marjoram_frontend
{
  struct event_base *base;
  const struct marjoram_settings *settings;
  marjoram_counters *counters;
  const struct marjoram_frontend_ops *ops;
  void *context;
  struct evhttp *http;
  struct evhttp_bound_socket *socket;
  struct event *disconnect_timer;
  struct pending *pending;
  uint64_t next_number;
  bool draining;
  struct event *close_timer;
};

static struct pending *
find_pending (marjoram_frontend *frontend, uint64_t number)
{
  struct pending *pending;

  HASH_FIND (hh, frontend->pending, &number, sizeof number, pending);
  return pending;
}

static void
pending_destroy (struct pending *pending)
{
  struct evhttp_connection *connection
      = evhttp_request_get_connection (pending->request);

  if (connection)
    evhttp_connection_set_closecb (connection, NULL, NULL);
  HASH_DEL (pending->frontend->pending, pending);
  free (pending);
}

static struct evkeyvalq *
output_headers (const struct pending *pending)
{
  return evhttp_request_get_output_headers (pending->request);
}

static void
add_number (struct evkeyvalq *headers, const char *name, int64_t number)
{
  char text[32];

  snprintf (text, sizeof text, "%lld", (long long)number);
  evhttp_add_header (headers, name, text);
}

static void
add_retry_after (struct evkeyvalq *headers, int64_t retry_ms)
{
  if (retry_ms > 0)
    add_number (headers, "Retry-After",
                (retry_ms + MSEC_PER_SEC - 1) / MSEC_PER_SEC);
}

static void
add_connection_close (struct evhttp_request *request)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);

  if (!evhttp_find_header (headers, "Connection"))
    evhttp_add_header (headers, "Connection", "close");
}

/* A caller that keeps reusing its connection to a draining host loses the
   request in progress when the host exits.  */
static void
close_if_draining (const marjoram_frontend *frontend,
                   struct evhttp_request *request)
{
  if (frontend->draining)
    add_connection_close (request);
}

static void
reply_json (struct evhttp_request *request, int status, json_t *body)
{
  struct evbuffer *buffer = evbuffer_new ();
  char *text = json_dumps (body, JSON_COMPACT);

  evbuffer_add_printf (buffer, "%s\n", text);
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "application/json");
  evhttp_send_reply (request, status, NULL, buffer);
  evbuffer_free (buffer);
  free (text);
  json_decref (body);
}

/* Sends a refusal with MESSAGE instead of the reason's default remedy.  */
static void
reply_refusal (struct evhttp_request *request,
               const struct marjoram_refusal *refusal, const char *message)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  const char *reason = marjoram_reason_name (refusal->reason);
  const char *outcome = marjoram_outcome_name (refusal->outcome);

  evhttp_add_header (headers, "Marjoram-Outcome", outcome);
  evhttp_add_header (headers, "Marjoram-Reason", reason);
  if (refusal->id)
    evhttp_add_header (headers, "Marjoram-Request", refusal->id);
  add_retry_after (headers, refusal->retry_ms);
  reply_json (request, marjoram_reason_status (refusal->reason),
              json_pack ("{s:{s:s, s:s, s:s}}", "error", "reason", reason,
                         "message", message, "outcome", outcome));
}

/* Refuses a malformed request and closes the connection: the following bytes
   may belong to the same request.  */
static void
refuse_input (marjoram_frontend *frontend, struct evhttp_request *request,
              enum marjoram_reason reason, const char *message)
{
  struct marjoram_refusal refusal
      = { NULL, MARJORAM_OUTCOME_NOT_RUN, reason, 0 };

  marjoram_counters_add (frontend->counters, MARJORAM_COUNTER_BAD_HTTP, 1);
  marjoram_counters_add_refusal (frontend->counters, reason);
  add_connection_close (request);
  reply_refusal (request, &refusal, message);
}

/* ---- Calls.  ---- */

static void
on_connection_closed (struct evhttp_connection *connection, void *context)
{
  struct pending *pending = context;
  marjoram_frontend *frontend = pending->frontend;
  uint64_t number = pending->number;

  (void)connection;
  HASH_DEL (frontend->pending, pending);
  free (pending);
  frontend->ops->gone (frontend->context, number);
}

static bool
is_http_1_1 (struct evhttp_request *request)
{
  return request->major == 1 && request->minor >= 1;
}

static void
handle_call (marjoram_frontend *frontend, struct evhttp_request *request)
{
  struct marjoram_error err = { 0 };
  enum marjoram_reason reason = MARJORAM_REASON_BAD_REQUEST;
  struct marjoram_call *call;
  struct pending *pending;

  /* HTTP/1.0 callers cannot detect truncated responses.  */
  if (!is_http_1_1 (request))
    {
      refuse_input (frontend, request, reason,
                    "HTTP version not supported; use HTTP/1.1");
      return;
    }
  call = marjoram_request_parser_call (request, &reason, &err);
  if (!call)
    {
      refuse_input (frontend, request, reason, err.message);
      return;
    }
  if (marjoram_bytes_size (call->body) > frontend->settings->max_body)
    {
      marjoram_call_destroy (call);
      refuse_input (frontend, request, MARJORAM_REASON_TOO_LARGE,
                    marjoram_reason_remedy (MARJORAM_REASON_TOO_LARGE));
      return;
    }
  pending = marjoram_alloc (sizeof *pending);
  pending->frontend = frontend;
  pending->number = ++frontend->next_number;
  pending->request = request;
  HASH_ADD (hh, frontend->pending, number, sizeof pending->number, pending);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                 on_connection_closed, pending);
  call->number = pending->number;
  frontend->ops->call (frontend->context, call);
}

/* ---- Responses.  ---- */

static void
add_answer_headers (struct pending *pending, const struct marjoram_head *head,
                    const struct marjoram_answer_info *info)
{
  struct evkeyvalq *headers = output_headers (pending);
  const struct marjoram_header *header = head->headers.items;

  for (size_t i = 0; i < head->headers.count; i++)
    evhttp_add_header (headers, header[i].name, header[i].value);
  evhttp_add_header (headers, "Marjoram-Outcome", "done");
  evhttp_add_header (headers, "Marjoram-Reason", "none");
  evhttp_add_header (headers, "Marjoram-Request", info->id);
  evhttp_add_header (headers, "Marjoram-Zone", info->zone);
  if (info->upstream)
    evhttp_add_header (headers, "Marjoram-Upstream", info->upstream);
  if (info->replayed)
    evhttp_add_header (headers, "Marjoram-Replayed", "yes");
}

void
marjoram_frontend_head (marjoram_frontend *frontend, uint64_t call,
                        const struct marjoram_head *head,
                        const struct marjoram_answer_info *info,
                        int64_t length)
{
  struct pending *pending = find_pending (frontend, call);

  if (!pending)
    return;
  add_answer_headers (pending, head, info);
  close_if_draining (frontend, pending->request);
  if (length >= 0)
    add_number (output_headers (pending), "Content-Length", length);
  pending->started = true;
  evhttp_send_reply_start (pending->request, (int)head->status, NULL);
}

/* Closes the connection without the final chunk, so that the caller detects
   the truncated response.  */
static void
abort_response (struct pending *pending)
{
  struct evhttp_connection *connection
      = evhttp_request_get_connection (pending->request);

  pending_destroy (pending);
  evhttp_connection_free (connection);
}

void
marjoram_frontend_abort (marjoram_frontend *frontend, uint64_t call)
{
  struct pending *pending = find_pending (frontend, call);

  if (pending)
    abort_response (pending);
}

static size_t
output_size (const struct pending *pending)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (
      evhttp_request_get_connection (pending->request));

  return evbuffer_get_length (bufferevent_get_output (bev));
}

static void
release_bytes (const void *data, size_t size, void *context)
{
  (void)data;
  (void)size;
  marjoram_bytes_release (context);
}

void
marjoram_frontend_data (marjoram_frontend *frontend, uint64_t call,
                        marjoram_bytes *bytes)
{
  struct pending *pending = find_pending (frontend, call);
  struct evbuffer *buffer;

  if (!pending || marjoram_bytes_size (bytes) == 0)
    return;
  buffer = evbuffer_new ();
  evbuffer_add_reference (buffer, marjoram_bytes_data (bytes),
                          marjoram_bytes_size (bytes), release_bytes,
                          marjoram_bytes_retain (bytes));
  evhttp_send_reply_chunk (pending->request, buffer);
  evbuffer_free (buffer);
  if (output_size (pending) > OUTPUT_BUFFER_MAX)
    {
      abort_response (pending);
      frontend->ops->gone (frontend->context, call);
    }
}

void
marjoram_frontend_end (marjoram_frontend *frontend, uint64_t call)
{
  struct pending *pending = find_pending (frontend, call);
  struct evhttp_request *request;

  if (!pending)
    return;
  request = pending->request;
  pending_destroy (pending);
  evhttp_send_reply_end (request);
}

void
marjoram_frontend_refuse (marjoram_frontend *frontend, uint64_t call,
                          const struct marjoram_refusal *refusal)
{
  struct pending *pending = find_pending (frontend, call);
  struct evhttp_request *request;

  if (!pending)
    return;
  request = pending->request;
  pending_destroy (pending);
  close_if_draining (frontend, request);
  reply_refusal (request, refusal, marjoram_reason_remedy (refusal->reason));
}

/* ---- Upstreams.  ---- */

static const char *
announce_result_name (enum marjoram_announce_result result)
{
  static const char *const names[]
      = { "new", "renewed", "stale", "wrong-zone" };

  return names[result];
}

static int
announce_status (enum marjoram_announce_result result)
{
  static const int statuses[] = { HTTP_OK, HTTP_OK, 409, 421 };

  return statuses[result];
}

static const char *
announce_message (enum marjoram_announce_result result)
{
  static const char *const messages[]
      = { "", "", "a newer incarnation or sequence is known; use a higher one",
          "announce to an entry host of your own availability zone" };

  return messages[result];
}

static void
handle_announcement (marjoram_frontend *frontend,
                     struct evhttp_request *request, bool leaving)
{
  struct marjoram_error err = { 0 };
  struct marjoram_announcement *a
      = marjoram_request_parser_announcement (request, &err);
  enum marjoram_announce_result result;
  json_t *body;

  if (!a)
    {
      refuse_input (frontend, request, MARJORAM_REASON_BAD_REQUEST,
                    err.message);
      return;
    }
  /* A draining host still accepts announcements and relays them to its
     peers.  */
  if (frontend->ops->config_number (frontend->context) == 0)
    {
      marjoram_wire_destroy (&marjoram_announcement_layout, a);
      refuse_input (frontend, request, MARJORAM_REASON_NO_CONFIG,
                    "this host has no configuration yet; try another");
      return;
    }
  a->leaving = leaving;
  result = frontend->ops->announce (frontend->context, a);
  marjoram_wire_destroy (&marjoram_announcement_layout, a);
  body = frontend->ops->entries (frontend->context);
  json_object_set_new (body, "result",
                       json_string (announce_result_name (result)));
  json_object_set_new (body, "message",
                       json_string (announce_message (result)));
  reply_json (request, announce_status (result), body);
}

/* ---- Health checks, metrics and dispatch.  ---- */

static void
reply_health (struct evhttp_request *request, bool ok, const char *positive,
              const char *negative)
{
  struct evbuffer *buffer = evbuffer_new ();

  evbuffer_add_printf (buffer, "%s\n", ok ? positive : negative);
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "text/plain");
  evhttp_send_reply (request, ok ? HTTP_OK : HTTP_SERVUNAVAIL, NULL, buffer);
  evbuffer_free (buffer);
}

static void
reply_metrics (marjoram_frontend *frontend, struct evhttp_request *request)
{
  struct evbuffer *buffer = evbuffer_new ();
  marjoram_auto_free char *text = marjoram_counters_text (frontend->counters);

  evbuffer_add (buffer, text, strlen (text));
  evbuffer_add_printf (
      buffer,
      "# TYPE marjoram_pending gauge\n"
      "marjoram_pending %u\n"
      "# TYPE marjoram_config_number gauge\n"
      "marjoram_config_number %llu\n",
      HASH_COUNT (frontend->pending),
      (unsigned long long)frontend->ops->config_number (frontend->context));
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "text/plain; version=0.0.4");
  evhttp_send_reply (request, HTTP_OK, NULL, buffer);
  evbuffer_free (buffer);
}

static bool
matches_path (const char *uri, const char *path)
{
  size_t length = strlen (path);

  return strncmp (uri, path, length) == 0
         && (uri[length] == 0 || uri[length] == '?');
}

static bool
is_call (const char *uri)
{
  return matches_path (uri, "/v1/chat/completions")
         || matches_path (uri, "/v1/completions")
         || strncmp (uri, "/v1/services/", strlen ("/v1/services/")) == 0;
}

static void
on_request (struct evhttp_request *request, void *context)
{
  marjoram_frontend *frontend = context;
  const char *uri = evhttp_request_get_uri (request);
  struct marjoram_error err = { 0 };

  close_if_draining (frontend, request);
  if (!marjoram_request_parser_check_framing (request, &err))
    refuse_input (frontend, request, MARJORAM_REASON_BAD_REQUEST, err.message);
  else if (is_call (uri))
    handle_call (frontend, request);
  else if (matches_path (uri, "/v1/entries"))
    reply_json (request, HTTP_OK, frontend->ops->entries (frontend->context));
  else if (matches_path (uri, "/v1/upstreams/announce"))
    handle_announcement (frontend, request, false);
  else if (matches_path (uri, "/v1/upstreams/leave"))
    handle_announcement (frontend, request, true);
  else if (matches_path (uri, "/healthz"))
    reply_health (request, true, "ok", "");
  else if (matches_path (uri, "/readyz"))
    reply_health (request, frontend->ops->ready (frontend->context), "ready",
                  "not ready");
  else if (matches_path (uri, "/metrics"))
    reply_metrics (frontend, request);
  else
    refuse_input (frontend, request, MARJORAM_REASON_UNKNOWN_MODEL,
                  "no such path; see docs/CALLERS.md");
}

/* ---- Closing the listener.  ---- */

static bool
has_backlog (const marjoram_frontend *frontend)
{
  struct pollfd listener
      = { .fd = evhttp_bound_socket_get_fd (frontend->socket),
          .events = POLLIN };

  return poll (&listener, 1, 0) > 0;
}

/* Closing a listener resets the connections in its backlog, on which callers
   may already have sent requests.  Leaves evhttp the next iterations of the
   event loop to accept them first.  */
static void
close_listener (marjoram_frontend *frontend)
{
  struct timeval soon = marjoram_clock_timeval (CLOSE_CHECK_MSEC);

  if (!frontend->socket)
    return;
  marjoram_socket_ignore_connections (
      evhttp_bound_socket_get_fd (frontend->socket));
  if (has_backlog (frontend))
    {
      event_add (frontend->close_timer, &soon);
      return;
    }
  evhttp_del_accept_socket (frontend->http, frontend->socket);
  frontend->socket = NULL;
}

static void
on_close_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  close_listener (context);
}

/* ---- Disconnected callers.  ---- */

static bool
is_disconnected (const struct pending *pending)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (
      evhttp_request_get_connection (pending->request));
  char byte;

  return recv (bufferevent_getfd (bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT)
         == 0;
}

static void
on_disconnect_timer (evutil_socket_t fd, short what, void *context)
{
  marjoram_frontend *frontend = context;
  struct pending *pending;
  struct pending *next;

  (void)fd;
  (void)what;
  HASH_ITER (hh, frontend->pending, pending, next)
  {
    uint64_t number = pending->number;

    if (!is_disconnected (pending))
      continue;
    abort_response (pending);
    frontend->ops->gone (frontend->context, number);
  }
}

/* ---- Creation and destruction.  ---- */

static bool
listen_on (marjoram_frontend *frontend, const char *address)
{
  char ip[MARJORAM_IP_MAX];
  uint16_t port;

  if (!marjoram_address_split (address, ip, &port))
    return false;
  frontend->socket = evhttp_bind_socket_with_handle (frontend->http, ip, port);
  return frontend->socket != NULL;
}

marjoram_frontend *
marjoram_frontend_create (struct event_base *base,
                          const struct marjoram_settings *settings,
                          marjoram_counters *counters,
                          const struct marjoram_frontend_ops *ops,
                          void *context, struct marjoram_error *err)
{
  marjoram_frontend *frontend = marjoram_alloc (sizeof *frontend);
  struct timeval period = marjoram_clock_timeval (DISCONNECT_CHECK_MSEC);

  frontend->base = base;
  frontend->settings = settings;
  frontend->counters = counters;
  frontend->ops = ops;
  frontend->context = context;
  frontend->http = evhttp_new (base);
  evhttp_set_max_headers_size (frontend->http,
                               (ev_ssize_t)settings->max_headers);
  evhttp_set_max_body_size (frontend->http, (ev_ssize_t)settings->max_body);
  evhttp_set_flags (frontend->http, EVHTTP_SERVER_LINGERING_CLOSE);
  evhttp_set_timeout (frontend->http,
                      (int)(settings->read_timeout_ms / MSEC_PER_SEC) + 1);
  evhttp_set_allowed_methods (frontend->http,
                              EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT
                                  | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD
                                  | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS);
  evhttp_set_gencb (frontend->http, on_request, frontend);
  frontend->disconnect_timer
      = event_new (base, -1, EV_PERSIST, on_disconnect_timer, frontend);
  event_add (frontend->disconnect_timer, &period);
  frontend->close_timer = event_new (base, -1, 0, on_close_timer, frontend);
  if (listen_on (frontend, settings->entry_address))
    return frontend;
  marjoram_error_set (err, MARJORAM_ERROR_IO,
                      "can't listen on [listen] entry = %s: %s; free the "
                      "address or change it",
                      settings->entry_address, strerror (errno));
  marjoram_frontend_destroy (frontend);
  return NULL;
}

void
marjoram_frontend_destroy (marjoram_frontend *frontend)
{
  struct pending *pending;
  struct pending *next;

  if (!frontend)
    return;
  HASH_ITER (hh, frontend->pending, pending, next)
  {
    abort_response (pending);
  }
  event_free (frontend->disconnect_timer);
  event_free (frontend->close_timer);
  evhttp_free (frontend->http);
  free (frontend);
}

void
marjoram_frontend_stop_listening (marjoram_frontend *frontend)
{
  close_listener (frontend);
}

void
marjoram_frontend_drain (marjoram_frontend *frontend)
{
  frontend->draining = true;
}

size_t
marjoram_frontend_pending (const marjoram_frontend *frontend)
{
  return HASH_COUNT (frontend->pending);
}
