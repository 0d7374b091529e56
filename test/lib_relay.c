#include "lib_relay.h"

#include "cleanup.h"
#include "clock.h"
#include "random.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <errno.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  BACKLOG = 1024,
  WATCH_MS = 20,
  /* How much later data arrives if it is lost once, and a connection opens if
     its first packet is.  */
  REPEATED_DATA_MS = 250,
  REPEATED_OPEN_MS = 1000,
  PER_MILLE = 1000,
  COPY_MS = 60, /* after a refusal */
  USEC_PER_SEC = 1000000,
  USEC_PER_MS = 1000
};

/* One unbounded FIFO per direction, shared by all connections on the
   link.  */
struct relay_link
{
  int64_t bytes_per_second;
  int64_t free_us[2]; /* end of transmission to and from the host */
};

struct pair;

struct side
{
  struct pair *pair;
  struct bufferevent *stream;
};

/* Data in transit; an empty parcel is end of file.  */
struct parcel
{
  STAILQ_ENTRY (parcel) entries;
  int64_t due;
  struct side *to;
  struct evbuffer *bytes;
};

struct pair
{
  LIST_ENTRY (pair) entries;
  struct relay *relay;
  int64_t opens_at;    /* data sent before arrives no sooner */
  struct side side[2]; /* client, target */
  STAILQ_HEAD (parcels, parcel) parcels;
  struct event *timer;
  bool connected; /* connected or connecting to the target */
  bool silent;
  bool stalled;
  bool closing;
};

struct relay
{
  struct event_base *base;
  struct evconnlistener *listener;
  struct event *watch; /* polls for the target to come back */
  struct sockaddr_storage address;
  struct sockaddr_storage target;
  int address_size;
  int target_size;
  enum relay_mode mode;
  int64_t delay_ms;
  int loss_per_mille;
  marjoram_random *random; /* of losses; NULL without */
  struct relay_link *link; /* or NULL */
  bool link_at_target;     /* the link belongs to the target */
  bool downgrades;         /* requests to HTTP/1.0 */
  bool copies_refusals;
  uint64_t connections;
  uint64_t bytes;
  LIST_HEAD (pairs, pair) pairs;
};

static bool start_listening (struct relay *relay);

static int64_t
now_ms (void)
{
  return marjoram_clock_now (marjoram_clock_system ());
}

/* Returns whether the target refuses connections.  On a loopback address,
   connect returns immediately.  */
static bool
target_refuses (const struct relay *relay)
{
  int fd = socket (relay->target.ss_family, SOCK_STREAM | SOCK_NONBLOCK, 0);
  int fault = 0;
  socklen_t size = sizeof fault;

  if (connect (fd, (const struct sockaddr *)&relay->target,
               (socklen_t)relay->target_size)
          < 0
      && errno != EINPROGRESS)
    fault = errno;
  else
    getsockopt (fd, SOL_SOCKET, SO_ERROR, &fault, &size);
  close (fd);
  return fault == ECONNREFUSED;
}

static void
stop_listening (struct relay *relay)
{
  if (relay->listener)
    evconnlistener_free (relay->listener);
  relay->listener = NULL;
}

static void
schedule_watch (struct relay *relay)
{
  event_add (relay->watch, &(struct timeval){ 0, WATCH_MS * 1000L });
}

/* Stops listening when the target process is dead, so that the relay does not
   hide it.  Checked before end of file is forwarded, so that a client that
   reconnects at once is refused.  */
static void
check_target (struct relay *relay)
{
  if (relay->mode != RELAY_PASS || !relay->listener || !target_refuses (relay))
    return;
  stop_listening (relay);
  schedule_watch (relay);
}

static void
on_watch_timer (evutil_socket_t fd, short what, void *context)
{
  struct relay *relay = context;

  (void)fd;
  (void)what;
  if (relay->mode == RELAY_REFUSE || relay->listener)
    return;
  if ((relay->mode == RELAY_PASS && target_refuses (relay))
      || !start_listening (relay))
    schedule_watch (relay);
}

static void
pair_destroy (struct pair *pair)
{
  struct parcel *parcel;

  while ((parcel = STAILQ_FIRST (&pair->parcels)))
    {
      STAILQ_REMOVE_HEAD (&pair->parcels, entries);
      if (parcel->bytes)
        evbuffer_free (parcel->bytes);
      free (parcel);
    }
  LIST_REMOVE (pair, entries);
  event_free (pair->timer);
  bufferevent_free (pair->side[0].stream);
  bufferevent_free (pair->side[1].stream);
  free (pair);
}

static struct side *
opposite_side (struct side *side)
{
  struct pair *pair = side->pair;

  return side == &pair->side[0] ? &pair->side[1] : &pair->side[0];
}

/* Closes both sides once pending output is written.  */
static void
close_after_flush (struct side *to)
{
  struct evbuffer *output = bufferevent_get_output (to->stream);

  to->pair->closing = true;
  bufferevent_disable (to->stream, EV_READ);
  bufferevent_disable (opposite_side (to)->stream, EV_READ | EV_WRITE);
  if (!evbuffer_get_length (output))
    pair_destroy (to->pair);
}

static void
schedule_delivery (struct pair *pair)
{
  struct parcel *first = STAILQ_FIRST (&pair->parcels);
  int64_t wait;

  if (!first)
    return;
  wait = first->due - now_ms ();
  if (wait < 0)
    wait = 0;
  event_add (pair->timer,
             &(struct timeval){ wait / 1000, wait % 1000 * 1000L });
}

static void
deliver_due_parcels (evutil_socket_t fd, short what, void *context)
{
  struct pair *pair = context;
  struct parcel *parcel;

  (void)fd;
  (void)what;
  if (pair->silent || pair->stalled || pair->relay->mode == RELAY_HOLD)
    return;
  while ((parcel = STAILQ_FIRST (&pair->parcels)) && parcel->due <= now_ms ())
    {
      struct side *to = parcel->to;
      struct evbuffer *bytes = parcel->bytes;

      STAILQ_REMOVE_HEAD (&pair->parcels, entries);
      free (parcel);
      if (!bytes)
        {
          close_after_flush (to);
          return;
        }
      bufferevent_write_buffer (to->stream, bytes);
      evbuffer_free (bytes);
    }
  schedule_delivery (pair);
}

/* Returns when SIZE bytes sent to TO now have passed the link, if any.  */
static int64_t
link_delivery_ms (const struct side *to, size_t size)
{
  const struct relay *relay = to->pair->relay;
  struct relay_link *link = relay->link;
  bool to_target = to == &to->pair->side[1];
  int64_t now_us = now_ms () * USEC_PER_MS;
  int64_t *free_us;

  if (!link)
    return now_ms ();
  free_us = &link->free_us[to_target == relay->link_at_target ? 0 : 1];
  if (*free_us < now_us)
    *free_us = now_us;
  *free_us += (int64_t)size * USEC_PER_SEC / link->bytes_per_second;
  return *free_us / USEC_PER_MS;
}

static int64_t
loss_ms (struct relay *relay, int64_t ms)
{
  if (!relay->random
      || marjoram_random_below (relay->random, PER_MILLE)
             >= (uint32_t)relay->loss_per_mille)
    return 0;
  return ms;
}

static int64_t
delivery_ms (struct pair *pair, const struct side *to, size_t size)
{
  struct relay *relay = pair->relay;
  int64_t due = link_delivery_ms (to, size);

  if (due < pair->opens_at)
    due = pair->opens_at;
  return due + relay->delay_ms + loss_ms (relay, REPEATED_DATA_MS);
}

/* Inserts PARCEL by delivery time.  Order is kept within a direction; a slow
   direction does not delay the other.  */
static void
enqueue (struct pair *pair, struct parcel *parcel)
{
  struct parcel *before = NULL;
  struct parcel *queued;

  STAILQ_FOREACH (queued, &pair->parcels, entries)
  {
    if (queued->to == parcel->to || queued->due <= parcel->due)
      before = queued;
  }
  if (before)
    STAILQ_INSERT_AFTER (&pair->parcels, before, parcel, entries);
  else
    STAILQ_INSERT_HEAD (&pair->parcels, parcel, entries);
}

static void
downgrade_requests (struct evbuffer *bytes)
{
  static const char version[] = " HTTP/1.1\r\n";
  const size_t minor = strlen (" HTTP/1.");
  struct evbuffer_ptr at
      = evbuffer_search (bytes, version, strlen (version), NULL);

  while (at.pos >= 0)
    {
      evbuffer_pullup (bytes, -1)[(size_t)at.pos + minor] = '0';
      at = evbuffer_search (bytes, version, strlen (version), NULL);
    }
}

static bool
is_refusal (struct evbuffer *bytes)
{
  static const char *const starts[] = { "HTTP/1.1 503", "HTTP/1.1 429" };
  char start[sizeof "HTTP/1.1 503"] = "";

  evbuffer_copyout (bytes, start, sizeof start - 1);
  return strcmp (start, starts[0]) == 0 || strcmp (start, starts[1]) == 0;
}

static void
enqueue_copy (struct pair *pair, const struct parcel *parcel)
{
  struct parcel *copy = marjoram_alloc (sizeof *copy);
  const size_t size = evbuffer_get_length (parcel->bytes);

  *copy = (struct parcel){ .due = parcel->due + COPY_MS,
                           .to = parcel->to,
                           .bytes = evbuffer_new () };
  evbuffer_add (copy->bytes, evbuffer_pullup (parcel->bytes, -1), size);
  enqueue (pair, copy);
}

/* Queues all input of FROM, or its end of file, for the other side.  */
static void
forward_input (struct side *from, bool end)
{
  struct pair *pair = from->pair;
  struct parcel *parcel = marjoram_alloc (sizeof *parcel);
  size_t size = 0;

  *parcel = (struct parcel){ .to = opposite_side (from) };
  if (!end)
    {
      parcel->bytes = evbuffer_new ();
      evbuffer_add_buffer (parcel->bytes,
                           bufferevent_get_input (from->stream));
      if (pair->relay->downgrades && from == &pair->side[0])
        downgrade_requests (parcel->bytes);
      size = evbuffer_get_length (parcel->bytes);
      pair->relay->bytes += size;
    }
  parcel->due = delivery_ms (pair, parcel->to, size);
  enqueue (pair, parcel);
  if (pair->relay->copies_refusals && parcel->bytes && from == &pair->side[1]
      && is_refusal (parcel->bytes))
    enqueue_copy (pair, parcel);
  if (parcel->due <= now_ms () && STAILQ_FIRST (&pair->parcels) == parcel)
    deliver_due_parcels (-1, 0, pair);
  else
    schedule_delivery (pair);
}

static void
on_read (struct bufferevent *stream, void *context)
{
  struct side *side = context;

  (void)stream;
  forward_input (side, false);
}

static void
on_write (struct bufferevent *stream, void *context)
{
  struct side *side = context;

  (void)stream;
  if (side->pair->closing)
    pair_destroy (side->pair);
}

static void
on_event (struct bufferevent *stream, short what, void *context)
{
  struct side *side = context;

  (void)stream;
  if (what & BEV_EVENT_CONNECTED)
    return;
  if (side == &side->pair->side[1])
    check_target (side->pair->relay);
  if (side->pair->closing || (what & BEV_EVENT_ERROR))
    pair_destroy (side->pair);
  else
    forward_input (side, true);
}

static void
pair_connect (struct pair *pair)
{
  pair->connected = true;
  bufferevent_enable (pair->side[0].stream, EV_READ);
  if (pair->relay->mode != RELAY_HOLD_ANSWERS)
    bufferevent_enable (pair->side[1].stream, EV_READ);
  if (bufferevent_socket_connect (pair->side[1].stream,
                                  (struct sockaddr *)&pair->relay->target,
                                  pair->relay->target_size))
    pair_destroy (pair);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int size, void *context)
{
  struct relay *relay = context;
  struct pair *pair = marjoram_alloc (sizeof *pair);
  int fds[2] = { fd, -1 };

  (void)listener;
  (void)address;
  (void)size;
  *pair = (struct pair){ .relay = relay };
  if (relay->random)
    pair->opens_at = now_ms () + loss_ms (relay, REPEATED_OPEN_MS);
  STAILQ_INIT (&pair->parcels);
  pair->timer = event_new (relay->base, -1, 0, deliver_due_parcels, pair);
  for (int i = 0; i < 2; i++)
    {
      pair->side[i].pair = pair;
      pair->side[i].stream = bufferevent_socket_new (
          relay->base, fds[i],
          BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
      bufferevent_setcb (pair->side[i].stream, on_read, on_write, on_event,
                         &pair->side[i]);
    }
  LIST_INSERT_HEAD (&relay->pairs, pair, entries);
  relay->connections++;
  if (relay->mode == RELAY_PASS || relay->mode == RELAY_HOLD_ANSWERS)
    pair_connect (pair);
}

static bool
start_listening (struct relay *relay)
{
  if (!relay->listener)
    relay->listener = evconnlistener_new_bind (
        relay->base, on_accept, relay,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        BACKLOG, (struct sockaddr *)&relay->address, relay->address_size);
  return relay->listener;
}

struct relay *
relay_create (struct event_base *base, const char *address, const char *target)
{
  struct relay *relay = marjoram_alloc (sizeof *relay);

  *relay = (struct relay){ .base = base,
                           .address_size = sizeof relay->address,
                           .target_size = sizeof relay->target };
  relay->watch = event_new (base, -1, 0, on_watch_timer, relay);
  LIST_INIT (&relay->pairs);
  if (evutil_parse_sockaddr_port (address, (struct sockaddr *)&relay->address,
                                  &relay->address_size)
      || evutil_parse_sockaddr_port (target, (struct sockaddr *)&relay->target,
                                     &relay->target_size)
      || !start_listening (relay))
    {
      event_free (relay->watch);
      free (relay);
      return NULL;
    }
  return relay;
}

static void
for_each_pair (struct relay *relay, void (*change) (struct pair *))
{
  struct pair *pair;
  struct pair *next;

  for (pair = LIST_FIRST (&relay->pairs); pair; pair = next)
    {
      next = LIST_NEXT (pair, entries);
      change (pair);
    }
}

static void
pause_reading (struct pair *pair)
{
  if (pair->closing)
    return;
  bufferevent_disable (pair->side[0].stream, EV_READ);
  bufferevent_disable (pair->side[1].stream, EV_READ);
}

static void
pause_answers (struct pair *pair)
{
  if (!pair->closing)
    bufferevent_disable (pair->side[1].stream, EV_READ);
}

static void
silence_pair (struct pair *pair)
{
  pair->silent = true;
  pause_reading (pair);
  bufferevent_disable (pair->side[0].stream, EV_WRITE);
  bufferevent_disable (pair->side[1].stream, EV_WRITE);
}

static void
resume_pair (struct pair *pair)
{
  if (pair->silent || pair->stalled || pair->closing)
    return;
  if (!pair->connected)
    {
      pair_connect (pair);
      return;
    }
  bufferevent_enable (pair->side[0].stream, EV_READ);
  bufferevent_enable (pair->side[1].stream, EV_READ);
  schedule_delivery (pair);
}

void
relay_destroy (struct relay *relay)
{
  if (!relay)
    return;
  for_each_pair (relay, pair_destroy);
  stop_listening (relay);
  event_free (relay->watch);
  marjoram_random_destroy (relay->random);
  free (relay);
}

void
relay_set_mode (struct relay *relay, enum relay_mode mode)
{
  relay->mode = mode;
  if (mode == RELAY_REFUSE)
    {
      stop_listening (relay);
      return;
    }
  for_each_pair (relay, mode == RELAY_HOLD           ? pause_reading
                        : mode == RELAY_HOLD_ANSWERS ? pause_answers
                                                     : resume_pair);
  if (!start_listening (relay))
    schedule_watch (relay);
}

void
relay_set_delay (struct relay *relay, int64_t ms)
{
  relay->delay_ms = ms;
}

void
relay_set_loss (struct relay *relay, int per_mille, uint64_t seed)
{
  if (!relay->random)
    relay->random = marjoram_random_create (seed);
  relay->loss_per_mille = per_mille;
}

struct relay_link *
relay_link_create (int64_t bytes_per_second)
{
  struct relay_link *link = marjoram_alloc (sizeof *link);

  *link = (struct relay_link){ .bytes_per_second = bytes_per_second };
  return link;
}

void
relay_link_destroy (struct relay_link *link)
{
  free (link);
}

void
relay_set_link (struct relay *relay, struct relay_link *link, bool at_target)
{
  relay->link = link;
  relay->link_at_target = at_target;
}

void
relay_silence (struct relay *relay)
{
  for_each_pair (relay, silence_pair);
}

static void
stall_pair (struct pair *pair)
{
  pair->stalled = true;
  pause_reading (pair);
}

static void
release_pair (struct pair *pair)
{
  pair->stalled = false;
  resume_pair (pair);
}

void
relay_stall (struct relay *relay)
{
  for_each_pair (relay, stall_pair);
}

void
relay_release (struct relay *relay)
{
  for_each_pair (relay, release_pair);
}

void
relay_drop (struct relay *relay)
{
  for_each_pair (relay, pair_destroy);
}

uint64_t
relay_connections (const struct relay *relay)
{
  return relay->connections;
}

uint64_t
relay_bytes (const struct relay *relay)
{
  return relay->bytes;
}

void
relay_downgrade (struct relay *relay)
{
  relay->downgrades = true;
}

void
relay_copy_refusals (struct relay *relay)
{
  relay->copies_refusals = true;
}
