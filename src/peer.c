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
  RELEASE = 1, /* of the frames; hosts of another one are refused */
  NONCE_SIZE = 16,
  PROOF_TEXT_MAX = 512,
  HANDSHAKE_SEC = 3,
  /* A machine that is off answers nothing, and the system asks again only
     after one and then three seconds, while it may long be back.  Some round
     trips between regions.  */
  CONNECT_FIRST_MSEC = 250, /* one round trip and a half; then doubled */
  CONNECT_MSEC = 500,
  /* Pause before dialling again, doubled each time.  Hosts that lost power
     together come back within some hundred ms of each other, and serve nobody
     until they have reached a keeper: half a second sooner so.  */
  REDIAL_FIRST_MSEC = 50,
  REDIAL_MSEC = 400,
  /* A frame before the proof can't be larger than a hello.  */
  HANDSHAKE_FRAME_MAX = 1024,
  /* What may wait for a reader that takes nothing.  */
  OUTPUT_MAX = 64 * 1024 * 1024
};

enum session_state
{
  SESSION_HELLO, /* waits for the other end's hello */
  SESSION_PROOF, /* waits for its proof */
  SESSION_OPEN
};

struct dial;

struct session
{
  marjoram_peer *peer;
  struct dial *dial; /* null if the other end opened it */
  struct bufferevent *bev;
  enum session_state state;
  uint64_t number;
  char *slot;
  uint64_t incarnation;
  uint8_t own_nonce[NONCE_SIZE];
  uint8_t nonce[NONCE_SIZE];
  TAILQ_ENTRY (session) next;
  UT_hash_handle hh; /* of those that other ends opened, by number */
};

/* A slot to which a session is kept open.  */
struct dial
{
  marjoram_peer *peer;
  char *slot;
  char *address;
  struct session *session;
  int failures; /* in a row */
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
  struct dial *dials;
  TAILQ_HEAD (, session) accepted;
  struct session *by_number; /* the same */
  uint64_t next_session;
};

static int
doubled (int first_msec, int most_msec, int times)
{
  int msec = first_msec;

  while (times-- > 0 && msec < most_msec)
    msec *= 2;
  return msec < most_msec ? msec : most_msec;
}

static void
redial_later (struct dial *dial)
{
  struct timeval delay = marjoram_clock_timeval (
      doubled (REDIAL_FIRST_MSEC, REDIAL_MSEC, dial->failures));

  dial->failures++;
  evtimer_add (dial->timer, &delay);
}

static void
session_close (struct session *session)
{
  marjoram_peer *peer = session->peer;
  bool open = session->state == SESSION_OPEN;

  if (session->dial)
    {
      session->dial->session = NULL;
      redial_later (session->dial);
      if (open)
        peer->ops->link_down (peer->context, session->dial->slot);
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

  session_write_packed (session, frame);
  marjoram_bytes_release (frame);
}

/* A reader that takes nothing must not fill this host's memory.  Closing is
   left to the loop, as the caller still holds the session.  */
static void
check_output (struct session *session)
{
  if (evbuffer_get_length (bufferevent_get_output (session->bev)) > OUTPUT_MAX)
    bufferevent_trigger_event (session->bev, BEV_EVENT_ERROR,
                               BEV_TRIG_DEFER_CALLBACKS);
}

/* ---- Handshake.  ---- */

/* What is proved: both ends' names and fresh numbers, so that a recorded proof
   is of no use, nor one end's proof to the other.  */
static size_t
proof_text (const struct session *session, bool of_dialler,
            uint8_t text[PROOF_TEXT_MAX])
{
  const struct marjoram_settings *settings = session->peer->settings;
  bool own = of_dialler == (session->dial != NULL);
  const char *slot = own ? settings->slot : session->slot;
  int size = snprintf ((char *)text, PROOF_TEXT_MAX - (size_t)2 * NONCE_SIZE,
                       "peer %s %s %s %llu ", of_dialler ? "dial" : "accept",
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
  hello.release = RELEASE;
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
  size_t size = proof_text (session, session->dial != NULL, text);
  struct marjoram_proof proof;

  marjoram_secret_mac (session->peer->settings->secret, text, size, code);
  proof.code = marjoram_bytes_create (code, sizeof code);
  session_write (session, MARJORAM_FRAME_PROOF, &proof);
  marjoram_bytes_release (proof.code);
}

static bool
take_hello (struct session *session, const struct marjoram_hello *hello)
{
  const struct marjoram_settings *settings = session->peer->settings;

  if (!hello->cluster || !hello->slot || !hello->zone
      || marjoram_bytes_size (hello->nonce) != NONCE_SIZE
      || strlen (hello->slot) > MARJORAM_NAME_MAX)
    return false;
  if (hello->release != RELEASE
      || strcmp (hello->cluster, settings->cluster) != 0
      || strcmp (hello->slot, settings->slot) == 0)
    {
      marjoram_log (MARJORAM_LOG_WARNING,
                    "host %s of cluster %s, release %llu, is not of this "
                    "cluster; check [host] cluster, slot and [peers]",
                    hello->slot, hello->cluster,
                    (unsigned long long)hello->release);
      return false;
    }
  if (session->dial && strcmp (hello->slot, session->dial->slot) != 0)
    {
      marjoram_log (MARJORAM_LOG_WARNING,
                    "at %s is host %s, not %s; mend [peers] or the slot's "
                    "address",
                    session->dial->address, hello->slot, session->dial->slot);
      return false;
    }
  session->slot = marjoram_strdup (hello->slot);
  session->incarnation = hello->incarnation;
  memcpy (session->nonce, marjoram_bytes_data (hello->nonce), NONCE_SIZE);
  if (!session->dial)
    {
      send_hello (session);
      send_proof (session);
    }
  session->state = SESSION_PROOF;
  return true;
}

/* One slot has one session here.  A newer one replaces the older, whose frames
   are read no more: a FORWARD that was on its way over the older one can't
   start after the newer one has asked about it.  */
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
take_proof (struct session *session, const struct marjoram_proof *proof)
{
  marjoram_peer *peer = session->peer;
  uint8_t text[PROOF_TEXT_MAX];
  size_t size = proof_text (session, session->dial == NULL, text);

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
  if (!session->dial && !replace_older (session))
    return false;
  session->state = SESSION_OPEN;
  set_handshake_timeout (session->bev, false);
  if (session->dial)
    {
      session->dial->failures = 0;
      send_proof (session);
      peer->ops->link_up (peer->context, session->slot, session->incarnation);
    }
  return true;
}

/* ---- Frames.  ---- */

static bool
take_frame (struct session *session, enum marjoram_frame_type type,
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
                        session->dial ? 0 : session->number,
                        session->incarnation, type, message);
      return true;
    }
  if (session->state == SESSION_HELLO && type == MARJORAM_FRAME_HELLO)
    ok = take_hello (session, message);
  else if (session->state == SESSION_PROOF && type == MARJORAM_FRAME_PROOF)
    ok = take_proof (session, message);
  marjoram_wire_destroy (marjoram_frame_layout (type), message);
  return ok;
}

static bool
bad_frame (struct session *session, const char *why)
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

/* Takes one frame off INPUT, whose first bytes are all there.  */
static bool
read_frame (struct session *session, struct evbuffer *input, uint32_t length)
{
  uint8_t *data = evbuffer_pullup (input, (ev_ssize_t)length + 4);
  struct marjoram_error err = { 0 };
  uint8_t type = data[4];
  void *message;

  if (type >= MARJORAM_FRAME_COUNT)
    return bad_frame (session, "unknown frame type; check that all hosts run "
                               "the same release");
  message = marjoram_wire_unpack (
      marjoram_frame_layout ((enum marjoram_frame_type)type),
      data + MARJORAM_FRAME_HEADER, length - 1, &err);
  evbuffer_drain (input, (size_t)length + 4);
  marjoram_counters_add (session->peer->counters,
                         MARJORAM_COUNTER_PEER_BYTES_IN, (uint64_t)length + 4);
  if (!message)
    return bad_frame (session, err.message);
  return take_frame (session, (enum marjoram_frame_type)type, message);
}

/* Takes all whole frames off INPUT; false if one is bad.  */
static bool
read_frames (struct session *session, struct evbuffer *input)
{
  while (evbuffer_get_length (input) >= MARJORAM_FRAME_HEADER)
    {
      uint32_t length = frame_length (input);
      uint32_t limit = session->state == SESSION_OPEN ? MARJORAM_FRAME_MAX
                                                      : HANDSHAKE_FRAME_MAX;

      if (length == 0 || length > limit)
        return bad_frame (session, "frame length over the limit");
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
  else if (session->dial && session->state == SESSION_OPEN
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
session_create (marjoram_peer *peer, struct dial *dial, evutil_socket_t fd)
{
  struct session *session = marjoram_alloc (sizeof *session);

  session->peer = peer;
  session->dial = dial;
  session->number = ++peer->next_session;
  session->bev
      = bufferevent_socket_new (peer->base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (session->bev, on_read, NULL, on_event, session);
  set_handshake_timeout (session->bev, true);
  bufferevent_enable (session->bev, EV_READ | EV_WRITE);
  return session;
}

static void
dial_now (struct dial *dial)
{
  struct timeval limit = marjoram_clock_timeval (
      doubled (CONNECT_FIRST_MSEC, CONNECT_MSEC, dial->failures));
  struct sockaddr_storage address;
  int size = sizeof address;

  if (evutil_parse_sockaddr_port (dial->address, (struct sockaddr *)&address,
                                  &size)
      != 0)
    return;
  dial->session = session_create (dial->peer, dial, -1);
  bufferevent_set_timeouts (dial->session->bev, NULL, &limit);
  if (bufferevent_socket_connect (dial->session->bev,
                                  (struct sockaddr *)&address, size)
      != 0)
    session_close (dial->session);
}

static void
on_redial (evutil_socket_t fd, short what, void *context)
{
  struct dial *dial = context;

  (void)fd;
  (void)what;
  if (!dial->session)
    dial_now (dial);
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

/* ---- The task.  ---- */

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
dial_destroy (struct dial *dial)
{
  HASH_DEL (dial->peer->dials, dial);
  if (dial->session)
    session_close (dial->session);
  event_free (dial->timer);
  free (dial->slot);
  free (dial->address);
  free (dial);
}

void
marjoram_peer_destroy (marjoram_peer *peer)
{
  struct dial *dial;
  struct dial *next;
  struct session *session;

  if (!peer)
    return;
  HASH_ITER (hh, peer->dials, dial, next) { dial_destroy (dial); }
  while ((session = TAILQ_FIRST (&peer->accepted)))
    session_close (session);
  evconnlistener_free (peer->listener);
  free (peer);
}

static struct dial *
find_dial (marjoram_peer *peer, const char *slot)
{
  struct dial *dial;

  HASH_FIND_STR (peer->dials, slot, dial);
  return dial;
}

static struct dial *
dial_create (marjoram_peer *peer, const char *slot)
{
  struct dial *dial = marjoram_alloc (sizeof *dial);

  dial->peer = peer;
  dial->slot = marjoram_strdup (slot);
  dial->timer = evtimer_new (peer->base, on_redial, dial);
  HASH_ADD_KEYPTR (hh, peer->dials, dial->slot, strlen (dial->slot), dial);
  return dial;
}

void
marjoram_peer_connect (marjoram_peer *peer, const char *slot,
                       const char *address, bool wanted)
{
  struct timeval at_once = { 0, 0 };
  struct dial *dial = find_dial (peer, slot);

  if (!wanted)
    {
      if (dial)
        dial_destroy (dial);
      return;
    }
  if (!dial)
    dial = dial_create (peer, slot);
  free (dial->address);
  dial->address = marjoram_strdup (address);
  if (dial->session)
    session_close (dial->session);
  evtimer_add (dial->timer, &at_once);
}

static struct session *
find_dialled (marjoram_peer *peer, const char *slot)
{
  struct dial *dial = find_dial (peer, slot);

  return dial && dial->session && dial->session->state == SESSION_OPEN
             ? dial->session
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
  struct session *session = find_dialled (peer, slot);

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
  struct session *session = find_dialled (peer, slot);

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

void
marjoram_peer_hang_up (marjoram_peer *peer, const char *slot)
{
  struct dial *dial = find_dial (peer, slot);

  if (dial && dial->session)
    session_close (dial->session);
}
