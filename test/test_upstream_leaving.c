/* Tests of upstreams whose answers say that they leave while their heartbeats
   say that they are ready.  */
#include "suite.h"

#include "lib_fleet.h"
#include "lib_gateway.h"

#include <string.h>

/* ---- Hosts of several regions.  ---- */

enum
{
  CALM_MS = 2000,
  END_MS = 20000,
  PER_S = 30, /* requests to each region */
  ALL = 0xf,  /* upstreams of a region */
  SEEDS = 3
};

static const struct marjoram_repeat_limits limits = { 0.2, 58, 10000 };
static const struct fleet_shedding shedding
    = { .share = 0.5, .retry_after = "2" };

struct leaving_case
{
  const char *name;
  const char *route;
  int64_t serve_ms;
  double served_min;
  unsigned upstreams[FLEET_REGIONS]; /* a bit for each that leaves */
  bool shed;                         /* they also refuse */
};

static const struct leaving_case cases[] = {
  { "one upstream", "/ask/", 60, 0.98, { 1, 0, 0 }, false },
  { "one of each region", "/ask/", 60, 0.98, { 1, 2, 4 }, false },
  { "streams", "/talk/", 300, 0.98, { 3, 3, 0 }, false },
  { "other streams", "/once/", 300, 0.98, { 3, 3, 0 }, false },
  { "a region", "/ask/", 60, 0.98, { ALL, 0, 0 }, false },
  { "all", "/ask/", 60, 0, { ALL, ALL, ALL }, false },
  { "refusing as well", "/ask/", 60, 0.95, { 3, 1, 0 }, true },
};

enum
{
  CASES = sizeof cases / sizeof *cases
};

static struct fleet *
open_fleet (int seed, const struct leaving_case *one)
{
  struct fleet *fleet = fleet_create (&limits, (uint64_t)seed + 1);

  fleet_set_route (fleet, one->route);
  fleet_set_serve_ms (fleet, one->serve_ms);
  for (int i = 0; i < FLEET_REGIONS; i++)
    fleet_set_rate (fleet, i, PER_S);
  fleet_run_until (fleet, CALM_MS);
  for (int region = 0; region < FLEET_REGIONS; region++)
    for (int i = 0; i < FLEET_UPSTREAMS_PER_REGION; i++)
      if (one->upstreams[region] >> i & 1)
        {
          fleet_set_leaving (fleet, region, i + 1, true);
          if (one->shed)
            fleet_set_shedding (fleet, region, i + 1, &shedding);
        }
  return fleet;
}

static void
check_bound (struct fleet *fleet, const char *name)
{
  const struct fleet_leaving_counts counts = fleet_count_leaving (fleet);

  ck_assert_int_gt (counts.told, 0);
  ck_assert_msg (counts.late == 0,
                 "%s: %d requests reached upstreams that had long said that "
                 "they leave",
                 name, counts.late);
}

/* Guards against requests to upstreams that say in their answers alone that
   they leave.  */
START_TEST (leaving_upstreams_get_no_requests)
{
  const struct leaving_case *one = &cases[_i % CASES];
  struct fleet *fleet = open_fleet (_i / CASES, one);
  struct fleet_counts counts;

  fleet_run_until (fleet, END_MS);
  check_bound (fleet, one->name);
  counts = fleet_count (fleet, CALM_MS, END_MS);
  ck_assert_msg (
      counts.served >= one->served_min * (counts.served + counts.refused),
      "%s: %d served, %d refused", one->name, counts.served, counts.refused);
  fleet_destroy (fleet);
}
END_TEST

/* The same while hosts and upstreams restart and hosts are cut off.  */
START_TEST (leaving_upstreams_get_no_requests_beside_restarts)
{
  const struct leaving_case *one = &cases[_i % CASES];
  struct fleet *fleet = open_fleet (_i / CASES, one);

  for (int i = 0; CALM_MS + (i + 1) * 1000 < END_MS; i++)
    {
      if (i % 3 == 0)
        fleet_restart_host (fleet, i % FLEET_HOSTS);
      if (i % 4 == 1)
        fleet_restart_upstream (fleet, i % FLEET_REGIONS,
                                1 + i % FLEET_UPSTREAMS_PER_REGION);
      if (i % 5 == 2)
        fleet_cut_host (fleet, i % FLEET_HOSTS, FLEET_CUT_RESET);
      if (i % 5 == 4)
        fleet_cut_host (fleet, (i - 2) % FLEET_HOSTS, FLEET_CUT_NONE);
      fleet_run_until (fleet, CALM_MS + (i + 1) * 1000);
    }
  check_bound (fleet, one->name);
  fleet_destroy (fleet);
}
END_TEST

/* Guards against requests of hosts that have not asked the upstream yet.  */
START_TEST (one_answer_tells_all_hosts_of_the_region)
{
  struct fleet *fleet = open_fleet (_i, &cases[0]);
  struct fleet_leaving_counts counts;

  for (int i = 0; i < FLEET_REGIONS; i++)
    fleet_set_rate (fleet, i, 2);
  fleet_run_until (fleet, END_MS);
  counts = fleet_count_leaving (fleet);
  fleet_destroy (fleet);
  /* One more may be under way when the first is answered.  */
  ck_assert_int_ge (counts.told, 1);
  ck_assert_int_le (counts.told, 2);
}
END_TEST

/* ---- One host.  ---- */

static struct gateway_fixture f;

static void
setup (void)
{
  gateway_fixture_open (&f);
  gateway_fixture_configure (&f);
  f.link_up = false;
}

static void
teardown (void)
{
  gateway_fixture_close (&f);
}

static void
answer (int64_t now, const char *name, const char *value)
{
  ck_assert (gateway_fixture_success (&f, now, name, value));
  gateway_fixture_data (&f, now, "id: 1\ndata: a\n\n");
  gateway_fixture_end (&f, now, MARJORAM_HTTP_COMPLETE);
}

/* The only upstream of service app says that it leaves.  */
static void
leave (int64_t now)
{
  gateway_fixture_call (&f, now, "/get/x");
  answer (now + 10, "Server-Leaving", "1");
}

static void
check_sends (int64_t now, int count)
{
  gateway_fixture_call (&f, now, "/get/x");
  ck_assert_int_eq (f.seen.sends, count);
}

START_TEST (only_a_restart_brings_it_back)
{
  leave (0);
  check_sends (3100, 1);
  gateway_fixture_build (&f, 3200, "p1", 1, "v2");
  check_sends (3300, 1);
  gateway_fixture_restart (&f, 3400, "p1", 2);
  check_sends (3500, 2);
}
END_TEST

START_TEST (request_under_way_goes_on)
{
  gateway_fixture_call (&f, 0, "/ask/x");
  ck_assert (gateway_fixture_success (&f, 10, "Server-Leaving", "1"));
  gateway_fixture_data (&f, 10, "id: 1\ndata: a\n\n");
  for (int64_t now = 25; now < 1400; now += 25)
    marjoram_gateway_tick (f.gateway, now);
  gateway_fixture_data (&f, 1400, "id: 2\ndata: b\n\n");
  gateway_fixture_end (&f, 1400, MARJORAM_HTTP_COMPLETE);
  ck_assert_int_eq (f.seen.cancels, 0);
  ck_assert_int_eq (f.seen.ends, 1);
  ck_assert_int_eq (f.seen.sends, 1);
}
END_TEST

/* Guards against believing refusals and failures less.  */
START_TEST (each_answer_tells_it)
{
  static const int statuses[] = { 503, 429, 500, 404 };
  struct marjoram_header_list headers = { 0 };

  gateway_fixture_call (&f, 0, "/flip/x");
  marjoram_header_list_add (&headers, "Marjoramproxy-Attempt-Id", "id-1");
  marjoram_header_list_add (&headers, "Server-Leaving", "1");
  if (_i < 2)
    marjoram_header_list_add (&headers, "Marjoramproxy-Not-Executed", "1");
  marjoram_gateway_head (f.gateway, 10, f.seen.attempt, statuses[_i],
                         &headers);
  gateway_fixture_end (&f, 10, MARJORAM_HTTP_COMPLETE);
  marjoram_header_list_clear (&headers);
  check_sends (3100, 1);
}
END_TEST

START_TEST (other_values_do_not_tell_it)
{
  static const char *const values[] = { "0", "", "soon", "-1", "no" };

  gateway_fixture_call (&f, 0, "/get/x");
  answer (10, "Server-Leaving", values[_i]);
  check_sends (100, 2);
}
END_TEST

/* Guards against believing whoever else has the address, a late answer to
   another request, and the former instance.  */
START_TEST (others_cannot_tell_it)
{
  struct marjoram_header_list headers = { 0 };

  gateway_fixture_call (&f, 0, "/get/x");
  marjoram_header_list_add (&headers, "Server-Leaving", "1");
  marjoram_header_list_add (&headers, "Marjoramproxy-Attempt-Id",
                            _i == 0 ? "other" : "id-1");
  if (_i == 1)
    marjoram_header_list_add (&headers, "Marjoramproxy-Instance-Id", "p9");
  else if (_i == 2)
    gateway_fixture_restart (&f, 5, "p1", 2);
  marjoram_gateway_head (f.gateway, 10, f.seen.attempt, _i == 3 ? 421 : 500,
                         &headers);
  marjoram_header_list_clear (&headers);
  gateway_fixture_build (&f, 500, "p1", _i == 2 ? 2 : 1, "");
  check_sends (600, 2);
}
END_TEST

/* Guards against a stream that is resumed at a leaving upstream long after,
   and against cutting it at once if nothing else may serve it.  */
START_TEST (stream_of_its_build_may_go_on_for_a_while)
{
  const int64_t broken_at = _i == 0 ? 500 : 2900;

  gateway_fixture_build (&f, 0, "u1", 1, "v1");
  gateway_fixture_build (&f, 0, "u2", 1, "v1");
  gateway_fixture_call (&f, 0, "/ask/x");
  ck_assert (gateway_fixture_success (&f, 10, NULL, NULL));
  gateway_fixture_data (&f, 10, "id: 1\ndata: a\n\n");
  for (int i = 0; i < 2; i++)
    {
      gateway_fixture_call (&f, 20, "/digest/x");
      answer (30, "Server-Leaving", "1");
    }
  ck_assert_int_eq (f.seen.sends, 3);
  f.seen.attempt = 1;
  gateway_fixture_end (&f, broken_at, MARJORAM_HTTP_BROKEN);
  ck_assert_int_eq (f.seen.sends, _i == 0 ? 4 : 3);
  ck_assert_int_eq (f.seen.cuts, _i == 0 ? 0 : 1);
}
END_TEST

Suite *
suite (void)
{
  Suite *all = suite_create ("upstream_leaving");
  TCase *fleet = tcase_create ("fleet");
  TCase *host = tcase_create ("host");

  tcase_set_timeout (fleet, 60);
  tcase_add_loop_test (fleet, leaving_upstreams_get_no_requests, 0,
                       CASES * SEEDS);
  tcase_add_loop_test (
      fleet, leaving_upstreams_get_no_requests_beside_restarts, 0, CASES);
  tcase_add_loop_test (fleet, one_answer_tells_all_hosts_of_the_region, 0,
                       SEEDS);
  suite_add_tcase (all, fleet);
  tcase_add_checked_fixture (host, setup, teardown);
  tcase_add_test (host, only_a_restart_brings_it_back);
  tcase_add_test (host, request_under_way_goes_on);
  tcase_add_loop_test (host, each_answer_tells_it, 0, 4);
  tcase_add_loop_test (host, other_values_do_not_tell_it, 0, 5);
  tcase_add_loop_test (host, others_cannot_tell_it, 0, 4);
  tcase_add_loop_test (host, stream_of_its_build_may_go_on_for_a_while, 0, 2);
  suite_add_tcase (all, host);
  return all;
}
