/* Simulation of keepers with seeded faults: messages are lost, delayed,
   duplicated and reordered; keepers freeze, crash during writes, lose their
   disks or have an older copy restored.  Invariants are checked at every step
   and the first violation is kept as text.  */
#ifndef MARJORAM_TEST_LIB_KEEPERS_H
#define MARJORAM_TEST_LIB_KEEPERS_H

#include "keeper.h"

enum
{
  SIM_KEEPERS = 5,
  SIM_FIRST = 3,
  SIM_ENCODINGS = 4,
  SIM_FAULT_MAX = 256
};

struct sim;

struct sim *sim_create (uint64_t seed);
void sim_destroy (struct sim *sim);
/* Also issues reads at regular intervals, which changes the schedule of a
   seed.  */
void sim_enable_reads (struct sim *sim);
/* Uses incompressible texts of several kilobytes, so that all value encodings
   occur.  */
void sim_use_large_texts (struct sim *sim);
/* Runs for a fixed time with faults, then without, until a last change is
   accepted and all keepers agree.  */
void sim_run (struct sim *sim);
/* The first invariant violation; empty if there was none.  */
const char *sim_violation (const struct sim *sim);

/* Event counts, for tests to check that the faults occurred.  */
struct sim_counts
{
  uint64_t accepted;
  uint64_t refused;
  uint64_t not_run;
  uint64_t unknown;
  uint64_t resent;
  uint64_t crashes;
  uint64_t torn; /* crashes during a write */
  uint64_t freezes;
  uint64_t partitions;
  uint64_t lost_disks;
  uint64_t older_disks;
  uint64_t repairs;
  uint64_t reads;                    /* confirmed */
  uint64_t unconfirmed_reads;        /* not confirmed in time */
  uint64_t encodings[SIM_ENCODINGS]; /* messages by value encoding */
};

const struct sim_counts *sim_counts (const struct sim *sim);

#endif
