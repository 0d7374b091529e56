/* Tests of upstreams that state how many refusals per second they tolerate,
   with real gateways.  */
#include "suite.h"

#include "lib_fleet.h"

enum
{
  CALM_MS = 4000,
  /* From the first statement until the bound applies.  */
  CONTACT_MS = 5000,
  RUN_MS = 20000,
  BRITTLE = 6, /* refusals per second */
  ROOM = 2,    /* requests, far below the slots that are known */
  PER_S = 200  /* requests to the region, more than it has room for */
};

static const struct marjoram_repeat_limits limits = { 0.2, 58, 10000 };

static struct fleet *
run_overloaded (int seed, int brittle)
{
  struct fleet *fleet = fleet_create (&limits, (uint64_t)seed);

  for (int i = 0; i < FLEET_REGIONS; i++)
    fleet_set_rate (fleet, i, 30);
  fleet_run_until (fleet, CALM_MS);
  fleet_set_rate (fleet, 0, PER_S);
  fleet_set_room (fleet, 0, ROOM, brittle);
  fleet_run_until (fleet, RUN_MS);
  return fleet;
}

/* Guards against hosts that together have a full upstream refuse more requests
   than it tolerates.  */
START_TEST (hosts_together_spare_brittle_upstreams)
{
  struct fleet *fleet = run_overloaded (_i, BRITTLE);

  ck_assert_int_le (
      fleet_refusal_peak (fleet, 0, CALM_MS + CONTACT_MS, RUN_MS), BRITTLE);
  fleet_destroy (fleet);
}
END_TEST

/* Guards against brittle upstreams that are hardly used.  */
START_TEST (brittle_upstreams_are_used)
{
  struct fleet *fleet = run_overloaded (0, BRITTLE);
  int arrivals = 0;

  for (int i = 1; i <= FLEET_UPSTREAMS_PER_REGION; i++)
    arrivals += fleet_arrivals (fleet, 0, i, CALM_MS + CONTACT_MS, RUN_MS);
  /* Half of what fits: ROOM requests of some 60 ms each.  */
  ck_assert_int_ge (arrivals, (RUN_MS - CALM_MS - CONTACT_MS) / 60 * ROOM
                                  * FLEET_UPSTREAMS_PER_REGION / 2);
  fleet_destroy (fleet);
}
END_TEST

Suite *
suite (void)
{
  Suite *all = suite_create ("brittle");
  TCase *tests = tcase_create ("brittle");

  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, hosts_together_spare_brittle_upstreams, 0, 5);
  tcase_add_test (tests, brittle_upstreams_are_used);
  suite_add_tcase (all, tests);
  return all;
}
