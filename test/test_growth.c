/* Guards against per-request and per-message work that grows with the number
   of hosts.  The modules under test are instrumented to call the function
   below at each step, so the counts are reproducible.  */
#include "suite.h"

#include "cleanup.h"
#include "load_collector.h"
#include "placement.h"
#include "repeat_budget.h"

#include <stdio.h>

enum
{
  UPSTREAMS = 16,
  ITEMS = 4, /* upstreams per report */
  SIZES = 3
};

static const int sizes[SIZES] = { 10, 100, 1000 };

/* Maximum ratio of steps to those at the smallest size; hash chains vary
   slightly.  */
static const double growth = 1.25;

enum
{
  UPSTREAM_SIZES = 4
};

static const int upstream_counts[UPSTREAM_SIZES] = { 100, 1000, 10000, 20000 };

/* Maximum ratio of steps to those with the fewest upstreams; includes the
   amortized growth of hash tables.  */
static const double upstream_growth = 2;

static uint64_t steps;

void __sanitizer_cov_trace_pc (void);

void
__sanitizer_cov_trace_pc (void)
{
  steps++;
}

struct fleet
{
  int hosts;
  marjoram_registry *registry;
  marjoram_host_list *list;
  marjoram_placement *placement;
  marjoram_repeat_budget *budget;
  marjoram_load_collector *collector;
  struct marjoram_service_rule service;
  struct marjoram_call_metadata metadata;
  int64_t now;
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

static void
receive_upstream (struct fleet *fleet, int number)
{
  struct marjoram_upstream_heartbeat heartbeat = { 0 };

  snprintf (heartbeat.id, sizeof heartbeat.id, "u-%d", number);
  snprintf (heartbeat.service, sizeof heartbeat.service, "lm");
  snprintf (heartbeat.address, sizeof heartbeat.address, "10.0.0.1:%d",
            number + 1);
  snprintf (heartbeat.zone, sizeof heartbeat.zone, "z");
  heartbeat.state = MARJORAM_UPSTREAM_READY;
  heartbeat.sequence = fleet->now + 1;
  heartbeat.slots = 64;
  heartbeat.ends_ms = -1;
  marjoram_registry_update (fleet->registry, fleet->now, &heartbeat, 0);
}

static void
receive_heartbeat (struct fleet *fleet, int number)
{
  char name[16];
  const struct marjoram_host_beat heartbeat
      = { .name = name,
          .zone = (char *)"z",
          .region = (char *)"r",
          .entry = (char *)"10.0.0.1:1",
          .ready = true,
          .incarnation = 1,
          .sequence = (uint64_t)fleet->now + 1 };

  snprintf (name, sizeof name, "h-%d", number);
  marjoram_host_list_update (fleet->list, fleet->now, &heartbeat, true);
}

static void
receive_from (struct fleet *fleet, int number,
              void (*receive) (struct fleet *fleet, const char *host,
                               const struct marjoram_load_report *report))
{
  struct marjoram_load_item items[ITEMS];
  char ids[ITEMS][16];
  const struct marjoram_load_report report
      = { { items, ITEMS }, { NULL, 0 }, true };
  char name[16];

  snprintf (name, sizeof name, "h-%d", number);
  for (int i = 0; i < ITEMS; i++)
    {
      snprintf (ids[i], sizeof ids[i], "u-%d", (number + i) % UPSTREAMS);
      items[i] = (struct marjoram_load_item){ .upstream = ids[i],
                                              .running = 1,
                                              .answer_tokens = 1 };
    }
  receive (fleet, name, &report);
}

static void
apply_to_placement (struct fleet *fleet, const char *host,
                    const struct marjoram_load_report *report)
{
  marjoram_placement_apply_report (fleet->placement, fleet->now, host, report);
}

static void
apply_to_collector (struct fleet *fleet, const char *host,
                    const struct marjoram_load_report *report)
{
  marjoram_load_collector_apply_report (fleet->collector, fleet->now, host,
                                        report);
}

static void
receive_report (struct fleet *fleet, int number)
{
  receive_from (fleet, number, apply_to_placement);
}

static void
collect_report (struct fleet *fleet, int number)
{
  receive_from (fleet, number, apply_to_collector);
}

static void
take_repeat (struct fleet *fleet, int number)
{
  (void)number;
  marjoram_repeat_budget_add_request (fleet->budget, fleet->now, "lm");
  marjoram_repeat_budget_take (fleet->budget, fleet->now, "lm");
}

static void
choose (struct fleet *fleet, int number)
{
  const struct marjoram_place_query query = { .service = &fleet->service,
                                              .metadata = &fleet->metadata,
                                              .priority = 1,
                                              .time_left_ms = 1000 };
  struct marjoram_place place;

  (void)number;
  marjoram_placement_choose (fleet->placement, fleet->now, &query, &place);
  ck_assert_int_eq (place.outcome, MARJORAM_PLACE_FOUND);
}

static void
find_owner (struct fleet *fleet, int number)
{
  (void)number;
  ck_assert_ptr_nonnull (
      marjoram_host_list_owner (fleet->list, fleet->now, "r", "u-1"));
}

static void
look_up (struct fleet *fleet, int number)
{
  const char *addresses[MARJORAM_LOOKUP_MAX];
  enum marjoram_lookup_scope scope;

  (void)number;
  marjoram_host_list_lookup (fleet->list, fleet->now, "z", "r", NULL, NULL,
                             addresses, &scope);
}

static void
receive_all (struct fleet *fleet)
{
  for (int i = 0; i < fleet->hosts; i++)
    {
      receive_heartbeat (fleet, i);
      receive_report (fleet, i);
      collect_report (fleet, i);
      take_repeat (fleet, i);
    }
}

static struct fleet *
fleet_create (int hosts)
{
  const struct marjoram_repeat_limits limits = { 0.2, 58, 10000 };
  struct fleet *fleet = marjoram_alloc (sizeof *fleet);
  const struct marjoram_placement_options options = { .host = "h-0",
                                                      .region = "r",
                                                      .region_of = region_of,
                                                      .is_evacuated = never,
                                                      .is_leaving = never };
  struct marjoram_placement_options own = options;

  fleet->hosts = hosts;
  fleet->registry = marjoram_registry_create ();
  fleet->list = marjoram_host_list_create ();
  fleet->budget = marjoram_repeat_budget_create (&limits, 0);
  marjoram_repeat_budget_set_hosts (fleet->budget, 0, (size_t)hosts);
  fleet->collector = marjoram_load_collector_create ();
  own.registry = fleet->registry;
  own.hosts = fleet->list;
  fleet->placement = marjoram_placement_create (&own);
  fleet->service.name = (char *)"lm";
  fleet->service.has_engine = true;
  fleet->service.engine.slots = 64;
  fleet->service.engine.kv_capacity = 200000;
  fleet->metadata.prompt_tokens = 100;
  fleet->now = 1000;
  for (int i = 0; i < UPSTREAMS; i++)
    receive_upstream (fleet, i);
  receive_all (fleet);
  fleet->now += 10;
  receive_all (fleet);
  return fleet;
}

static void
fleet_destroy (struct fleet *fleet)
{
  marjoram_placement_destroy (fleet->placement);
  marjoram_repeat_budget_destroy (fleet->budget);
  marjoram_load_collector_destroy (fleet->collector);
  marjoram_host_list_destroy (fleet->list);
  marjoram_registry_destroy (fleet->registry);
  free (fleet);
}

/* Mean steps of ten calls, after one that refreshes cached data.  */
static double
count (struct fleet *fleet, void (*act) (struct fleet *fleet, int number))
{
  const int times = 10;

  act (fleet, 0);
  steps = 0;
  for (int i = 0; i < times; i++)
    act (fleet, i);
  return (double)steps / times;
}

static void
check_growth (const char *what, void (*act) (struct fleet *fleet, int number))
{
  double first = 0;

  for (int i = 0; i < SIZES; i++)
    {
      struct fleet *fleet = fleet_create (sizes[i]);
      double now = count (fleet, act);

      if (i == 0)
        first = now;
      printf ("%s, %d hosts: %.0f steps\n", what, sizes[i], now);
      ck_assert_msg (now > 0 && now <= growth * first,
                     "%s: %g steps with %d hosts, %g with %d", what, now,
                     sizes[i], first, sizes[0]);
      fleet_destroy (fleet);
    }
}

START_TEST (a_heartbeat_costs_the_same_in_any_fleet)
{
  check_growth ("beat", receive_heartbeat);
}
END_TEST

START_TEST (a_report_costs_the_same_in_any_fleet)
{
  check_growth ("report", receive_report);
}
END_TEST

START_TEST (a_report_to_a_collector_costs_the_same_in_any_fleet)
{
  check_growth ("collected report", collect_report);
}
END_TEST

START_TEST (a_choice_costs_the_same_in_any_fleet)
{
  check_growth ("choice", choose);
}
END_TEST

START_TEST (the_owner_of_a_key_costs_the_same_in_any_fleet)
{
  check_growth ("owner", find_owner);
}
END_TEST

START_TEST (a_repeat_costs_the_same_in_any_fleet)
{
  check_growth ("repeat", take_repeat);
}
END_TEST

/* Steps of ACT in a region with UPSTREAMS upstreams, each known to the
   placement.  */
static double
count_with_upstreams (int upstreams,
                      void (*act) (struct fleet *fleet, int number))
{
  struct fleet *fleet = fleet_create (sizes[0]);
  double mean;

  for (int i = 0; i < upstreams; i++)
    receive_upstream (fleet, i);
  choose (fleet, 0);
  fleet->now += 10;
  mean = count (fleet, act);
  fleet_destroy (fleet);
  return mean;
}

static void
check_upstream_growth (const char *what,
                       void (*act) (struct fleet *fleet, int number))
{
  double first = count_with_upstreams (upstream_counts[0], act);

  for (int i = 1; i < UPSTREAM_SIZES; i++)
    {
      double steps_now = count_with_upstreams (upstream_counts[i], act);

      printf ("%s, %d upstreams: %.0f steps\n", what, upstream_counts[i],
              steps_now);
      ck_assert_msg (steps_now <= upstream_growth * first,
                     "%s: %g steps with %d upstreams, %g with %d", what,
                     steps_now, upstream_counts[i], first, upstream_counts[0]);
    }
}

static void
add_upstream (struct fleet *fleet, int number)
{
  receive_upstream (fleet, 1000000 + number);
}

static void
renew_upstream (struct fleet *fleet, int number)
{
  fleet->now++;
  receive_upstream (fleet, number);
}

static void
lose_connection (struct fleet *fleet, int number)
{
  char address[MARJORAM_ID_MAX];

  snprintf (address, sizeof address, "10.0.0.1:%d", number + 1);
  marjoram_placement_connection_lost (fleet->placement, fleet->now, address,
                                      true);
}

static void
tick (struct fleet *fleet, int number)
{
  (void)number;
  marjoram_registry_tick (fleet->registry, fleet->now);
  marjoram_placement_tick (fleet->placement, fleet->now);
}

static void
report_changes (struct fleet *fleet, int number)
{
  const bool whole[MARJORAM_LOAD_GROUPS] = { 0 };
  struct marjoram_load_report reports[MARJORAM_LOAD_GROUPS];

  (void)number;
  marjoram_placement_report_changes (fleet->placement, fleet->now, whole,
                                     reports);
  for (int i = 0; i < MARJORAM_LOAD_GROUPS; i++)
    marjoram_wire_clear (&marjoram_load_report_layout, &reports[i]);
}

START_TEST (a_new_upstream_costs_the_same_in_any_fleet)
{
  check_upstream_growth ("new upstream", add_upstream);
}
END_TEST

START_TEST (a_renewal_costs_the_same_in_any_fleet)
{
  check_upstream_growth ("renewal", renew_upstream);
}
END_TEST

START_TEST (a_broken_connection_costs_the_same_in_any_fleet)
{
  check_upstream_growth ("broken connection", lose_connection);
}
END_TEST

START_TEST (a_tick_costs_the_same_in_any_fleet)
{
  check_upstream_growth ("tick", tick);
}
END_TEST

START_TEST (a_report_of_changes_costs_the_same_in_any_fleet)
{
  check_upstream_growth ("report of changes", report_changes);
}
END_TEST

/* A response holds at most 64 hosts, so the smallest fleet is no baseline.  */
START_TEST (a_look_up_costs_no_more_than_its_answer)
{
  struct fleet *full = fleet_create (2 * MARJORAM_LOOKUP_MAX);
  struct fleet *large = fleet_create (sizes[SIZES - 1]);

  ck_assert_double_le (count (large, look_up), growth * count (full, look_up));
  fleet_destroy (full);
  fleet_destroy (large);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("growth");
  TCase *c = tcase_create ("growth");

  tcase_add_test (c, a_heartbeat_costs_the_same_in_any_fleet);
  tcase_add_test (c, a_report_costs_the_same_in_any_fleet);
  tcase_add_test (c, a_report_to_a_collector_costs_the_same_in_any_fleet);
  tcase_add_test (c, a_choice_costs_the_same_in_any_fleet);
  tcase_add_test (c, the_owner_of_a_key_costs_the_same_in_any_fleet);
  tcase_add_test (c, a_repeat_costs_the_same_in_any_fleet);
  tcase_add_test (c, a_new_upstream_costs_the_same_in_any_fleet);
  tcase_add_test (c, a_renewal_costs_the_same_in_any_fleet);
  tcase_add_test (c, a_broken_connection_costs_the_same_in_any_fleet);
  tcase_add_test (c, a_tick_costs_the_same_in_any_fleet);
  tcase_add_test (c, a_report_of_changes_costs_the_same_in_any_fleet);
  tcase_add_test (c, a_look_up_costs_no_more_than_its_answer);
  suite_add_tcase (s, c);
  return s;
}
