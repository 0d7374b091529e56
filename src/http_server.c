#include "http_server.h"

#include "cleanup.h"
#include "http_reader.h"
#include "socket_option.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <uthash.h>

enum
{
  BACKLOG = 1024, /* connections; SYN retries after an overflow take seconds */
  /* Input buffer limit for pipelined requests, in bytes.  */
  INPUT_BUFFER_MAX = 64 * 1024,
  /* Output buffer limit for slow callers, in bytes, where there is none for
     all of them; fits an answer of 16 MiB with its head.  */
  OUTPUT_BUFFER_MAX = 17 * 1024 * 1024,
  /* Time between shutdown and close.  Closing with unread input resets the
     connection and may discard the response.  */
  LINGER_MS = 1000,
  /* The same while the caller goes on sending a request that was rejected.  */
  LINGER_MAX_MS = 10000,
  /* Write timeout without progress on the last response.  */
  WRITE_STALL_TIMEOUT_MS = 5000,
  /* Delay before idle connections are closed, for requests in flight from
     another region (about 55 ms one way).  */
  IDLE_CLOSE_GRACE_MS = 200,
  DEFAULT_HEAD_BYTES = 16 * 1024,
  DEFAULT_BODY_BYTES = 4 * 1024 * 1024,
  DEFAULT_HEAD_TIMEOUT_MS = 3000,
  DEFAULT_IDLE_TIMEOUT_MS = 15000
};

enum state
{
  STATE_IDLE,    /* waiting for the first byte of a request */
  STATE_READING, /* a request has been read partly */
  STATE_BUSY,    /* a request awaits its response */
  STATE_CLOSING, /* the last response is being written */
  STATE_LINGER   /* write side shut down; waiting for the caller to close */
};

struct connection
{
  TAILQ_ENTRY (connection) link;
  marjoram_http_server *server;
  struct bufferevent *bev;
  marjoram_http_reader *reader;
  enum state state;
  int64_t state_since; /* start of STATE; CLOSING: time of last write */
  size_t unsent;       /* CLOSING: size of the output buffer */
  struct evbuffer *body;
  struct marjoram_http_request *parsed; /* read, not yet dispatched */
  int reject;                           /* status; 0 if none */
  const char *reject_reason;
  uint64_t call; /* 0 unless busy */
  bool keep_alive;
  bool chunked_allowed;
  bool head_only;
  bool chunked_response;
  bool close_delimited; /* the end of the connection ends the response */
  bool aborted;
  bool feeding;
  size_t body_held; /* counted in the server's */
  int64_t input_at; /* LINGER: time of the last input */
  bool dropped;     /* its output is no longer counted, and to be closed */
  UT_hash_handle hh;
};

struct marjoram_http_server
{
  struct event_base *base;
  struct marjoram_clock *clock;
  const struct marjoram_http_server_ops *ops;
  void *context;
  struct evconnlistener *listener;
  struct marjoram_http_limits limits;
  struct marjoram_http_memory memory;
  size_t bodies_held; /* bytes of requests that are read or processed */
  size_t unsent;      /* bytes of output */
  TAILQ_HEAD (, connection) connections;
  size_t connection_count;
  struct connection *busy; /* by call */
  uint64_t next_call;
  bool draining;
  bool closing;
  int64_t closing_since;
};

void
marjoram_http_request_destroy (struct marjoram_http_request *request)
{
  if (!request)
    return;
  free (request->method);
  free (request->target);
  marjoram_header_list_clear (&request->headers);
  marjoram_bytes_release (request->body);
  free (request);
}

static void
set_state (struct connection *connection, enum state state)
{
  connection->state = state;
  connection->state_since = marjoram_clock_now (connection->server->clock);
}

static void
release_body (struct connection *connection)
{
  connection->server->bodies_held -= connection->body_held;
  connection->body_held = 0;
}

static void
unregister_call (struct connection *connection)
{
  if (!connection->call)
    return;
  release_body (connection);
  HASH_DELETE (hh, connection->server->busy, connection);
  connection->call = 0;
}

/* ---- Output.  ---- */

static void
on_output_changed (struct evbuffer *output,
                   const struct evbuffer_cb_info *info, void *context)
{
  struct connection *connection = context;

  (void)output;
  connection->server->unsent += info->n_added - info->n_deleted;
}

static size_t
output_size (const struct connection *connection)
{
  return evbuffer_get_length (bufferevent_get_output (connection->bev));
}

static void
stop_counting_output (struct connection *connection)
{
  if (connection->dropped)
    return;
  connection->dropped = true;
  evbuffer_remove_cb (bufferevent_get_output (connection->bev),
                      on_output_changed, connection);
  connection->server->unsent -= output_size (connection);
}

/* Closing is deferred to the event loop, as callers still use the
   connection.  */
static void
drop (struct connection *connection)
{
  stop_counting_output (connection);
  bufferevent_trigger_event (connection->bev, BEV_EVENT_ERROR,
                             BEV_TRIG_DEFER_CALLBACKS);
}

static struct connection *
find_most_unsent (marjoram_http_server *server)
{
  struct connection *most = NULL;
  struct connection *connection;

  TAILQ_FOREACH (connection, &server->connections, link)
  if (!connection->dropped
      && (!most || output_size (connection) > output_size (most)))
    most = connection;
  return most;
}

static void
bound_output (struct connection *connection)
{
  marjoram_http_server *server = connection->server;
  const size_t limit = server->memory.output;
  struct connection *most;

  if (limit == 0 && output_size (connection) > OUTPUT_BUFFER_MAX)
    drop (connection);
  while (limit > 0 && server->unsent > limit
         && (most = find_most_unsent (server)) != NULL)
    drop (most);
}

/* ---- Connections.  ---- */

static void
destroy (struct connection *connection)
{
  marjoram_http_server *server = connection->server;
  uint64_t call = connection->call;

  unregister_call (connection);
  release_body (connection);
  stop_counting_output (connection);
  TAILQ_REMOVE (&server->connections, connection, link);
  server->connection_count--;
  bufferevent_free (connection->bev);
  marjoram_http_reader_destroy (connection->reader);
  marjoram_http_request_destroy (connection->parsed);
  evbuffer_free (connection->body);
  free (connection);
  if (call)
    server->ops->gone (server->context, call);
}

/* Whether there is unprocessed input, in the buffer or in the socket.  Closing
   such a connection would drop a request without a response.  */
static bool
has_pending_input (const struct connection *connection)
{
  struct evbuffer *input = bufferevent_get_input (connection->bev);
  char byte;

  return evbuffer_get_length (input) > 0
         || recv (bufferevent_getfd (connection->bev), &byte, sizeof byte,
                  MSG_PEEK | MSG_DONTWAIT)
                > 0;
}

/* ---- Request parsing.  ---- */

static bool
reject (struct connection *connection, int status, const char *reason)
{
  connection->reject = status;
  connection->reject_reason = reason;
  return false;
}

/* Rejects duplicate or conflicting Content-Length and Transfer-Encoding, which
   would allow request smuggling (RFC 9112, 6.3).  */
static bool
is_framing_unambiguous (const struct marjoram_header_list *headers)
{
  size_t lengths = marjoram_header_list_count (headers, "Content-Length");
  size_t codings = marjoram_header_list_count (headers, "Transfer-Encoding");
  const char *coding = marjoram_header_list_get (headers, "Transfer-Encoding");

  if (lengths + codings > 1)
    return false;
  return !coding || strcasecmp (coding, "chunked") == 0;
}

static bool
on_head (void *context, bool *skip_body)
{
  struct connection *connection = context;
  const struct http_parser *parser
      = marjoram_http_reader_parser (connection->reader);
  const struct marjoram_header_list *headers
      = marjoram_http_reader_headers (connection->reader);

  (void)skip_body;
  if (parser->upgrade || parser->method == HTTP_CONNECT)
    return reject (connection, 400, "upgrade");
  if (!is_framing_unambiguous (headers))
    return reject (connection, 400, "framing");
  if (parser->http_major != 1
      || marjoram_header_list_count (headers, "Host") != 1)
    return reject (connection, 400, "host");
  if (parser->content_length != UINT64_MAX
      && parser->content_length > connection->server->limits.body_bytes)
    return reject (connection, 413, "body-size");
  if (marjoram_header_list_has_token (headers, "Expect", "100-continue"))
    evbuffer_add_printf (bufferevent_get_output (connection->bev),
                         "HTTP/1.1 100 Continue\r\n\r\n");
  return true;
}

static bool
on_body (void *context, const char *data, size_t size)
{
  struct connection *connection = context;
  marjoram_http_server *server = connection->server;

  if (evbuffer_get_length (connection->body) + size
      > server->limits.body_bytes)
    return reject (connection, 413, "body-size");
  /* A body alone always fits.  */
  if (server->memory.bodies > 0 && server->bodies_held > connection->body_held
      && server->bodies_held + size > server->memory.bodies)
    return reject (connection, 503, "memory");
  connection->body_held += size;
  server->bodies_held += size;
  evbuffer_add (connection->body, data, size);
  return true;
}

static marjoram_bytes *
take_body (struct connection *connection)
{
  size_t size = evbuffer_get_length (connection->body);
  marjoram_bytes *body;

  if (size == 0)
    return NULL;
  body = marjoram_bytes_create (evbuffer_pullup (connection->body, -1), size);
  evbuffer_drain (connection->body, size);
  return body;
}

static bool
on_complete (void *context)
{
  struct connection *connection = context;
  const struct http_parser *parser
      = marjoram_http_reader_parser (connection->reader);
  struct marjoram_http_request *request = marjoram_alloc (sizeof *request);

  request->method
      = marjoram_strdup (http_method_str ((enum http_method)parser->method));
  request->target
      = marjoram_strdup (marjoram_http_reader_target (connection->reader));
  marjoram_header_list_move (
      &request->headers, marjoram_http_reader_headers (connection->reader));
  request->body = take_body (connection);
  request->has_body
      = marjoram_header_list_get (&request->headers, "Content-Length")
        || marjoram_header_list_get (&request->headers, "Transfer-Encoding");
  connection->keep_alive = http_should_keep_alive (parser);
  connection->chunked_allowed = parser->http_minor >= 1;
  connection->head_only = parser->method == HTTP_HEAD;
  connection->parsed = request;
  return false;
}

static const struct marjoram_http_reader_ops reader_ops
    = { .head = on_head, .body = on_body, .complete = on_complete };

/* ---- Response writing.  ---- */

static struct connection *
find_call (marjoram_http_server *server, uint64_t call)
{
  struct connection *connection;

  HASH_FIND (hh, server->busy, &call, sizeof call, connection);
  return connection;
}

static const char *
status_text (int status)
{
  const char *text = http_status_str ((enum http_status)status);

  return strcmp (text, "<unknown>") == 0 ? "Answer" : text;
}

static bool
has_no_body (const struct connection *connection, int status)
{
  return connection->head_only || status / 100 == 1 || status == 204
         || status == 304;
}

static void
write_framing (struct connection *connection, struct evbuffer *output,
               int status, int64_t length)
{
  if (length >= 0)
    evbuffer_add_printf (output, "Content-Length: %lld\r\n",
                         (long long)length);
  else if (has_no_body (connection, status))
    return;
  else if (connection->chunked_allowed)
    {
      evbuffer_add_printf (output, "Transfer-Encoding: chunked\r\n");
      connection->chunked_response = true;
    }
  else
    {
      connection->keep_alive = false;
      connection->close_delimited = true;
      marjoram_socket_set_reset_on_close (bufferevent_getfd (connection->bev),
                                          true);
    }
}

/* Whether to close the connection after this response.  Pipelined requests are
   still processed while draining, but only until the listener is closed, so
   that a caller can't delay the shutdown indefinitely.  */
static bool
is_last_response (const struct connection *connection)
{
  const marjoram_http_server *server = connection->server;

  return server->draining
         && (!server->listener || !has_pending_input (connection));
}

void
marjoram_http_server_head (marjoram_http_server *server, uint64_t call,
                           int status,
                           const struct marjoram_header_list *headers,
                           int64_t length)
{
  struct connection *connection = find_call (server, call);
  struct evbuffer *output;

  if (!connection)
    return;
  output = bufferevent_get_output (connection->bev);
  connection->chunked_response = false;
  connection->close_delimited = false;
  evbuffer_add_printf (output, "HTTP/1.1 %d %s\r\n", status,
                       status_text (status));
  for (size_t i = 0; i < headers->count; i++)
    evbuffer_add_printf (output, "%s: %s\r\n", headers->items[i].name,
                         headers->items[i].value);
  if (is_last_response (connection))
    connection->keep_alive = false;
  write_framing (connection, output, status, length);
  if (!connection->keep_alive)
    evbuffer_add_printf (output, "Connection: close\r\n");
  evbuffer_add (output, "\r\n", 2);
}

void
marjoram_http_server_data (marjoram_http_server *server, uint64_t call,
                           const void *data, size_t size)
{
  struct connection *connection = find_call (server, call);
  struct evbuffer *output;

  if (!connection || size == 0 || connection->head_only || connection->dropped)
    return;
  output = bufferevent_get_output (connection->bev);
  if (connection->chunked_response)
    evbuffer_add_printf (output, "%zx\r\n", size);
  evbuffer_add (output, data, size);
  if (connection->chunked_response)
    evbuffer_add (output, "\r\n", 2);
  bound_output (connection);
}

static void
start_linger (struct connection *connection)
{
  if (connection->close_delimited && connection->aborted)
    {
      bufferevent_trigger_event (connection->bev, BEV_EVENT_ERROR,
                                 BEV_TRIG_DEFER_CALLBACKS);
      return;
    }
  if (connection->close_delimited)
    marjoram_socket_set_reset_on_close (bufferevent_getfd (connection->bev),
                                        false);
  shutdown (bufferevent_getfd (connection->bev), SHUT_WR);
  set_state (connection, STATE_LINGER);
}

static void
close_when_written (struct connection *connection)
{
  set_state (connection, STATE_CLOSING);
  if (evbuffer_get_length (bufferevent_get_output (connection->bev)) == 0)
    start_linger (connection);
}

static void process (struct connection *connection);

static void
next_request (struct connection *connection)
{
  set_state (connection, STATE_IDLE);
  if (evbuffer_get_length (bufferevent_get_input (connection->bev)) > 0)
    bufferevent_trigger (connection->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

void
marjoram_http_server_end (marjoram_http_server *server, uint64_t call)
{
  struct connection *connection = find_call (server, call);

  if (!connection)
    return;
  if (connection->chunked_response)
    evbuffer_add (bufferevent_get_output (connection->bev), "0\r\n\r\n", 5);
  unregister_call (connection);
  if (connection->keep_alive)
    next_request (connection);
  else
    close_when_written (connection);
}

void
marjoram_http_server_abort (marjoram_http_server *server, uint64_t call)
{
  struct connection *connection = find_call (server, call);

  if (!connection)
    return;
  unregister_call (connection);
  connection->aborted = true;
  /* Buffered output is still written; the missing end, or a reset, marks the
     response as truncated.  */
  close_when_written (connection);
}

/* ---- Connection life cycle.  ---- */

static void
write_rejection (struct connection *connection)
{
  marjoram_http_server *server = connection->server;
  struct evbuffer *output = bufferevent_get_output (connection->bev);

  release_body (connection);
  evbuffer_add_printf (output,
                       "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n%s"
                       "Connection: close\r\n\r\n",
                       connection->reject, status_text (connection->reject),
                       connection->reject == 503 ? "Retry-After: 1\r\n" : "");
  server->ops->rejected (server->context, connection->reject,
                         connection->reject_reason);
  close_when_written (connection);
}

static void
dispatch_request (struct connection *connection)
{
  marjoram_http_server *server = connection->server;
  struct marjoram_http_request *request = connection->parsed;

  connection->parsed = NULL;
  connection->call = ++server->next_call;
  HASH_ADD (hh, server->busy, call, sizeof connection->call, connection);
  set_state (connection, STATE_BUSY);
  server->ops->request (server->context, connection->call, request);
}

static int
rejection_status (enum marjoram_http_read_result result)
{
  return result == MARJORAM_HTTP_HEAD_TOO_LARGE ? 431 : 400;
}

static void
process (struct connection *connection)
{
  struct evbuffer *input = bufferevent_get_input (connection->bev);
  enum marjoram_http_read_result result;

  if (connection->state == STATE_LINGER || connection->state == STATE_CLOSING)
    {
      evbuffer_drain (input, evbuffer_get_length (input));
      connection->input_at = marjoram_clock_now (connection->server->clock);
      return;
    }
  if (connection->state == STATE_BUSY || evbuffer_get_length (input) == 0)
    return;
  if (connection->state == STATE_IDLE)
    set_state (connection, STATE_READING);
  result = marjoram_http_reader_feed (connection->reader, input);
  if (connection->parsed)
    dispatch_request (connection);
  else if (connection->reject != 0)
    write_rejection (connection);
  else if (result != MARJORAM_HTTP_READ_OK)
    {
      reject (connection, rejection_status (result), "malformed");
      write_rejection (connection);
    }
}

static void
on_read (struct bufferevent *bev, void *context)
{
  (void)bev;
  process (context);
}

static void
on_written (struct bufferevent *bev, void *context)
{
  struct connection *connection = context;

  (void)bev;
  if (connection->state == STATE_CLOSING)
    start_linger (connection);
}

static void
on_event (struct bufferevent *bev, short events, void *context)
{
  (void)bev;
  if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    destroy (context);
}

static void
add_connection (marjoram_http_server *server, evutil_socket_t fd)
{
  struct connection *connection = marjoram_alloc (sizeof *connection);

  marjoram_socket_set_options (fd);
  connection->server = server;
  connection->body = evbuffer_new ();
  connection->reader
      = marjoram_http_reader_create (HTTP_REQUEST, &reader_ops, connection);
  marjoram_http_reader_set_limit (connection->reader,
                                  server->limits.head_bytes);
  connection->bev
      = bufferevent_socket_new (server->base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (connection->bev, on_read, on_written, on_event,
                     connection);
  evbuffer_add_cb (bufferevent_get_output (connection->bev), on_output_changed,
                   connection);
  bufferevent_setwatermark (connection->bev, EV_READ, 0, INPUT_BUFFER_MAX);
  bufferevent_enable (connection->bev, EV_READ | EV_WRITE);
  set_state (connection, STATE_IDLE);
  TAILQ_INSERT_TAIL (&server->connections, connection, link);
  server->connection_count++;
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int size, void *context)
{
  (void)listener;
  (void)address;
  (void)size;
  add_connection (context, fd);
}

/* ---- Server.  ---- */

marjoram_http_server *
marjoram_http_server_create (struct event_base *base,
                             struct marjoram_clock *clock, const char *address,
                             const struct marjoram_http_server_ops *ops,
                             void *context, struct marjoram_error *err)
{
  marjoram_http_server *server = marjoram_alloc (sizeof *server);

  server->base = base;
  server->clock = clock;
  server->ops = ops;
  server->context = context;
  server->limits
      = (struct marjoram_http_limits){ DEFAULT_HEAD_BYTES, DEFAULT_BODY_BYTES,
                                       DEFAULT_HEAD_TIMEOUT_MS,
                                       DEFAULT_IDLE_TIMEOUT_MS };
  TAILQ_INIT (&server->connections);
  server->listener = marjoram_socket_listen (base, address, BACKLOG, on_accept,
                                             server, err);
  if (server->listener)
    return server;
  free (server);
  return NULL;
}

void
marjoram_http_server_destroy (marjoram_http_server *server)
{
  struct connection *connection;

  if (!server)
    return;
  while ((connection = TAILQ_FIRST (&server->connections)))
    {
      /* False positive on TAILQ.  NOLINTNEXTLINE(clang-analyzer-*) */
      unregister_call (connection);
      destroy (connection);
    }
  if (server->listener)
    evconnlistener_free (server->listener);
  free (server);
}

void
marjoram_http_server_set_limits (marjoram_http_server *server,
                                 const struct marjoram_http_limits *limits)
{
  struct connection *connection;

  server->limits = *limits;
  TAILQ_FOREACH (connection, &server->connections, link)
  marjoram_http_reader_set_limit (connection->reader, limits->head_bytes);
}

void
marjoram_http_server_set_memory (marjoram_http_server *server,
                                 const struct marjoram_http_memory *memory)
{
  server->memory = *memory;
}

void
marjoram_http_server_drain (marjoram_http_server *server)
{
  server->draining = true;
}

void
marjoram_http_server_close_idle (marjoram_http_server *server)
{
  server->closing = true;
  server->closing_since = marjoram_clock_now (server->clock);
}

/* Accepts all pending connections.  Returns whether none is left.  */
static bool
accept_pending (marjoram_http_server *server)
{
  int listener = evconnlistener_get_fd (server->listener);
  int fd;

  do
    {
      fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd >= 0)
        add_connection (server, fd);
    }
  while (fd >= 0 || errno == EINTR || errno == ECONNABORTED);
  return errno == EAGAIN;
}

/* Accepts pending connections first, as closing the listener would reset them
   although their callers may have sent a request; that holds for those that
   are made between the two as well.  If accept fails, for example for lack of
   descriptors, the next tick tries again.  */
static void
close_listener (marjoram_http_server *server)
{
  marjoram_socket_ignore_connections (
      evconnlistener_get_fd (server->listener));
  if (!accept_pending (server))
    return;
  evconnlistener_free (server->listener);
  server->listener = NULL;
}

static bool
is_idle_expired (const struct connection *connection, int64_t now)
{
  const marjoram_http_server *server = connection->server;
  int64_t state_since = connection->state_since;

  if (now - state_since > server->limits.idle_timeout_ms)
    return true;
  if (state_since < server->closing_since)
    state_since = server->closing_since;
  return server->closing && now - state_since >= IDLE_CLOSE_GRACE_MS;
}

static bool
has_lingered (const struct connection *connection, int64_t now)
{
  const bool is_sending = now - connection->input_at <= LINGER_MS
                          && !connection->server->draining;

  return now - connection->state_since
         > (is_sending ? LINGER_MAX_MS : LINGER_MS);
}

/* Whether a closing connection has timed out.  While the last response is
   written, each progress restarts the timer, so that it is not truncated for
   callers on slow links.  */
static bool
has_close_timed_out (struct connection *connection, int64_t now)
{
  size_t unsent
      = evbuffer_get_length (bufferevent_get_output (connection->bev));

  if (connection->state == STATE_LINGER)
    return has_lingered (connection, now);
  if (unsent != connection->unsent)
    {
      connection->unsent = unsent;
      connection->state_since = now;
    }
  return now - connection->state_since > WRITE_STALL_TIMEOUT_MS;
}

static void
check_timeouts (struct connection *connection, int64_t now)
{
  const struct marjoram_http_limits *limits = &connection->server->limits;
  int64_t age = now - connection->state_since;

  if (connection->state == STATE_READING && age > limits->head_timeout_ms)
    {
      reject (connection, 408, "slow-sender");
      write_rejection (connection);
    }
  else if (connection->state == STATE_IDLE && is_idle_expired (connection, now)
           && !has_pending_input (connection))
    close_when_written (connection);
  else if ((connection->state == STATE_LINGER
            || connection->state == STATE_CLOSING)
           && has_close_timed_out (connection, now))
    destroy (connection);
}

void
marjoram_http_server_tick (marjoram_http_server *server)
{
  int64_t now = marjoram_clock_now (server->clock);
  struct connection *connection;
  struct connection *next;

  for (connection = TAILQ_FIRST (&server->connections); connection;
       connection = next)
    {
      next = TAILQ_NEXT (connection, link);
      check_timeouts (connection, now);
    }
  if (server->closing && server->listener
      && now - server->closing_since >= IDLE_CLOSE_GRACE_MS)
    close_listener (server);
}

size_t
marjoram_http_server_connections (const marjoram_http_server *server)
{
  return server->connection_count;
}

bool
marjoram_http_server_is_closed (const marjoram_http_server *server)
{
  return !server->listener && server->connection_count == 0;
}
