#include "claim_recovery.h"

#include <string.h>

void
marjoram_claim_recovery_init (struct marjoram_claim_recovery *recovery,
                              int slot_count, int self)
{
  memset (recovery, 0, sizeof *recovery);
  recovery->slot_count = slot_count;
  recovery->self = self;
  /* A single host has no peers and relies on its horizon alone.  */
  recovery->done = slot_count == 1;
}

bool
marjoram_claim_recovery_receive (struct marjoram_claim_recovery *recovery,
                                 int from,
                                 const struct marjoram_claim_message *part)
{
  struct marjoram_claim_peer *peer = &recovery->peers[from];

  if (peer->incarnation != part->incarnation)
    *peer = (struct marjoram_claim_peer){ .incarnation = part->incarnation };
  if (recovery->done || peer->complete || part->since != peer->cursor)
    return false;
  peer->cursor = part->cursor;
  peer->horizon = part->horizon;
  peer->recovered = part->recovered;
  peer->complete = !part->more;
  return true;
}

/* Ignores state that a peer sent before a later restart: it may lack votes
   cast since, and a request could run twice.  Restarts are detected through
   the incarnations carried in every message.  */
static bool
is_current (const struct marjoram_claim_peer *peer, uint64_t known_incarnation)
{
  return peer->complete && peer->incarnation >= known_incarnation;
}

struct tally
{
  int complete;
  int recovered;
  int64_t horizon;           /* highest of the complete peers */
  int64_t recovered_horizon; /* highest of the recovered peers */
};

static struct tally
count_peers (const struct marjoram_claim_recovery *recovery,
             const struct marjoram_claim_incarnation *known_incarnations)
{
  struct tally tally = { 0 };

  for (int i = 0; i < recovery->slot_count; i++)
    {
      const struct marjoram_claim_peer *peer = &recovery->peers[i];

      if (i == recovery->self
          || !is_current (peer, known_incarnations[i].value))
        continue;
      tally.complete++;
      if (peer->horizon > tally.horizon)
        tally.horizon = peer->horizon;
      if (!peer->recovered)
        continue;
      tally.recovered++;
      if (peer->horizon > tally.recovered_horizon)
        tally.recovered_horizon = peer->horizon;
    }
  return tally;
}

/* The smallest number of peers that intersects every majority of the zone.  */
static int
peers_needed (int slot_count)
{
  int majority = slot_count / 2 + 1;

  return slot_count - majority + 1;
}

bool
marjoram_claim_recovery_try_finish (
    struct marjoram_claim_recovery *recovery,
    const struct marjoram_claim_incarnation *known_incarnations,
    bool wait_for_recovering, int64_t *horizon)
{
  struct tally tally = count_peers (recovery, known_incarnations);
  int needed = peers_needed (recovery->slot_count);
  bool all = tally.complete == recovery->slot_count - 1;

  if (recovery->done)
    return false;
  if (tally.recovered >= needed)
    *horizon = tally.recovered_horizon;
  else if (tally.complete >= needed && (all || !wait_for_recovering))
    *horizon = tally.horizon;
  else
    return false;
  recovery->done = true;
  return true;
}

bool
marjoram_claim_recovery_needs (struct marjoram_claim_recovery *recovery,
                               int peer)
{
  struct marjoram_claim_peer *p = &recovery->peers[peer];

  if (recovery->done || peer == recovery->self)
    return false;
  /* PEER may have recovered since it answered, and may have more records.  */
  if (p->complete && !p->recovered)
    *p = (struct marjoram_claim_peer){ .incarnation = p->incarnation };
  return !p->complete;
}
