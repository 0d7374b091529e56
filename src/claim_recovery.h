/* How a restarted host, whose memory is lost, gets the zone's claims back from
   its peers.  Keeps track of who gave its state in full; the records
   themselves go straight to the claims.  */
#ifndef MARJORAM_CLAIM_RECOVERY_H
#define MARJORAM_CLAIM_RECOVERY_H

#include "claim_message.h"

struct marjoram_claim_peer
{
  uint64_t incarnation;
  int64_t horizon;
  uint64_t cursor;
  bool complete;  /* all its records have come */
  bool recovered; /* it had recovered itself when it answered */
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
/* A part of a peer's state.  Returns false for one that was not asked for, so
   that its records are not to be taken.  */
bool marjoram_claim_recovery_hear (struct marjoram_claim_recovery *recovery,
                                   int from,
                                   const struct marjoram_claim_message *part);
/* Finishes the recovery if enough peers have answered.  KNOWN are the latest
   incarnations known of all slots; PATIENT says that peers which are
   themselves recovering may still be waited for.  HORIZON then gets the
   highest one of the peers that were relied on.  */
bool
marjoram_claim_recovery_try (struct marjoram_claim_recovery *recovery,
                             const struct marjoram_claim_incarnation *known,
                             bool patient, int64_t *horizon);
/* Whether PEER is to be asked, from its cursor on.  */
bool marjoram_claim_recovery_wants (struct marjoram_claim_recovery *recovery,
                                    int peer);

#endif
