#include "spread.h"

#include "cleanup.h"
#include "log.h"
#include "state_fetch.h"
#include "state_giver.h"

#include <string.h>
#include <uthash.h>

enum
{
  /* A host that is cut off at its start serves by the highest state that it
     has found after this time.  */
  START_WAIT_MS = 3000,
  /* It waits longer for a state that it has heard of: whoever told of it may
     be gone, but usually others have it.  */
  HEARD_WAIT_MS = 10000,
  /* Within which a piece of the state is to come at first; and at most.  */
  STALLED_MS = 500,
  STALLED_MAX_MS = 4000,
  /* After a state that can't be taken; doubled each time, up to the second, so
     that a host at fault doesn't fill the link with it.  */
  REFUSED_WAIT_MS = 500,
  REFUSED_WAIT_MAX_MS = 8000
};

/* A host that was heard since this one's start.  */
struct heard
{
  UT_hash_handle hh;
  uint64_t number; /* that it told last; 0: its link broke since */
  char slot[MARJORAM_NAME_MAX + 1];
};

struct marjoram_spread
{
  const struct marjoram_spread_ops *ops;
  void *context;
  struct marjoram_state *state;
  char **keepers; /* of the settings */
  size_t keeper_count;
  struct heard *heard;
  uint64_t highest_heard;
  struct heard *teller; /* whom to ask; null: nobody */
  marjoram_state_fetch *fetch;
  marjoram_state_giver *giver;
  int64_t now; /* of the event in progress */
  int64_t started;
  int64_t refused_until; /* nobody is asked before */
  int64_t refused_wait_ms;
  bool ready;
};

static uint64_t
own_number (const marjoram_spread *spread)
{
  return spread->state ? spread->state->number : 0;
}

static struct heard *
find_heard (const marjoram_spread *spread, const char *slot)
{
  struct heard *heard;

  HASH_FIND_STR (spread->heard, slot, heard);
  return heard;
}

/* Null if SLOT is no name.  */
static struct heard *
note_heard (marjoram_spread *spread, const char *slot)
{
  struct heard *heard = find_heard (spread, slot);

  if (heard || strlen (slot) > MARJORAM_NAME_MAX)
    return heard;
  heard = marjoram_alloc (sizeof *heard);
  memcpy (heard->slot, slot, strlen (slot) + 1);
  HASH_ADD_STR (spread->heard, slot, heard);
  return heard;
}

/* The keepers are those of the state, or, before any, of the settings, which
   may name some that were replaced long ago.  */
static bool
heard_majority (const marjoram_spread *spread)
{
  const struct marjoram_keeper_member *members;
  size_t count = 0;

  if (spread->state && spread->state->members.count > 0)
    {
      members = spread->state->members.items;
      for (size_t i = 0; i < spread->state->members.count; i++)
        count += find_heard (spread, members[i].slot) != NULL;
      return 2 * count > spread->state->members.count;
    }
  for (size_t i = 0; i < spread->keeper_count; i++)
    count += find_heard (spread, spread->keepers[i]) != NULL;
  return 2 * count > spread->keeper_count;
}

static void
check_ready (marjoram_spread *spread, int64_t now)
{
  int64_t waited = now - spread->started;

  if (spread->ready || !spread->state)
    return;
  if (own_number (spread) < spread->highest_heard && waited < HEARD_WAIT_MS)
    return;
  spread->ready = waited >= START_WAIT_MS || heard_majority (spread);
}

/* ---- Fetching.  ---- */

static void
send_ask (void *context, const char *slot,
          const struct marjoram_state_ask *ask)
{
  marjoram_spread *spread = context;

  spread->ops->send_ask (spread->context, slot, ask);
}

/* Every text is checked against its digest.  */
static bool
is_whole (void *context, const struct marjoram_state *state,
          struct marjoram_error *err)
{
  const struct marjoram_file *file = state->files.items;

  (void)context;
  for (size_t i = 0; i < state->files.count; i++)
    {
      marjoram_auto_free char *digest = NULL;

      if (file[i].name && file[i].digest && file[i].text)
        digest = marjoram_digest (file[i].text, strlen (file[i].text));
      if (!digest || strcmp (digest, file[i].digest) != 0)
        return marjoram_error_set (err, MARJORAM_ERROR_CORRUPT,
                                   "file %s of state %llu is not whole; if "
                                   "this goes on, restart the host that gave "
                                   "it",
                                   file[i].name ? file[i].name
                                                : "without name",
                                   (unsigned long long)state->number);
    }
  return true;
}

static void
take (marjoram_spread *spread, struct marjoram_state *state)
{
  marjoram_state_destroy (spread->state);
  spread->state = state;
  marjoram_state_giver_set (spread->giver, state);
  marjoram_state_fetch_hold (spread->fetch, spread->now, state);
  spread->ops->adopted (spread->context, state);
  check_ready (spread, spread->now);
}

static void
take_fetched (void *context, const struct marjoram_state *state,
              const struct marjoram_fetch_facts *facts)
{
  marjoram_spread *spread = context;

  marjoram_log (MARJORAM_LOG_INFO,
                "state %llu came from %s: %zu bytes in %d pieces, %lld ms, "
                "against state %llu",
                (unsigned long long)state->number, facts->keeper, facts->bytes,
                facts->pieces, (long long)facts->ms,
                (unsigned long long)facts->base);
  spread->refused_wait_ms = REFUSED_WAIT_MS;
  take (spread, marjoram_state_copy (state));
}

static void
refuse (void *context, const struct marjoram_fetch_facts *facts,
        const struct marjoram_error *err)
{
  marjoram_spread *spread = context;

  marjoram_log (MARJORAM_LOG_WARNING,
                "a state from %s is not taken (%s); asking again in %lld ms",
                facts->keeper, err->message,
                (long long)spread->refused_wait_ms);
  spread->refused_until = spread->now + spread->refused_wait_ms;
  spread->refused_wait_ms *= 2;
  if (spread->refused_wait_ms > REFUSED_WAIT_MAX_MS)
    spread->refused_wait_ms = REFUSED_WAIT_MAX_MS;
}

static const struct marjoram_state_fetch_ops fetch_ops = {
  .ask = send_ask, .valid = is_whole, .fetched = take_fetched, .failed = refuse
};

/* SLOT can be asked for the state NUMBER.  */
static void
offer (marjoram_spread *spread, const char *slot, uint64_t number)
{
  if (number > own_number (spread) && spread->now >= spread->refused_until)
    marjoram_state_fetch_heard (spread->fetch, spread->now, slot, true,
                                number);
}

void
marjoram_spread_heard (marjoram_spread *spread, int64_t now, const char *slot,
                       uint64_t number)
{
  struct heard *heard = note_heard (spread, slot);

  spread->now = now;
  if (!heard)
    return;
  heard->number = number;
  if (number >= spread->highest_heard)
    {
      spread->highest_heard = number;
      spread->teller = heard;
    }
  offer (spread, slot, number);
  check_ready (spread, now);
}

/* Of those that can be asked, one that told of the highest number; null if
   there is none.  */
static struct heard *
best_teller (const marjoram_spread *spread)
{
  struct heard *best = NULL;

  for (struct heard *heard = spread->heard; heard; heard = heard->hh.next)
    if (heard->number > (best ? best->number : 0))
      best = heard;
  return best;
}

void
marjoram_spread_lost (marjoram_spread *spread, int64_t now, const char *slot)
{
  struct heard *heard = find_heard (spread, slot);

  spread->now = now;
  if (!heard)
    return;
  heard->number = 0;
  marjoram_state_fetch_lost (spread->fetch, slot);
  if (spread->teller == heard)
    spread->teller = best_teller (spread);
  if (spread->teller)
    offer (spread, spread->teller->slot, spread->teller->number);
}

void
marjoram_spread_receive_piece (marjoram_spread *spread, int64_t now,
                               const char *slot,
                               const struct marjoram_state_piece *piece)
{
  spread->now = now;
  marjoram_state_fetch_piece (spread->fetch, now, slot, piece);
}

/* ---- Giving.  ---- */

void
marjoram_spread_receive_ask (marjoram_spread *spread, int64_t now,
                             const char *slot,
                             const struct marjoram_state_ask *ask)
{
  struct marjoram_state_piece piece = { 0 };

  spread->now = now;
  if (!marjoram_state_giver_answer (spread->giver, ask, &piece))
    return;
  spread->ops->send_piece (spread->context, slot, &piece);
  marjoram_wire_clear (&marjoram_state_piece_layout, &piece);
}

/* ---- Life.  ---- */

marjoram_spread *
marjoram_spread_create (const struct marjoram_spread_options *options,
                        const struct marjoram_spread_ops *ops, void *context,
                        int64_t now)
{
  const struct marjoram_state_fetch_options fetch
      = { .stalled_ms = STALLED_MS, .stalled_max_ms = STALLED_MAX_MS };
  marjoram_spread *spread = marjoram_alloc (sizeof *spread);

  spread->ops = ops;
  spread->context = context;
  spread->now = now;
  spread->started = now;
  spread->refused_until = now;
  spread->refused_wait_ms = REFUSED_WAIT_MS;
  spread->fetch = marjoram_state_fetch_create (&fetch, &fetch_ops, spread);
  spread->giver = marjoram_state_giver_create ();
  spread->keeper_count = options->keeper_count;
  spread->keepers = marjoram_alloc (options->keeper_count * sizeof (char *));
  for (size_t i = 0; i < options->keeper_count; i++)
    spread->keepers[i] = marjoram_strdup (options->keepers[i]);
  return spread;
}

void
marjoram_spread_destroy (marjoram_spread *spread)
{
  struct heard *heard;

  if (!spread)
    return;
  heard = spread->heard;
  HASH_CLEAR (hh, spread->heard);
  while (heard)
    {
      struct heard *next = heard->hh.next;

      free (heard);
      heard = next;
    }
  for (size_t i = 0; i < spread->keeper_count; i++)
    free (spread->keepers[i]);
  free (spread->keepers);
  marjoram_state_fetch_destroy (spread->fetch);
  marjoram_state_giver_destroy (spread->giver);
  marjoram_state_destroy (spread->state);
  free (spread);
}

void
marjoram_spread_local (marjoram_spread *spread, int64_t now,
                       const struct marjoram_state *state)
{
  spread->now = now;
  if (state->number > own_number (spread))
    take (spread, marjoram_state_copy (state));
}

void
marjoram_spread_tick (marjoram_spread *spread, int64_t now)
{
  spread->now = now;
  marjoram_state_fetch_tick (spread->fetch, now);
  if (spread->teller)
    offer (spread, spread->teller->slot, spread->teller->number);
  check_ready (spread, now);
}

bool
marjoram_spread_ready (const marjoram_spread *spread)
{
  return spread->ready;
}

const struct marjoram_state *
marjoram_spread_state (const marjoram_spread *spread)
{
  return spread->state;
}
