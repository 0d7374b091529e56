#include "http_client.h"

#include "carried_ids.h"
#include "cleanup.h"
#include "frame.h"
#include "header.h"
#include "http_reader.h"
#include "socket_option.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <uthash.h>

enum
{
  /* Many times the round trip within a region, but short enough to try another
     upstream within the latency objective.  */
  CONNECT_TIMEOUT_MS = 600,
  /* Idle timeout for upstreams that send no Keep-Alive timeout.  */
  IDLE_TIMEOUT_DEFAULT_MS = 4000,
  /* Longest Keep-Alive timeout that is used.  */
  IDLE_TIMEOUT_MAX_S = 3600,
  /* Subtracted from the upstream's Keep-Alive timeout, so that a request does
     not cross the upstream's close.  */
  IDLE_TIMEOUT_MARGIN_MS = 400,
  /* Idle limit for requests that must not be retried.  */
  FRESH_IDLE_MS = 1000,
  /* Idle connections that are kept as another one is opened because all of
     them have carried its request's id.  */
  CARRIED_IDLE_MAX = 4,
  SECOND_MS = 1000,
  /* Bytes received for a request besides its body: heads, chunk headers,
     trailers, and responses to other requests.  */
  OVERHEAD_MAX = 4 * MARJORAM_HEAD_MAX,
  /* Those allowed for each byte of the body; a chunk of one byte has 5.  */
  OVERHEAD_PER_BODY_BYTE = 8
};

struct connection
{
  TAILQ_ENTRY (connection) link; /* in the pool, while idle */
  marjoram_http_client *client;
  struct pool *pool;
  struct bufferevent *bev;
  marjoram_http_reader *reader;
  uint64_t number;
  size_t requests; /* that it has carried */
  marjoram_carried_ids *ids;
  uint64_t attempt;        /* 0 while idle */
  marjoram_bytes *message; /* until connected */
  int64_t idle_since;
  int64_t idle_timeout_ms;
  int64_t connect_deadline; /* 0 once connected */
  size_t received;          /* for the current attempt */
  size_t body_received;     /* part of it that was passed on */
  bool head_only;
  bool skip_response; /* current response belongs to another request */
  bool interim;       /* current response is 1xx */
  bool complete;
  bool close_delimited;
  bool reusable;
  UT_hash_handle hh; /* by attempt */
};

TAILQ_HEAD (connection_list, connection);

struct pool
{
  char *address;
  struct connection_list idle; /* most recently used first */
  UT_hash_handle hh;
};

struct marjoram_http_client
{
  struct event_base *base;
  struct marjoram_clock *clock;
  const struct marjoram_http_client_ops *ops;
  void *context;
  struct pool *pools;
  struct connection *busy;
  uint64_t connections; /* opened */
};

static struct pool *
find_pool (marjoram_http_client *client, const char *address)
{
  struct pool *pool;

  HASH_FIND_STR (client->pools, address, pool);
  if (pool)
    return pool;
  pool = marjoram_alloc (sizeof *pool);
  pool->address = marjoram_strdup (address);
  TAILQ_INIT (&pool->idle);
  HASH_ADD_KEYPTR (hh, client->pools, pool->address, strlen (pool->address),
                   pool);
  return pool;
}

static void
destroy (struct connection *connection)
{
  if (connection->attempt)
    HASH_DELETE (hh, connection->client->busy, connection);
  else
    TAILQ_REMOVE (&connection->pool->idle, connection, link);
  bufferevent_free (connection->bev);
  marjoram_http_reader_destroy (connection->reader);
  marjoram_carried_ids_destroy (connection->ids);
  marjoram_bytes_release (connection->message);
  free (connection);
}

static void
fail (struct connection *connection, enum marjoram_http_outcome outcome)
{
  marjoram_http_client *client = connection->client;
  char *address = marjoram_strdup (connection->pool->address);
  uint64_t attempt = connection->attempt;
  const bool was_open = connection->connect_deadline == 0;

  destroy (connection);
  if (outcome != MARJORAM_HTTP_OVERSIZED)
    client->ops->lost (client->context, address, was_open);
  if (attempt)
    client->ops->end (client->context, attempt, outcome);
  free (address);
}

/* ---- Response parsing.  ---- */

static int64_t
idle_timeout_ms (const struct marjoram_header_list *headers)
{
  const char *text = marjoram_header_list_get (headers, "Keep-Alive");
  const char *timeout = text ? strstr (text, "timeout=") : NULL;
  long seconds;

  if (!timeout)
    return IDLE_TIMEOUT_DEFAULT_MS;
  seconds = strtol (timeout + strlen ("timeout="), NULL, 10);
  if (seconds < 0)
    seconds = 0;
  if (seconds > IDLE_TIMEOUT_MAX_S)
    seconds = IDLE_TIMEOUT_MAX_S;
  return seconds * SECOND_MS - IDLE_TIMEOUT_MARGIN_MS;
}

/* Whether the length of the body is stated in one way that all readers agree
   on, or not at all.  */
static bool
is_framing_valid (const struct marjoram_header_list *headers)
{
  const char *length = marjoram_header_list_get (headers, "Content-Length");
  const char *coding = marjoram_header_list_get (headers, "Transfer-Encoding");

  if (marjoram_header_list_count (headers, "Content-Length")
          + marjoram_header_list_count (headers, "Transfer-Encoding")
      > 1)
    return false;
  return (!length || marjoram_header_is_length (length))
         && (!coding || marjoram_header_is_chunked (coding));
}

/* Whether the head announces that the connection ends after this response.
   Without it, a body without a length may have lost the header that stated
   one.  */
static bool
is_last_response (const struct http_parser *parser)
{
  if (parser->http_minor == 0)
    return !(parser->flags & F_CONNECTION_KEEP_ALIVE);
  return parser->flags & F_CONNECTION_CLOSE;
}

static bool
on_head (void *context, bool *skip_body)
{
  struct connection *connection = context;
  marjoram_http_client *client = connection->client;
  const struct http_parser *parser
      = marjoram_http_reader_parser (connection->reader);
  struct marjoram_header_list *headers
      = marjoram_http_reader_headers (connection->reader);

  connection->interim = parser->status_code / 100 == 1;
  connection->skip_response = false;
  connection->close_delimited
      = marjoram_http_reader_is_close_delimited (connection->reader);
  if (connection->interim)
    return true;
  if (!connection->attempt || !is_framing_valid (headers)
      || (connection->close_delimited && !connection->head_only
          && !is_last_response (parser)))
    return false;
  connection->reusable
      = http_should_keep_alive (parser) && !connection->close_delimited;
  connection->idle_timeout_ms = idle_timeout_ms (headers);
  *skip_body = connection->head_only;
  connection->skip_response = !client->ops->head (
      client->context, connection->attempt, (int)parser->status_code, headers);
  return true;
}

static bool
on_body (void *context, const char *data, size_t size)
{
  struct connection *connection = context;
  marjoram_http_client *client = connection->client;

  if (!connection->attempt)
    return false;
  if (!connection->skip_response && !connection->interim)
    {
      connection->body_received += size;
      client->ops->data (client->context, connection->attempt, data, size);
    }
  /* The callback may have cancelled this attempt.  */
  return connection->attempt != 0;
}

static bool
on_complete (void *context)
{
  struct connection *connection = context;

  if (!connection->attempt)
    return false;
  if (connection->interim || connection->skip_response)
    return !connection->close_delimited;
  connection->complete = true;
  return false;
}

static const struct marjoram_http_reader_ops reader_ops
    = { .head = on_head, .body = on_body, .complete = on_complete };

/* ---- Connection life cycle.  ---- */

/* Whether both buffers are empty.  Input left after a complete response
   belongs to no request; unsent output would corrupt the next request.  */
static bool
is_clean (const struct connection *connection)
{
  return evbuffer_get_length (bufferevent_get_input (connection->bev)) == 0
         && evbuffer_get_length (bufferevent_get_output (connection->bev))
                == 0;
}

/* Whether the socket is open and has no pending input.  Detects a close by the
   upstream that the event loop has not processed yet; a request sent on such a
   connection could not be retried safely.  */
static bool
is_socket_idle (const struct connection *connection)
{
  char byte;

  return recv (bufferevent_getfd (connection->bev), &byte, sizeof byte,
               MSG_PEEK | MSG_DONTWAIT)
             < 0
         && errno == EAGAIN;
}

static void
finish (struct connection *connection)
{
  marjoram_http_client *client = connection->client;
  uint64_t attempt = connection->attempt;

  HASH_DELETE (hh, client->busy, connection);
  connection->attempt = 0;
  connection->complete = false;
  connection->idle_since = marjoram_clock_now (client->clock);
  TAILQ_INSERT_HEAD (&connection->pool->idle, connection, link);
  if (!connection->reusable || connection->idle_timeout_ms <= 0
      || marjoram_carried_ids_is_full (connection->ids)
      || !is_clean (connection))
    destroy (connection);
  client->ops->end (client->context, attempt, MARJORAM_HTTP_COMPLETE);
}

/* Whether an upstream sends bytes that belong to no body without end.  */
static bool
has_excess (const struct connection *connection)
{
  const size_t overhead = connection->received - connection->body_received;

  return overhead > OVERHEAD_MAX
         && (overhead - OVERHEAD_MAX) / OVERHEAD_PER_BODY_BYTE
                > connection->body_received;
}

static void
on_read (struct bufferevent *bev, void *context)
{
  struct connection *connection = context;
  struct evbuffer *input = bufferevent_get_input (bev);
  enum marjoram_http_read_result result;

  if (!connection->attempt)
    {
      destroy (connection);
      return;
    }
  connection->received += evbuffer_get_length (input);
  result = marjoram_http_reader_feed (connection->reader, input);
  if (connection->complete)
    finish (connection);
  else if (!connection->attempt)
    destroy (connection);
  else if (result == MARJORAM_HTTP_HEAD_TOO_LARGE || has_excess (connection))
    fail (connection, MARJORAM_HTTP_OVERSIZED);
  else if (result != MARJORAM_HTTP_READ_OK)
    fail (connection, MARJORAM_HTTP_BROKEN);
}

static void
on_connected (struct connection *connection)
{
  marjoram_http_client *client = connection->client;

  connection->connect_deadline = 0;
  marjoram_socket_set_options (bufferevent_getfd (connection->bev));
  bufferevent_write (connection->bev,
                     marjoram_bytes_data (connection->message),
                     marjoram_bytes_size (connection->message));
  marjoram_bytes_release (connection->message);
  connection->message = NULL;
  client->ops->connected (client->context, connection->pool->address);
}

/* A response without a length is complete if the upstream closed the
   connection, but not if it was reset.  */
static void
on_closed (struct connection *connection)
{
  if (connection->attempt && connection->close_delimited
      && !connection->skip_response && !connection->interim)
    marjoram_http_reader_finish (connection->reader);
  if (connection->complete)
    {
      connection->reusable = false;
      finish (connection);
    }
  else if (!connection->attempt)
    destroy (connection);
  else
    fail (connection, MARJORAM_HTTP_BROKEN);
}

static void
on_event (struct bufferevent *bev, short events, void *context)
{
  struct connection *connection = context;

  (void)bev;
  if (events & BEV_EVENT_CONNECTED)
    on_connected (connection);
  else if ((events & BEV_EVENT_EOF) && connection->connect_deadline == 0)
    on_closed (connection);
  else
    fail (connection, connection->connect_deadline != 0
                          ? MARJORAM_HTTP_UNSENT
                          : MARJORAM_HTTP_BROKEN);
}

static void
start_attempt (struct connection *connection,
               const struct marjoram_http_send *send,
               struct marjoram_http_connection_info *info)
{
  if (info)
    {
      info->connection = connection->number;
      info->requests = connection->requests;
    }
  connection->requests++;
  if (send->id)
    marjoram_carried_ids_add (connection->ids, send->id);
  connection->attempt = send->attempt;
  connection->head_only = send->head_only;
  connection->complete = false;
  connection->skip_response = false;
  connection->interim = false;
  connection->close_delimited = false;
  connection->received = 0;
  connection->body_received = 0;
  HASH_ADD (hh, connection->client->busy, attempt, sizeof connection->attempt,
            connection);
}

static struct connection *
connection_create (marjoram_http_client *client, struct pool *pool)
{
  struct connection *connection = marjoram_alloc (sizeof *connection);

  connection->client = client;
  connection->pool = pool;
  connection->number = ++client->connections;
  connection->ids = marjoram_carried_ids_create ();
  connection->reader
      = marjoram_http_reader_create (HTTP_RESPONSE, &reader_ops, connection);
  marjoram_http_reader_set_limit (connection->reader, MARJORAM_HEAD_MAX);
  connection->bev
      = bufferevent_socket_new (client->base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (connection->bev, on_read, NULL, on_event, connection);
  bufferevent_enable (connection->bev, EV_READ | EV_WRITE);
  return connection;
}

/* Immediate connect errors are reported by a deferred event, so that no
   callback runs before marjoram_http_client_send returns.  */
static void
connect_and_send (marjoram_http_client *client, struct pool *pool,
                  const struct marjoram_http_send *send,
                  struct marjoram_http_connection_info *info)
{
  struct connection *connection = connection_create (client, pool);
  struct sockaddr_storage addr;
  int size = sizeof addr;

  connection->message = marjoram_bytes_retain (send->message);
  connection->connect_deadline
      = marjoram_clock_now (client->clock) + CONNECT_TIMEOUT_MS;
  start_attempt (connection, send, info);
  if (evutil_parse_sockaddr_port (pool->address, (struct sockaddr *)&addr,
                                  &size)
          != 0
      || bufferevent_socket_connect (connection->bev, (struct sockaddr *)&addr,
                                     size)
             != 0)
    bufferevent_trigger_event (connection->bev, BEV_EVENT_ERROR,
                               BEV_TRIG_DEFER_CALLBACKS);
}

static bool
is_fresh (const struct connection *connection, int64_t now, bool fresh_only)
{
  int64_t limit = connection->idle_timeout_ms;

  if (fresh_only && limit > FRESH_IDLE_MS)
    limit = FRESH_IDLE_MS;
  return now - connection->idle_since < limit;
}

/* The most recently used idle connection that has not carried ID.  */
static struct connection *
find_idle (const struct pool *pool, const char *id)
{
  struct connection *connection;

  TAILQ_FOREACH (connection, &pool->idle, link)
  {
    if (!id || !marjoram_carried_ids_contains (connection->ids, id))
      return connection;
  }
  return NULL;
}

/* Closes the least recently used idle connection if too many have carried the
   same id, which would else add up to all that the upstream accepts.  That of
   a cancelled attempt is about to be closed and may be in use by its
   reader.  */
static void
limit_carried (struct pool *pool)
{
  struct connection *connection;
  struct connection *oldest = NULL;
  size_t count = 0;

  TAILQ_FOREACH (connection, &pool->idle, link)
  {
    if (connection->idle_timeout_ms <= 0)
      continue;
    oldest = connection;
    count++;
  }
  if (count >= CARRIED_IDLE_MAX)
    destroy (oldest);
}

void
marjoram_http_client_send (marjoram_http_client *client,
                           const struct marjoram_http_send *send,
                           struct marjoram_http_connection_info *info)
{
  struct pool *pool = find_pool (client, send->address);
  struct connection *connection = find_idle (pool, send->id);
  int64_t now = marjoram_clock_now (client->clock);

  if (!connection)
    limit_carried (pool);
  if (!connection || !is_fresh (connection, now, send->fresh_only)
      || !is_clean (connection) || !is_socket_idle (connection))
    {
      connect_and_send (client, pool, send, info);
      return;
    }
  TAILQ_REMOVE (&pool->idle, connection, link);
  start_attempt (connection, send, info);
  bufferevent_write (connection->bev, marjoram_bytes_data (send->message),
                     marjoram_bytes_size (send->message));
}

void
marjoram_http_client_cancel (marjoram_http_client *client, uint64_t attempt)
{
  struct connection *connection;

  HASH_FIND (hh, client->busy, &attempt, sizeof attempt, connection);
  if (!connection)
    return;
  /* The call may come from a callback of this connection's reader, so the
     connection is destroyed by a deferred event.  */
  HASH_DELETE (hh, client->busy, connection);
  connection->attempt = 0;
  connection->complete = false;
  connection->connect_deadline = 0;
  connection->idle_since = 0;
  connection->idle_timeout_ms = 0;
  TAILQ_INSERT_TAIL (&connection->pool->idle, connection, link);
  bufferevent_trigger_event (connection->bev, BEV_EVENT_EOF,
                             BEV_TRIG_DEFER_CALLBACKS);
}

void
marjoram_http_client_close_idle (marjoram_http_client *client,
                                 const char *address)
{
  struct pool *pool;
  struct connection *connection;

  HASH_FIND_STR (client->pools, address, pool);
  while (pool && (connection = TAILQ_FIRST (&pool->idle)))
    destroy (connection);
}

static void
close_expired (struct pool *pool, int64_t now)
{
  struct connection *connection;
  struct connection *next;

  for (connection = TAILQ_FIRST (&pool->idle); connection; connection = next)
    {
      next = TAILQ_NEXT (connection, link);
      if (!is_fresh (connection, now, false))
        destroy (connection);
    }
}

/* PROCESSED_UNTIL is the time up to which network events have been processed.
   When this host lags, a completed connect may not have been seen yet, and
   must not count as a timeout.  */
static void
time_out_connects (marjoram_http_client *client, int64_t processed_until)
{
  struct connection *connection;
  struct connection *next;

  HASH_ITER (hh, client->busy, connection, next)
  {
    if (connection->connect_deadline != 0
        && processed_until >= connection->connect_deadline)
      bufferevent_trigger_event (connection->bev, BEV_EVENT_TIMEOUT,
                                 BEV_TRIG_DEFER_CALLBACKS);
  }
}

void
marjoram_http_client_tick (marjoram_http_client *client, int64_t lag_ms)
{
  int64_t now = marjoram_clock_now (client->clock);
  struct pool *pool;
  struct pool *next;

  time_out_connects (client, now - lag_ms);
  HASH_ITER (hh, client->pools, pool, next) { close_expired (pool, now); }
}

marjoram_http_client *
marjoram_http_client_create (struct event_base *base,
                             struct marjoram_clock *clock,
                             const struct marjoram_http_client_ops *ops,
                             void *context)
{
  marjoram_http_client *client = marjoram_alloc (sizeof *client);

  client->base = base;
  client->clock = clock;
  client->ops = ops;
  client->context = context;
  return client;
}

void
marjoram_http_client_destroy (marjoram_http_client *client)
{
  struct connection *connection;
  struct connection *next_connection;
  struct pool *pool;
  struct pool *next_pool;

  if (!client)
    return;
  HASH_ITER (hh, client->busy, connection, next_connection)
  {
    destroy (connection);
  }
  HASH_ITER (hh, client->pools, pool, next_pool)
  {
    while ((connection = TAILQ_FIRST (&pool->idle)))
      /* False positive on TAILQ.  NOLINTNEXTLINE(clang-analyzer-*) */
      destroy (connection);
    /* False positive on TAILQ.  NOLINTNEXTLINE(clang-analyzer-*) */
    HASH_DELETE (hh, client->pools, pool);
    free (pool->address);
    free (pool);
  }
  free (client);
}
