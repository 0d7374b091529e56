/* Tests of what counts as evidence that an upstream has crashed.  */
#include "suite.h"

#include "lib_gateway.h"

#include <stdio.h>

enum
{
  BAD = 0xbad, /* a part that crashes upstreams */
  SHARED_TOKENS = 400,
  CRASHES = 4,
  STEP_MS = 2500, /* between crashes */
  PATH_BYTES = 32,
  STATUS_MISDIRECTED = 421
};

static struct gateway_fixture f;

static void
setup (void)
{
  gateway_fixture_open (&f);
  gateway_fixture_configure (&f);
  gateway_fixture_leave (&f, 0, "u2");
}

static void
teardown (void)
{
  gateway_fixture_close (&f);
}

/* No two of these requests are alike.  */
static void
send_with_part (int64_t now)
{
  char path[PATH_BYTES];

  snprintf (path, sizeof path, "/digest/%d", (int)now);
  gateway_fixture_session (&f, now, path, BAD, SHARED_TOKENS);
}

/* Sends a request with the part, at which the upstream crashes.  */
static void
crash (int64_t now)
{
  const int sends = f.seen.sends;

  send_with_part (now);
  ck_assert_int_eq (f.seen.sends, sends + 1);
  gateway_fixture_break (&f, now + 100);
}

/* Another process answers at the address, before its heartbeat comes.  */
static void
answer_by_successor (int64_t now)
{
  const int sends = f.seen.sends;

  gateway_fixture_call (&f, now, "/digest/x");
  ck_assert_int_eq (f.seen.sends, sends + 1);
  gateway_fixture_head (&f, now + 5, STATUS_MISDIRECTED, NULL, false, false);
  gateway_fixture_end (&f, now + 5, MARJORAM_HTTP_COMPLETE);
}

/* Guards against a successor's answer being taken for a sign of life of the
   process that crashed.  */
START_TEST (successor_does_not_show_that_a_crashed_process_lives)
{
  int64_t now = 0;

  for (int i = 1; i <= CRASHES; i++)
    {
      now += STEP_MS;
      gateway_fixture_restart (&f, now, "u1", i);
      crash (now + 500);
      if (_i > 0)
        answer_by_successor (now + 1500);
      marjoram_gateway_tick (f.gateway, now + 2000);
    }
  now += STEP_MS;
  gateway_fixture_restart (&f, now, "u1", CRASHES + 1);
  send_with_part (now + 500);
  ck_assert_int_eq (f.seen.why.reason, MARJORAM_REASON_CONVICTED);
}
END_TEST

Suite *
suite (void)
{
  Suite *all = suite_create ("crash_evidence");
  TCase *tests = tcase_create ("crash_evidence");

  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_loop_test (
      tests, successor_does_not_show_that_a_crashed_process_lives, 0, 2);
  suite_add_tcase (all, tests);
  return all;
}
