/* Tests of the rate limits that upstreams state in their responses, with real
   gateways.  Check: in no window do the hosts together exceed a limit.  */
#include "suite.h"

#include "lib_fleet.h"
#include "random.h"
#include "upstream_rate.h"

enum
{
  CALM_MS = 2000,
  /* From a change of a limit until it must be in effect.  */
  CONTACT_MS = 5000,
  RUN_MS = 20000,
  RANDOM_RUN_MS = 50000,
  SEEDS = 10
};

static const struct marjoram_repeat_limits limits = { 0.2, 58, 10000 };

static struct fleet *
open_fleet (int seed)
{
  struct fleet *fleet = fleet_create (&limits, (uint64_t)seed);

  for (int i = 0; i < FLEET_REGIONS; i++)
    fleet_set_rate (fleet, i, 60);
  fleet_run_until (fleet, CALM_MS);
  return fleet;
}

static void
check_limits (struct fleet *fleet)
{
  int64_t from = 0;
  double excess = fleet_rate_excess (fleet, &from);

  ck_assert_msg (excess <= 0, "%.1f requests beyond the rate limit from %d ms",
                 excess, (int)from);
}

/* Guards against hosts that together send an upstream more requests than the
   rate limit that it states.  */
START_TEST (hosts_together_keep_stated_rate_limits)
{
  static const double rates[] = { 1, 1.2, 8, 0.5 };
  struct fleet *fleet = open_fleet (1);

  for (int i = 0; i < FLEET_UPSTREAMS_PER_REGION; i++)
    fleet_set_rate_limit (fleet, 0, i + 1, rates[i]);
  fleet_run_until (fleet, RUN_MS);
  check_limits (fleet);
  fleet_destroy (fleet);
}
END_TEST

/* Guards against upstreams that get no requests while they state a limit, or
   after they stop stating it.  */
START_TEST (limited_upstream_gets_what_it_accepts)
{
  struct fleet *fleet = open_fleet (1);

  fleet_set_rate_limit (fleet, 0, 1, 4);
  fleet_run_until (fleet, RUN_MS);
  ck_assert_int_ge (fleet_arrivals (fleet, 0, 1, CALM_MS + CONTACT_MS, RUN_MS),
                    (RUN_MS - CALM_MS - CONTACT_MS) / 1000 * 4 / 2);
  fleet_set_rate_limit (fleet, 0, 1, -1);
  fleet_run_until (fleet, RUN_MS + 2 * CONTACT_MS);
  ck_assert_int_ge (fleet_arrivals (fleet, 0, 1, RUN_MS + CONTACT_MS,
                                    RUN_MS + 2 * CONTACT_MS),
                    CONTACT_MS / 1000 * 60 / FLEET_UPSTREAMS_PER_REGION / 2);
  fleet_destroy (fleet);
}
END_TEST

static void
change_limits (struct fleet *fleet, marjoram_random *random)
{
  static const double rates[] = { -1, 0.5, 1, 2, 5, 20 };
  const int region = (int)marjoram_random_below (random, FLEET_REGIONS);
  const int upstream
      = 1 + (int)marjoram_random_below (random, FLEET_UPSTREAMS_PER_REGION);

  fleet_set_rate_limit (fleet, region, upstream,
                        rates[marjoram_random_below (random, 6)]);
}

/* The same while limits change and hosts restart.  */
START_TEST (changing_rate_limits_are_kept)
{
  struct fleet *fleet = open_fleet (_i);
  marjoram_random *random = marjoram_random_create ((uint64_t)_i);

  for (int64_t at = CALM_MS; at < RANDOM_RUN_MS; at += 1000)
    {
      if (at % 3000 == 0)
        change_limits (fleet, random);
      if (marjoram_random_below (random, 8) == 0)
        fleet_restart_host (fleet,
                            (int)marjoram_random_below (random, FLEET_HOSTS));
      fleet_run_until (fleet, at + 1000);
    }
  check_limits (fleet);
  marjoram_random_destroy (random);
  fleet_destroy (fleet);
}
END_TEST

/* Guards against a limit that a host keeps for good because it was not told of
   the end.  */
START_TEST (host_that_missed_the_end_of_a_limit_is_told)
{
  marjoram_upstream_rate *cut_off = marjoram_upstream_rate_create ();
  marjoram_upstream_rate *other = marjoram_upstream_rate_create ();
  struct marjoram_rate_fact fact;

  ck_assert (marjoram_upstream_rate_state (other, 1000, 900, 2));
  fact = marjoram_upstream_rate_fact (other);
  ck_assert (!marjoram_upstream_rate_learn (cut_off, 1100, &fact));
  ck_assert (marjoram_upstream_rate_is_limited (cut_off));
  ck_assert (!marjoram_upstream_rate_state (other, 2000, 950, -1));
  ck_assert (marjoram_upstream_rate_state (other, 2000, 1950, -1));
  fact = marjoram_upstream_rate_fact (cut_off);
  ck_assert (marjoram_upstream_rate_learn (other, 9000, &fact));
  ck_assert (!marjoram_upstream_rate_is_limited (other));
  fact = marjoram_upstream_rate_fact (other);
  marjoram_upstream_rate_learn (cut_off, 9100, &fact);
  ck_assert (!marjoram_upstream_rate_is_limited (cut_off));
  marjoram_upstream_rate_destroy (cut_off);
  marjoram_upstream_rate_destroy (other);
}
END_TEST

static int
count_sent (marjoram_upstream_rate *rate, int64_t from_ms, int64_t until_ms)
{
  int sent = 0;

  for (int64_t now = from_ms; now < until_ms; now++)
    while (marjoram_upstream_rate_wait_ms (rate, now) == 0)
      {
        marjoram_upstream_rate_take (rate, now);
        sent++;
      }
  return sent;
}

/* Guards against parts that exceed a limit in sum in a region of many hosts,
   or use little of it.  */
START_TEST (parts_of_many_hosts_add_up)
{
  static const double rates[] = { 0.5, 1, 2.5, 40, 300 };
  const double limit = rates[_i];
  const size_t hosts = 100;
  size_t sharers = hosts;
  int sent = 0;

  for (size_t host = 0; host < sharers; host++)
    {
      marjoram_upstream_rate *rate = marjoram_upstream_rate_create ();

      marjoram_upstream_rate_state (rate, 0, 0, limit);
      sharers = marjoram_upstream_rate_sharers (rate, hosts);
      marjoram_upstream_rate_set_sharers (rate, 0, sharers, true);
      count_sent (rate, 0, 6000);
      sent += count_sent (rate, 6000, 10000);
      marjoram_upstream_rate_destroy (rate);
    }
  ck_assert_int_le (sent, (int)(1.5 * limit * 4 + 5));
  ck_assert_int_ge (sent, (int)(0.9 * limit * 4));
}
END_TEST

Suite *
suite (void)
{
  Suite *all = suite_create ("rate_limit");
  TCase *tests = tcase_create ("rate_limit");

  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, hosts_together_keep_stated_rate_limits);
  tcase_add_test (tests, limited_upstream_gets_what_it_accepts);
  tcase_add_loop_test (tests, changing_rate_limits_are_kept, 0, SEEDS);
  tcase_add_test (tests, host_that_missed_the_end_of_a_limit_is_told);
  tcase_add_loop_test (tests, parts_of_many_hosts_add_up, 0, 5);
  suite_add_tcase (all, tests);
  return all;
}
