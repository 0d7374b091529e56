/* Request handling across several simulated hosts, with scripted frame loss,
   link failures and upstream responses.  Hosts 0 to 2 are zone a (region ra),
   3 to 5 zone b (region rb).  */
#include "suite.h"

#include "lib_hosts.h"
#include "log.h"
#include "member.h"
#include "report.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  DEADLINE_MS = 20000
};

static struct test_hosts *hosts;

static void
setup (void)
{
  hosts = test_hosts_create (HOSTS_MAX, 1);
  test_configure (hosts, 1, NULL);
  test_advance_clock (hosts, 5000);
}

static void
teardown (void)
{
  test_hosts_destroy (hosts);
}

static void
announce_upstream (int host, const char *name, int port)
{
  test_announce (hosts, host, name, host < 3 ? "a" : "b", port, 1, false);
  test_advance_clock (hosts, 1500);
}

static uint64_t
send_request (int host, const char *caller, const char *key, bool stream)
{
  uint64_t call
      = test_send (hosts, host, caller, "body", key, stream, DEADLINE_MS);

  test_deliver (hosts);
  return call;
}

/* Formats a key with the prefix assigned by HOST.  */
static void
format_key (char *key, int host, int number)
{
  json_t *entries
      = marjoram_report_entries (test_host (hosts, host), test_now (hosts),
                                 test_now (hosts) + TEST_WALL_OFFSET);

  snprintf (key, MARJORAM_KEY_MAX, "%sk%d",
            json_string_value (json_object_get (entries, "key_prefix")),
            number);
  json_decref (entries);
}

static struct test_run *
last_run (void)
{
  ck_assert_int_gt (test_runs (hosts), 0);
  return test_run (hosts, test_runs (hosts) - 1);
}

static void
expect_done (uint64_t call, const char *body)
{
  const struct test_reply *reply = test_reply (hosts, call);

  ck_assert_msg (reply->ended, "answer not complete: refused %d, reason %s",
                 reply->refused, marjoram_reason_name (reply->reason));
  ck_assert_str_eq (reply->body, body);
}

static void
expect_refusal (uint64_t call, enum marjoram_outcome outcome,
                enum marjoram_reason reason)
{
  const struct test_reply *reply = test_reply (hosts, call);

  ck_assert (reply->refused);
  ck_assert_str_eq (marjoram_reason_name (reply->reason),
                    marjoram_reason_name (reason));
  ck_assert_str_eq (marjoram_outcome_name (reply->outcome),
                    marjoram_outcome_name (outcome));
}

START_TEST (answers_from_own_zone)
{
  uint64_t call;

  announce_upstream (0, "u", 9000);
  call = send_request (1, "free", NULL, false);
  ck_assert_int_eq (test_runs (hosts), 1);
  test_answer (hosts, last_run (), "answer");
  expect_done (call, "answer");
  ck_assert_str_eq (test_reply (hosts, call)->zone, "a");
}
END_TEST

/* Guards against answers without end that take up a host's memory, and against
   others that end with them.  */
START_TEST (largest_of_too_many_answers_is_given_up)
{
  uint64_t small;
  uint64_t large;
  struct test_run *small_run;
  struct test_run *large_run;

  test_limit_answers (hosts, 20);
  announce_upstream (0, "u", 9000);
  small = send_request (1, "free", NULL, false);
  small_run = last_run ();
  large = send_request (1, "free", NULL, false);
  large_run = last_run ();
  test_head (hosts, small_run);
  test_data (hosts, small_run, "1234");
  test_head (hosts, large_run);
  test_data (hosts, large_run, "0123456789012345");
  ck_assert (!test_reply (hosts, large)->refused);
  test_data (hosts, large_run, "0");
  expect_refusal (large, MARJORAM_OUTCOME_UNKNOWN,
                  MARJORAM_REASON_ANSWER_TOO_LARGE);
  marjoram_host_run_end (test_host (hosts, small_run->host), test_now (hosts),
                         small_run->attempt);
  expect_done (small, "1234");
}
END_TEST

START_TEST (answers_from_another_zone)
{
  uint64_t call;

  announce_upstream (3, "u", 9000);
  call = send_request (0, "free", NULL, false);
  ck_assert_int_eq (test_runs (hosts), 1);
  ck_assert_int_ge (last_run ()->host, 3);
  test_answer (hosts, last_run (), "answer");
  test_deliver (hosts);
  expect_done (call, "answer");
  ck_assert_str_eq (test_reply (hosts, call)->zone, "b");
}
END_TEST

/* The only upstream is in region rb, which caller "bound" may not use: the
   request must be refused and not leave region ra.  */
START_TEST (residency_overrides_capacity)
{
  uint64_t call;

  announce_upstream (3, "u", 9000);
  call = send_request (0, "bound", NULL, false);
  expect_refusal (call, MARJORAM_OUTCOME_NOT_RUN, MARJORAM_REASON_RESIDENCY);
  ck_assert_int_eq (test_runs (hosts), 0);
}
END_TEST

static struct marjoram_forward
forged_forward (uint64_t number)
{
  struct marjoram_forward forward = { 0 };

  forward.request = number;
  forward.id = (char *)"forged";
  forward.caller = (char *)"bound";
  forward.work = (char *)"m";
  forward.method = (char *)"POST";
  forward.path = (char *)"/v1/completions";
  forward.budget_ms = DEADLINE_MS;
  return forward;
}

/* A host with an older configuration forwards a request of caller "bound" to
   region rb.  The receiver must check residency itself.  */
START_TEST (residency_is_checked_at_receipt)
{
  struct marjoram_forward forward = forged_forward (77);

  announce_upstream (3, "u", 9000);
  test_forge (hosts, 3, "a-1", 1, MARJORAM_FRAME_FORWARD, &forward);
  ck_assert_int_eq (test_runs (hosts), 0);
}
END_TEST

/* Zone b's upstream has left when the forwarded request arrives, and zone a
   has one again.  b must refuse the request instead of forwarding it back.  */
START_TEST (receiver_does_not_forward)
{
  uint64_t call;

  announce_upstream (3, "u", 9000);
  call = test_send (hosts, 0, "free", "body", NULL, false, DEADLINE_MS);
  for (int i = 3; i < HOSTS_MAX; i++)
    test_announce (hosts, i, "u", "b", 9000, 2, true);
  test_announce (hosts, 1, "v", "a", 9001, 1, false);
  test_deliver (hosts);
  for (int i = 0; i < test_runs (hosts); i++)
    {
      ck_assert_int_lt (test_run (hosts, i)->host, 3);
      test_answer (hosts, test_run (hosts, i), "answer");
    }
  test_advance_clock (hosts, DEADLINE_MS + 1000);
  ck_assert (test_reply (hosts, call)->ended
             || test_reply (hosts, call)->refused);
}
END_TEST

/* An upstream announces itself to one host only.  Batched renewals must extend
   its lease at the others, and restore it at a host that wrongly marked it
   dead.  */
START_TEST (renewals_extend_lease_at_all_hosts)
{
  for (int second = 0; second < 90; second++)
    {
      test_announce (hosts, 0, "u", "a", 9000, 1, false);
      test_advance_clock (hosts, 1000);
    }
  for (int host = 0; host < 3; host++)
    {
      uint64_t call = send_request (host, "free", NULL, false);

      if (host == 2)
        test_fail (hosts, last_run (), MARJORAM_RUN_UNSENT);
      else
        test_answer (hosts, last_run (), "there");
      ck_assert (test_reply (hosts, call)->ended == (host < 2));
    }
  for (int second = 0; second < 3; second++)
    {
      test_announce (hosts, 0, "u", "a", 9000, 1, false);
      test_advance_clock (hosts, 1000);
    }
  send_request (2, "free", NULL, false);
  ck_assert (last_run ()->open);
}
END_TEST

/* Guards against a lease that ends at other hosts although it is renewed.  */
START_TEST (short_lease_holds_at_all_hosts)
{
  static const int64_t leases[]
      = { MARJORAM_LEASE_MIN_MS, 1500, 3000, MARJORAM_LEASE_MAX_MS };
  const int64_t lease_ms = leases[_i];
  int64_t due = test_now (hosts);
  int64_t end = due + 8 * lease_ms;
  int64_t step_ms = lease_ms / 20;
  bool late = false;

  for (; test_now (hosts) < end; test_advance_clock (hosts, step_ms))
    {
      if (test_now (hosts) >= due)
        {
          test_announce_lease (hosts, 0, "u", "a", 9000, lease_ms);
          test_deliver (hosts);
          due = test_now (hosts) + (late ? 2 : 1) * (lease_ms / 3);
          late = !late;
        }
      for (int host = 1; host < 3; host++)
        {
          uint64_t call = send_request (host, "free", NULL, false);

          ck_assert_msg (
              !test_reply (hosts, call)->refused,
              "host %d refused a request %d ms before the end: %s", host,
              (int)(end - test_now (hosts)),
              marjoram_reason_name (test_reply (hosts, call)->reason));
          test_answer (hosts, last_run (), "answer");
        }
    }
}
END_TEST

/* Guards against refusals after a stall, before waiting renewals are read.  */
START_TEST (stalled_host_knows_its_upstreams)
{
  uint64_t call;

  test_announce_lease (hosts, 0, "u", "a", 9000, 1500);
  test_advance_clock (hosts, 400);
  test_stall (hosts, 1300);
  call = send_request (1, "free", NULL, false);
  ck_assert (!test_reply (hosts, call)->refused);
}
END_TEST

/* Guards against request after request that waits in vain for a slot.  */
START_TEST (no_request_waits_where_one_waited_in_vain)
{
  enum
  {
    SLOTS = 8,
    SHORT_MS = 400
  };
  uint64_t call;

  announce_upstream (0, "u", 9000);
  for (int i = 0; i < SLOTS; i++)
    send_request (0, "free", NULL, false);
  call = test_send (hosts, 0, "free", "body", NULL, false, SHORT_MS);
  test_advance_clock (hosts, SHORT_MS + 50);
  expect_refusal (call, MARJORAM_OUTCOME_UNKNOWN, MARJORAM_REASON_DEADLINE);
  call = test_send (hosts, 0, "free", "body", NULL, false, SHORT_MS);
  expect_refusal (call, MARJORAM_OUTCOME_NOT_RUN, MARJORAM_REASON_OVERLOAD);
  call = send_request (0, "free", NULL, false);
  ck_assert (!test_reply (hosts, call)->refused);
  test_answer (hosts, test_run (hosts, 0), "answer");
  call = test_send (hosts, 0, "free", "body", NULL, false, SHORT_MS);
  ck_assert (!test_reply (hosts, call)->refused);
}
END_TEST

/* Only another zone runs the model.  Requests beyond that zone's offered
   capacity must queue there instead of being refused.  */
START_TEST (work_without_local_upstream_queues_remotely)
{
  enum
  {
    WARM_UP = 30,
    AT_ONCE = 14 /* the upstream has 8 slots */
  };

  announce_upstream (3, "u", 9000);
  for (int i = 0; i < WARM_UP; i++)
    {
      uint64_t call = send_request (0, "free", NULL, false);

      test_answer (hosts, last_run (), "warm");
      test_deliver (hosts);
      expect_done (call, "warm");
      test_advance_clock (hosts, 100);
    }
  for (int i = 0; i < AT_ONCE; i++)
    send_request (0, "free", NULL, false);
  ck_assert_int_eq (test_runs (hosts), WARM_UP + AT_ONCE);
}
END_TEST

/* An upstream refuses a forwarded request while a second one in its zone is
   free.  The receiver must not retry: attempts would multiply along the path.
 */
START_TEST (receiver_does_not_retry)
{
  uint64_t call;

  announce_upstream (3, "u", 9000);
  announce_upstream (3, "v", 9001);
  call = send_request (0, "free", NULL, false);
  ck_assert_int_eq (test_runs (hosts), 1);
  test_fail (hosts, last_run (), MARJORAM_RUN_REFUSED);
  ck_assert_int_eq (test_runs (hosts), 1);
  test_deliver (hosts);
  ck_assert (test_reply (hosts, call)->refused);
  ck_assert_int_eq (test_reply (hosts, call)->outcome,
                    MARJORAM_OUTCOME_NOT_RUN);
}
END_TEST

/* Part of a forwarded answer is missing, at its end or in the middle.  It must
   not be delivered as a complete answer.  */
START_TEST (incomplete_answer_is_rejected)
{
  static const struct
  {
    uint64_t offset;
    uint64_t length;
  } cases[] = { { 0, 9 }, { 3, 4 } };

  announce_upstream (3, "u", 9000);
  for (uint64_t i = 0; i < 2; i++)
    {
      uint64_t number = i + 1;
      uint64_t call = send_request (0, "free", NULL, false);
      char slot[] = { 'b', '-', (char)('1' + last_run ()->host - 3), 0 };
      struct marjoram_head head = { number, 200, { NULL, 0 }, NULL, NULL };
      struct marjoram_data data = { number, cases[i].offset, NULL };
      struct marjoram_end end
          = { .request = number, .length = cases[i].length };

      data.bytes = marjoram_bytes_create ("half", 4);
      test_forge (hosts, 0, slot, 0, MARJORAM_FRAME_HEAD, &head);
      test_forge (hosts, 0, slot, 0, MARJORAM_FRAME_DATA, &data);
      test_forge (hosts, 0, slot, 0, MARJORAM_FRAME_END, &end);
      marjoram_bytes_release (data.bytes);
      ck_assert (test_reply (hosts, call)->refused);
      test_advance_clock (hosts, 3000);
    }
}
END_TEST

/* A region partitioned from the other serves its callers' idempotent and
   non-idempotent requests.  */
START_TEST (partitioned_region_serves_its_callers)
{
  char key[MARJORAM_KEY_MAX];
  uint64_t call;

  announce_upstream (0, "u", 9000);
  for (int a = 0; a < 3; a++)
    for (int b = 3; b < HOSTS_MAX; b++)
      test_cut (hosts, a, b, true);
  test_advance_clock (hosts, 10000);
  call = send_request (1, "free", NULL, false);
  test_answer (hosts, last_run (), "one");
  expect_done (call, "one");
  format_key (key, 0, 1);
  call = send_request (2, "free", key, false);
  test_answer (hosts, last_run (), "two");
  expect_done (call, "two");
}
END_TEST

/* An upstream fails in the middle of a non-streamed answer.  The caller must
   get only the complete answer of the second upstream.  */
START_TEST (failed_answer_is_retried_transparently)
{
  uint64_t call;

  announce_upstream (0, "u", 9000);
  announce_upstream (0, "v", 9001);
  call = send_request (0, "free", NULL, false);
  test_head (hosts, last_run ());
  test_data (hosts, last_run (), "half");
  test_fail (hosts, last_run (), MARJORAM_RUN_BROKEN);
  test_probed (hosts, 0, "u", true);
  test_probed (hosts, 0, "v", true);
  ck_assert_int_eq (test_runs (hosts), 2);
  ck_assert_str_ne (test_run (hosts, 0)->address,
                    test_run (hosts, 1)->address);
  test_answer (hosts, last_run (), "whole");
  expect_done (call, "whole");
}
END_TEST

/* Two requests run at an upstream when it crashes, and become suspects.  They
   must run one after the other at the remaining upstream, and the second must
   not be refused while it waits.  */
START_TEST (suspects_run_one_at_a_time)
{
  uint64_t calls[2];

  announce_upstream (0, "u", 9000);
  for (int i = 0; i < 2; i++)
    calls[i] = test_send (hosts, 0, "free", i ? "one" : "two", NULL, false,
                          DEADLINE_MS);
  test_announce (hosts, 0, "v", "a", 9001, 1, false);
  test_deliver (hosts);
  ck_assert_int_eq (test_runs (hosts), 2);
  for (int i = 0; i < 2; i++)
    test_fail (hosts, test_run (hosts, i), MARJORAM_RUN_BROKEN);
  test_probed (hosts, 0, "u", false);
  test_advance_clock (hosts, 1000);
  ck_assert_int_eq (test_runs (hosts), 3);
  test_answer (hosts, last_run (), "first");
  test_advance_clock (hosts, 1000);
  ck_assert_int_eq (test_runs (hosts), 4);
  test_answer (hosts, last_run (), "second");
  for (int i = 0; i < 2; i++)
    ck_assert (test_reply (hosts, calls[i])->ended);
}
END_TEST

/* Two hosts dispatch one suspect each at the same time.  The suspects must not
   run together at the remaining upstream: its crash would convict neither.  */
START_TEST (suspects_of_two_hosts_do_not_overlap)
{
  uint64_t calls[2];
  int open = 0;

  announce_upstream (0, "u", 9000);
  for (int i = 0; i < 2; i++)
    calls[i] = test_send (hosts, i, "free", i ? "one" : "two", NULL, false,
                          DEADLINE_MS);
  test_announce (hosts, 0, "v", "a", 9001, 1, false);
  test_deliver (hosts);
  for (int i = 0; i < 2; i++)
    test_fail (hosts, test_run (hosts, i), MARJORAM_RUN_BROKEN);
  for (int i = 0; i < 2; i++)
    test_probed (hosts, i, "u", false);
  for (int step = 0; step < 100; step++)
    {
      test_advance_clock (hosts, 50);
      open = 0;
      for (int i = 2; i < test_runs (hosts); i++)
        open += test_run (hosts, i)->open;
      ck_assert_int_le (open, 1);
      if (step % 10 == 9 && open == 1)
        test_answer (hosts, last_run (), "turn");
    }
  for (int i = 0; i < 2; i++)
    ck_assert (test_reply (hosts, calls[i])->ended);
}
END_TEST

/* An upstream fails in the middle of a stream.  The stream must be aborted,
   never continued with another upstream's output.  */
START_TEST (failed_stream_is_aborted)
{
  uint64_t call;

  announce_upstream (0, "u", 9000);
  announce_upstream (0, "v", 9001);
  call = send_request (0, "free", NULL, true);
  test_head (hosts, last_run ());
  test_data (hosts, last_run (), "half");
  test_fail (hosts, last_run (), MARJORAM_RUN_BROKEN);
  test_probed (hosts, 0, "u", true);
  test_probed (hosts, 0, "v", true);
  ck_assert_int_eq (test_runs (hosts), 1);
  ck_assert (test_reply (hosts, call)->aborted);
  ck_assert (!test_reply (hosts, call)->ended);
}
END_TEST

/* The late answer of a failed attempt must not be mixed into the answer of the
   next one.  */
START_TEST (late_answer_of_an_earlier_attempt_is_dropped)
{
  struct test_run *first;
  uint64_t call;

  announce_upstream (0, "u", 9000);
  announce_upstream (0, "v", 9001);
  call = send_request (0, "free", NULL, false);
  first = last_run ();
  test_fail (hosts, first, MARJORAM_RUN_BROKEN);
  test_probed (hosts, 0, "u", true);
  test_probed (hosts, 0, "v", true);
  test_head (hosts, first);
  test_data (hosts, first, "foreign");
  test_answer (hosts, last_run (), "own");
  expect_done (call, "own");
}
END_TEST

/* The upstream of a non-idempotent request fails: the outcome is unknown.  A
   resend to another host must report the same and not run the request.  */
START_TEST (non_idempotent_request_is_not_retried)
{
  char key[MARJORAM_KEY_MAX];
  uint64_t call;

  announce_upstream (0, "u", 9000);
  announce_upstream (0, "v", 9001);
  format_key (key, 0, 2);
  call = send_request (0, "free", key, false);
  ck_assert_int_eq (test_runs (hosts), 1);
  test_fail (hosts, last_run (), MARJORAM_RUN_BROKEN);
  test_probed (hosts, 0, "u", true);
  test_probed (hosts, 0, "v", true);
  test_deliver (hosts);
  ck_assert_int_eq (test_reply (hosts, call)->outcome,
                    MARJORAM_OUTCOME_UNKNOWN);
  call = send_request (1, "free", key, false);
  test_advance_clock (hosts, 2000);
  ck_assert (test_reply (hosts, call)->refused);
  ck_assert_int_eq (test_reply (hosts, call)->outcome,
                    MARJORAM_OUTCOME_UNKNOWN);
  ck_assert_int_eq (test_runs (hosts), 1);
}
END_TEST

/* A non-idempotent request is resent to another host and to another region,
   while it runs and after it ended.  It must run once, and resends after its
   end get the stored answer.  */
START_TEST (resent_request_runs_once)
{
  static const int to[] = { 1, 4 };
  char key[MARJORAM_KEY_MAX];
  uint64_t call;

  announce_upstream (0, "u", 9000);
  format_key (key, 0, 3);
  call = send_request (0, "free", key, false);
  for (int i = 0; i < 2; i++)
    {
      uint64_t again = send_request (to[i], "free", key, false);

      test_advance_clock (hosts, 1000);
      expect_refusal (again, MARJORAM_OUTCOME_UNKNOWN,
                      MARJORAM_REASON_CLAIM_BUSY);
    }
  test_answer (hosts, last_run (), "once");
  expect_done (call, "once");
  test_deliver (hosts);
  for (int i = 0; i < 2; i++)
    {
      uint64_t again = send_request (to[i], "free", key, false);

      test_advance_clock (hosts, 1000);
      expect_done (again, "once");
    }
  ck_assert_int_eq (test_runs (hosts), 1);
}
END_TEST

/* A host that is still recovering its state after a restart must not reject a
   new key as expired.  */
START_TEST (recovering_host_does_not_expire_new_key)
{
  char key[MARJORAM_KEY_MAX];
  uint64_t call;

  announce_upstream (0, "u", 9000);
  test_cut (hosts, 0, 2, true);
  test_cut (hosts, 1, 2, true);
  format_key (key, 0, 9);
  test_restart (hosts, 1);
  call = send_request (0, "free", key, false);
  test_advance_clock (hosts, 3000);
  ck_assert_int_ne (test_reply (hosts, call)->reason,
                    MARJORAM_REASON_KEY_EXPIRED);
}
END_TEST

/* Two callers send the same key and the same body.  The second must not get
   the first one's stored answer.  */
START_TEST (keys_are_scoped_to_callers)
{
  char key[MARJORAM_KEY_MAX];
  uint64_t call;

  announce_upstream (0, "u", 9000);
  format_key (key, 0, 10);
  call = send_request (0, "free", key, false);
  test_answer (hosts, last_run (), "free's");
  expect_done (call, "free's");
  test_deliver (hosts);
  call = send_request (1, "bound", key, false);
  ck_assert_int_eq (test_runs (hosts), 2);
  test_answer (hosts, last_run (), "bound's");
  expect_done (call, "bound's");
}
END_TEST

/* The host that ran a request fails after the answer.  A resend to another
   host of the zone must get the stored answer.  */
START_TEST (answer_survives_host_failure)
{
  char key[MARJORAM_KEY_MAX];
  uint64_t call;

  announce_upstream (0, "u", 9000);
  format_key (key, 0, 4);
  send_request (0, "free", key, false);
  test_answer (hosts, last_run (), "kept");
  test_deliver (hosts);
  test_restart (hosts, 0);
  call = send_request (2, "free", key, false);
  test_advance_clock (hosts, 2000);
  expect_done (call, "kept");
  ck_assert_int_eq (test_runs (hosts), 1);
}
END_TEST

/* The link is lost while a non-idempotent request runs in the other zone.  The
   answer must be fetched over the new link without a second run.  */
START_TEST (request_survives_link_loss)
{
  char key[MARJORAM_KEY_MAX];
  uint64_t call;

  announce_upstream (0, "u", 9000);
  format_key (key, 0, 5);
  call = send_request (4, "free", key, false);
  ck_assert_int_eq (test_runs (hosts), 1);
  for (int i = 0; i < 3; i++)
    test_cut (hosts, 4, i, true);
  test_answer (hosts, last_run (), "over the new link");
  test_advance_clock (hosts, 500);
  ck_assert (!test_reply (hosts, call)->ended);
  for (int i = 0; i < 3; i++)
    test_cut (hosts, 4, i, false);
  test_advance_clock (hosts, 500);
  expect_done (call, "over the new link");
  ck_assert_int_eq (test_runs (hosts), 1);
}
END_TEST

/* A FORWARD frame is lost with its link.  The receiver's "never started" over
   the new link proves that a non-idempotent request may be retried.  */
START_TEST (lost_forward_is_proven_not_run)
{
  char key[MARJORAM_KEY_MAX];
  uint64_t call;

  announce_upstream (0, "u", 9000);
  format_key (key, 0, 6);
  call = test_send (hosts, 4, "free", "body", key, false, DEADLINE_MS);
  for (int i = 0; i < 3; i++)
    test_cut (hosts, 4, i, true);
  test_deliver (hosts);
  ck_assert_int_eq (test_runs (hosts), 0);
  for (int i = 0; i < 3; i++)
    test_cut (hosts, 4, i, false);
  test_advance_clock (hosts, 1000);
  ck_assert_int_eq (test_runs (hosts), 1);
  test_answer (hosts, last_run (), "once");
  test_deliver (hosts);
  expect_done (call, "once");
}
END_TEST

/* The zone that owns a key refuses a forwarded non-idempotent request for lack
   of an upstream.  The forwarding zone must not run it unclaimed: a resend
   could be granted the claim and run it again.  */
START_TEST (refused_claim_is_not_run_elsewhere)
{
  char key[MARJORAM_KEY_MAX];
  uint64_t call;

  announce_upstream (3, "u", 9000);
  format_key (key, 0, 8);
  call = send_request (4, "free", key, false);
  test_advance_clock (hosts, 1000);
  /* Only hosts of the key's zone may have started it.  */
  for (int i = 0; i < test_runs (hosts); i++)
    ck_assert_int_eq (strncmp (test_run (hosts, i)->id, "a-", 2), 0);
  ck_assert (test_reply (hosts, call)->refused);
}
END_TEST

/* The host that ran a forwarded request restarts before it answers, and loses
   its state.  The caller must be told unknown, not not-run.  */
START_TEST (restarted_host_leaves_outcome_unknown)
{
  uint64_t call;

  announce_upstream (3, "u", 9000);
  call = send_request (0, "free", NULL, false);
  ck_assert_int_eq (test_runs (hosts), 1);
  test_restart (hosts, last_run ()->host);
  test_advance_clock (hosts, 5000);
  ck_assert (test_reply (hosts, call)->refused);
  ck_assert_int_eq (test_reply (hosts, call)->outcome,
                    MARJORAM_OUTCOME_UNKNOWN);
}
END_TEST

/* A FORWARD frame that arrives after its sender was told "never started" must
   not start the request.  */
START_TEST (revoked_forward_does_not_start)
{
  struct marjoram_forward forward = forged_forward (500);
  struct marjoram_revoke revoke = { 500, 0 };

  announce_upstream (3, "u", 9000);
  forward.caller = (char *)"free";
  test_forge (hosts, 3, "a-1", 2, MARJORAM_FRAME_REVOKE, &revoke);
  test_forge (hosts, 3, "a-1", 2, MARJORAM_FRAME_FORWARD, &forward);
  ck_assert_int_eq (test_runs (hosts), 0);
}
END_TEST

/* The deadline passes while a non-idempotent request runs: the caller must be
   told unknown, the request runs on, and a resend gets its answer.  */
START_TEST (deadline_leaves_non_idempotent_work_running)
{
  char key[MARJORAM_KEY_MAX];
  uint64_t call;

  announce_upstream (0, "u", 9000);
  format_key (key, 0, 7);
  call = test_send (hosts, 0, "free", "body", key, false, 1000);
  test_advance_clock (hosts, 1200);
  expect_refusal (call, MARJORAM_OUTCOME_UNKNOWN, MARJORAM_REASON_DEADLINE);
  ck_assert (last_run ()->open);
  test_answer (hosts, last_run (), "late");
  test_deliver (hosts);
  call = send_request (1, "free", key, false);
  test_advance_clock (hosts, 500);
  expect_done (call, "late");
}
END_TEST

/* A connection to an upstream goes silent.  The answer must be resumed by
   request id on a new connection, without sending the request again.  */
START_TEST (silent_connection_is_resumed_by_id)
{
  uint64_t call;

  announce_upstream (0, "u", 9000);
  announce_upstream (0, "v", 9001);
  call = send_request (0, "free", NULL, false);
  test_advance_clock (hosts, 2200);
  ck_assert_int_eq (test_runs (hosts), 1);
  ck_assert_int_eq (last_run ()->resumes, 1);
  test_answer (hosts, last_run (), "by id");
  expect_done (call, "by id");
}
END_TEST

/* Guards against a restarted upstream's word that it never started a run.  */
START_TEST (restarted_upstream_proves_nothing)
{
  uint64_t incarnation = (uint64_t)_i + 1;
  uint64_t call;

  announce_upstream (0, "u", 9000);
  call = send_request (0, "free", NULL, false);
  test_announce (hosts, 0, "u", "a", 9000, incarnation, false);
  test_advance_clock (hosts, 2200);
  ck_assert_int_eq (last_run ()->resumes, 1);
  test_fail (hosts, last_run (), MARJORAM_RUN_NOT_STARTED);
  ck_assert (test_reply (hosts, call)->refused);
  ck_assert_str_eq (marjoram_outcome_name (test_reply (hosts, call)->outcome),
                    marjoram_outcome_name (incarnation == 1
                                               ? MARJORAM_OUTCOME_NOT_RUN
                                               : MARJORAM_OUTCOME_UNKNOWN));
}
END_TEST

/* Guards against a probe of a process that has ended being taken for one of
   its successor.  */
START_TEST (late_probe_says_nothing_of_a_restarted_upstream)
{
  uint64_t call;

  announce_upstream (0, "u", 9000);
  test_send (hosts, 0, "free", "one", NULL, false, DEADLINE_MS);
  test_fail (hosts, last_run (), MARJORAM_RUN_BROKEN);
  test_announce (hosts, 0, "u", "a", 9001, 2, false);
  test_send (hosts, 0, "free", "two", NULL, false, DEADLINE_MS);
  ck_assert_int_eq (test_runs (hosts), 2);
  test_probed (hosts, 0, "u", false);
  call = test_send (hosts, 0, "free", "three", NULL, false, DEADLINE_MS);
  ck_assert (!test_reply (hosts, call)->refused);
  test_advance_clock (hosts, 1000);
  ck_assert_int_ge (test_runs (hosts), 3);
}
END_TEST

static bool
is_alive (int64_t now, const char *slot)
{
  struct marjoram_host_view view;

  marjoram_host_view (test_host (hosts, 0), now, slot, &view);
  return view.alive;
}

/* A link that receives part of a large frame, while heartbeats wait behind it,
   must not be closed as silent.  One that receives nothing must be.  */
START_TEST (link_receiving_partial_frames_is_not_silent)
{
  const int64_t start = test_now (hosts);
  int64_t now;

  for (now = start; now < start + 5000; now += 100)
    {
      marjoram_host_link_heard (test_host (hosts, 0), now, "b-1");
      marjoram_host_tick (test_host (hosts, 0), now, TEST_WALL_OFFSET + now);
    }
  ck_assert (is_alive (now, "b-1"));
  ck_assert (!is_alive (now, "b-2"));
  marjoram_host_tick (test_host (hosts, 0), now + 3200,
                      TEST_WALL_OFFSET + now + 3200);
  ck_assert (!is_alive (now + 3200, "b-1"));
}
END_TEST

/* A newer configuration forbids region rb while a request runs there.  The
   retry must follow the newer rule.  */
START_TEST (newer_residency_rule_applies_to_retry)
{
  static const char callers[]
      = "[caller free]\ntoken = free-0123456789abcdef\nhome = ra\n"
        "regions = ra\nrate = 100\n";
  uint64_t call;

  announce_upstream (3, "u", 9000);
  announce_upstream (3, "v", 9001);
  call = send_request (0, "free", NULL, false);
  ck_assert_int_eq (test_runs (hosts), 1);
  test_configure (hosts, 2, callers);
  test_fail (hosts, last_run (), MARJORAM_RUN_REFUSED);
  test_deliver (hosts);
  ck_assert_int_eq (test_runs (hosts), 1);
  ck_assert (test_reply (hosts, call)->refused);
}
END_TEST

/* A newer configuration removes zone b while requests run there.  They must
   end with a definite outcome, and the stale zone index must not be used.  */
START_TEST (zone_removed_during_request)
{
  uint64_t first;
  uint64_t second;

  announce_upstream (3, "u", 9000);
  first = send_request (0, "free", NULL, false);
  second = send_request (0, "free", NULL, false);
  test_answer (hosts, test_run (hosts, 0), "in time");
  test_remove_zone (hosts, 2);
  test_advance_clock (hosts, DEADLINE_MS + 2000);
  ck_assert (test_reply (hosts, first)->ended
             || test_reply (hosts, first)->refused);
  ck_assert (test_reply (hosts, second)->refused);
  ck_assert_int_eq (test_reply (hosts, second)->outcome,
                    MARJORAM_OUTCOME_UNKNOWN);
}
END_TEST

/* An authenticated host sends frames with empty fields and arrays of empty
   items.  The receiver must not crash.  */
START_TEST (empty_frames_are_harmless)
{
  static const char *const slots[] = { "a-2", "b-1", "nobody" };
  enum marjoram_frame_type type = (enum marjoram_frame_type)_i;
  const struct marjoram_layout *layout = marjoram_frame_layout (type);
  char *message = calloc (1, layout->size);
  uint64_t call;

  announce_upstream (1, "u", 9000);
  for (size_t i = 0; i < layout->field_count; i++)
    {
      const struct marjoram_field *field = &layout->fields[i];
      struct marjoram_array *array
          = (struct marjoram_array *)(message + field->offset);

      if (field->kind != MARJORAM_FIELD_ARRAY)
        continue;
      array->items = calloc (2, field->layout->size);
      array->count = 2;
    }
  for (size_t i = 0; i < 3; i++)
    for (uint64_t session = 0; session < 2; session++)
      test_forge (hosts, 0, slots[i], session, type, message);
  marjoram_wire_destroy (layout, message);
  test_advance_clock (hosts, 2000);
  call = send_request (0, "free", NULL, false);
  test_answer (hosts, last_run (), "alive");
  expect_done (call, "alive");
}
END_TEST

START_TEST (host_without_configuration_refuses_requests)
{
  uint64_t call;

  teardown ();
  hosts = test_hosts_create (3, 1);
  test_advance_clock (hosts, 10000);
  call = send_request (0, "free", NULL, false);
  expect_refusal (call, MARJORAM_OUTCOME_NOT_RUN, MARJORAM_REASON_NO_CONFIG);
}
END_TEST

/* A draining host refuses new requests and completes those in progress.  */
START_TEST (draining_host_finishes_its_requests)
{
  uint64_t first;
  uint64_t second;

  announce_upstream (0, "u", 9000);
  first = send_request (0, "free", NULL, false);
  marjoram_host_drain (test_host (hosts, 0), test_now (hosts));
  second = send_request (0, "free", NULL, false);
  expect_refusal (second, MARJORAM_OUTCOME_NOT_RUN, MARJORAM_REASON_DRAINING);
  test_answer (hosts, last_run (), "finished");
  expect_done (first, "finished");
}
END_TEST

/* Guards against late forwards by a host that has not heard of the drain.  */
START_TEST (draining_host_takes_no_forward)
{
  struct marjoram_forward forward = forged_forward (77);

  announce_upstream (0, "u", 9000);
  forward.caller = (char *)"free";
  marjoram_host_drain (test_host (hosts, 0), test_now (hosts));
  test_forge (hosts, 0, "b-1", 1, MARJORAM_FRAME_FORWARD, &forward);
  ck_assert_int_eq (test_runs (hosts), 0);
}
END_TEST

/* Guards against closing the connections of requests in progress instead of
   saying whether they ran, when a draining host has to end.  */
START_TEST (draining_host_answers_before_its_end)
{
  const int64_t limit_ms = 60000;
  char key[MARJORAM_KEY_MAX];
  uint64_t running;
  uint64_t keyed;

  announce_upstream (0, "u", 9000);
  format_key (key, 0, 1);
  running = send_request (0, "free", NULL, false);
  keyed = send_request (0, "free", key, false);
  ck_assert_int_eq (test_runs (hosts), 2);
  marjoram_host_drain (test_host (hosts, 0),
                       test_now (hosts) - limit_ms + 500);
  test_advance_clock (hosts, 400);
  ck_assert (!test_reply (hosts, running)->refused);
  test_advance_clock (hosts, 200);
  expect_refusal (running, MARJORAM_OUTCOME_UNKNOWN, MARJORAM_REASON_DRAINING);
  expect_refusal (keyed, MARJORAM_OUTCOME_UNKNOWN, MARJORAM_REASON_DRAINING);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("host");
  TCase *c = tcase_create ("host");

  marjoram_log_open ("test", getenv ("VERBOSE") ? MARJORAM_LOG_DEBUG
                                                : MARJORAM_LOG_ERROR);

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, answers_from_own_zone);
  tcase_add_test (c, largest_of_too_many_answers_is_given_up);
  tcase_add_test (c, answers_from_another_zone);
  tcase_add_test (c, residency_overrides_capacity);
  tcase_add_test (c, residency_is_checked_at_receipt);
  tcase_add_test (c, receiver_does_not_forward);
  tcase_add_test (c, renewals_extend_lease_at_all_hosts);
  tcase_add_loop_test (c, short_lease_holds_at_all_hosts, 0, 4);
  tcase_add_test (c, stalled_host_knows_its_upstreams);
  tcase_add_test (c, no_request_waits_where_one_waited_in_vain);
  tcase_add_test (c, work_without_local_upstream_queues_remotely);
  tcase_add_test (c, receiver_does_not_retry);
  tcase_add_test (c, incomplete_answer_is_rejected);
  tcase_add_test (c, partitioned_region_serves_its_callers);
  tcase_add_test (c, failed_answer_is_retried_transparently);
  tcase_add_test (c, suspects_run_one_at_a_time);
  tcase_add_test (c, suspects_of_two_hosts_do_not_overlap);
  tcase_add_test (c, failed_stream_is_aborted);
  tcase_add_test (c, late_answer_of_an_earlier_attempt_is_dropped);
  tcase_add_test (c, non_idempotent_request_is_not_retried);
  tcase_add_test (c, resent_request_runs_once);
  tcase_add_test (c, recovering_host_does_not_expire_new_key);
  tcase_add_test (c, keys_are_scoped_to_callers);
  tcase_add_test (c, answer_survives_host_failure);
  tcase_add_test (c, request_survives_link_loss);
  tcase_add_test (c, lost_forward_is_proven_not_run);
  tcase_add_test (c, refused_claim_is_not_run_elsewhere);
  tcase_add_test (c, restarted_host_leaves_outcome_unknown);
  tcase_add_test (c, revoked_forward_does_not_start);
  tcase_add_test (c, deadline_leaves_non_idempotent_work_running);
  tcase_add_test (c, silent_connection_is_resumed_by_id);
  tcase_add_loop_test (c, restarted_upstream_proves_nothing, 0, 2);
  tcase_add_test (c, late_probe_says_nothing_of_a_restarted_upstream);
  tcase_add_test (c, link_receiving_partial_frames_is_not_silent);
  tcase_add_test (c, newer_residency_rule_applies_to_retry);
  tcase_add_loop_test (c, empty_frames_are_harmless, 0, MARJORAM_FRAME_COUNT);
  tcase_add_test (c, zone_removed_during_request);
  tcase_add_test (c, host_without_configuration_refuses_requests);
  tcase_add_test (c, draining_host_finishes_its_requests);
  tcase_add_test (c, draining_host_takes_no_forward);
  tcase_add_test (c, draining_host_answers_before_its_end);
  suite_add_tcase (s, c);
  return s;
}
