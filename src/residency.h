/* Data residency: the regions allowed for each caller, for each model or
   service (workload), and for pairs of them, as bit sets of regions.  A pure
   data structure.  */
#ifndef MARJORAM_RESIDENCY_H
#define MARJORAM_RESIDENCY_H

#include <stddef.h>
#include <stdint.h>

typedef struct marjoram_residency marjoram_residency;

/* A list of indices; null items select all.  */
struct marjoram_selection
{
  const int *items;
  size_t count;
};

/* Initially all regions are allowed for all.  */
marjoram_residency *marjoram_residency_create (size_t callers,
                                               size_t workloads);
void marjoram_residency_destroy (marjoram_residency *residency);
/* Restricts requests of CALLERS for WORKLOADS to REGIONS.  Rules only narrow:
   a region must be allowed by all rules that match.  */
void marjoram_residency_restrict (marjoram_residency *residency,
                                  struct marjoram_selection callers,
                                  struct marjoram_selection workloads,
                                  uint64_t regions);
uint64_t marjoram_residency_caller (const marjoram_residency *residency,
                                    int caller);
uint64_t marjoram_residency_workload (const marjoram_residency *residency,
                                      int workload);
uint64_t marjoram_residency_allowed (const marjoram_residency *residency,
                                     int caller, int workload);
size_t marjoram_residency_memory (const marjoram_residency *residency);

#endif
