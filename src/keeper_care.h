/* Keeps the keepers whole without an operator: a member whose disk was lost
   gets its new store admitted, a member that stays silent is replaced by a
   keeper that is no member, and keepers are added until enough are there to
   survive the losses that are to be survived.  Decides only when to ask for a
   replacement; the register's rules decide whether it is safe.  */
#ifndef MARJORAM_KEEPER_CARE_H
#define MARJORAM_KEEPER_CARE_H

#include "host_list.h"
#include "keeper.h"

typedef struct marjoram_keeper_care marjoram_keeper_care;

struct marjoram_keeper_change
{
  char change_id[MARJORAM_NAME_MAX];
  char old[MARJORAM_NAME_MAX]; /* "" if NEW is added */
  char new[MARJORAM_NAME_MAX];
};

/* LOSSES: how many disks may be lost at once; it takes two members for each,
   and one more, for a majority to be left.  */
marjoram_keeper_care *marjoram_keeper_care_create (const char *slot,
                                                   size_t losses);
void marjoram_keeper_care_destroy (marjoram_keeper_care *care);
/* Meets keepers among HOSTS that are not known yet, and tells whether CHANGE
   is to be asked for now.  At least every 200 ms.  */
bool marjoram_keeper_care_tick (marjoram_keeper_care *care, int64_t now,
                                marjoram_keeper *keeper,
                                marjoram_host_list *hosts,
                                struct marjoram_keeper_change *change);
/* Asks KEEPER for CHANGE, as REQUEST.  */
void marjoram_keeper_care_apply (const struct marjoram_keeper_change *change,
                                 marjoram_keeper *keeper, int64_t now,
                                 uint64_t request);

#endif
