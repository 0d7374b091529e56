/* Tests the totals of collectors and how placements use them.  */
#include "suite.h"

#include "cleanup.h"
#include "load_collector.h"
#include "placement.h"

#include <string.h>

static marjoram_load_collector *collector;

static void
setup (void)
{
  collector = marjoram_load_collector_create ();
}

static void
teardown (void)
{
  marjoram_load_collector_destroy (collector);
}

static void
report_load (int64_t now, const char *host, const char *upstream,
             uint64_t running, bool whole)
{
  struct marjoram_load_item item
      = { .upstream = (char *)upstream, .running = running };
  struct marjoram_placed_part part = { 7, 100, 0 };
  const struct marjoram_load_report report
      = { { &item, 1 }, { &part, running > 0 ? 1 : 0 }, whole };

  marjoram_load_collector_apply_report (collector, now, host, &report);
}

/* Running requests reported for UPSTREAM at NOW; -1 if it is not in the
   report.  */
static int64_t
reported_running (int64_t now, const char *upstream)
{
  struct marjoram_load_report report;
  const struct marjoram_load_item *items;
  int64_t running = -1;

  marjoram_load_collector_take_report (collector, now, &report);
  items = report.items.items;
  for (size_t i = 0; i < report.items.count; i++)
    if (strcmp (items[i].upstream, upstream) == 0)
      running = (int64_t)items[i].running;
  marjoram_wire_clear (&marjoram_load_report_layout, &report);
  return running;
}

static void
report_rate (int64_t now, const char *host, const char *upstream,
             uint64_t number, int64_t rate_limit)
{
  struct marjoram_load_item item = { .upstream = (char *)upstream,
                                     .rate_number = number,
                                     .rate_limit = rate_limit };
  const struct marjoram_load_report report
      = { { &item, 1 }, { NULL, 0 }, false };

  marjoram_load_collector_apply_report (collector, now, host, &report);
}

/* Number of what is told at NOW of the rate limit of the only upstream; 0 if
   nothing is told.  Its limit is stored in RATE_LIMIT.  */
static uint64_t
told_rate (int64_t now, int64_t *rate_limit)
{
  struct marjoram_load_report report;
  const struct marjoram_load_item *items;
  uint64_t number = 0;

  marjoram_load_collector_take_report (collector, now, &report);
  items = report.items.items;
  if (report.items.count > 0)
    {
      number = items[0].rate_number;
      *rate_limit = items[0].rate_limit;
    }
  marjoram_wire_clear (&marjoram_load_report_layout, &report);
  return number;
}

/* Guards against hosts of a large region that are not told of rate limits.  */
START_TEST (collector_tells_the_newest_rate_limit)
{
  int64_t limit = 0;

  marjoram_load_collector_set_hosts (collector, 328);
  report_rate (1000, "a", "u", 2, 1500);
  report_rate (1000, "b", "u", 3, -1);
  report_rate (1000, "c", "u", 3, 700);
  report_rate (1000, "d", "u", 2, 100);
  ck_assert_uint_eq (told_rate (1100, &limit), 3);
  ck_assert_int_eq (limit, 700);
  ck_assert_uint_eq (told_rate (1200, &limit), 0);
}
END_TEST

static void
report_statements (int64_t now, const char *host, bool leaving,
                   uint64_t retry_ms, int64_t started_at)
{
  struct marjoram_load_item item = { .upstream = (char *)"u",
                                     .leaving = leaving,
                                     .retry_ms = retry_ms,
                                     .started_at = started_at };
  const struct marjoram_load_report report
      = { { &item, 1 }, { NULL, 0 }, false };

  marjoram_load_collector_apply_report (collector, now, host, &report);
}

/* The item that is told at NOW; without UPSTREAM, zero if there is none.  */
static struct marjoram_load_item
told_item (int64_t now)
{
  struct marjoram_load_report report;
  struct marjoram_load_item item = { 0 };

  marjoram_load_collector_take_report (collector, now, &report);
  if (report.items.count > 0)
    item = *(struct marjoram_load_item *)report.items.items;
  marjoram_wire_clear (&marjoram_load_report_layout, &report);
  item.upstream = NULL;
  return item;
}

/* Guards against hosts of a large region that are not told what answers of
   upstreams said to others, or that are told of a former instance.  */
START_TEST (collector_tells_what_answers_said)
{
  struct marjoram_load_item item;

  marjoram_load_collector_set_hosts (collector, 328);
  report_statements (1000, "a", false, 3000, 7);
  report_statements (1010, "b", false, 500, 7);
  report_statements (1020, "c", false, UINT64_MAX, 7);
  item = told_item (1100);
  ck_assert_uint_eq (item.retry_ms, 2900);
  ck_assert (!item.leaving);
  ck_assert_int_eq (item.started_at, 7);
  item = told_item (1200);
  ck_assert_uint_eq (item.retry_ms, 0);
  report_statements (1300, "a", true, 2000, 7);
  report_statements (1310, "b", true, 0, 8);
  item = told_item (1400);
  ck_assert (item.leaving);
  ck_assert_uint_eq (item.retry_ms, 0);
  ck_assert_int_eq (item.started_at, 8);
  ck_assert (!told_item (1500).leaving);
}
END_TEST

START_TEST (totals_follow_changes)
{
  report_load (1000, "a", "u", 2, false);
  report_load (1000, "b", "u", 3, false);
  ck_assert_int_eq (reported_running (1100, "u"), 5);
  ck_assert_int_eq (reported_running (1200, "u"), -1);
  report_load (1250, "a", "u", 1, false);
  ck_assert_int_eq (reported_running (1300, "u"), 4);
  report_load (1350, "a", "u", 0, false);
  report_load (1350, "b", "u", 0, false);
  ck_assert_int_eq (reported_running (1400, "u"), 0);
  ck_assert_int_eq (reported_running (2500, "u"), -1);
}
END_TEST

START_TEST (whole_report_clears_omitted_load)
{
  report_load (1000, "a", "u", 2, false);
  report_load (1000, "a", "v", 3, true);
  ck_assert_int_eq (reported_running (1100, "u"), 0);
  report_load (1150, "a", "v", 3, false);
  ck_assert_int_eq (reported_running (1200, "v"), 3);
}
END_TEST

/* Guards against counting the load of a dead host for good.  */
START_TEST (load_of_silent_host_expires)
{
  report_load (1000, "a", "u", 2, false);
  report_load (2000, "b", "u", 1, false);
  ck_assert_int_eq (reported_running (2100, "u"), 3);
  ck_assert_int_eq (reported_running (3100, "u"), 1);
}
END_TEST

/* Guards against lasting errors at a host that missed some reports.  */
START_TEST (all_totals_are_sent_periodically)
{
  report_load (1000, "a", "u", 2, false);
  ck_assert_int_eq (reported_running (1100, "u"), 2);
  report_load (2050, "a", "v", 1, false);
  ck_assert_int_eq (reported_running (2150, "u"), 2);
}
END_TEST

static void
report_engine (int64_t now, const char *upstream, uint64_t running)
{
  struct marjoram_load_item item = { .upstream = (char *)upstream,
                                     .running = running,
                                     .held_tokens = 1000 * running };
  const struct marjoram_load_report report
      = { { &item, 1 }, { NULL, 0 }, false };

  marjoram_load_collector_apply_report (collector, now, "a", &report);
}

/* Guards against totals that fill the collector's link in a large region whose
   engines are hardly used.  */
START_TEST (lightly_used_engines_of_large_regions_are_not_told)
{
  marjoram_load_collector_set_hosts (collector, 328);
  report_engine (1000, "engine", 2);
  report_load (1000, "b", "plain", 1, false);
  ck_assert_int_eq (reported_running (1100, "engine"), -1);
  report_engine (1150, "engine", 3);
  ck_assert_int_eq (reported_running (1200, "engine"), 3);
  report_engine (1250, "engine", 2);
  ck_assert_int_eq (reported_running (1300, "engine"), 0);
  report_engine (1350, "engine", 1);
  ck_assert_int_eq (reported_running (1400, "engine"), -1);
  report_load (1450, "b", "plain", 2, false);
  ck_assert_int_eq (reported_running (1500, "plain"), 2);
  marjoram_load_collector_set_hosts (collector, 98);
  report_engine (1550, "engine", 2);
  ck_assert_int_eq (reported_running (1600, "engine"), 2);
}
END_TEST

/* ---- Two hosts that report through a collector.  ---- */

static const bool all_groups[MARJORAM_LOAD_GROUPS]
    = { true, true, true, true, true, true, true, true };
static const bool no_groups[MARJORAM_LOAD_GROUPS] = { false };

struct pair
{
  marjoram_registry *registry;
  marjoram_host_list *list;
  marjoram_placement *placements[2];
  struct marjoram_service_rule service;
  struct marjoram_call_metadata metadata;
  uint64_t attempts;
};

static const char *
region_of (void *context, const char *zone)
{
  (void)context;
  (void)zone;
  return "r";
}

static bool
never (void *context, const char *zone)
{
  (void)context;
  (void)zone;
  return false;
}

static struct pair *
pair_create (void)
{
  struct pair *pair = marjoram_alloc (sizeof *pair);
  struct marjoram_upstream_heartbeat heartbeat
      = { .id = "u",
          .service = "lm",
          .address = "10.0.0.1:1",
          .zone = "z",
          .state = MARJORAM_UPSTREAM_READY,
          .sequence = 1,
          .ends_ms = -1,
          .slots = 64 };

  pair->registry = marjoram_registry_create ();
  pair->list = marjoram_host_list_create ();
  marjoram_registry_update (pair->registry, 1000, &heartbeat, 0);
  pair->service.name = (char *)"lm";
  pair->service.has_engine = true;
  pair->service.engine.slots = 64;
  pair->service.engine.kv_capacity = 200000;
  pair->metadata.prompt_tokens = 8000;
  for (int i = 0; i < 2; i++)
    {
      const struct marjoram_placement_options options
          = { .registry = pair->registry,
              .hosts = pair->list,
              .host = i == 0 ? "a" : "b",
              .region = "r",
              .region_of = region_of,
              .is_evacuated = never,
              .is_leaving = never };

      pair->placements[i] = marjoram_placement_create (&options);
    }
  return pair;
}

static void
pair_destroy (struct pair *pair)
{
  for (int i = 0; i < 2; i++)
    marjoram_placement_destroy (pair->placements[i]);
  marjoram_host_list_destroy (pair->list);
  marjoram_registry_destroy (pair->registry);
  free (pair);
}

static struct marjoram_place_query
query_of (struct pair *pair)
{
  return (struct marjoram_place_query){ .service = &pair->service,
                                        .metadata = &pair->metadata,
                                        .priority = 1,
                                        .time_left_ms = 5000 };
}

static void
start (struct pair *pair, int host, int64_t now)
{
  const struct marjoram_place_query query = query_of (pair);

  marjoram_placement_attempt_started (pair->placements[host], now,
                                      ++pair->attempts, "u", &query);
}

/* Backlog of the engine as HOST sees it.  */
static int64_t
backlog (struct pair *pair, int host, int64_t now)
{
  const struct marjoram_place_query query = query_of (pair);
  struct marjoram_place place;

  marjoram_placement_choose (pair->placements[host], now, &query, &place);
  return place.backlog_ms;
}

static void
report (struct pair *pair, int host, int64_t now)
{
  struct marjoram_load_report reports[MARJORAM_LOAD_GROUPS];

  marjoram_placement_report_changes (pair->placements[host], now, no_groups,
                                     reports);
  for (int i = 0; i < MARJORAM_LOAD_GROUPS; i++)
    {
      if (reports[i].items.count > 0)
        marjoram_load_collector_apply_report (
            collector, now, host == 0 ? "a" : "b", &reports[i]);
      marjoram_wire_clear (&marjoram_load_report_layout, &reports[i]);
    }
}

static void
distribute_totals (struct pair *pair, int64_t now)
{
  struct marjoram_load_report totals;

  if (marjoram_load_collector_take_report (collector, now, &totals))
    for (int i = 0; i < 2; i++)
      marjoram_placement_apply_totals (pair->placements[i], now, all_groups,
                                       &totals);
  marjoram_wire_clear (&marjoram_load_report_layout, &totals);
}

START_TEST (load_is_shared_and_not_counted_twice)
{
  struct pair *pair = pair_create ();
  int64_t own;

  start (pair, 0, 1000);
  own = backlog (pair, 0, 1000);
  ck_assert_int_gt (own, 0);
  report (pair, 0, 1050);
  distribute_totals (pair, 1100);
  ck_assert_int_eq (backlog (pair, 1, 1100), own);
  ck_assert_int_eq (backlog (pair, 0, 1300), own);
  pair_destroy (pair);
}
END_TEST

/* Guards against subtracting a request from totals that do not include it
   yet.  */
START_TEST (request_just_sent_is_not_subtracted)
{
  struct pair *pair = pair_create ();
  int64_t one;

  start (pair, 0, 1000);
  one = backlog (pair, 0, 1000);
  start (pair, 1, 1000);
  report (pair, 1, 1050);
  distribute_totals (pair, 1100);
  ck_assert_int_ge (backlog (pair, 0, 1100), 2 * one - 1);
  report (pair, 0, 1110);
  ck_assert_int_ge (backlog (pair, 0, 1120), 2 * one - 1);
  distribute_totals (pair, 1200);
  ck_assert_int_ge (backlog (pair, 0, 1400), 2 * one - 1);
  ck_assert_int_le (backlog (pair, 0, 1400), 2 * one + 1);
  pair_destroy (pair);
}
END_TEST

/* Guards against using the totals of a dead collector.  */
START_TEST (totals_of_silent_collector_expire)
{
  struct pair *pair = pair_create ();

  start (pair, 0, 1000);
  report (pair, 0, 1050);
  distribute_totals (pair, 1100);
  ck_assert_int_gt (backlog (pair, 1, 3000), 0);
  ck_assert_int_eq (backlog (pair, 1, 3200), 0);
  pair_destroy (pair);
}
END_TEST

/* Guards against messages of a collector that grow with the square of the
   region's hosts.  */
START_TEST (messages_per_second_are_bounded)
{
  static const size_t hosts[] = { 50, 98, 328, 656, 1000 };

  for (size_t i = 0; i < sizeof hosts / sizeof *hosts; i++)
    {
      const int64_t msec = marjoram_load_collector_interval_ms (hosts[i]);

      ck_assert_int_ge (msec, 100);
      ck_assert_int_le (msec, 1000);
      ck_assert_int_le ((int64_t)hosts[i] * 1000 / msec, 1000);
    }
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("load_collector");
  TCase *c = tcase_create ("load_collector");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, collector_tells_the_newest_rate_limit);
  tcase_add_test (c, collector_tells_what_answers_said);
  tcase_add_test (c, totals_follow_changes);
  tcase_add_test (c, whole_report_clears_omitted_load);
  tcase_add_test (c, load_of_silent_host_expires);
  tcase_add_test (c, all_totals_are_sent_periodically);
  tcase_add_test (c, load_is_shared_and_not_counted_twice);
  tcase_add_test (c, request_just_sent_is_not_subtracted);
  tcase_add_test (c, totals_of_silent_collector_expire);
  tcase_add_test (c, messages_per_second_are_bounded);
  tcase_add_test (c, lightly_used_engines_of_large_regions_are_not_told);
  suite_add_tcase (s, c);
  return s;
}
