#include "state_gossip.h"

#include "cleanup.h"
#include "log.h"
#include "state_fetch.h"
#include "state_sender.h"

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

struct marjoram_state_gossip
{
  const struct marjoram_state_gossip_ops *ops;
  void *context;
  struct marjoram_state *state;
  char **keepers; /* from the settings */
  size_t keeper_count;
  struct peer *peers;
  uint64_t highest_announced;
  struct peer *source; /* peer to fetch from; null: none */
  marjoram_state_fetch *fetch;
  marjoram_state_sender *sender;
  int64_t now; /* of the event in progress */
  int64_t started;
  int64_t retry_at; /* no request is sent before */
  int64_t retry_delay_ms;
  bool ready;
};

static uint64_t
own_number (const marjoram_state_gossip *gossip)
{
  return gossip->state ? gossip->state->number : 0;
}

static struct peer *
find_peer (const marjoram_state_gossip *gossip, const char *slot)
{
  struct peer *peer;

  HASH_FIND_STR (gossip->peers, slot, peer);
  return peer;
}

/* Returns null if SLOT is too long.  */
static struct peer *
find_or_add_peer (marjoram_state_gossip *gossip, const char *slot)
{
  struct peer *peer = find_peer (gossip, slot);

  if (peer || strlen (slot) > MARJORAM_NAME_MAX)
    return peer;
  peer = marjoram_alloc (sizeof *peer);
  memcpy (peer->slot, slot, strlen (slot) + 1);
  HASH_ADD_STR (gossip->peers, slot, peer);
  return peer;
}

/* Counts the keepers that the state lists, or without a state those in the
   settings, which may be outdated.  */
static bool
has_majority (const marjoram_state_gossip *gossip)
{
  const struct marjoram_keeper_member *members;
  size_t count = 0;

  if (gossip->state && gossip->state->members.count > 0)
    {
      members = gossip->state->members.items;
      for (size_t i = 0; i < gossip->state->members.count; i++)
        count += find_peer (gossip, members[i].slot) != NULL;
      return 2 * count > gossip->state->members.count;
    }
  for (size_t i = 0; i < gossip->keeper_count; i++)
    count += find_peer (gossip, gossip->keepers[i]) != NULL;
  return 2 * count > gossip->keeper_count;
}

static void
update_ready (marjoram_state_gossip *gossip, int64_t now)
{
  int64_t waited = now - gossip->started;

  if (gossip->ready || !gossip->state)
    return;
  if (own_number (gossip) < gossip->highest_announced
      && waited < NEWEST_WAIT_MS)
    return;
  gossip->ready = waited >= MAJORITY_WAIT_MS || has_majority (gossip);
}

/* ---- Fetching.  ---- */

static void
send_ask (void *context, const char *slot,
          const struct marjoram_state_ask *ask)
{
  marjoram_state_gossip *gossip = context;

  gossip->ops->send_ask (gossip->context, slot, ask);
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
adopt (marjoram_state_gossip *gossip, struct marjoram_state *state)
{
  marjoram_state_destroy (gossip->state);
  gossip->state = state;
  marjoram_state_sender_set (gossip->sender, state);
  marjoram_state_fetch_set_current (gossip->fetch, gossip->now, state);
  gossip->ops->adopted (gossip->context, state);
  update_ready (gossip, gossip->now);
}

static void
on_fetched (void *context, const struct marjoram_state *state,
            const struct marjoram_fetch_stats *stats)
{
  marjoram_state_gossip *gossip = context;

  marjoram_log (MARJORAM_LOG_INFO,
                "fetched state %llu from %s: %zu bytes in %d pieces, %lld ms, "
                "base state %llu",
                (unsigned long long)state->number, stats->keeper, stats->bytes,
                stats->pieces, (long long)stats->ms,
                (unsigned long long)stats->base);
  gossip->retry_delay_ms = RETRY_DELAY_MS;
  adopt (gossip, marjoram_state_copy (state));
}

static void
on_fetch_failed (void *context, const struct marjoram_fetch_stats *stats,
                 const struct marjoram_error *err)
{
  marjoram_state_gossip *gossip = context;

  marjoram_log (MARJORAM_LOG_WARNING,
                "rejected state from %s (%s); next request in %lld ms",
                stats->keeper, err->message,
                (long long)gossip->retry_delay_ms);
  gossip->retry_at = gossip->now + gossip->retry_delay_ms;
  gossip->retry_delay_ms *= 2;
  if (gossip->retry_delay_ms > RETRY_DELAY_MAX_MS)
    gossip->retry_delay_ms = RETRY_DELAY_MAX_MS;
}

static const struct marjoram_state_fetch_ops fetch_ops
    = { .ask = send_ask,
        .valid = has_valid_digests,
        .fetched = on_fetched,
        .failed = on_fetch_failed };

/* Fetches the state NUMBER from SLOT if it is newer.  */
static void
fetch_from (marjoram_state_gossip *gossip, const char *slot, uint64_t number)
{
  if (number > own_number (gossip) && gossip->now >= gossip->retry_at)
    marjoram_state_fetch_announced (gossip->fetch, gossip->now, slot, true,
                                    number);
}

void
marjoram_state_gossip_announced (marjoram_state_gossip *gossip, int64_t now,
                                 const char *slot, uint64_t number)
{
  struct peer *peer = find_or_add_peer (gossip, slot);

  gossip->now = now;
  if (!peer)
    return;
  peer->number = number;
  if (number >= gossip->highest_announced)
    {
      gossip->highest_announced = number;
      gossip->source = peer;
    }
  fetch_from (gossip, slot, number);
  update_ready (gossip, now);
}

/* Returns a connected peer with the highest number; null if there is none.  */
static struct peer *
best_source (const marjoram_state_gossip *gossip)
{
  struct peer *best = NULL;

  for (struct peer *peer = gossip->peers; peer; peer = peer->hh.next)
    if (peer->number > (best ? best->number : 0))
      best = peer;
  return best;
}

void
marjoram_state_gossip_disconnected (marjoram_state_gossip *gossip, int64_t now,
                                    const char *slot)
{
  struct peer *peer = find_peer (gossip, slot);

  gossip->now = now;
  if (!peer)
    return;
  peer->number = 0;
  marjoram_state_fetch_disconnected (gossip->fetch, slot);
  if (gossip->source == peer)
    gossip->source = best_source (gossip);
  if (gossip->source)
    fetch_from (gossip, gossip->source->slot, gossip->source->number);
}

void
marjoram_state_gossip_receive_piece (marjoram_state_gossip *gossip,
                                     int64_t now, const char *slot,
                                     const struct marjoram_state_piece *piece)
{
  gossip->now = now;
  marjoram_state_fetch_receive_piece (gossip->fetch, now, slot, piece);
}

/* ---- Sending.  ---- */

void
marjoram_state_gossip_receive_ask (marjoram_state_gossip *gossip, int64_t now,
                                   const char *slot,
                                   const struct marjoram_state_ask *ask)
{
  struct marjoram_state_piece piece = { 0 };

  gossip->now = now;
  if (!marjoram_state_sender_answer (gossip->sender, ask, &piece))
    return;
  gossip->ops->send_piece (gossip->context, slot, &piece);
  marjoram_wire_clear (&marjoram_state_piece_layout, &piece);
}

/* ---- Life cycle.  ---- */

marjoram_state_gossip *
marjoram_state_gossip_create (
    const struct marjoram_state_gossip_options *options,
    const struct marjoram_state_gossip_ops *ops, void *context, int64_t now)
{
  const struct marjoram_state_fetch_options fetch
      = { .piece_timeout_ms = PIECE_TIMEOUT_MS,
          .piece_timeout_max_ms = PIECE_TIMEOUT_MAX_MS };
  marjoram_state_gossip *gossip = marjoram_alloc (sizeof *gossip);

  gossip->ops = ops;
  gossip->context = context;
  gossip->now = now;
  gossip->started = now;
  gossip->retry_at = now;
  gossip->retry_delay_ms = RETRY_DELAY_MS;
  gossip->fetch = marjoram_state_fetch_create (&fetch, &fetch_ops, gossip);
  gossip->sender = marjoram_state_sender_create ();
  gossip->keeper_count = options->keeper_count;
  gossip->keepers = marjoram_alloc (options->keeper_count * sizeof (char *));
  for (size_t i = 0; i < options->keeper_count; i++)
    gossip->keepers[i] = marjoram_strdup (options->keepers[i]);
  return gossip;
}

void
marjoram_state_gossip_destroy (marjoram_state_gossip *gossip)
{
  struct peer *peer;

  if (!gossip)
    return;
  peer = gossip->peers;
  HASH_CLEAR (hh, gossip->peers);
  while (peer)
    {
      struct peer *next = peer->hh.next;

      free (peer);
      peer = next;
    }
  for (size_t i = 0; i < gossip->keeper_count; i++)
    free (gossip->keepers[i]);
  free (gossip->keepers);
  marjoram_state_fetch_destroy (gossip->fetch);
  marjoram_state_sender_destroy (gossip->sender);
  marjoram_state_destroy (gossip->state);
  free (gossip);
}

void
marjoram_state_gossip_set_local (marjoram_state_gossip *gossip, int64_t now,
                                 const struct marjoram_state *state)
{
  gossip->now = now;
  if (state->number > own_number (gossip))
    adopt (gossip, marjoram_state_copy (state));
}

void
marjoram_state_gossip_tick (marjoram_state_gossip *gossip, int64_t now)
{
  gossip->now = now;
  marjoram_state_fetch_tick (gossip->fetch, now);
  if (gossip->source)
    fetch_from (gossip, gossip->source->slot, gossip->source->number);
  update_ready (gossip, now);
}

bool
marjoram_state_gossip_ready (const marjoram_state_gossip *gossip)
{
  return gossip->ready;
}

const struct marjoram_state *
marjoram_state_gossip_state (const marjoram_state_gossip *gossip)
{
  return gossip->state;
}
