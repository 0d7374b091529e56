/* Automatic membership repair: admits the new store of a member whose disk was
   lost, replaces a member that stays silent by a spare keeper, and adds
   members up to the number needed for the configured disk losses.  Decides
   only when to request a change; the register decides whether it is safe.  */
#ifndef MARJORAM_KEEPER_REPAIR_H
#define MARJORAM_KEEPER_REPAIR_H

#include "host_list.h"
#include "keeper.h"

typedef struct marjoram_keeper_repair marjoram_keeper_repair;

struct marjoram_keeper_change
{
  char change_id[MARJORAM_NAME_MAX];
  char old[MARJORAM_NAME_MAX]; /* empty if NEW is added */
  char new[MARJORAM_NAME_MAX];
};

/* LOSSES: number of disks that may be lost at once.  The membership has 2 *
   LOSSES + 1 keepers, so that a majority is left.  WITHIN_MS: the time from
   the start of a lost keeper, or of its successor, within which it must be a
   member, as the next loss may follow.  */
marjoram_keeper_repair *marjoram_keeper_repair_create (const char *slot,
                                                       size_t losses,
                                                       int64_t within_ms);
void marjoram_keeper_repair_destroy (marjoram_keeper_repair *repair);
/* Probes keepers among HOSTS that have not been heard from, and returns true
   if CHANGE is to be requested now.  To be called at least every 200 ms.  A
   change is requested again only if another was due in between, or after
   marjoram_keeper_repair_answered.  */
bool marjoram_keeper_repair_tick (marjoram_keeper_repair *repair, int64_t now,
                                  marjoram_keeper *keeper,
                                  marjoram_host_list *hosts,
                                  struct marjoram_keeper_change *change);
/* Requests CHANGE.  */
void marjoram_keeper_repair_apply (marjoram_keeper_repair *repair,
                                   const struct marjoram_keeper_change *change,
                                   marjoram_keeper *keeper, int64_t now,
                                   uint64_t request);
/* The request of marjoram_keeper_repair_apply was completed.  */
void marjoram_keeper_repair_answered (marjoram_keeper_repair *repair);

#endif
