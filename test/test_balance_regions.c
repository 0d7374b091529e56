/* Tests forwarding between regions with uneven demand, with real gateways:
   one region gets more requests than it can serve.  */
#include "suite.h"

#include "lib_fleet.h"

#include <stdio.h>

enum
{
  SLOTS = 64,
  FIRST_MS = 60,    /* time of an upstream to the first event */
  STREAM_MS = 600,  /* and to the end */
  CAPACITY_S = 427, /* requests per second that a region with SLOTS serves */
  CALM_S = 10,
  BUSY_S = 1195, /* 2.8 times as many */
  CALM_MS = 3000,
  RAMP_MS = 2500, /* until the forwarded share is steady */
  BUSY_MS = 8000,
  WINDOW_MS = 500,
  SEEDS = 3
};

static const struct marjoram_repeat_limits limits = { 0.2, 58, 10000 };
static const struct marjoram_load_features balance
    = { .balance_regions = true };

/* Regions with SLOTS at each upstream and little demand.  Upstreams queue
   requests that they have no slot for.  */
static struct fleet *
open_fleet (int seed, bool balanced)
{
  struct fleet *fleet = fleet_create (&limits, (uint64_t)seed);

  for (int i = 0; i < FLEET_REGIONS; i++)
    {
      fleet_set_room (fleet, i, SLOTS, -1);
      fleet_set_queueing (fleet, i, true);
      fleet_set_rate (fleet, i, 50);
    }
  fleet_set_serve_ms (fleet, FIRST_MS);
  fleet_set_stream_ms (fleet, STREAM_MS);
  fleet_set_route (fleet, "/talk/");
  if (balanced)
    fleet_set_load (fleet, &balance);
  return fleet;
}

static uint64_t
sum (const struct fleet *fleet, enum marjoram_metric metric)
{
  uint64_t total = 0;

  for (int i = 0; i < FLEET_REGIONS; i++)
    total += fleet_metric (fleet, i, metric);
  return total;
}

static void
check_bound (struct fleet *fleet)
{
  int64_t from;
  const double excess = fleet_excess (fleet, &from);

  ck_assert_msg (excess <= 0, "%.1f repeats beyond the bound from %d ms",
                 excess, (int)from);
}

/* Runs BUSY_MS while region BUSY has too much demand and the others have most
   of their capacity left.  Returns the greatest change of
   the number forwarded from one window to the next, once it is steady, as a
   share of the larger one.  */
static double
run_uneven (struct fleet *fleet, int64_t from_ms, int busy)
{
  uint64_t before;
  uint64_t last = 0;
  double swing = 0;

  for (int i = 0; i < FLEET_REGIONS; i++)
    fleet_set_rate (fleet, i, i == busy ? BUSY_S : CALM_S);
  fleet_run_until (fleet, from_ms + RAMP_MS);
  before = fleet_metric (fleet, busy, MARJORAM_METRIC_FORWARDED_OUT);
  for (int64_t at = from_ms + RAMP_MS; at < from_ms + BUSY_MS; at += WINDOW_MS)
    {
      uint64_t now;
      double more;
      double less;

      fleet_run_until (fleet, at + WINDOW_MS);
      now = fleet_metric (fleet, busy, MARJORAM_METRIC_FORWARDED_OUT);
      more = (double)(now - before > last ? now - before : last);
      less = (double)(now - before > last ? last : now - before);
      if (last > 0 && (more - less) / more > swing)
        swing = (more - less) / more;
      last = now - before;

      before = now;
    }
  ck_assert_uint_gt (last, 100);
  return swing;
}

/* Guards against refusals in a region while another has capacity, and against
   demand that swings between regions.  */
START_TEST (uneven_demand_is_served)
{
  struct fleet *fleet = open_fleet (_i, true);
  struct fleet_counts counts;
  double there;
  double back;

  fleet_run_until (fleet, CALM_MS);
  there = run_uneven (fleet, CALM_MS, 0);
  back = run_uneven (fleet, CALM_MS + BUSY_MS, 1);
  counts = fleet_count (fleet, CALM_MS, CALM_MS + 2 * BUSY_MS);
  printf ("seed %d: served %d, refused %d, largest change %.2f and %.2f\n", _i,
          counts.served, counts.refused, there, back);
  ck_assert_int_eq (counts.refused, 0);
  ck_assert_uint_eq (sum (fleet, MARJORAM_METRIC_REFUSED_WITH_ROOM), 0);
  ck_assert_double_le (there, 0.5);
  ck_assert_double_le (back, 0.5);
  check_bound (fleet);
  fleet_destroy (fleet);
}
END_TEST

struct full_run
{
  struct fleet_counts counts;
  uint64_t forwards_refused;
};

static struct full_run
run_full (int seed, bool balanced)
{
  struct fleet *fleet = open_fleet (seed, balanced);
  struct full_run run;

  fleet_run_until (fleet, CALM_MS);
  fleet_set_rate (fleet, 0, BUSY_S);
  fleet_set_rate (fleet, 1, 1.2 * CAPACITY_S);
  fleet_set_rate (fleet, 2, 1.2 * CAPACITY_S);
  fleet_run_until (fleet, CALM_MS + BUSY_MS);
  run.counts = fleet_count (fleet, CALM_MS, CALM_MS + BUSY_MS);
  run.forwards_refused = sum (fleet, MARJORAM_METRIC_FORWARDS_REFUSED);
  if (!balanced)
    ck_assert_uint_eq (sum (fleet, MARJORAM_METRIC_FORWARDS_LIMITED)
                           + sum (fleet, MARJORAM_METRIC_REFUSED_WITH_ROOM),
                       0);
  check_bound (fleet);
  fleet_destroy (fleet);
  return run;
}

/* Guards against requests that are forwarded to full regions, queue there and
   come back refused.  */
START_TEST (full_regions_are_left_alone)
{
  const struct full_run before = run_full (_i, false);
  const struct full_run run = run_full (_i, true);

  printf ("seed %d: served %d and %d, refused forwards %d and %d\n", _i,
          before.counts.served, run.counts.served,
          (int)before.forwards_refused, (int)run.forwards_refused);
  ck_assert_uint_gt (before.forwards_refused, 500);
  ck_assert_uint_le (10 * run.forwards_refused, before.forwards_refused);
  ck_assert_double_ge (run.counts.served, 0.98 * before.counts.served);
}
END_TEST

/* Upstreams that refuse requests for which they have no room, as those of a
   plain service.  */
static struct full_run
run_refusing (int seed, bool balanced, double others_s)
{
  struct fleet *fleet = fleet_create (&limits, (uint64_t)seed);
  struct full_run run;

  fleet_set_room (fleet, 0, 4, 2);
  fleet_set_room (fleet, 1, 14, 2);
  fleet_set_room (fleet, 2, 4, 2);
  if (balanced)
    fleet_set_load (fleet, &balance);
  for (int i = 0; i < FLEET_REGIONS; i++)
    fleet_set_rate (fleet, i, 50);
  fleet_run_until (fleet, CALM_MS);
  fleet_set_rate (fleet, 0, 650);
  fleet_set_rate (fleet, 2, others_s);
  fleet_run_until (fleet, CALM_MS + BUSY_MS);
  run.counts = fleet_count (fleet, CALM_MS, CALM_MS + BUSY_MS);
  run.forwards_refused = sum (fleet, MARJORAM_METRIC_FORWARDS_REFUSED);
  check_bound (fleet);
  fleet_destroy (fleet);
  return run;
}

/* Guards against requests that this region's upstreams refused being refused
   although another region has capacity.  */
START_TEST (refusing_upstreams_are_relieved)
{
  const struct full_run before = run_refusing (_i, false, 180);
  const struct full_run run = run_refusing (_i, true, 180);

  printf ("seed %d: refused %d and %d, refused forwards %d and %d\n", _i,
          before.counts.refused, run.counts.refused,
          (int)before.forwards_refused, (int)run.forwards_refused);
  ck_assert_double_le (5.0 * run.counts.refused, before.counts.refused);
  ck_assert_uint_le (10 * run.forwards_refused, before.forwards_refused);
}
END_TEST

/* ---- A region is cut off, or lost, and comes back.  ---- */

enum
{
  CUT_MS = 6000,
  BACK_MS = 10000,
  /* Until hosts have heard from the region again and queues are as before. */
  SETTLED_MS = 2500,
  END_MS = 16000
};

static uint64_t
forwarded_to (struct fleet *fleet, int region, int64_t until_ms)
{
  const uint64_t before
      = fleet_metric (fleet, region, MARJORAM_METRIC_FORWARDED_IN);

  fleet_run_until (fleet, until_ms);
  return fleet_metric (fleet, region, MARJORAM_METRIC_FORWARDED_IN) - before;
}

static void
cut_and_return (int seed, bool lost)
{
  struct fleet *fleet = open_fleet (seed, true);
  uint64_t usual;
  uint64_t found;
  struct fleet_counts calm;
  struct fleet_counts settled;

  fleet_set_rate (fleet, 0, 750);
  fleet_set_rate (fleet, 2, 350);
  fleet_run_until (fleet, CUT_MS - 1000);
  usual = forwarded_to (fleet, 1, CUT_MS);
  fleet_cut_region (fleet, 1, true);
  if (lost)
    fleet_set_rate (fleet, 1, 0);
  fleet_run_until (fleet, BACK_MS);
  fleet_cut_region (fleet, 1, false);
  fleet_set_rate (fleet, 1, 50);
  for (int i = 0; lost && i < FLEET_HOSTS_PER_REGION; i++)
    fleet_restart_host (fleet, FLEET_HOSTS_PER_REGION + i);
  found = forwarded_to (fleet, 1, BACK_MS + 1500);
  fleet_run_until (fleet, END_MS);
  calm = fleet_count (fleet, CALM_MS, CUT_MS);
  settled = fleet_count (fleet, BACK_MS + SETTLED_MS, END_MS);
  printf ("seed %d, %s: %d forwarded in 1 s before, %d in 1.5 s after; "
          "refused %d, %d, %d\n",
          seed, lost ? "lost" : "cut off", (int)usual, (int)found,
          calm.refused, fleet_count (fleet, CUT_MS, BACK_MS).refused,
          settled.refused);
  ck_assert_uint_ge (found, usual);
  ck_assert_int_eq (calm.refused, 0);
  ck_assert_int_eq (settled.refused, 0);
  check_bound (fleet);
  fleet_destroy (fleet);
}

/* Guards against a region that comes back not being found again, or being
   flooded.  */
START_TEST (region_that_was_cut_off_is_used_again)
{
  cut_and_return (_i, false);
}
END_TEST

START_TEST (region_that_was_lost_is_used_again) { cut_and_return (_i, true); }
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("balance_regions");
  TCase *c = tcase_create ("balance_regions");

  tcase_set_timeout (c, 60);
  tcase_add_loop_test (c, uneven_demand_is_served, 1, SEEDS + 1);
  tcase_add_loop_test (c, full_regions_are_left_alone, 1, SEEDS + 1);
  tcase_add_loop_test (c, refusing_upstreams_are_relieved, 1, SEEDS + 1);
  tcase_add_loop_test (c, region_that_was_cut_off_is_used_again, 1, SEEDS + 1);
  tcase_add_loop_test (c, region_that_was_lost_is_used_again, 1, SEEDS + 1);
  suite_add_tcase (s, c);
  return s;
}
