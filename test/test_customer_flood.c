/* Tests under load, with real gateways, that one customer's flood takes no
   capacity from customers that keep to their usual load.  */
#include "suite.h"

#include "lib_fleet.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  CALM_MS = 6000,
  FLOOD_MS = 14000, /* when it begins to end */
  AFTER_MS = 16000, /* 2 s later everything is as before */
  RUN_MS = 20000,
  /* Time for the last requests to be answered or refused.  */
  TAIL_MS = 5000,
  QUIET_PER_S = 20, /* usual load of two customers */
  LOUD_PER_S = 15,  /* usual load of the third */
  LOUD = 2,
  FLOOD_FACTOR = 8
};

static const struct marjoram_repeat_limits limits = { 0.2, 58, 10000 };
/* How many hosts the flood comes through.  */
static const int hosts_of_flood[] = { 1, 2, FLEET_HOSTS_PER_REGION };

enum fault
{
  FAULT_NONE,
  FAULT_COLLECTOR,
  FAULT_CUT
};

struct outcome
{
  double before[FLEET_CUSTOMERS]; /* share served */
  double during[FLEET_CUSTOMERS];
  double after[FLEET_CUSTOMERS];
  double busy; /* share of the upstreams' time during the flood */
  int64_t loud_retry_ms;
  int64_t quiet_retry_ms;
};

static void
apply_fault (struct fleet *fleet, enum fault fault)
{
  if (fault == FAULT_COLLECTOR)
    fleet_kill_collector (fleet, 0);
  else if (fault == FAULT_CUT)
    fleet_cut_room (fleet, 1, true);
}

static void
run_flood (struct fleet *fleet, int hosts, enum fault fault)
{
  const int64_t fault_ms = CALM_MS + (FLOOD_MS - CALM_MS) / 3;

  fleet_set_route (fleet, "/home0/");
  for (int i = 0; i < FLEET_CUSTOMERS; i++)
    fleet_set_customer_rate (fleet, 0, i, i == LOUD ? LOUD_PER_S : QUIET_PER_S,
                             FLEET_HOSTS_PER_REGION);
  fleet_run_until (fleet, CALM_MS);
  fleet_set_customer_rate (fleet, 0, LOUD, FLOOD_FACTOR * LOUD_PER_S, hosts);
  fleet_run_until (fleet, fault_ms);
  apply_fault (fleet, fault);
  fleet_run_until (fleet, FLOOD_MS);
  fleet_set_customer_rate (fleet, 0, LOUD, LOUD_PER_S, FLEET_HOSTS_PER_REGION);
  fleet_run_until (fleet, RUN_MS);
  for (int i = 0; i < FLEET_CUSTOMERS; i++)
    fleet_set_customer_rate (fleet, 0, i, 0, 1);
  fleet_run_until (fleet, RUN_MS + TAIL_MS);
}

static struct outcome
flood (int seed, int hosts, bool shares, enum fault fault)
{
  struct fleet *fleet = fleet_create_shared (&limits, (uint64_t)seed, shares);
  struct outcome outcome;

  run_flood (fleet, hosts, fault);
  for (int i = 0; i < FLEET_CUSTOMERS; i++)
    {
      outcome.before[i] = fleet_customer_share (fleet, 0, i, 0, CALM_MS);
      outcome.during[i]
          = fleet_customer_share (fleet, 0, i, CALM_MS, FLOOD_MS);
      outcome.after[i] = fleet_customer_share (fleet, 0, i, AFTER_MS, RUN_MS);
    }
  outcome.busy = fleet_busy_share (fleet, 0, CALM_MS + 500, FLOOD_MS);
  outcome.loud_retry_ms
      = fleet_longest_retry_ms (fleet, LOUD, CALM_MS, FLOOD_MS);
  outcome.quiet_retry_ms
      = fleet_longest_retry_ms (fleet, 0, CALM_MS, FLOOD_MS);
  if (getenv ("MARJORAM_TEST_VERBOSE"))
    printf ("seed %d, hosts %d, shares %d, fault %d: before %.3f %.3f %.3f, "
            "during %.3f %.3f %.3f, after %.3f %.3f %.3f, busy %.3f, "
            "retry %d %d\n",
            seed, hosts, shares, fault, outcome.before[0], outcome.before[1],
            outcome.before[2], outcome.during[0], outcome.during[1],
            outcome.during[2], outcome.after[0], outcome.after[1],
            outcome.after[2], outcome.busy, (int)outcome.quiet_retry_ms,
            (int)outcome.loud_retry_ms);
  fleet_destroy (fleet);
  return outcome;
}

static void
check_flood (const struct outcome *outcome)
{
  for (int i = 0; i < FLEET_CUSTOMERS; i++)
    {
      if (i != LOUD)
        ck_assert_msg (outcome->during[i] >= 0.95 * outcome->before[i],
                       "customer %d: %.3f before the flood, %.3f during it", i,
                       outcome->before[i], outcome->during[i]);
      ck_assert_msg (outcome->after[i] >= 0.98 * outcome->before[i],
                     "customer %d: %.3f before the flood, %.3f after it", i,
                     outcome->before[i], outcome->after[i]);
    }
  ck_assert_msg (outcome->busy >= 0.95, "upstreams busy for %.3f of the time",
                 outcome->busy);
}

/* Guards against a flood that takes capacity from other customers, through
   one, some or all hosts of the region.  */
START_TEST (flood_takes_nothing_from_others)
{
  for (size_t i = 0; i < sizeof hosts_of_flood / sizeof *hosts_of_flood; i++)
    {
      const struct outcome outcome
          = flood (_i + 1, hosts_of_flood[i], true, FAULT_NONE);

      check_flood (&outcome);
      /* Refused callers of the customer that floods are told to wait for
         longer than the others.  */
      ck_assert_int_gt (outcome.loud_retry_ms, 1000);
      ck_assert_int_le (outcome.quiet_retry_ms, 1000);
    }
}
END_TEST

/* Guards against shares that are lost with the host that adds up the use.  */
START_TEST (flood_with_collector_killed)
{
  for (size_t i = 0; i < sizeof hosts_of_flood / sizeof *hosts_of_flood; i++)
    {
      const struct outcome outcome
          = flood (_i + 1, hosts_of_flood[i], true, FAULT_COLLECTOR);

      check_flood (&outcome);
    }
}
END_TEST

/* Guards against a host that lets the flood through, or takes nothing from
   anyone, after it was cut off from the others.  */
START_TEST (flood_with_host_cut_off)
{
  for (size_t i = 0; i < sizeof hosts_of_flood / sizeof *hosts_of_flood; i++)
    {
      const struct outcome outcome
          = flood (_i + 1, hosts_of_flood[i], true, FAULT_CUT);

      check_flood (&outcome);
    }
}
END_TEST

/* Guards against a flood that is forwarded to other regions and takes capacity
   from the same customers there.  */
START_TEST (forwarded_flood_takes_nothing_from_others)
{
  struct fleet *fleet = fleet_create_shared (&limits, (uint64_t)_i + 1, true);

  for (int region = 0; region < FLEET_REGIONS; region++)
    for (int i = 0; i < FLEET_CUSTOMERS; i++)
      fleet_set_customer_rate (fleet, region, i, QUIET_PER_S,
                               FLEET_HOSTS_PER_REGION);
  fleet_run_until (fleet, CALM_MS);
  fleet_set_customer_rate (fleet, 0, LOUD, FLOOD_FACTOR * QUIET_PER_S,
                           FLEET_HOSTS_PER_REGION);
  fleet_run_until (fleet, FLOOD_MS);
  for (int region = 0; region < FLEET_REGIONS; region++)
    for (int i = 0; i < FLEET_CUSTOMERS; i++)
      if (i != LOUD)
        {
          const double share = fleet_customer_share (fleet, region, i, CALM_MS,
                                                     FLOOD_MS - TAIL_MS);

          if (getenv ("MARJORAM_TEST_VERBOSE"))
            printf ("region %d, customer %d: %.3f\n", region, i, share);
          ck_assert_msg (share >= 0.95, "region %d, customer %d: %.3f", region,
                         i, share);
        }
  fleet_destroy (fleet);
}
END_TEST

/* Guards against a load under which the other tests pass anyway.  */
START_TEST (flood_harms_others_without_shares)
{
  const struct outcome outcome
      = flood (_i + 1, FLEET_HOSTS_PER_REGION, false, FAULT_NONE);

  ck_assert_msg (outcome.during[0] < 0.9 * outcome.before[0],
                 "%.3f before the flood, %.3f during it", outcome.before[0],
                 outcome.during[0]);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("customer_flood");
  TCase *tc = tcase_create ("customer_flood");

  tcase_set_timeout (tc, 120);
  tcase_add_loop_test (tc, flood_takes_nothing_from_others, 0, 4);
  tcase_add_loop_test (tc, flood_with_collector_killed, 0, 4);
  tcase_add_loop_test (tc, flood_with_host_cut_off, 0, 4);
  tcase_add_loop_test (tc, forwarded_flood_takes_nothing_from_others, 0, 4);
  tcase_add_loop_test (tc, flood_harms_others_without_shares, 0, 4);
  suite_add_tcase (s, tc);
  return s;
}
