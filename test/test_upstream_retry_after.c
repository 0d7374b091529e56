/* Tests of upstreams that answer 503 with Retry-After: the host that they
   answer so sends them nothing until then.  */
#include "suite.h"

#include "lib_fleet.h"
#include "lib_gateway.h"

#include <string.h>

/* ---- Hosts of several regions.  ---- */

enum
{
  CALM_MS = 2000,
  SHED_MS = 8000,
  END_MS = 14000,
  PER_S = 30, /* requests to each region */
  ALL = 0xf,  /* upstreams of a region */
  /* Two upstreams ask three times; one more request may be under way each
     time.  */
  ASKED_MAX = 12,
  SEEDS = 3
};

static const struct marjoram_repeat_limits limits = { 0.2, 58, 10000 };

struct shedding_case
{
  const char *name;
  struct fleet_shedding shedding;
  unsigned upstreams[FLEET_REGIONS]; /* a bit for each that sheds */
  const char *route;
  int64_t serve_ms;
  int64_t for_ms;
  double served_min; /* share of the requests, while upstreams shed */
};

static const struct shedding_case cases[] = {
  { "one upstream",
    { .share = 1, .retry_after = "3" },
    { 1, 0, 0 },
    "/ask/",
    60,
    SHED_MS,
    0.95 },
  { "half a region",
    { .share = 1, .retry_after = "3" },
    { 3, 0, 0 },
    "/ask/",
    60,
    SHED_MS,
    0.95 },
  { "a fraction",
    { .share = 1, .retry_after = "1.5" },
    { 3, 0, 0 },
    "/ask/",
    60,
    SHED_MS,
    0.95 },
  { "a region",
    { .share = 1, .retry_after = "3" },
    { ALL, 0, 0 },
    "/ask/",
    60,
    SHED_MS,
    0.95 },
  { "all",
    { .share = 1, .retry_after = "3" },
    { ALL, ALL, ALL },
    "/ask/",
    60,
    SHED_MS,
    0 },
  { "all, briefly",
    { .share = 1, .retry_after = "3" },
    { ALL, ALL, ALL },
    "/ask/",
    60,
    600,
    0 },
  { "resumable streams",
    { .share = 1, .retry_after = "3" },
    { 3, 3, 0 },
    "/talk/",
    300,
    SHED_MS,
    0.95 },
  { "other streams",
    { .share = 1, .retry_after = "3" },
    { 3, 3, 0 },
    "/once/",
    300,
    SHED_MS,
    0.95 },
  { "long streams",
    { .share = 1, .retry_after = "3" },
    { 3, 3, 0 },
    "/talk/",
    1500,
    SHED_MS,
    0.95 },
  { "now and then",
    { .share = 0.25, .retry_after = "3" },
    { ALL, 0, 0 },
    "/talk/",
    60,
    SHED_MS,
    0.95 },
  { "of two lengths",
    { 1, "0.2", 0.2, "4" },
    { 3, 3, 0 },
    "/ask/",
    60,
    SHED_MS,
    0.95 },
  { "huge",
    { .share = 1, .retry_after = "100000000000000000000" },
    { 1, 1, 1 },
    "/ask/",
    60,
    SHED_MS,
    0.95 },
  { "homes",
    { .share = 1, .retry_after = "3" },
    { 7, 0, 0 },
    "/home0/",
    60,
    SHED_MS,
    0.95 },
};

enum
{
  CASES = sizeof cases / sizeof *cases
};

static struct fleet *
open_fleet (int seed, const struct shedding_case *one)
{
  struct fleet *fleet = fleet_create (&limits, (uint64_t)seed + 1);

  fleet_set_route (fleet, one->route);
  fleet_set_serve_ms (fleet, one->serve_ms);
  for (int i = 0; i < FLEET_REGIONS; i++)
    fleet_set_rate (fleet, i,
                    strncmp (one->route, "/home", 5) ? PER_S
                    : i == 0                         ? PER_S
                                                     : 0);
  fleet_run_until (fleet, CALM_MS);
  return fleet;
}

static void
set_shedding (struct fleet *fleet, const struct shedding_case *one,
              const struct fleet_shedding *shedding)
{
  for (int region = 0; region < FLEET_REGIONS; region++)
    for (int i = 0; i < FLEET_UPSTREAMS_PER_REGION; i++)
      if (one->upstreams[region] >> i & 1)
        fleet_set_shedding (fleet, region, i + 1, shedding);
}

static void
check_bound (struct fleet *fleet, const char *name)
{
  const struct fleet_retry_counts counts = fleet_count_retries (fleet);

  ck_assert_int_gt (counts.asked, 0);
  ck_assert_msg (counts.broken == 0,
                 "%s: too many requests came after %d of %d Retry-After, "
                 "%d at most",
                 name, counts.broken, counts.asked, counts.worst);
}

/* Guards against hosts that send on to upstreams that told them to wait.  */
START_TEST (hosts_wait_as_upstreams_ask)
{
  const struct shedding_case *one = &cases[_i % CASES];
  struct fleet *fleet = open_fleet (_i / CASES, one);
  struct fleet_counts counts;

  set_shedding (fleet, one, &one->shedding);
  fleet_run_until (fleet, CALM_MS + one->for_ms);
  set_shedding (fleet, one, NULL);
  fleet_run_until (fleet, END_MS);
  check_bound (fleet, one->name);
  counts = fleet_count (fleet, CALM_MS, CALM_MS + one->for_ms);
  ck_assert_msg (
      counts.served >= one->served_min * (counts.served + counts.refused),
      "%s: %d served, %d refused", one->name, counts.served, counts.refused);
  fleet_destroy (fleet);
}
END_TEST

/* The same while hosts and upstreams restart and hosts are cut off.  */
START_TEST (hosts_wait_while_others_restart)
{
  const struct shedding_case *one = &cases[_i % CASES];
  struct fleet *fleet = open_fleet (_i / CASES, one);

  set_shedding (fleet, one, &one->shedding);
  for (int i = 0; CALM_MS + (i + 1) * 400 < END_MS; i++)
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
      fleet_run_until (fleet, CALM_MS + (i + 1) * 400);
    }
  check_bound (fleet, one->name);
  fleet_destroy (fleet);
}
END_TEST

/* Guards against each host of a region having a request refused by the same
   upstream, while others accept them.  */
START_TEST (hosts_prefer_upstreams_that_turned_nobody_away)
{
  const struct shedding_case *one = &cases[1];
  struct fleet *fleet = open_fleet (_i, one);
  struct fleet_retry_counts counts;

  set_shedding (fleet, one, &one->shedding);
  fleet_run_until (fleet, CALM_MS + SHED_MS);
  counts = fleet_count_retries (fleet);
  fleet_destroy (fleet);
  ck_assert_int_le (counts.asked, ASKED_MAX);
}
END_TEST

/* ---- One host.  ---- */

static struct gateway_fixture f;

static void
setup (void)
{
  gateway_fixture_open (&f);
  gateway_fixture_configure (&f);
}

static void
teardown (void)
{
  gateway_fixture_close (&f);
}

/* Both upstreams of service lm ask this host to stay away.  */
static void
pause_both (int64_t now, const char *first, const char *second)
{
  const int sends = f.seen.sends;

  gateway_fixture_call (&f, now, "/digest/x");
  gateway_fixture_refuse (&f, now + 1, 503, first);
  gateway_fixture_refuse (&f, now + 2, 503, second);
  ck_assert_int_eq (f.seen.sends, sends + 2);
}

/* Guards against requests that wait until their deadline while all upstreams
   have told how long they refuse.  */
START_TEST (request_is_refused_at_once_with_the_time_left)
{
  f.link_up = false;
  pause_both (0, "3", "2");
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_int_eq (f.seen.why.outcome, MARJORAM_OUTCOME_NOT_RUN);
  ck_assert_int_ge (f.seen.why.retry_ms, 1998);
  ck_assert_int_le (f.seen.why.retry_ms, 3000);
  gateway_fixture_call (&f, 1000, "/digest/x");
  ck_assert_int_eq (f.seen.sends, 2);
  ck_assert_int_eq (f.seen.refusals, 2);
  ck_assert_int_ge (f.seen.why.retry_ms, 1002);
}
END_TEST

/* Guards against telling the caller of a request that may not be repeated to
   come back while all upstreams refuse.  */
START_TEST (refusal_without_repeat_tells_the_time_left)
{
  int64_t now = 0;
  int sends;

  f.link_up = false;
  do
    {
      now += 100;
      sends = f.seen.sends;
      gateway_fixture_call (&f, now, "/digest/x");
      for (int i = sends; i < f.seen.sends; i++)
        gateway_fixture_refuse (&f, now + 1, 503, NULL);
    }
  while (f.seen.sends > sends + 1);
  gateway_fixture_call (&f, now + 100, "/digest/x");
  gateway_fixture_refuse (&f, now + 101, 503, "3");
  ck_assert_int_eq (f.seen.why.reason, MARJORAM_REASON_UPSTREAM_REFUSED);
  ck_assert_int_lt (f.seen.why.retry_ms, 1000);
  gateway_fixture_call (&f, now + 200, "/digest/x");
  gateway_fixture_refuse (&f, now + 201, 503, "3");
  ck_assert_int_eq (f.seen.why.reason, MARJORAM_REASON_UPSTREAM_REFUSED);
  ck_assert_int_ge (f.seen.why.retry_ms, 2899);
}
END_TEST

/* Guards against refused callers that come back all at once.  */
START_TEST (refused_callers_come_back_spread_out)
{
  int64_t least = INT64_MAX;
  int64_t most = 0;

  f.link_up = false;
  pause_both (0, "3", "3");
  for (int i = 0; i < 50; i++)
    {
      gateway_fixture_call (&f, 100, "/digest/x");
      ck_assert_int_eq (f.seen.refusals, i + 2);
      least = f.seen.why.retry_ms < least ? f.seen.why.retry_ms : least;
      most = f.seen.why.retry_ms > most ? f.seen.why.retry_ms : most;
    }
  ck_assert_int_ge (most - least, 500);
}
END_TEST

START_TEST (request_goes_to_another_region)
{
  pause_both (0, "3", "3");
  ck_assert_int_eq (f.seen.forwards, 1);
  ck_assert_str_eq (f.seen.host, "far1");
  gateway_fixture_call (&f, 1000, "/digest/x");
  ck_assert_int_eq (f.seen.forwards, 2);
  ck_assert_int_eq (f.seen.sends, 2);
}
END_TEST

/* Guards against a shorter Retry-After that ends a longer one.  */
START_TEST (shorter_time_does_not_end_a_longer_one)
{
  uint64_t first;

  f.link_up = false;
  gateway_fixture_call (&f, 0, "/get/x");
  first = f.seen.attempt;
  gateway_fixture_call (&f, 0, "/get/y");
  gateway_fixture_refuse (&f, 1, 503, "3");
  f.seen.attempt = first;
  gateway_fixture_refuse (&f, 2, 503, "0.1");
  gateway_fixture_call (&f, 2900, "/get/x");
  ck_assert_int_eq (f.seen.sends, 2);
  gateway_fixture_call (&f, 3100, "/get/x");
  ck_assert_int_eq (f.seen.sends, 3);
}
END_TEST

/* Guards against an answer to an earlier request that ends the time.  */
START_TEST (answer_under_way_does_not_end_it)
{
  uint64_t served;

  f.link_up = false;
  gateway_fixture_call (&f, 0, "/get/x");
  gateway_fixture_end (&f, 5, MARJORAM_HTTP_UNSENT);
  gateway_fixture_call (&f, 700, "/get/x");
  served = f.seen.attempt;
  gateway_fixture_call (&f, 1400, "/get/y");
  ck_assert_uint_ne (f.seen.attempt, served);
  gateway_fixture_refuse (&f, 1401, 503, "3");
  f.seen.attempt = served;
  ck_assert (gateway_fixture_head (&f, 1410, 200, "id-2", true, false));
  gateway_fixture_end (&f, 1410, MARJORAM_HTTP_COMPLETE);
  ck_assert_int_eq (f.seen.status, 200);
  gateway_fixture_call (&f, 2000, "/get/z");
  ck_assert_int_eq (f.seen.sends, 3);
}
END_TEST

/* Guards against heartbeats, or a gap in them, that end the time.  */
START_TEST (only_a_restart_ends_it)
{
  f.link_up = false;
  gateway_fixture_call (&f, 0, "/get/x");
  gateway_fixture_refuse (&f, 1, 503, "300");
  for (int64_t now = 100; now < 100000; now += 100)
    marjoram_gateway_tick (f.gateway, now);
  gateway_fixture_build (&f, 100000, "p1", 1, "");
  gateway_fixture_call (&f, 100010, "/get/x");
  ck_assert_int_eq (f.seen.sends, 1);
  gateway_fixture_restart (&f, 100020, "p1", 2);
  gateway_fixture_call (&f, 100030, "/get/x");
  ck_assert_int_eq (f.seen.sends, 2);
}
END_TEST

/* Guards against an answer of the former instance that stops the new one.  */
START_TEST (former_instance_cannot_ask)
{
  gateway_fixture_call (&f, 0, "/get/x");
  gateway_fixture_restart (&f, 5, "p1", 2);
  gateway_fixture_refuse (&f, 10, 503, "3");
  gateway_fixture_call (&f, 500, "/get/x");
  ck_assert_str_eq (f.seen.address, "10.0.0.3:80");
  ck_assert_int_ge (f.seen.sends, 2);
}
END_TEST

/* Guards against believing an answer of whoever else has the address.  */
START_TEST (other_upstream_cannot_ask)
{
  f.link_up = false;
  gateway_fixture_call (&f, 0, "/get/x");
  gateway_fixture_refuse (&f, 1, 421, "3");
  gateway_fixture_build (&f, 500, "p1", 1, "");
  gateway_fixture_call (&f, 600, "/get/x");
  ck_assert_int_eq (f.seen.sends, 2);
}
END_TEST

/* Guards against refusals with 429, and failures, whose time is ignored.  */
START_TEST (other_refusals_can_ask)
{
  static const int statuses[] = { 429, 503 };

  f.link_up = false;
  gateway_fixture_call (&f, 0, "/get/x");
  gateway_fixture_refuse (&f, 1, statuses[_i], "3");
  gateway_fixture_call (&f, 1000, "/get/x");
  ck_assert_int_eq (f.seen.sends, 1);
}
END_TEST

START_TEST (values_that_cannot_be_read_are_ignored)
{
  static const char *const texts[]
      = { "soon", "-5", "", "Fri, 31 Dec 1999 23:59:59 GMT", "nan", "0" };

  f.link_up = false;
  gateway_fixture_call (&f, 0, "/get/x");
  gateway_fixture_refuse (&f, 1, 503, texts[_i]);
  gateway_fixture_call (&f, 200, "/get/x");
  ck_assert_int_eq (f.seen.sends, 2);
}
END_TEST

/* Guards against a queued request that is sent when its upstreams ask.  */
START_TEST (queued_request_keeps_away)
{
  uint64_t first;

  f.link_up = false;
  for (int i = 0; i < 2; i++)
    gateway_fixture_prompt (&f, 0, "/digest/y", 6000);
  gateway_fixture_prompt (&f, 10, "/ask/x", 2000);
  ck_assert_int_eq (f.seen.sends, 2);
  first = f.seen.attempt - 1;
  gateway_fixture_refuse (&f, 20, 503, "3");
  f.seen.attempt = first;
  gateway_fixture_refuse (&f, 21, 503, "3");
  ck_assert_int_eq (f.seen.sends, 2);
  for (int64_t now = 50; now < 2900; now += 25)
    marjoram_gateway_tick (f.gateway, now);
  ck_assert_int_eq (f.seen.sends, 2);
  ck_assert_uint_eq (marjoram_gateway_request_count (f.gateway), 0);
}
END_TEST

/* Guards against a forwarded request that reaches an upstream that asked this
   host to stay away.  */
START_TEST (forwarded_request_keeps_away)
{
  pause_both (0, "3", "3");
  f.seen.refusals = 0;
  gateway_fixture_forwarded (&f, 1000, "/digest/x");
  ck_assert_int_eq (f.seen.sends, 2);
  ck_assert_int_eq (f.seen.refusals, 1);
}
END_TEST

/* Guards against an interrupted stream that is resumed where it may not, or
   waits in vain.  */
START_TEST (interrupted_stream_keeps_away)
{
  f.link_up = false;
  pause_both (0, _i == 0 ? "60" : "1", "60");
  f.seen.refusals = 0;
  f.seen.sends = 0;
  /* Sent before, as far as this test can tell.  */
  gateway_fixture_restart (&f, 3, "u1", 2);
  gateway_fixture_call (&f, 5, "/ask/x");
  ck_assert_int_eq (f.seen.sends, 1);
  gateway_fixture_head (&f, 10, 200, NULL, true, false);
  gateway_fixture_data (&f, 10, "id: 1\ndata: a\n\n");
  gateway_fixture_call (&f, 11, "/digest/x");
  gateway_fixture_refuse (&f, 12, 503, _i == 0 ? "60" : "1");
  f.seen.attempt = 3;
  gateway_fixture_end (&f, 100, MARJORAM_HTTP_BROKEN);
  for (int64_t now = 125; now < 1000; now += 25)
    marjoram_gateway_tick (f.gateway, now);
  ck_assert_int_eq (f.seen.sends, 2);
  ck_assert_int_eq (f.seen.cuts, _i == 0 ? 1 : 0);
  for (int64_t now = 1000; now < 2000; now += 25)
    marjoram_gateway_tick (f.gateway, now);
  ck_assert_int_eq (f.seen.sends, _i == 0 ? 2 : 3);
}
END_TEST

/* Guards against hosts that send all they have at the end of the time.  */
START_TEST (one_request_goes_first_at_the_end)
{
  f.link_up = false;
  gateway_fixture_call (&f, 0, "/get/x");
  gateway_fixture_refuse (&f, 1, 503, "1");
  for (int i = 0; i < 5; i++)
    gateway_fixture_call (&f, 1100, "/get/x");
  ck_assert_int_eq (f.seen.sends, 2);
  ck_assert (gateway_fixture_head (&f, 1110, 200, "id-2", true, false));
  gateway_fixture_data (&f, 1110, "a");
  gateway_fixture_end (&f, 1110, MARJORAM_HTTP_COMPLETE);
  for (int i = 0; i < 3; i++)
    gateway_fixture_call (&f, 1120, "/get/x");
  ck_assert_int_eq (f.seen.sends, 5);
}
END_TEST

Suite *
suite (void)
{
  Suite *all = suite_create ("upstream_retry_after");
  TCase *fleet = tcase_create ("fleet");
  TCase *host = tcase_create ("host");

  tcase_set_timeout (fleet, 60);
  tcase_add_loop_test (fleet, hosts_wait_as_upstreams_ask, 0, CASES * SEEDS);
  tcase_add_loop_test (fleet, hosts_wait_while_others_restart, 0, CASES);
  tcase_add_loop_test (fleet, hosts_prefer_upstreams_that_turned_nobody_away,
                       0, SEEDS);
  suite_add_tcase (all, fleet);
  tcase_add_checked_fixture (host, setup, teardown);
  tcase_add_test (host, request_is_refused_at_once_with_the_time_left);
  tcase_add_test (host, refusal_without_repeat_tells_the_time_left);
  tcase_add_test (host, refused_callers_come_back_spread_out);
  tcase_add_test (host, request_goes_to_another_region);
  tcase_add_test (host, shorter_time_does_not_end_a_longer_one);
  tcase_add_test (host, answer_under_way_does_not_end_it);
  tcase_add_test (host, only_a_restart_ends_it);
  tcase_add_test (host, former_instance_cannot_ask);
  tcase_add_test (host, other_upstream_cannot_ask);
  tcase_add_loop_test (host, other_refusals_can_ask, 0, 2);
  tcase_add_loop_test (host, values_that_cannot_be_read_are_ignored, 0, 6);
  tcase_add_test (host, queued_request_keeps_away);
  tcase_add_test (host, forwarded_request_keeps_away);
  tcase_add_loop_test (host, interrupted_stream_keeps_away, 0, 2);
  tcase_add_test (host, one_request_goes_first_at_the_end);
  suite_add_tcase (all, host);
  return all;
}
