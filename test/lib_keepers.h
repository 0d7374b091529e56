/* Keepers on a simulated network and simulated disks, for tests: messages are
   lost, delayed, doubled and reordered, keepers freeze, crash with writes
   half done, lose their disks or get an older copy back.  All from one seed.
   What must hold is checked at every step; the first breach is kept as text.
 */
#ifndef MARJORAM_TEST_LIB_KEEPERS_H
#define MARJORAM_TEST_LIB_KEEPERS_H

#include "keeper.h"

enum
{
  SIM_KEEPERS = 5,
  SIM_FIRST = 3,
  SIM_FORMS = 4,
  SIM_FAULT_MAX = 256
};

struct sim;

struct sim *sim_create (uint64_t seed);
void sim_destroy (struct sim *sim);
/* Also asks keepers for the newest state now and then; other runs of a seed
   are not what they were without.  */
void sim_read_too (struct sim *sim);
/* Changes bring texts of some kilobytes, which don't compress well, so that
   values go between keepers in all forms.  */
void sim_large (struct sim *sim);
/* Runs to a fixed end with faults on, heals all, and runs on until a last
   change has to be accepted and all keepers agree.  */
void sim_run (struct sim *sim);
/* The first breach; empty if there was none.  */
const char *sim_breach (const struct sim *sim);

/* What happened, so that a test can tell that its faults occurred.  */
struct sim_counts
{
  uint64_t accepted;
  uint64_t refused;
  uint64_t not_run;
  uint64_t unknown;
  uint64_t resent;
  uint64_t crashes;
  uint64_t torn; /* crashes with a write under way */
  uint64_t freezes;
  uint64_t cuts;
  uint64_t lost_disks;
  uint64_t older_disks;
  uint64_t repairs;
  uint64_t reads;            /* confirmed */
  uint64_t unread;           /* not confirmed in time */
  uint64_t forms[SIM_FORMS]; /* messages by the form of their value */
};

const struct sim_counts *sim_counts (const struct sim *sim);

#endif
