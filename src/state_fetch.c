#include "state_fetch.h"

#include "cleanup.h"
#include "compress.h"

#include <event2/buffer.h>
#include <string.h>

enum
{
  /* Time for keepers of the host's own region to announce a state before it
     is requested from another region; announcements repeat with heartbeats. */
  REMOTE_DELAY_MS = 300,
  /* Timeout for a piece, as a multiple of the time that the last one took.  */
  TIMEOUT_FACTOR = 4,
  /* Unanswered requests for a piece after which the timeout doubles.  Fewer
     are attributed to message loss; on a congested link each further request
     adds another copy of the piece.  */
  ASKS_BEFORE_BACKOFF = 3,
  /* Upper limit of the pause after a piece, since a slow response can also be
     due to a busy keeper.  */
  PAUSE_MAX_MS = 200,
  /* Serialized size, above the limit for all files together.  */
  STATE_SIZE_MAX = MARJORAM_FRAME_MAX
};

struct marjoram_state_fetch
{
  const struct marjoram_state_fetch_ops *ops;
  void *context;
  struct marjoram_state_fetch_options options;
  struct marjoram_packed_state current;
  bool full; /* request a full transfer: the last one failed */

  uint64_t announced;   /* the highest number announced */
  int64_t announced_at; /* when that was first announced */
  char *keeper;         /* source of the transfer; null: none */
  uint64_t number;      /* of the requested state */
  uint64_t base;        /* of the pieces' delta; 0: none */
  uint64_t size;        /* of all pieces together; 0 before the first */
  struct evbuffer *received;
  int pieces;
  int64_t started_at;
  int64_t first_asked_at; /* first request for the next piece */
  int64_t asked_at;
  int64_t timeout_ms; /* timeout for a piece */
  int asks;           /* requests for the next piece */
  int64_t ask_at;     /* when to request the next piece; 0: already done */
};

marjoram_state_fetch *
marjoram_state_fetch_create (
    const struct marjoram_state_fetch_options *options,
    const struct marjoram_state_fetch_ops *ops, void *context)
{
  marjoram_state_fetch *fetch = marjoram_alloc (sizeof *fetch);

  fetch->ops = ops;
  fetch->context = context;
  fetch->options = *options;
  fetch->timeout_ms = options->piece_timeout_ms;
  fetch->received = evbuffer_new ();
  return fetch;
}

static void
stop_transfer (marjoram_state_fetch *fetch)
{
  free (fetch->keeper);
  fetch->keeper = NULL;
  fetch->ask_at = 0;
}

void
marjoram_state_fetch_destroy (marjoram_state_fetch *fetch)
{
  if (!fetch)
    return;
  stop_transfer (fetch);
  marjoram_packed_state_clear (&fetch->current);
  evbuffer_free (fetch->received);
  free (fetch);
}

static void
ask (marjoram_state_fetch *fetch, int64_t now)
{
  const bool full = fetch->full || fetch->current.number == 0;
  const struct marjoram_state_ask message
      = { .number = fetch->number,
          .base = full ? 0 : fetch->current.number,
          .base_digest = full ? 0 : fetch->current.digest,
          .offset = evbuffer_get_length (fetch->received) };

  if (fetch->asks++ == 0)
    fetch->first_asked_at = now;
  fetch->asked_at = now;
  fetch->ask_at = 0;
  fetch->ops->ask (fetch->context, fetch->keeper, &message);
}

static void
reset_transfer (marjoram_state_fetch *fetch, uint64_t number)
{
  evbuffer_drain (fetch->received, evbuffer_get_length (fetch->received));
  fetch->number = number;
  fetch->size = 0;
  fetch->pieces = 0;
}

/* Resumes an incomplete transfer with another keeper.  Restarting after each
   disconnection would keep a large state from ever completing over an unstable
   link.  */
static void
start_transfer (marjoram_state_fetch *fetch, int64_t now, const char *keeper,
                uint64_t number)
{
  const bool resumes
      = evbuffer_get_length (fetch->received) > 0 && number >= fetch->number;

  stop_transfer (fetch);
  fetch->keeper = marjoram_strdup (keeper);
  if (!resumes)
    {
      fetch->started_at = now;
      reset_transfer (fetch, number);
    }
  ask (fetch, now);
}

static void
set_timeout (marjoram_state_fetch *fetch, int64_t ms)
{
  const struct marjoram_state_fetch_options *options = &fetch->options;

  if (ms < options->piece_timeout_ms)
    ms = options->piece_timeout_ms;
  if (ms > options->piece_timeout_max_ms)
    ms = options->piece_timeout_max_ms;
  fetch->timeout_ms = ms;
}

static bool
is_active (const marjoram_state_fetch *fetch, int64_t now)
{
  return fetch->keeper
         && (fetch->ask_at > 0 || now < fetch->asked_at + fetch->timeout_ms);
}

void
marjoram_state_fetch_announced (marjoram_state_fetch *fetch, int64_t now,
                                const char *keeper, bool same_region,
                                uint64_t number)
{
  if (number <= fetch->current.number)
    return;
  if (number > fetch->announced)
    {
      fetch->announced = number;
      fetch->announced_at = now;
    }
  if (is_active (fetch, now)
      || (!same_region && now < fetch->announced_at + REMOTE_DELAY_MS))
    return;
  if (fetch->asks >= ASKS_BEFORE_BACKOFF)
    set_timeout (fetch, 2 * fetch->timeout_ms);
  start_transfer (fetch, now, keeper, number);
}

static struct marjoram_fetch_stats
stats_of (const marjoram_state_fetch *fetch, int64_t now)
{
  const struct marjoram_fetch_stats stats
      = { fetch->keeper, fetch->base, fetch->size, fetch->pieces,
          now - fetch->started_at };

  return stats;
}

/* Rejects a state whose own number is not higher, whatever number its pieces
   were sent under.  */
static bool
is_acceptable (const struct marjoram_state_fetch *fetch,
               const struct marjoram_state *state, struct marjoram_error *err)
{
  if (state->number <= fetch->current.number)
    return marjoram_error_set (
        err, MARJORAM_ERROR_CORRUPT,
        "state %llu was sent as state %llu; if this persists, restart the "
        "sending host",
        (unsigned long long)state->number, (unsigned long long)fetch->number);
  return !fetch->ops->valid || fetch->ops->valid (fetch->context, state, err);
}

/* Returns the state in the received pieces, or null with ERR set if it is
   unreadable or was rejected.  */
static struct marjoram_state *
unpack (marjoram_state_fetch *fetch, struct marjoram_packed_state *packed,
        struct marjoram_error *err)
{
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *received
      = marjoram_bytes_create (evbuffer_pullup (fetch->received, -1),
                               evbuffer_get_length (fetch->received));
  marjoram_bytes *bytes = marjoram_decompress (
      received, fetch->base > 0 ? fetch->current.bytes : NULL, STATE_SIZE_MAX,
      err);
  struct marjoram_state *state = NULL;

  if (bytes)
    *packed = marjoram_packed_state_read (bytes, &state, err);
  if (!state || is_acceptable (fetch, state, err))
    return state;
  marjoram_packed_state_clear (packed);
  marjoram_state_destroy (state);
  return NULL;
}

static void
finish (marjoram_state_fetch *fetch, int64_t now)
{
  struct marjoram_fetch_stats stats = stats_of (fetch, now);
  struct marjoram_packed_state packed = { 0 };
  struct marjoram_error err = { 0 };
  struct marjoram_state *state = unpack (fetch, &packed, &err);

  evbuffer_drain (fetch->received, evbuffer_get_length (fetch->received));
  fetch->timeout_ms = fetch->options.piece_timeout_ms;
  if (!state)
    {
      fetch->full = true;
      fetch->ops->failed (fetch->context, &stats, &err);
      stop_transfer (fetch);
      return;
    }
  marjoram_packed_state_clear (&fetch->current);
  fetch->current = packed;
  fetch->full = false;
  fetch->ops->fetched (fetch->context, state, &stats);
  marjoram_state_destroy (state);
  stop_transfer (fetch);
}

static bool
is_same_encoding (const struct marjoram_state_fetch *fetch,
                  const struct marjoram_state_piece *piece)
{
  return piece->size == fetch->size && piece->base == fetch->base;
}

/* Returns whether PIECE is the requested one.  The first piece may be of a
   newer state, if the keeper no longer has the requested one.  */
static bool
is_next (marjoram_state_fetch *fetch, const struct marjoram_state_piece *piece)
{
  if (piece->offset == 0 && piece->number > fetch->number)
    reset_transfer (fetch, piece->number);
  return piece->number == fetch->number
         && piece->offset == evbuffer_get_length (fetch->received)
         && marjoram_bytes_size (piece->bytes) > 0
         && piece->size <= STATE_SIZE_MAX
         && (fetch->size == 0 || is_same_encoding (fetch, piece))
         && (piece->base == 0 || piece->base == fetch->current.number);
}

/* Returns whether PIECE belongs to another encoding of the state than the
   pieces before it: the keeper may lack the base or run another release.  */
static bool
is_other_encoding (const struct marjoram_state_fetch *fetch,
                   const struct marjoram_state_piece *piece)
{
  return fetch->size > 0 && piece->number == fetch->number
         && piece->offset == evbuffer_get_length (fetch->received)
         && !is_same_encoding (fetch, piece);
}

/* A host without any state can't serve requests and so doesn't pause.  */
static void
schedule_next (marjoram_state_fetch *fetch, int64_t now)
{
  int64_t elapsed_ms = now - fetch->first_asked_at;

  if (fetch->current.number == 0)
    {
      ask (fetch, now);
      return;
    }
  fetch->ask_at
      = now + (elapsed_ms < PAUSE_MAX_MS ? elapsed_ms : PAUSE_MAX_MS);
}

/* A late piece is accepted from any keeper, also if it was requested again
   from another one.  */
void
marjoram_state_fetch_receive_piece (marjoram_state_fetch *fetch, int64_t now,
                                    const char *keeper,
                                    const struct marjoram_state_piece *piece)
{
  if (!fetch->keeper || fetch->ask_at > 0)
    return;
  if (strcmp (fetch->keeper, keeper) == 0 && is_other_encoding (fetch, piece))
    {
      reset_transfer (fetch, fetch->number);
      ask (fetch, now);
      return;
    }
  if (!is_next (fetch, piece))
    return;
  fetch->base = piece->base;
  fetch->size = piece->size;
  fetch->pieces++;
  set_timeout (fetch, TIMEOUT_FACTOR * (now - fetch->first_asked_at));
  fetch->asks = 0;
  evbuffer_add (fetch->received, marjoram_bytes_data (piece->bytes),
                marjoram_bytes_size (piece->bytes));
  if (evbuffer_get_length (fetch->received) >= fetch->size)
    finish (fetch, now);
  else
    schedule_next (fetch, now);
}

/* Discards the received pieces: a delta against the former state can't be
   decoded any more.  */
void
marjoram_state_fetch_set_current (marjoram_state_fetch *fetch, int64_t now,
                                  const struct marjoram_state *state)
{
  if (state->number <= fetch->current.number)
    return;
  marjoram_packed_state_clear (&fetch->current);
  fetch->current = marjoram_packed_state_make (state);
  fetch->full = false;
  reset_transfer (fetch, fetch->number);
  fetch->asks = 0;
  if (fetch->number <= state->number)
    stop_transfer (fetch);
  else if (fetch->keeper)
    ask (fetch, now);
}

void
marjoram_state_fetch_disconnected (marjoram_state_fetch *fetch,
                                   const char *keeper)
{
  if (fetch->keeper && strcmp (fetch->keeper, keeper) == 0)
    {
      stop_transfer (fetch);
      fetch->asks = 0;
    }
}

void
marjoram_state_fetch_tick (marjoram_state_fetch *fetch, int64_t now)
{
  if (fetch->keeper && fetch->ask_at > 0 && now >= fetch->ask_at)
    ask (fetch, now);
}
