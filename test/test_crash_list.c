/* Tests of the detection of requests that crash upstreams.  */
#include "suite.h"

#include "crash_list.h"

#include <stdio.h>

#define CRASHING "0123456789abcdef0123456789abcdef"
#define HARMLESS "fedcba9876543210fedcba9876543210"

static marjoram_crash_list *list;

static void
setup (void)
{
  list = marjoram_crash_list_create ();
}

static void
teardown (void)
{
  marjoram_crash_list_destroy (list);
}

static bool
convicts (const char *digest)
{
  return marjoram_crash_list_is_blocked (list, 0, digest);
}

/* Sends FROM's report to TO; returns the number of items.  */
static size_t
send_report (marjoram_crash_list *from, marjoram_crash_list *to)
{
  struct marjoram_crash_report report;
  size_t count;

  if (!marjoram_crash_list_take_report (from, 0, &report))
    return 0;
  count = report.items.count;
  marjoram_crash_list_apply (to, 0, &report);
  marjoram_wire_clear (&marjoram_crash_report_layout, &report);
  return count;
}

/* Guards against not detecting a request that crashes upstreams, and against
   refusing requests that ran beside it and were answered since.  */
START_TEST (third_crash_blocks)
{
  marjoram_crash_list_add_crash (list, 0, CRASHING, "u1", 5);
  marjoram_crash_list_add_crash (list, 0, HARMLESS, "u1", 5);
  marjoram_crash_list_add_answer (list, HARMLESS);
  marjoram_crash_list_add_crash (list, 0, CRASHING, "u2", 5);
  ck_assert (!convicts (CRASHING));
  marjoram_crash_list_add_crash (list, 0, CRASHING, "u3", 5);
  ck_assert (convicts (CRASHING));
  ck_assert (!convicts (HARMLESS));
}
END_TEST

/* Guards against counting a crash several times because several connections or
   hosts report it.  A restarted upstream can crash anew.  */
START_TEST (one_crash_counts_once)
{
  for (int i = 0; i < 5; i++)
    marjoram_crash_list_add_crash (list, 0, CRASHING, "u1", 5);
  ck_assert (!convicts (CRASHING));
  marjoram_crash_list_add_crash (list, 0, CRASHING, "u1", 6);
  marjoram_crash_list_add_crash (list, 0, CRASHING, "u1", 7);
  ck_assert (convicts (CRASHING));
}
END_TEST

/* Guards against refusing a request that is polled often when a power loss
   ends it at all upstreams of a region.  */
START_TEST (answered_request_is_not_blocked)
{
  marjoram_crash_list_add_answer (list, HARMLESS);
  marjoram_crash_list_add_crash (list, 0, HARMLESS, "u1", 5);
  marjoram_crash_list_add_crash (list, 0, HARMLESS, "u2", 5);
  marjoram_crash_list_add_crash (list, 0, HARMLESS, "u3", 5);
  ck_assert (!convicts (HARMLESS));
}
END_TEST

/* The same at a host that has just started: other hosts clear the request.  */
START_TEST (other_hosts_clear_answered_requests)
{
  marjoram_crash_list *other = marjoram_crash_list_create ();

  marjoram_crash_list_add_answer (other, HARMLESS);
  marjoram_crash_list_add_crash (list, 0, HARMLESS, "u1", 5);
  marjoram_crash_list_add_crash (list, 0, HARMLESS, "u2", 5);
  marjoram_crash_list_add_crash (list, 0, HARMLESS, "u3", 5);
  ck_assert (convicts (HARMLESS));
  ck_assert_uint_eq (send_report (list, other), 3);
  ck_assert (!marjoram_crash_list_is_blocked (other, 0, HARMLESS));
  ck_assert_uint_gt (send_report (other, list), 0);
  ck_assert (!convicts (HARMLESS));
  marjoram_crash_list_destroy (other);
}
END_TEST

/* Guards against crashes going undetected because each happens at another
   host.  */
START_TEST (crashes_at_several_hosts_add_up)
{
  marjoram_crash_list *other = marjoram_crash_list_create ();
  struct marjoram_crash_report all;

  marjoram_crash_list_add_crash (list, 0, CRASHING, "u1", 5);
  marjoram_crash_list_add_crash (list, 0, CRASHING, "u2", 5);
  marjoram_crash_list_add_crash (other, 0, CRASHING, "u3", 5);
  ck_assert_uint_eq (send_report (other, list), 1);
  ck_assert (convicts (CRASHING));
  /* A host that has just started receives all entries.  */
  marjoram_crash_list_export (list, 0, &all);
  marjoram_crash_list_apply (other, 0, &all);
  ck_assert (marjoram_crash_list_is_blocked (other, 0, CRASHING));
  marjoram_wire_clear (&marjoram_crash_report_layout, &all);
  marjoram_crash_list_destroy (other);
}
END_TEST

/* Guards against malformed reports of other hosts.  */
START_TEST (malformed_reports_are_ignored)
{
  struct marjoram_crash_item items[]
      = { { NULL, "u1/5" }, { "short", "u1/5" }, { CRASHING, NULL } };
  const struct marjoram_crash_report heard = { .items = { items, 3 } };

  marjoram_crash_list_apply (list, 0, &heard);
  ck_assert_uint_eq (marjoram_crash_list_count (list), 0);
}
END_TEST

START_TEST (old_crashes_expire)
{
  marjoram_crash_list_add_crash (list, 0, CRASHING, "u1", 5);
  marjoram_crash_list_expire (list, 599999);
  ck_assert_uint_eq (marjoram_crash_list_count (list), 1);
  marjoram_crash_list_expire (list, 600000);
  ck_assert_uint_eq (marjoram_crash_list_count (list), 0);
}
END_TEST

/* Guards against unbounded memory use when many requests crash.  */
START_TEST (list_is_bounded)
{
  char digest[33];

  for (int i = 0; i < 10000; i++)
    {
      snprintf (digest, sizeof digest, "%016x%016x", i + 1, i);
      marjoram_crash_list_add_crash (list, 0, digest, "u1", 5);
    }
  ck_assert_uint_eq (marjoram_crash_list_count (list), 4096);
}
END_TEST

Suite *
suite (void)
{
  Suite *all = suite_create ("crash_list");
  TCase *tests = tcase_create ("crash_list");

  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, third_crash_blocks);
  tcase_add_test (tests, one_crash_counts_once);
  tcase_add_test (tests, answered_request_is_not_blocked);
  tcase_add_test (tests, other_hosts_clear_answered_requests);
  tcase_add_test (tests, crashes_at_several_hosts_add_up);
  tcase_add_test (tests, malformed_reports_are_ignored);
  tcase_add_test (tests, old_crashes_expire);
  tcase_add_test (tests, list_is_bounded);
  suite_add_tcase (all, tests);
  return all;
}
