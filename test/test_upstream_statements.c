/* Tests of what answers of upstreams state about themselves, on each way by
   which a request reaches an upstream.  docs/DESIGN-platform.md has the same
   table.  */
#include "suite.h"

#include "lib_gateway.h"

#include <stdio.h>
#include <string.h>

enum
{
  STATED_MS = 10,
  /* Leaving upstreams may still resume streams before.  */
  FROM_MS = 1600,
  UNTIL_MS = 2800, /* while each statement holds */
  TICK_MS = 25,
  TOKENS = 6000
};

static struct gateway_fixture f;

/* The upstream that has stated something, and the other one.  */
static char stated_address[MARJORAM_ID_MAX];
static const char *other_id;

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

/* ---- Statements.  ---- */

static void
state_in_success (const char *name, const char *value)
{
  ck_assert (gateway_fixture_success (&f, STATED_MS, name, value));
  gateway_fixture_data (&f, STATED_MS, "id: 1\ndata: a\n\n");
  gateway_fixture_end (&f, STATED_MS, MARJORAM_HTTP_COMPLETE);
}

static void
state_retry_after (void)
{
  gateway_fixture_refuse (&f, STATED_MS, 503, "3");
}

static void
state_leaving (void)
{
  state_in_success ("Server-Leaving", "1");
}

/* Less than one request in the time of the test.  */
static void
state_rate_limit (void)
{
  state_in_success ("Server-Limit", "0.2");
}

static void (*const statements[]) (void)
    = { state_retry_after, state_leaving, state_rate_limit };

/* ---- Ways.  ---- */

static void
check_kept_away (void)
{
  for (int64_t now = FROM_MS; now < UNTIL_MS; now += TICK_MS)
    {
      marjoram_gateway_tick (f.gateway, now);
      ck_assert_str_ne (f.seen.address, stated_address);
    }
}

static void
leave_other (void)
{
  gateway_fixture_leave (&f, FROM_MS - 50, other_id);
}

static void
send_first (void)
{
  leave_other ();
  gateway_fixture_call (&f, FROM_MS, "/digest/x");
}

static void
send_forwarded (void)
{
  leave_other ();
  gateway_fixture_forwarded (&f, FROM_MS, "/digest/x");
}

/* Waits for the other upstream, which then leaves.  */
static void
send_queued (void)
{
  gateway_fixture_prompt (&f, FROM_MS - 60, "/digest/x", TOKENS);
  ck_assert_str_ne (f.seen.address, stated_address);
  gateway_fixture_prompt (&f, FROM_MS - 55, "/ask/x", TOKENS);
  leave_other ();
}

static void
send_repeated (void)
{
  gateway_fixture_call (&f, FROM_MS - 60, "/ask/x");
  ck_assert_str_ne (f.seen.address, stated_address);
  leave_other ();
  gateway_fixture_end (&f, FROM_MS, MARJORAM_HTTP_BROKEN);
}

static void
send_resumed (void)
{
  gateway_fixture_call (&f, FROM_MS - 60, "/ask/x");
  ck_assert_str_ne (f.seen.address, stated_address);
  ck_assert (gateway_fixture_success (&f, FROM_MS - 55, NULL, NULL));
  gateway_fixture_data (&f, FROM_MS - 55, "id: 1\ndata: a\n\n");
  leave_other ();
  gateway_fixture_end (&f, FROM_MS, MARJORAM_HTTP_BROKEN);
}

static void
send_taken_up (void)
{
  leave_other ();
  gateway_fixture_take_up (&f, FROM_MS, "/ask/x", NULL);
}

static void (*const ways[]) (void)
    = { send_first,    send_forwarded, send_queued,
        send_repeated, send_resumed,   send_taken_up };

enum
{
  STATEMENTS = sizeof statements / sizeof *statements,
  WAYS = sizeof ways / sizeof *ways
};

/* Guards against a way that does not look at what an upstream stated.  */
START_TEST (statement_holds_on_each_way)
{
  gateway_fixture_call (&f, 0, "/digest/x");
  snprintf (stated_address, sizeof stated_address, "%s", f.seen.address);
  other_id = strcmp (stated_address, "10.0.0.1:80") == 0 ? "u2" : "u1";
  statements[_i / WAYS]();
  /* A refused request goes on to the other upstream.  */
  if (f.seen.sends == 2)
    {
      ck_assert (gateway_fixture_success (&f, STATED_MS, NULL, NULL));
      gateway_fixture_end (&f, STATED_MS, MARJORAM_HTTP_COMPLETE);
    }
  f.seen.address[0] = '\0';
  ways[_i % WAYS]();
  check_kept_away ();
}
END_TEST

Suite *
suite (void)
{
  Suite *all = suite_create ("upstream_statements");
  TCase *tests = tcase_create ("upstream_statements");

  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_loop_test (tests, statement_holds_on_each_way, 0,
                       STATEMENTS * WAYS);
  suite_add_tcase (all, tests);
  return all;
}
