#include "peer.h"

#include "cleanup.h"
#include "clock.h"
#include "log.h"
#include "secret.h"
#include "state.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/queue.h>
#include <uthash.h>

enum
{
  /* Hosts with another version are rejected.  */
  FRAME_VERSION = 1,
  NONCE_SIZE = 16,
  PROOF_TEXT_MAX = 512,
  HANDSHAKE_SEC = 3,
  /* Connect timeout, doubled with each failure.  It covers a round trip
     between regions but is shorter than the kernel's SYN retransmission
     timeout (1 s, then 3 s), so that a host that comes back is reached
     sooner.  */
  CONNECT_TIMEOUT_MIN_MSEC = 250,
  CONNECT_TIMEOUT_MAX_MSEC = 500,
  /* Delay before reconnecting, doubled with each failure.  Short, because
     hosts that restart together can't serve until they reach a keeper.  */
  RECONNECT_DELAY_MIN_MSEC = 50,
  RECONNECT_DELAY_MAX_MSEC = 400,
  /* No frame of the handshake is larger.  */
  HANDSHAKE_FRAME_MAX = 1024,
  /* Sessions with more unsent output are closed.  */
  OUTPUT_MAX = 64 * 1024 * 1024
};

enum session_state
{
  SESSION_HELLO, /* waiting for the peer's hello */
  SESSION_PROOF, /* waiting for the peer's proof */
  SESSION_OPEN
};

struct connection;

struct session
{
  marjoram_peer *peer;
  struct connection *connection; /* NULL if the peer opened the session */
  struct bufferevent *bev;
  enum session_state state;
  uint64_t number;
  char *slot;
  uint64_t incarnation;
  uint8_t own_nonce[NONCE_SIZE];
  uint8_t nonce[NONCE_SIZE];
  TAILQ_ENTRY (session) next;
  UT_hash_handle hh;
};

/* A slot to which this host keeps a session open.  */
struct connection
{
  marjoram_peer *peer;
  char *slot;
  char *address;
  struct session *session;
  int failures; /* consecutive */
  struct event *timer;
  UT_hash_handle hh;
};

struct marjoram_peer
{
  struct event_base *base;
  const struct marjoram_settings *settings;
  uint64_t incarnation;
  marjoram_counters *counters;
  const struct marjoram_peer_ops *ops;
  void *context;
  struct evconnlistener *listener;
  struct connection *connections;
  TAILQ_HEAD (, session) accepted;
  struct session *by_number; /* accepted sessions */
  uint64_t next_session;
};

static int
backoff_msec (int min_msec, int max_msec, int times)
{
  int msec = min_msec;

  while (times-- > 0 && msec < max_msec)
    msec *= 2;
  return msec < max_msec ? msec : max_msec;
}

static void
schedule_reconnect (struct connection *connection)
{
  struct timeval delay = marjoram_clock_timeval (
      backoff_msec (RECONNECT_DELAY_MIN_MSEC, RECONNECT_DELAY_MAX_MSEC,
                    connection->failures));

  connection->failures++;
  evtimer_add (connection->timer, &delay);
}

static void
session_close (struct session *session)
{
  marjoram_peer *peer = session->peer;
  bool open = session->state == SESSION_OPEN;

  if (session->connection)
    {
      session->connection->session = NULL;
      schedule_reconnect (session->connection);
      if (open)
        peer->ops->link_down (peer->context, session->connection->slot);
    }
  else
    {
      HASH_DELETE (hh, peer->by_number, session);
      TAILQ_REMOVE (&peer->accepted, session, next);
      if (open)
        peer->ops->closed (peer->context, session->slot, session->number);
    }
  bufferevent_free (session->bev);
  free (session->slot);
  free (session);
}

static void
session_write_packed (struct session *session, const marjoram_bytes *frame)
{
  struct evbuffer *output = bufferevent_get_output (session->bev);

  marjoram_counters_add (session->peer->counters,
                         MARJORAM_COUNTER_PEER_BYTES_OUT,
                         marjoram_bytes_size (frame));
  evbuffer_add (output, marjoram_bytes_data (frame),
                marjoram_bytes_size (frame));
}

static void
session_write (struct session *session, enum marjoram_frame_type type,
               const void *message)
{
  marjoram_bytes *frame = marjoram_frame_pack (type, message);
  struct marjoram_error err = { .message = "the frame is too large" };

  if (frame)
    session_write_packed (session, frame);
  else
    {
      marjoram_wire_check (marjoram_frame_layout (type), message, &err);
      marjoram_log (MARJORAM_LOG_WARNING, "message to %s dropped: %s",
                    session->slot ? session->slot : "an unknown host",
                    err.message);
    }
  marjoram_bytes_release (frame);
}

static size_t
unsent_bytes (const struct session *session)
{
  return evbuffer_get_length (bufferevent_get_output (session->bev));
}

/* Closes the session if the peer does not read its output, to bound memory.
   Closing is deferred to the event loop, as callers still use the session.  */
static void
check_output (struct session *session)
{
  if (unsent_bytes (session) > OUTPUT_MAX)
    bufferevent_trigger_event (session->bev, BEV_EVENT_ERROR,
                               BEV_TRIG_DEFER_CALLBACKS);
}

/* ---- Handshake.  ---- */

/* Builds the text that a proof authenticates.  Both nonces prevent replay; the
   role and the name prevent a proof from being reflected to its sender.  */
static size_t
proof_text (const struct session *session, bool of_initiator,
            uint8_t text[PROOF_TEXT_MAX])
{
  const struct marjoram_settings *settings = session->peer->settings;
  bool own = of_initiator == (session->connection != NULL);
  const char *slot = own ? settings->slot : session->slot;
  int size = snprintf ((char *)text, PROOF_TEXT_MAX - (size_t)2 * NONCE_SIZE,
                       "peer %s %s %s %llu ", of_initiator ? "dial" : "accept",
                       settings->cluster, slot,
                       (unsigned long long)(own ? session->peer->incarnation
                                                : session->incarnation));

  memcpy (text + size, own ? session->own_nonce : session->nonce, NONCE_SIZE);
  memcpy (text + size + NONCE_SIZE, own ? session->nonce : session->own_nonce,
          NONCE_SIZE);
  return (size_t)size + (size_t)2 * NONCE_SIZE;
}

static void
send_hello (struct session *session)
{
  const struct marjoram_settings *settings = session->peer->settings;
  struct marjoram_hello hello = { 0 };

  randombytes_buf (session->own_nonce, NONCE_SIZE);
  hello.release = FRAME_VERSION;
  hello.cluster = settings->cluster;
  hello.slot = settings->slot;
  hello.zone = settings->zone;
  hello.incarnation = session->peer->incarnation;
  hello.nonce = marjoram_bytes_create (session->own_nonce, NONCE_SIZE);
  session_write (session, MARJORAM_FRAME_HELLO, &hello);
  marjoram_bytes_release (hello.nonce);
}

static void
send_proof (struct session *session)
{
  uint8_t text[PROOF_TEXT_MAX];
  uint8_t code[MARJORAM_MAC_SIZE];
  size_t size = proof_text (session, session->connection != NULL, text);
  struct marjoram_proof proof;

  marjoram_secret_mac (session->peer->settings->secret, text, size, code);
  proof.code = marjoram_bytes_create (code, sizeof code);
  session_write (session, MARJORAM_FRAME_PROOF, &proof);
  marjoram_bytes_release (proof.code);
}

static bool
process_hello (struct session *session, const struct marjoram_hello *hello)
{
  const struct marjoram_settings *settings = session->peer->settings;

  if (!hello->cluster || !hello->slot || !hello->zone
      || marjoram_bytes_size (hello->nonce) != NONCE_SIZE
      || strlen (hello->slot) > MARJORAM_NAME_MAX)
    return false;
  if (hello->release != FRAME_VERSION
      || strcmp (hello->cluster, settings->cluster) != 0
      || strcmp (hello->slot, settings->slot) == 0)
    {
      marjoram_log (MARJORAM_LOG_WARNING,
                    "host %s rejected: cluster %s, frame version %llu; both "
                    "must equal this host's and the slot must differ; check "
                    "[host] cluster, slot and [peers]",
                    hello->slot, hello->cluster,
                    (unsigned long long)hello->release);
      return false;
    }
  if (session->connection
      && strcmp (hello->slot, session->connection->slot) != 0)
    {
      marjoram_log (MARJORAM_LOG_WARNING,
                    "host at %s is %s, expected %s; correct [peers] or the "
                    "slot's address",
                    session->connection->address, hello->slot,
                    session->connection->slot);
      return false;
    }
  session->slot = marjoram_strdup (hello->slot);
  session->incarnation = hello->incarnation;
  memcpy (session->nonce, marjoram_bytes_data (hello->nonce), NONCE_SIZE);
  if (!session->connection)
    {
      send_hello (session);
      send_proof (session);
    }
  session->state = SESSION_PROOF;
  return true;
}

/* Closes older sessions of the same slot, so that a FORWARD in transit on an
   older one can't start after the newer one has queried it.  Returns false if
   an open session has a higher incarnation.  */
static bool
replace_older (struct session *session)
{
  struct session *other;
  struct session *next;

  for (other = TAILQ_FIRST (&session->peer->accepted); other; other = next)
    {
      next = TAILQ_NEXT (other, next);
      if (other == session || other->state != SESSION_OPEN
          || strcmp (other->slot, session->slot) != 0)
        continue;
      if (other->incarnation > session->incarnation)
        return false;
      session_close (other);
    }
  return true;
}

static void
set_handshake_timeout (struct bufferevent *bev, bool on)
{
  struct timeval limit = { HANDSHAKE_SEC, 0 };

  bufferevent_set_timeouts (bev, on ? &limit : NULL, on ? &limit : NULL);
}

static bool
process_proof (struct session *session, const struct marjoram_proof *proof)
{
  marjoram_peer *peer = session->peer;
  uint8_t text[PROOF_TEXT_MAX];
  size_t size = proof_text (session, session->connection == NULL, text);

  if (marjoram_bytes_size (proof->code) != MARJORAM_MAC_SIZE
      || !marjoram_secret_verify (peer->settings->secret, text, size,
                                  marjoram_bytes_data (proof->code)))
    {
      marjoram_counters_add (peer->counters, MARJORAM_COUNTER_BAD_SECRET, 1);
      marjoram_log (MARJORAM_LOG_WARNING,
                    "host %s does not have the owner's secret; give it the "
                    "same secret_file",
                    session->slot);
      return false;
    }
  if (!session->connection && !replace_older (session))
    return false;
  session->state = SESSION_OPEN;
  set_handshake_timeout (session->bev, false);
  if (session->connection)
    {
      session->connection->failures = 0;
      send_proof (session);
      peer->ops->link_up (peer->context, session->slot, session->incarnation);
    }
  return true;
}

/* ---- Frames.  ---- */

static bool
process_frame (struct session *session, enum marjoram_frame_type type,
               void *message)
{
  marjoram_peer *peer = session->peer;
  bool ok = false;

  if (session->state == SESSION_OPEN)
    {
      if (type == MARJORAM_FRAME_HELLO || type == MARJORAM_FRAME_PROOF)
        {
          marjoram_wire_destroy (marjoram_frame_layout (type), message);
          return false;
        }
      peer->ops->frame (peer->context, session->slot,
                        session->connection ? 0 : session->number,
                        session->incarnation, type, message);
      return true;
    }
  if (session->state == SESSION_HELLO && type == MARJORAM_FRAME_HELLO)
    ok = process_hello (session, message);
  else if (session->state == SESSION_PROOF && type == MARJORAM_FRAME_PROOF)
    ok = process_proof (session, message);
  marjoram_wire_destroy (marjoram_frame_layout (type), message);
  return ok;
}

static bool
reject_frame (struct session *session, const char *why)
{
  marjoram_counters_add (session->peer->counters, MARJORAM_COUNTER_BAD_FRAMES,
                         1);
  marjoram_log (MARJORAM_LOG_WARNING, "link with %s closed: %s",
                session->slot ? session->slot : "an unknown host", why);
  return false;
}

static uint32_t
frame_length (struct evbuffer *input)
{
  uint8_t header[4];

  evbuffer_copyout (input, header, sizeof header);
  return (uint32_t)header[0] << 24 | (uint32_t)header[1] << 16
         | (uint32_t)header[2] << 8 | header[3];
}

/* Removes one frame from INPUT, which holds all of it, and processes it.  */
static bool
read_frame (struct session *session, struct evbuffer *input, uint32_t length)
{
  uint8_t *data = evbuffer_pullup (input, (ev_ssize_t)length + 4);
  struct marjoram_error err = { 0 };
  uint8_t type = data[4];
  void *message;

  if (type >= MARJORAM_FRAME_COUNT)
    return reject_frame (session,
                         "unknown frame type; check that all hosts run "
                         "the same release");
  message = marjoram_wire_unpack (
      marjoram_frame_layout ((enum marjoram_frame_type)type),
      data + MARJORAM_FRAME_HEADER, length - 1, &err);
  evbuffer_drain (input, (size_t)length + 4);
  marjoram_counters_add (session->peer->counters,
                         MARJORAM_COUNTER_PEER_BYTES_IN, (uint64_t)length + 4);
  if (!message)
    return reject_frame (session, err.message);
  return process_frame (session, (enum marjoram_frame_type)type, message);
}

/* Processes all complete frames in INPUT; returns false if one is invalid.  */
static bool
read_frames (struct session *session, struct evbuffer *input)
{
  while (evbuffer_get_length (input) >= MARJORAM_FRAME_HEADER)
    {
      uint32_t length = frame_length (input);
      uint32_t limit = session->state == SESSION_OPEN ? MARJORAM_FRAME_MAX
                                                      : HANDSHAKE_FRAME_MAX;

      if (length == 0 || length > limit)
        return reject_frame (session, "frame length 0 or over the limit");
      if (evbuffer_get_length (input) < (size_t)length + 4)
        return true;
      if (!read_frame (session, input, length))
        return false;
    }
  return true;
}

static void
on_read (struct bufferevent *bev, void *context)
{
  struct session *session = context;
  struct evbuffer *input = bufferevent_get_input (bev);
  marjoram_peer *peer = session->peer;

  if (!read_frames (session, input))
    session_close (session);
  else if (session->connection && session->state == SESSION_OPEN
           && evbuffer_get_length (input) > 0)
    peer->ops->heard (peer->context, session->slot);
}

static void
on_event (struct bufferevent *bev, short events, void *context)
{
  struct session *session = context;

  (void)bev;
  if (events & BEV_EVENT_CONNECTED)
    {
      evutil_socket_t fd = bufferevent_getfd (session->bev);
      int one = 1;

      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      set_handshake_timeout (session->bev, true);
      send_hello (session);
    }
  else
    session_close (session);
}

/* ---- Sessions.  ---- */

static struct session *
session_create (marjoram_peer *peer, struct connection *connection,
                evutil_socket_t fd)
{
  struct session *session = marjoram_alloc (sizeof *session);

  session->peer = peer;
  session->connection = connection;
  session->number = ++peer->next_session;
  session->bev
      = bufferevent_socket_new (peer->base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (session->bev, on_read, NULL, on_event, session);
  set_handshake_timeout (session->bev, true);
  bufferevent_enable (session->bev, EV_READ | EV_WRITE);
  return session;
}

static void
connect_now (struct connection *connection)
{
  struct timeval limit = marjoram_clock_timeval (
      backoff_msec (CONNECT_TIMEOUT_MIN_MSEC, CONNECT_TIMEOUT_MAX_MSEC,
                    connection->failures));
  struct sockaddr_storage address;
  int size = sizeof address;

  if (evutil_parse_sockaddr_port (connection->address,
                                  (struct sockaddr *)&address, &size)
      != 0)
    return;
  connection->session = session_create (connection->peer, connection, -1);
  bufferevent_set_timeouts (connection->session->bev, NULL, &limit);
  if (bufferevent_socket_connect (connection->session->bev,
                                  (struct sockaddr *)&address, size)
      != 0)
    session_close (connection->session);
}

static void
on_reconnect_timer (evutil_socket_t fd, short what, void *context)
{
  struct connection *connection = context;

  (void)fd;
  (void)what;
  if (!connection->session)
    connect_now (connection);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int size, void *context)
{
  marjoram_peer *peer = context;
  struct session *session = session_create (peer, NULL, fd);
  int one = 1;

  (void)listener;
  (void)address;
  (void)size;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  TAILQ_INSERT_TAIL (&peer->accepted, session, next);
  HASH_ADD (hh, peer->by_number, number, sizeof session->number, session);
}

/* ---- Creation and sending.  ---- */

marjoram_peer *
marjoram_peer_create (struct event_base *base,
                      const struct marjoram_settings *settings,
                      uint64_t incarnation, marjoram_counters *counters,
                      const struct marjoram_peer_ops *ops, void *context,
                      struct marjoram_error *err)
{
  marjoram_peer *peer = marjoram_alloc (sizeof *peer);
  struct sockaddr_storage address;
  int size = sizeof address;

  peer->base = base;
  peer->settings = settings;
  peer->incarnation = incarnation;
  peer->counters = counters;
  peer->ops = ops;
  peer->context = context;
  TAILQ_INIT (&peer->accepted);
  if (evutil_parse_sockaddr_port (settings->peer_address,
                                  (struct sockaddr *)&address, &size)
      == 0)
    peer->listener = evconnlistener_new_bind (
        base, on_accept, peer,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
        (struct sockaddr *)&address, size);
  if (peer->listener)
    return peer;
  marjoram_error_set (err, MARJORAM_ERROR_IO,
                      "can't listen on [listen] peer = %s: %s; free the "
                      "address or change it",
                      settings->peer_address,
                      evutil_socket_error_to_string (EVUTIL_SOCKET_ERROR ()));
  free (peer);
  return NULL;
}

static void
connection_destroy (struct connection *connection)
{
  HASH_DEL (connection->peer->connections, connection);
  if (connection->session)
    session_close (connection->session);
  event_free (connection->timer);
  free (connection->slot);
  free (connection->address);
  free (connection);
}

void
marjoram_peer_destroy (marjoram_peer *peer)
{
  struct connection *connection;
  struct connection *next;
  struct session *session;

  if (!peer)
    return;
  HASH_ITER (hh, peer->connections, connection, next)
  {
    connection_destroy (connection);
  }
  while ((session = TAILQ_FIRST (&peer->accepted)))
    session_close (session);
  evconnlistener_free (peer->listener);
  free (peer);
}

static struct connection *
find_connection (marjoram_peer *peer, const char *slot)
{
  struct connection *connection;

  HASH_FIND_STR (peer->connections, slot, connection);
  return connection;
}

static struct connection *
connection_create (marjoram_peer *peer, const char *slot)
{
  struct connection *connection = marjoram_alloc (sizeof *connection);

  connection->peer = peer;
  connection->slot = marjoram_strdup (slot);
  connection->timer = evtimer_new (peer->base, on_reconnect_timer, connection);
  HASH_ADD_KEYPTR (hh, peer->connections, connection->slot,
                   strlen (connection->slot), connection);
  return connection;
}

void
marjoram_peer_connect (marjoram_peer *peer, const char *slot,
                       const char *address, bool wanted)
{
  struct timeval at_once = { 0, 0 };
  struct connection *connection = find_connection (peer, slot);

  if (!wanted)
    {
      if (connection)
        connection_destroy (connection);
      return;
    }
  if (!connection)
    connection = connection_create (peer, slot);
  free (connection->address);
  connection->address = marjoram_strdup (address);
  if (connection->session)
    session_close (connection->session);
  evtimer_add (connection->timer, &at_once);
}

static struct session *
find_opened (marjoram_peer *peer, const char *slot)
{
  struct connection *connection = find_connection (peer, slot);

  return connection && connection->session
                 && connection->session->state == SESSION_OPEN
             ? connection->session
             : NULL;
}

static struct session *
find_accepted (marjoram_peer *peer, const char *slot, uint64_t number)
{
  struct session *session;

  HASH_FIND (hh, peer->by_number, &number, sizeof number, session);
  return session && session->state == SESSION_OPEN
                 && strcmp (session->slot, slot) == 0
             ? session
             : NULL;
}

void
marjoram_peer_send_packed (marjoram_peer *peer, const char *slot,
                           const marjoram_bytes *frame)
{
  struct session *session = find_opened (peer, slot);

  if (!session)
    return;
  session_write_packed (session, frame);
  check_output (session);
}

void
marjoram_peer_reply_packed (marjoram_peer *peer, const char *slot,
                            uint64_t number, const marjoram_bytes *frame)
{
  struct session *session = find_accepted (peer, slot, number);

  if (!session)
    return;
  session_write_packed (session, frame);
  check_output (session);
}

void
marjoram_peer_send (marjoram_peer *peer, const char *slot,
                    enum marjoram_frame_type type, const void *message)
{
  struct session *session = find_opened (peer, slot);

  if (!session)
    return;
  session_write (session, type, message);
  check_output (session);
}

void
marjoram_peer_reply (marjoram_peer *peer, const char *slot, uint64_t number,
                     enum marjoram_frame_type type, const void *message)
{
  struct session *session = find_accepted (peer, slot, number);

  if (!session)
    return;
  session_write (session, type, message);
  check_output (session);
}

size_t
marjoram_peer_unsent_bytes (const marjoram_peer *peer)
{
  const struct connection *connection;
  const struct session *session;
  size_t size = 0;

  TAILQ_FOREACH (session, &peer->accepted, next)
  size += unsent_bytes (session);
  for (connection = peer->connections; connection;
       connection = connection->hh.next)
    if (connection->session)
      size += unsent_bytes (connection->session);
  return size;
}

void
marjoram_peer_reconnect (marjoram_peer *peer, const char *slot)
{
  struct connection *connection = find_connection (peer, slot);

  if (connection && connection->session)
    session_close (connection->session);
}
