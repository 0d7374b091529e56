/* Tests of the bound on repeats over all hosts, with real gateways.  */
#include "suite.h"

#include "lib_fleet.h"

enum
{
  CALM_MS = 12000,
  FAULT_MS = 8000,
  RUN_MS = 30000,
  SEEDS = 3
};

static const struct marjoram_repeat_limits limits = { 0.2, 58, 10000 };

static struct fleet *
open_fleet (int seed)
{
  struct fleet *fleet = fleet_create (&limits, (uint64_t)seed);

  for (int i = 0; i < FLEET_REGIONS; i++)
    fleet_set_rate (fleet, i, 50);
  fleet_run_until (fleet, CALM_MS);
  return fleet;
}

static void
check_bound (struct fleet *fleet)
{
  int64_t from;
  double excess = fleet_excess (fleet, &from);

  ck_assert_msg (excess <= 0, "%.1f repeats beyond the bound from %d ms",
                 excess, (int)from);
}

/* Guards against arrivals at another region's upstreams going uncounted.  */
START_TEST (refused_forwards_count_as_arrivals)
{
  struct fleet *fleet = open_fleet (_i);
  struct fleet_counts counts;

  fleet_set_refusals (fleet, 1);
  for (int i = 0; i < FLEET_REGIONS; i++)
    fleet_set_rate (fleet, i, 150);
  fleet_run_until (fleet, CALM_MS + FAULT_MS);
  fleet_set_refusals (fleet, 0);
  fleet_run_until (fleet, RUN_MS);
  check_bound (fleet);
  counts = fleet_count (fleet, 0, RUN_MS);
  ck_assert_int_gt (counts.repeats, 200);
  ck_assert_uint_le ((uint64_t)counts.repeats, fleet_permitted (fleet));
  fleet_destroy (fleet);
}
END_TEST

/* Guards against hosts spending their budgets a second time after a
   restart.  */
START_TEST (restarted_hosts_stay_within_the_bound)
{
  struct fleet *fleet = open_fleet (_i);

  fleet_set_refusals (fleet, 0.9);
  fleet_run_until (fleet, CALM_MS + FAULT_MS / 2);
  fleet_restart_hosts (fleet);
  fleet_run_until (fleet, CALM_MS + FAULT_MS);
  fleet_set_refusals (fleet, 0);
  fleet_run_until (fleet, RUN_MS);
  check_bound (fleet);
  fleet_destroy (fleet);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("repeat_arrivals");
  TCase *c = tcase_create ("repeat_arrivals");

  tcase_set_timeout (c, 60);
  tcase_add_loop_test (c, refused_forwards_count_as_arrivals, 1, SEEDS + 1);
  tcase_add_loop_test (c, restarted_hosts_stay_within_the_bound, 1, SEEDS + 1);
  suite_add_tcase (s, c);
  return s;
}
