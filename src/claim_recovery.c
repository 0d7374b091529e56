#include "claim_recovery.h"

#include <string.h>

void
marjoram_claim_recovery_init (struct marjoram_claim_recovery *recovery,
                              int slot_count, int self)
{
  memset (recovery, 0, sizeof *recovery);
  recovery->slot_count = slot_count;
  recovery->self = self;
  /* A zone of one host has nobody to ask: its horizon alone has to do.  */
  recovery->done = slot_count == 1;
}

bool
marjoram_claim_recovery_hear (struct marjoram_claim_recovery *recovery,
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

/* Stops a peer's old answer from standing for its present state: a peer that
   has restarted since may have lost what it voted for in between, which shows
   as a request that runs twice.  Peers tell each other of restarts with every
   message, so of two answers that miss each other's news one is known to be
   old.  */
static bool
counts (const struct marjoram_claim_peer *peer, uint64_t known)
{
  return peer->complete && peer->incarnation >= known;
}

struct tally
{
  int complete;
  int recovered;
  int64_t horizon;           /* of the complete ones */
  int64_t recovered_horizon; /* of the recovered ones */
};

static struct tally
count_peers (const struct marjoram_claim_recovery *recovery,
             const struct marjoram_claim_incarnation *known)
{
  struct tally tally = { 0 };

  for (int i = 0; i < recovery->slot_count; i++)
    {
      const struct marjoram_claim_peer *peer = &recovery->peers[i];

      if (i == recovery->self || !counts (peer, known[i].value))
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

/* As many peers as meet every majority without this host: n - q + 1.  */
static int
peers_needed (int slot_count)
{
  int majority = slot_count / 2 + 1;

  return slot_count - majority + 1;
}

bool
marjoram_claim_recovery_try (struct marjoram_claim_recovery *recovery,
                             const struct marjoram_claim_incarnation *known,
                             bool patient, int64_t *horizon)
{
  struct tally tally = count_peers (recovery, known);
  int needed = peers_needed (recovery->slot_count);
  bool all = tally.complete == recovery->slot_count - 1;

  if (recovery->done)
    return false;
  if (tally.recovered >= needed)
    *horizon = tally.recovered_horizon;
  else if (tally.complete >= needed && (all || !patient))
    *horizon = tally.horizon;
  else
    return false;
  recovery->done = true;
  return true;
}

bool
marjoram_claim_recovery_wants (struct marjoram_claim_recovery *recovery,
                               int peer)
{
  struct marjoram_claim_peer *p = &recovery->peers[peer];

  if (recovery->done || peer == recovery->self)
    return false;
  /* It may have recovered since, and then has more to give.  */
  if (p->complete && !p->recovered)
    *p = (struct marjoram_claim_peer){ .incarnation = p->incarnation };
  return !p->complete;
}
