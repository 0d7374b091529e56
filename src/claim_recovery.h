/* Recovery of claim state from the peers after a restart.  Tracks which peers
   have sent their complete state; the caller stores the records.  */
#ifndef MARJORAM_CLAIM_RECOVERY_H
#define MARJORAM_CLAIM_RECOVERY_H

#include "claim_message.h"

struct marjoram_claim_peer
{
  uint64_t incarnation;
  int64_t horizon;
  uint64_t cursor;
  bool complete;  /* all records received */
  bool recovered; /* the peer had finished its own recovery when it answered */
};

struct marjoram_claim_recovery
{
  int slot_count;
  int self;
  bool done;
  struct marjoram_claim_peer peers[MARJORAM_ZONE_SLOTS_MAX];
};

void marjoram_claim_recovery_init (struct marjoram_claim_recovery *recovery,
                                   int slot_count, int self);
/* Processes a STATE message.  Returns false if PART is not the one expected
   next; its records must then be discarded.  */
bool
marjoram_claim_recovery_receive (struct marjoram_claim_recovery *recovery,
                                 int from,
                                 const struct marjoram_claim_message *part);
/* Finishes the recovery and returns true if enough peers have answered.
   KNOWN_INCARNATIONS is indexed by slot.  If WAIT_FOR_RECOVERING, peers that
   are still recovering count only once all peers have answered.  On success
   HORIZON is set to the highest horizon of the peers counted.  */
bool marjoram_claim_recovery_try_finish (
    struct marjoram_claim_recovery *recovery,
    const struct marjoram_claim_incarnation *known_incarnations,
    bool wait_for_recovering, int64_t *horizon);
/* Returns true if the state of PEER, from its cursor on, is still needed.  */
bool marjoram_claim_recovery_needs (struct marjoram_claim_recovery *recovery,
                                    int peer);

#endif
