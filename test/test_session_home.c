/* Tests of sessions' home regions, alone and with the load of three regions
   whose callers are busy at different times.  */
#include "suite.h"

#include "lib_gateway.h"
#include "random.h"
#include "session_home.h"

#include <stdio.h>
#include <string.h>

enum
{
  REGIONS = 3,
  SESSIONS = 600,
  REQUESTS = 6000,
  SHARED_MS = 85,
  OWN_MS = 65,
  PREFILL_MS = 70 /* of a request at an entry host */
};

static const struct marjoram_session_region regions[REGIONS]
    = { { "r1", 40 }, { "r2", 30 }, { "r3", 20 } };

START_TEST (homes_are_divided_by_engines)
{
  int homes[REGIONS] = { 0 };

  for (uint64_t session = 0; session < 9000; session++)
    homes[marjoram_session_home_find (session, regions, REGIONS)]++;
  ck_assert_int_gt (homes[0], 3700);
  ck_assert_int_lt (homes[0], 4300);
  ck_assert_int_gt (homes[2], 1800);
  ck_assert_int_lt (homes[2], 2200);
}
END_TEST

START_TEST (all_hosts_find_the_same_home)
{
  const struct marjoram_session_region other_order[REGIONS]
      = { regions[2], regions[0], regions[1] };

  for (uint64_t session = 0; session < 500; session++)
    ck_assert_str_eq (
        regions[marjoram_session_home_find (session, regions, REGIONS)].name,
        other_order[marjoram_session_home_find (session, other_order, REGIONS)]
            .name);
}
END_TEST

START_TEST (only_sessions_of_a_lost_region_move)
{
  const struct marjoram_session_region left[REGIONS]
      = { regions[0], { "r2", 0 }, regions[2] };

  for (uint64_t session = 0; session < 500; session++)
    {
      size_t before = marjoram_session_home_find (session, regions, REGIONS);
      size_t after = marjoram_session_home_find (session, left, REGIONS);

      ck_assert (before == 1 ? after != 1 : after == before);
    }
}
END_TEST

START_TEST (without_engines_there_is_no_home)
{
  const struct marjoram_session_region none[] = { { "r1", 0 }, { "r2", 0 } };

  ck_assert_uint_eq (marjoram_session_home_find (1, none, 2), 2);
  ck_assert_uint_eq (marjoram_session_home_find (1, none, 0), 0);
}
END_TEST

START_TEST (a_home_is_left_when_it_costs_more_than_it_saves)
{
  struct marjoram_session_home_query query = { .shared_ms = SHARED_MS,
                                               .prompt_ms = 200,
                                               .local_ms = 20,
                                               .remote_ms = 30,
                                               .remote_first_ms = 150,
                                               .time_left_ms = 900 };

  ck_assert (marjoram_session_home_is_better (&query));
  query.remote_ms = query.local_ms + SHARED_MS + 1;
  ck_assert (!marjoram_session_home_is_better (&query));
  query.remote_ms = 30;
  query.time_left_ms = 349;
  ck_assert (!marjoram_session_home_is_better (&query));
  query.time_left_ms = 900;
  query.shared_ms = 10;
  ck_assert (!marjoram_session_home_is_better (&query));
}
END_TEST

/* Prefill time per region of requests whose sessions have callers in all
   regions, most of them in the region that is busy.  */
static void
play (bool follow, double prefill_ms[REGIONS])
{
  marjoram_random *random = marjoram_random_create (1);
  static bool held[REGIONS][SESSIONS];

  memset (held, 0, sizeof held);
  for (int i = 0; i < REQUESTS; i++)
    {
      const size_t session = marjoram_random_below (random, SESSIONS);
      const size_t busy = (size_t)i * REGIONS / REQUESTS;
      size_t region = marjoram_random_below (random, 10) < 8
                          ? busy
                          : marjoram_random_below (random, REGIONS);

      if (follow)
        region = marjoram_session_home_find (session, regions, REGIONS);
      prefill_ms[region] += OWN_MS + (held[region][session] ? 0 : SHARED_MS);
      held[region][session] = true;
    }
  marjoram_random_destroy (random);
}

/* Guards against each region reading the parts of the same sessions.  */
START_TEST (each_session_is_read_in_one_region)
{
  double local[REGIONS] = { 0 };
  double home[REGIONS] = { 0 };

  play (false, local);
  play (true, home);
  printf ("prefill: %.0f ms where the callers are, %.0f ms at home\n",
          local[0] + local[1] + local[2], home[0] + home[1] + home[2]);
  ck_assert_double_lt (home[0] + home[1] + home[2],
                       0.85 * (local[0] + local[1] + local[2]));
  /* By engine, no region does much more than another.  */
  for (int i = 0; i < REGIONS; i++)
    ck_assert_double_lt (home[i] / (double)regions[i].engines,
                         1.25 * home[(i + 1) % REGIONS]
                             / (double)regions[(i + 1) % REGIONS].engines);
}
END_TEST

/* ---- At an entry host.  ---- */

static struct gateway_fixture f;

static void
open_fixture (void)
{
  gateway_fixture_open (&f);
  gateway_fixture_configure (&f);
}

static void
close_fixture (void)
{
  gateway_fixture_close (&f);
}

/* Receives a request of SESSION and answers it at once.  Returns whether it
   was forwarded.  */
static bool
serve (uint64_t session, int shared)
{
  static int64_t now;
  const int forwards = f.seen.forwards;

  now += PREFILL_MS;
  gateway_fixture_session (&f, now, "/digest/x", session, shared);
  gateway_fixture_head (&f, now + PREFILL_MS - 1, 200, NULL, true, false);
  gateway_fixture_data (&f, now + PREFILL_MS - 1, "id: 1\ndata: x\n\n");
  gateway_fixture_end (&f, now + PREFILL_MS - 1, MARJORAM_HTTP_COMPLETE);
  return f.seen.forwards > forwards;
}

START_TEST (requests_of_a_session_go_to_one_region)
{
  const struct marjoram_session_region both[] = { { "r1", 2 }, { "r2", 2 } };
  int away = 0;

  for (uint64_t session = 1; session <= 12; session++)
    {
      const bool forwarded = serve (session, 4000);

      ck_assert_int_eq (forwarded,
                        marjoram_session_home_find (session, both, 2) == 1);
      away += forwarded;
    }
  ck_assert_int_gt (away, 2);
  ck_assert_int_lt (away, 10);
}
END_TEST

START_TEST (a_session_held_here_stays)
{
  f.link_up = false;
  for (uint64_t session = 1; session <= 6; session++)
    serve (session, 4000);
  f.link_up = true;
  for (uint64_t session = 1; session <= 6; session++)
    ck_assert (!serve (session, 4000));
}
END_TEST

START_TEST (small_shared_parts_do_not_cross)
{
  for (uint64_t session = 1; session <= 12; session++)
    ck_assert (!serve (session, 100));
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("session_home");
  TCase *alone = tcase_create ("alone");
  TCase *gateway = tcase_create ("gateway");

  tcase_add_test (alone, homes_are_divided_by_engines);
  tcase_add_test (alone, all_hosts_find_the_same_home);
  tcase_add_test (alone, only_sessions_of_a_lost_region_move);
  tcase_add_test (alone, without_engines_there_is_no_home);
  tcase_add_test (alone, a_home_is_left_when_it_costs_more_than_it_saves);
  tcase_add_test (alone, each_session_is_read_in_one_region);
  suite_add_tcase (s, alone);
  tcase_add_checked_fixture (gateway, open_fixture, close_fixture);
  tcase_add_test (gateway, requests_of_a_session_go_to_one_region);
  tcase_add_test (gateway, a_session_held_here_stays);
  tcase_add_test (gateway, small_shared_parts_do_not_cross);
  suite_add_tcase (s, gateway);
  return s;
}
