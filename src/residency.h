/* Where requests may run: the regions allowed to each caller, to each model or
   service, and to pairs of them, as sets of one bit a region.  Pure.  */
#ifndef MARJORAM_RESIDENCY_H
#define MARJORAM_RESIDENCY_H

#include <stddef.h>
#include <stdint.h>

typedef struct marjoram_residency marjoram_residency;

/* A list of indexes; null stands for all.  */
struct marjoram_selection
{
  const int *items;
  size_t count;
};

/* All regions are allowed to all at first.  */
marjoram_residency *marjoram_residency_create (size_t callers, size_t works);
void marjoram_residency_destroy (marjoram_residency *residency);
/* Requests of CALLERS for WORKS may run in REGIONS at most.  Rules only ever
   narrow: where several fit, a region must be in all of them.  */
void marjoram_residency_restrict (marjoram_residency *residency,
                                  struct marjoram_selection callers,
                                  struct marjoram_selection works,
                                  uint64_t regions);
uint64_t marjoram_residency_caller (const marjoram_residency *residency,
                                    int caller);
uint64_t marjoram_residency_work (const marjoram_residency *residency,
                                  int work);
/* The regions where CALLER's request for WORK may run.  */
uint64_t marjoram_residency_allowed (const marjoram_residency *residency,
                                     int caller, int work);
size_t marjoram_residency_memory (const marjoram_residency *residency);

#endif
