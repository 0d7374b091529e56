/* Entry hosts of several regions in virtual time: each runs a real gateway,
   links and upstreams are simulated.  Counts the arrivals of requests at
   upstreams and checks them against the bound on repeats.  */
#ifndef MARJORAM_TEST_LIB_FLEET_H
#define MARJORAM_TEST_LIB_FLEET_H

#include "repeat_budget.h"

#include <stdbool.h>
#include <stdint.h>

enum
{
  FLEET_REGIONS = 3,
  FLEET_HOSTS_PER_REGION = 3,
  FLEET_HOSTS = FLEET_REGIONS * FLEET_HOSTS_PER_REGION,
  FLEET_UPSTREAMS_PER_REGION = 4
};

struct fleet;

struct fleet_counts
{
  int served;
  int refused;
  int repeats; /* arrivals beyond the first of their request */
};

struct fleet *fleet_create (const struct marjoram_repeat_limits *limits,
                            uint64_t seed);
void fleet_destroy (struct fleet *fleet);
/* Callers send PER_S requests per second to the hosts of REGION.  */
void fleet_set_rate (struct fleet *fleet, int region, double per_s);
/* Upstreams refuse this share of their arrivals, without running them; one
   upstream of the last region never does.  */
void fleet_set_refusals (struct fleet *fleet, double share);
void fleet_run_until (struct fleet *fleet, int64_t until_ms);
/* All hosts lose their memory.  */
void fleet_restart_hosts (struct fleet *fleet);
struct fleet_counts fleet_count (const struct fleet *fleet, int64_t from_ms,
                                 int64_t until_ms);
/* Repeats that the hosts have permitted since their last start.  */
uint64_t fleet_permitted (const struct fleet *fleet);
/* The largest number of repeats beyond the bound in any window; its start is
   stored in FROM_MS.  Negative if the bound holds.  */
double fleet_excess (const struct fleet *fleet, int64_t *from_ms);

#endif
