#include "spread.h"

#include "cleanup.h"
#include "log.h"
#include "state_fetch.h"
#include "state_giver.h"

#include <string.h>
#include <uthash.h>

enum
{
  /* Time after the start to wait for a majority of the keepers.  */
  MAJORITY_WAIT_MS = 3000,
  /* Time after the start to wait for the newest announced state; longer, since
     it is usually still available from another host if its announcer fails. */
  NEWEST_WAIT_MS = 10000,
  /* Initial and highest timeout for a piece of the state.  */
  PIECE_TIMEOUT_MS = 500,
  PIECE_TIMEOUT_MAX_MS = 4000,
  /* Delay after a rejected state; doubles with each, up to the second, so that
     a faulty host doesn't congest the link.  */
  RETRY_DELAY_MS = 500,
  RETRY_DELAY_MAX_MS = 8000
};

/* A host that has announced its state since this one's start.  */
struct peer
{
  UT_hash_handle hh;
  uint64_t number; /* last announced; 0 after a disconnection */
  char slot[MARJORAM_NAME_MAX + 1];
};

struct marjoram_spread
{
  const struct marjoram_spread_ops *ops;
  void *context;
  struct marjoram_state *state;
  char **keepers; /* from the settings */
  size_t keeper_count;
  struct peer *peers;
  uint64_t highest_announced;
  struct peer *source; /* peer to fetch from; null: none */
  marjoram_state_fetch *fetch;
  marjoram_state_giver *giver;
  int64_t now; /* of the event in progress */
  int64_t started;
  int64_t retry_at; /* no request is sent before */
  int64_t retry_delay_ms;
  bool ready;
};

static uint64_t
own_number (const marjoram_spread *spread)
{
  return spread->state ? spread->state->number : 0;
}

static struct peer *
find_peer (const marjoram_spread *spread, const char *slot)
{
  struct peer *peer;

  HASH_FIND_STR (spread->peers, slot, peer);
  return peer;
}

/* Returns null if SLOT is too long.  */
static struct peer *
find_or_add_peer (marjoram_spread *spread, const char *slot)
{
  struct peer *peer = find_peer (spread, slot);

  if (peer || strlen (slot) > MARJORAM_NAME_MAX)
    return peer;
  peer = marjoram_alloc (sizeof *peer);
  memcpy (peer->slot, slot, strlen (slot) + 1);
  HASH_ADD_STR (spread->peers, slot, peer);
  return peer;
}

/* Counts the keepers that the state lists, or without a state those in the
   settings, which may be outdated.  */
static bool
has_majority (const marjoram_spread *spread)
{
  const struct marjoram_keeper_member *members;
  size_t count = 0;

  if (spread->state && spread->state->members.count > 0)
    {
      members = spread->state->members.items;
      for (size_t i = 0; i < spread->state->members.count; i++)
        count += find_peer (spread, members[i].slot) != NULL;
      return 2 * count > spread->state->members.count;
    }
  for (size_t i = 0; i < spread->keeper_count; i++)
    count += find_peer (spread, spread->keepers[i]) != NULL;
  return 2 * count > spread->keeper_count;
}

static void
update_ready (marjoram_spread *spread, int64_t now)
{
  int64_t waited = now - spread->started;

  if (spread->ready || !spread->state)
    return;
  if (own_number (spread) < spread->highest_announced
      && waited < NEWEST_WAIT_MS)
    return;
  spread->ready = waited >= MAJORITY_WAIT_MS || has_majority (spread);
}

/* ---- Fetching.  ---- */

static void
send_ask (void *context, const char *slot,
          const struct marjoram_state_ask *ask)
{
  marjoram_spread *spread = context;

  spread->ops->send_ask (spread->context, slot, ask);
}

static bool
has_valid_digests (void *context, const struct marjoram_state *state,
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
                                   "file %s of state %llu doesn't match its "
                                   "digest; if this persists, restart the "
                                   "sending host",
                                   file[i].name ? file[i].name : "(unnamed)",
                                   (unsigned long long)state->number);
    }
  return true;
}

static void
adopt (marjoram_spread *spread, struct marjoram_state *state)
{
  marjoram_state_destroy (spread->state);
  spread->state = state;
  marjoram_state_giver_set (spread->giver, state);
  marjoram_state_fetch_set_current (spread->fetch, spread->now, state);
  spread->ops->adopted (spread->context, state);
  update_ready (spread, spread->now);
}

static void
on_fetched (void *context, const struct marjoram_state *state,
            const struct marjoram_fetch_stats *stats)
{
  marjoram_spread *spread = context;

  marjoram_log (MARJORAM_LOG_INFO,
                "fetched state %llu from %s: %zu bytes in %d pieces, %lld ms, "
                "base state %llu",
                (unsigned long long)state->number, stats->keeper, stats->bytes,
                stats->pieces, (long long)stats->ms,
                (unsigned long long)stats->base);
  spread->retry_delay_ms = RETRY_DELAY_MS;
  adopt (spread, marjoram_state_copy (state));
}

static void
on_fetch_failed (void *context, const struct marjoram_fetch_stats *stats,
                 const struct marjoram_error *err)
{
  marjoram_spread *spread = context;

  marjoram_log (MARJORAM_LOG_WARNING,
                "rejected state from %s (%s); next request in %lld ms",
                stats->keeper, err->message,
                (long long)spread->retry_delay_ms);
  spread->retry_at = spread->now + spread->retry_delay_ms;
  spread->retry_delay_ms *= 2;
  if (spread->retry_delay_ms > RETRY_DELAY_MAX_MS)
    spread->retry_delay_ms = RETRY_DELAY_MAX_MS;
}

static const struct marjoram_state_fetch_ops fetch_ops
    = { .ask = send_ask,
        .valid = has_valid_digests,
        .fetched = on_fetched,
        .failed = on_fetch_failed };

/* Fetches the state NUMBER from SLOT if it is newer.  */
static void
fetch_from (marjoram_spread *spread, const char *slot, uint64_t number)
{
  if (number > own_number (spread) && spread->now >= spread->retry_at)
    marjoram_state_fetch_announced (spread->fetch, spread->now, slot, true,
                                    number);
}

void
marjoram_spread_announced (marjoram_spread *spread, int64_t now,
                           const char *slot, uint64_t number)
{
  struct peer *peer = find_or_add_peer (spread, slot);

  spread->now = now;
  if (!peer)
    return;
  peer->number = number;
  if (number >= spread->highest_announced)
    {
      spread->highest_announced = number;
      spread->source = peer;
    }
  fetch_from (spread, slot, number);
  update_ready (spread, now);
}

/* Returns a connected peer with the highest number; null if there is none.  */
static struct peer *
best_source (const marjoram_spread *spread)
{
  struct peer *best = NULL;

  for (struct peer *peer = spread->peers; peer; peer = peer->hh.next)
    if (peer->number > (best ? best->number : 0))
      best = peer;
  return best;
}

void
marjoram_spread_disconnected (marjoram_spread *spread, int64_t now,
                              const char *slot)
{
  struct peer *peer = find_peer (spread, slot);

  spread->now = now;
  if (!peer)
    return;
  peer->number = 0;
  marjoram_state_fetch_disconnected (spread->fetch, slot);
  if (spread->source == peer)
    spread->source = best_source (spread);
  if (spread->source)
    fetch_from (spread, spread->source->slot, spread->source->number);
}

void
marjoram_spread_receive_piece (marjoram_spread *spread, int64_t now,
                               const char *slot,
                               const struct marjoram_state_piece *piece)
{
  spread->now = now;
  marjoram_state_fetch_receive_piece (spread->fetch, now, slot, piece);
}

/* ---- Sending.  ---- */

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

/* ---- Life cycle.  ---- */

marjoram_spread *
marjoram_spread_create (const struct marjoram_spread_options *options,
                        const struct marjoram_spread_ops *ops, void *context,
                        int64_t now)
{
  const struct marjoram_state_fetch_options fetch
      = { .piece_timeout_ms = PIECE_TIMEOUT_MS,
          .piece_timeout_max_ms = PIECE_TIMEOUT_MAX_MS };
  marjoram_spread *spread = marjoram_alloc (sizeof *spread);

  spread->ops = ops;
  spread->context = context;
  spread->now = now;
  spread->started = now;
  spread->retry_at = now;
  spread->retry_delay_ms = RETRY_DELAY_MS;
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
  struct peer *peer;

  if (!spread)
    return;
  peer = spread->peers;
  HASH_CLEAR (hh, spread->peers);
  while (peer)
    {
      struct peer *next = peer->hh.next;

      free (peer);
      peer = next;
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
marjoram_spread_set_local (marjoram_spread *spread, int64_t now,
                           const struct marjoram_state *state)
{
  spread->now = now;
  if (state->number > own_number (spread))
    adopt (spread, marjoram_state_copy (state));
}

void
marjoram_spread_tick (marjoram_spread *spread, int64_t now)
{
  spread->now = now;
  marjoram_state_fetch_tick (spread->fetch, now);
  if (spread->source)
    fetch_from (spread, spread->source->slot, spread->source->number);
  update_ready (spread, now);
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
