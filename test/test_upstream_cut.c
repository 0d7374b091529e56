/* Tests of hosts that lose their connections to all upstreams while callers
   and other hosts still reach them, with real gateways.  */
#include "suite.h"

#include "lib_fleet.h"

enum
{
  CALM_MS = 6000,
  /* From the start of a cut until its callers must be served as others.  */
  CONTACT_MS = 5000,
  CUT_MS = 14000,
  FIRST_CUT = 1, /* of a region's hosts; those after it are cut off too */
  FAILURES_MAX = 10,
  FAILURE_SHARE = 50 /* one in so many */
};

static const struct marjoram_repeat_limits limits = { 0.2, 58, 10000 };
static const enum fleet_cut cuts[] = { FLEET_CUT_RESET, FLEET_CUT_SILENT };

static bool
is_cut (int host)
{
  return host % FLEET_HOSTS_PER_REGION >= FIRST_CUT;
}

static struct fleet *
open_fleet (int seed, enum fleet_cut cut)
{
  struct fleet *fleet = fleet_create (&limits, (uint64_t)seed);

  for (int i = 0; i < FLEET_REGIONS; i++)
    fleet_set_rate (fleet, i, 60);
  fleet_set_home_share (fleet, 0.5);
  fleet_run_until (fleet, CALM_MS);
  for (int i = 0; i < FLEET_HOSTS; i++)
    if (is_cut (i))
      fleet_cut_host (fleet, i, cut);
  return fleet;
}

static struct fleet_counts
count (const struct fleet *fleet, bool cut, int64_t from_ms, int64_t until_ms)
{
  struct fleet_counts sum = { 0 };

  for (int i = 0; i < FLEET_HOSTS; i++)
    if (is_cut (i) == cut)
      {
        const struct fleet_counts counts
            = fleet_count_host (fleet, i, from_ms, until_ms);

        sum.served += counts.served;
        sum.refused += counts.refused;
      }
  return sum;
}

static void
check_failures (const struct fleet_counts *counts, const char *where)
{
  const int attempts = counts->served + counts->refused;

  ck_assert_int_gt (counts->served, 0);
  ck_assert_msg (counts->refused <= FAILURES_MAX + attempts / FAILURE_SHARE,
                 "%d of %d first attempts refused at %s", counts->refused,
                 attempts, where);
}

/* Guards against callers of a host without connections to upstreams being
   refused while hosts beside it could serve them.  */
START_TEST (callers_of_a_host_without_upstreams_are_served)
{
  struct fleet *fleet = open_fleet (1, cuts[_i]);
  struct fleet_counts at_cut;

  fleet_run_until (fleet, CALM_MS + CUT_MS);
  at_cut = count (fleet, true, CALM_MS + CONTACT_MS, CALM_MS + CUT_MS);
  check_failures (&at_cut, "cut hosts");
  fleet_destroy (fleet);
}
END_TEST

/* Guards against a host that takes upstreams for lost because other hosts
   lost their connections to them.  */
START_TEST (hosts_with_connections_keep_their_upstreams)
{
  struct fleet *fleet = open_fleet (1, cuts[_i]);
  struct fleet_counts others;

  fleet_run_until (fleet, CALM_MS + CUT_MS);
  others = count (fleet, false, CALM_MS, CALM_MS + CUT_MS);
  check_failures (&others, "hosts with upstreams");
  fleet_destroy (fleet);
}
END_TEST

/* Guards against hosts that stay without upstreams after the cut.  */
START_TEST (hosts_recover_after_a_cut)
{
  struct fleet *fleet = open_fleet (1, cuts[_i]);
  struct fleet_counts all;

  fleet_run_until (fleet, CALM_MS + CUT_MS);
  for (int i = 0; i < FLEET_HOSTS; i++)
    fleet_cut_host (fleet, i, FLEET_CUT_NONE);
  fleet_run_until (fleet, CALM_MS + CUT_MS + 2 * CONTACT_MS);
  all = fleet_count (fleet, CALM_MS + CUT_MS + CONTACT_MS,
                     CALM_MS + CUT_MS + 2 * CONTACT_MS);
  ck_assert_int_gt (all.served,
                    CONTACT_MS / 1000 * 60 * FLEET_REGIONS * 9 / 10);
  fleet_destroy (fleet);
}
END_TEST

Suite *
suite (void)
{
  Suite *all = suite_create ("upstream_cut");
  TCase *tests = tcase_create ("upstream_cut");

  tcase_set_timeout (tests, 60);
  tcase_add_loop_test (tests, callers_of_a_host_without_upstreams_are_served,
                       0, 2);
  tcase_add_loop_test (tests, hosts_with_connections_keep_their_upstreams, 0,
                       2);
  tcase_add_loop_test (tests, hosts_recover_after_a_cut, 0, 2);
  suite_add_tcase (all, tests);
  return all;
}
