#include "state_fetch.h"

#include "cleanup.h"
#include "compress.h"

#include <event2/buffer.h>
#include <string.h>

enum
{
  /* A host asks a keeper of another region only if none of its own has said in
     this time that it holds the state; it is told again with each beat.  */
  FAR_MS = 300,
  /* A piece is waited for so many times as long as the one before took.  */
  PATIENCE = 4,
  /* After so many asks without a piece the wait is doubled.  Till then it is
     taken that a message was lost; if the link is full, each ask costs a piece
     more.  */
  ASKS_MAX = 3,
  /* Most rest after a piece: a slow answer of a busy keeper isn't the link's
     fault.  */
  REST_MAX_MS = 200,
  /* Of a state as it is packed, larger than all files together may be.  */
  STATE_MAX = MARJORAM_FRAME_MAX
};

struct marjoram_state_fetch
{
  const struct marjoram_state_fetch_ops *ops;
  void *context;
  struct marjoram_state_fetch_options options;
  struct marjoram_packed_state held;
  bool whole; /* the difference could not be read: ask for all of it */

  uint64_t offered;    /* the highest number that a keeper told of */
  int64_t offered_at;  /* when that was first heard */
  char *keeper;        /* that is asked; null: none */
  uint64_t number;     /* that it was asked for */
  uint64_t base;       /* against which the pieces are compressed */
  uint64_t size;       /* of all pieces; 0 before the first */
  struct evbuffer *in; /* the pieces that came */
  int pieces;
  int64_t started_at;
  int64_t wanted_at; /* when the next piece was first asked for */
  int64_t asked_at;
  int64_t patience_ms; /* within which a piece is to come */
  int asks;            /* for the next piece */
  int64_t ask_at;      /* when the next piece is to be asked for; 0: it is */
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
  fetch->patience_ms = options->stalled_ms;
  fetch->in = evbuffer_new ();
  return fetch;
}

static void
stop (marjoram_state_fetch *fetch)
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
  stop (fetch);
  marjoram_packed_state_clear (&fetch->held);
  evbuffer_free (fetch->in);
  free (fetch);
}

static void
ask (marjoram_state_fetch *fetch, int64_t now)
{
  const bool whole = fetch->whole || fetch->held.number == 0;
  const struct marjoram_state_ask message
      = { .number = fetch->number,
          .base = whole ? 0 : fetch->held.number,
          .base_digest = whole ? 0 : fetch->held.digest,
          .offset = evbuffer_get_length (fetch->in) };

  if (fetch->asks++ == 0)
    fetch->wanted_at = now;
  fetch->asked_at = now;
  fetch->ask_at = 0;
  fetch->ops->ask (fetch->context, fetch->keeper, &message);
}

static void
begin (marjoram_state_fetch *fetch, uint64_t number)
{
  evbuffer_drain (fetch->in, evbuffer_get_length (fetch->in));
  fetch->number = number;
  fetch->size = 0;
  fetch->pieces = 0;
}

/* Another keeper goes on where the one before it stopped.  Begun anew after
   each break, a large state would never come over a link that breaks now and
   then, and fill it.  */
static void
start (marjoram_state_fetch *fetch, int64_t now, const char *keeper,
       uint64_t number)
{
  const bool goes_on
      = evbuffer_get_length (fetch->in) > 0 && number >= fetch->number;

  stop (fetch);
  fetch->keeper = marjoram_strdup (keeper);
  if (!goes_on)
    {
      fetch->started_at = now;
      begin (fetch, number);
    }
  ask (fetch, now);
}

static void
set_patience (marjoram_state_fetch *fetch, int64_t ms)
{
  const struct marjoram_state_fetch_options *options = &fetch->options;

  if (ms < options->stalled_ms)
    ms = options->stalled_ms;
  if (ms > options->stalled_max_ms)
    ms = options->stalled_max_ms;
  fetch->patience_ms = ms;
}

static bool
is_under_way (const marjoram_state_fetch *fetch, int64_t now)
{
  return fetch->keeper
         && (fetch->ask_at > 0 || now < fetch->asked_at + fetch->patience_ms);
}

void
marjoram_state_fetch_heard (marjoram_state_fetch *fetch, int64_t now,
                            const char *keeper, bool near, uint64_t number)
{
  if (number <= fetch->held.number)
    return;
  if (number > fetch->offered)
    {
      fetch->offered = number;
      fetch->offered_at = now;
    }
  if (is_under_way (fetch, now) || (!near && now < fetch->offered_at + FAR_MS))
    return;
  if (fetch->asks >= ASKS_MAX)
    set_patience (fetch, 2 * fetch->patience_ms);
  start (fetch, now, keeper, number);
}

static struct marjoram_fetch_facts
facts_of (const marjoram_state_fetch *fetch, int64_t now)
{
  const struct marjoram_fetch_facts facts
      = { fetch->keeper, fetch->base, fetch->size, fetch->pieces,
          now - fetch->started_at };

  return facts;
}

/* Never a lower number, which another host may have sent as a higher one.  */
static bool
may_take (const struct marjoram_state_fetch *fetch,
          const struct marjoram_state *state, struct marjoram_error *err)
{
  if (state->number <= fetch->held.number)
    return marjoram_error_set (
        err, MARJORAM_ERROR_CORRUPT,
        "state %llu came as %llu; if this goes on, restart the host that gave "
        "it",
        (unsigned long long)state->number, (unsigned long long)fetch->number);
  return !fetch->ops->valid || fetch->ops->valid (fetch->context, state, err);
}

/* The state in the pieces that came; null with ERR set if it can't be
   taken.  */
static struct marjoram_state *
unpack (marjoram_state_fetch *fetch, struct marjoram_packed_state *packed,
        struct marjoram_error *err)
{
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *in
      = marjoram_bytes_create (evbuffer_pullup (fetch->in, -1),
                               evbuffer_get_length (fetch->in));
  marjoram_bytes *bytes = marjoram_decompress (
      in, fetch->base > 0 ? fetch->held.bytes : NULL, STATE_MAX, err);
  struct marjoram_state *state = NULL;

  if (bytes)
    *packed = marjoram_packed_state_read (bytes, &state, err);
  if (!state || may_take (fetch, state, err))
    return state;
  marjoram_packed_state_clear (packed);
  marjoram_state_destroy (state);
  return NULL;
}

static void
finish (marjoram_state_fetch *fetch, int64_t now)
{
  struct marjoram_fetch_facts facts = facts_of (fetch, now);
  struct marjoram_packed_state packed = { 0 };
  struct marjoram_error err = { 0 };
  struct marjoram_state *state = unpack (fetch, &packed, &err);

  evbuffer_drain (fetch->in, evbuffer_get_length (fetch->in));
  fetch->patience_ms = fetch->options.stalled_ms;
  if (!state)
    {
      fetch->whole = true;
      fetch->ops->failed (fetch->context, &facts, &err);
      stop (fetch);
      return;
    }
  marjoram_packed_state_clear (&fetch->held);
  fetch->held = packed;
  fetch->whole = false;
  fetch->ops->fetched (fetch->context, state, &facts);
  marjoram_state_destroy (state);
  stop (fetch);
}

static bool
goes_together (const struct marjoram_state_fetch *fetch,
               const struct marjoram_state_piece *piece)
{
  return piece->size == fetch->size && piece->base == fetch->base;
}

/* Whether PIECE is the one that was asked for.  The first one may be of a
   higher state, if the keeper no longer holds the one that was named.  */
static bool
is_next (marjoram_state_fetch *fetch, const struct marjoram_state_piece *piece)
{
  if (piece->offset == 0 && piece->number > fetch->number)
    begin (fetch, piece->number);
  return piece->number == fetch->number
         && piece->offset == evbuffer_get_length (fetch->in)
         && marjoram_bytes_size (piece->bytes) > 0 && piece->size <= STATE_MAX
         && (fetch->size == 0 || goes_together (fetch, piece))
         && (piece->base == 0 || piece->base == fetch->held.number);
}

/* Whether the keeper goes on with another pack than the one before it: it may
   lack the base, or be of another make.  */
static bool
is_of_another_pack (const struct marjoram_state_fetch *fetch,
                    const struct marjoram_state_piece *piece)
{
  return fetch->size > 0 && piece->number == fetch->number
         && piece->offset == evbuffer_get_length (fetch->in)
         && !goes_together (fetch, piece);
}

/* A host without any state serves nobody, and does not rest.  */
static void
rest (marjoram_state_fetch *fetch, int64_t now)
{
  int64_t took = now - fetch->wanted_at;

  if (fetch->held.number == 0)
    {
      ask (fetch, now);
      return;
    }
  fetch->ask_at = now + (took < REST_MAX_MS ? took : REST_MAX_MS);
}

/* One that was late and then asked for of another keeper is as good.  */
void
marjoram_state_fetch_piece (marjoram_state_fetch *fetch, int64_t now,
                            const char *keeper,
                            const struct marjoram_state_piece *piece)
{
  if (!fetch->keeper || fetch->ask_at > 0)
    return;
  if (strcmp (fetch->keeper, keeper) == 0 && is_of_another_pack (fetch, piece))
    {
      begin (fetch, fetch->number);
      ask (fetch, now);
      return;
    }
  if (!is_next (fetch, piece))
    return;
  fetch->base = piece->base;
  fetch->size = piece->size;
  fetch->pieces++;
  set_patience (fetch, PATIENCE * (now - fetch->wanted_at));
  fetch->asks = 0;
  evbuffer_add (fetch->in, marjoram_bytes_data (piece->bytes),
                marjoram_bytes_size (piece->bytes));
  if (evbuffer_get_length (fetch->in) >= fetch->size)
    finish (fetch, now);
  else
    rest (fetch, now);
}

/* A difference from the state that was held before can't be read any more.  */
void
marjoram_state_fetch_hold (marjoram_state_fetch *fetch, int64_t now,
                           const struct marjoram_state *state)
{
  if (state->number <= fetch->held.number)
    return;
  marjoram_packed_state_clear (&fetch->held);
  fetch->held = marjoram_packed_state_make (state);
  fetch->whole = false;
  begin (fetch, fetch->number);
  fetch->asks = 0;
  if (fetch->number <= state->number)
    stop (fetch);
  else if (fetch->keeper)
    ask (fetch, now);
}

void
marjoram_state_fetch_lost (marjoram_state_fetch *fetch, const char *keeper)
{
  if (fetch->keeper && strcmp (fetch->keeper, keeper) == 0)
    {
      stop (fetch);
      fetch->asks = 0;
    }
}

void
marjoram_state_fetch_tick (marjoram_state_fetch *fetch, int64_t now)
{
  if (fetch->keeper && fetch->ask_at > 0 && now >= fetch->ask_at)
    ask (fetch, now);
}
