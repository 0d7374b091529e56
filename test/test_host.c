/* A request's life over several hosts, driven in the decision layer: frames
   are lost and links break at chosen moments, and upstreams answer as the test
   says.  Hosts 0 to 2 are zone a (region ra), 3 to 5 zone b (region rb).  */
#include "suite.h"

#include "lib_hosts.h"
#include "log.h"
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
  test_pass (hosts, 5000);
}

static void
teardown (void)
{
  test_hosts_destroy (hosts);
}

static void
upstream (int host, const char *name, int port)
{
  test_announce (hosts, host, name, host < 3 ? "a" : "b", port, 1, false);
  test_pass (hosts, 1500);
}

static uint64_t
ask (int host, const char *caller, const char *key, bool stream)
{
  uint64_t call
      = test_send (hosts, host, caller, "body", key, stream, DEADLINE_MS);

  test_deliver (hosts);
  return call;
}

/* A key with the prefix that HOST hands out.  */
static void
new_key (char *key, int host, int number)
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

  ck_assert_msg (reply->ended, "no whole answer: refused %d, reason %s",
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

  upstream (0, "u", 9000);
  call = ask (1, "free", NULL, false);
  ck_assert_int_eq (test_runs (hosts), 1);
  test_answer (hosts, last_run (), "answer");
  expect_done (call, "answer");
  ck_assert_str_eq (test_reply (hosts, call)->zone, "a");
}
END_TEST

START_TEST (answers_from_another_zone)
{
  uint64_t call;

  upstream (3, "u", 9000);
  call = ask (0, "free", NULL, false);
  ck_assert_int_eq (test_runs (hosts), 1);
  ck_assert_int_ge (last_run ()->host, 3);
  test_answer (hosts, last_run (), "answer");
  test_deliver (hosts);
  expect_done (call, "answer");
  ck_assert_str_eq (test_reply (hosts, call)->zone, "b");
}
END_TEST

/* The only free upstream is in region rb, where caller "bound" may not go: the
   request is refused at once and nothing leaves region ra.  */
START_TEST (residency_holds_when_only_the_forbidden_region_has_room)
{
  uint64_t call;

  upstream (3, "u", 9000);
  call = ask (0, "bound", NULL, false);
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

/* A host that acts on an older configuration forwards a request of caller
   "bound" to region rb.  The receiver checks residency itself and runs
   nothing.  */
START_TEST (residency_is_checked_at_receipt)
{
  struct marjoram_forward forward = forged_forward (77);

  upstream (3, "u", 9000);
  test_forge (hosts, 3, "a-1", 1, MARJORAM_FRAME_FORWARD, &forward);
  ck_assert_int_eq (test_runs (hosts), 0);
}
END_TEST

/* Zone a believes that b has room and b that a has.  The request crosses once;
   b, whose upstream left meanwhile, refuses it back and does not send it on,
   though a's upstream is back by then.  */
START_TEST (forwarded_request_never_goes_on)
{
  uint64_t call;

  upstream (3, "u", 9000);
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
  test_pass (hosts, DEADLINE_MS + 1000);
  ck_assert (test_reply (hosts, call)->ended
             || test_reply (hosts, call)->refused);
}
END_TEST

/* An upstream goes on announcing itself to one host.  The others, who hear
   only renewals after the first time, keep it beyond its lease; one that found
   it dead by mistake takes it back.  */
START_TEST (renewals_keep_an_upstream_at_all_hosts)
{
  for (int second = 0; second < 90; second++)
    {
      test_announce (hosts, 0, "u", "a", 9000, 1, false);
      test_pass (hosts, 1000);
    }
  for (int host = 0; host < 3; host++)
    {
      uint64_t call = ask (host, "free", NULL, false);

      if (host == 2)
        test_fail (hosts, last_run (), MARJORAM_RUN_UNSENT);
      else
        test_answer (hosts, last_run (), "there");
      ck_assert (test_reply (hosts, call)->ended == (host < 2));
    }
  for (int second = 0; second < 3; second++)
    {
      test_announce (hosts, 0, "u", "a", 9000, 1, false);
      test_pass (hosts, 1000);
    }
  ask (2, "free", NULL, false);
  ck_assert (last_run ()->open);
}
END_TEST

/* A model that only another zone runs.  Its callers here have no other place,
   so what goes beyond the room that is lent may wait there: at half of the
   other zone's capacity a quarter of them had been refused.  */
START_TEST (work_without_a_home_may_wait_elsewhere)
{
  enum
  {
    WARM_UP = 30,
    AT_ONCE = 14 /* the upstream has 8 slots */
  };

  upstream (3, "u", 9000);
  for (int i = 0; i < WARM_UP; i++)
    {
      uint64_t call = ask (0, "free", NULL, false);

      test_answer (hosts, last_run (), "warm");
      test_deliver (hosts);
      expect_done (call, "warm");
      test_pass (hosts, 100);
    }
  for (int i = 0; i < AT_ONCE; i++)
    ask (0, "free", NULL, false);
  ck_assert_int_eq (test_runs (hosts), WARM_UP + AT_ONCE);
}
END_TEST

/* An upstream of the other zone refuses a forwarded request though a second
   one there is free.  Only the first host may try again: if each host on the
   path did, attempts would multiply.  */
START_TEST (receiver_does_not_retry)
{
  uint64_t call;

  upstream (3, "u", 9000);
  upstream (3, "v", 9001);
  call = ask (0, "free", NULL, false);
  ck_assert_int_eq (test_runs (hosts), 1);
  test_fail (hosts, last_run (), MARJORAM_RUN_REFUSED);
  ck_assert_int_eq (test_runs (hosts), 1);
  test_deliver (hosts);
  ck_assert (test_reply (hosts, call)->refused);
  ck_assert_int_eq (test_reply (hosts, call)->outcome,
                    MARJORAM_OUTCOME_NOT_RUN);
}
END_TEST

/* Frames of another zone's answer in which a piece is missing, at the end or
   in the middle.  The caller must not get the rest as if it were the whole. */
START_TEST (answer_with_a_missing_piece_is_not_whole)
{
  static const struct
  {
    uint64_t offset;
    uint64_t length;
  } cases[] = { { 0, 9 }, { 3, 4 } };

  upstream (3, "u", 9000);
  for (uint64_t i = 0; i < 2; i++)
    {
      uint64_t number = i + 1;
      uint64_t call = ask (0, "free", NULL, false);
      char slot[] = { 'b', '-', (char)('1' + last_run ()->host - 3), 0 };
      struct marjoram_head head = { number, 200, { NULL, 0 }, NULL };
      struct marjoram_data data = { number, cases[i].offset, NULL };
      struct marjoram_end end
          = { .request = number, .length = cases[i].length };

      data.bytes = marjoram_bytes_create ("half", 4);
      test_forge (hosts, 0, slot, 0, MARJORAM_FRAME_HEAD, &head);
      test_forge (hosts, 0, slot, 0, MARJORAM_FRAME_DATA, &data);
      test_forge (hosts, 0, slot, 0, MARJORAM_FRAME_END, &end);
      marjoram_bytes_release (data.bytes);
      ck_assert (test_reply (hosts, call)->refused);
      test_pass (hosts, 3000);
    }
}
END_TEST

/* Region ra is cut off from region rb: its callers are served, idempotent and
   not.  */
START_TEST (region_cut_off_serves_its_own_callers)
{
  char key[MARJORAM_KEY_MAX];
  uint64_t call;

  upstream (0, "u", 9000);
  for (int a = 0; a < 3; a++)
    for (int b = 3; b < HOSTS_MAX; b++)
      test_cut (hosts, a, b, true);
  test_pass (hosts, 10000);
  call = ask (1, "free", NULL, false);
  test_answer (hosts, last_run (), "one");
  expect_done (call, "one");
  new_key (key, 0, 1);
  call = ask (2, "free", key, false);
  test_answer (hosts, last_run (), "two");
  expect_done (call, "two");
}
END_TEST

/* An upstream breaks off in the middle of an answer.  The caller, who asked
   for no stream, sees only the whole answer of the second upstream.  */
START_TEST (broken_answer_is_retried_unseen)
{
  uint64_t call;

  upstream (0, "u", 9000);
  upstream (0, "v", 9001);
  call = ask (0, "free", NULL, false);
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

/* Two requests run at an upstream when it dies, so that each may be the one
   that killed it.  They take turns at the only one that is left; the second is
   not given up while it waits, and both are answered.  */
START_TEST (suspects_take_turns)
{
  uint64_t calls[2];

  upstream (0, "u", 9000);
  for (int i = 0; i < 2; i++)
    calls[i] = test_send (hosts, 0, "free", i ? "one" : "two", NULL, false,
                          DEADLINE_MS);
  test_announce (hosts, 0, "v", "a", 9001, 1, false);
  test_deliver (hosts);
  ck_assert_int_eq (test_runs (hosts), 2);
  for (int i = 0; i < 2; i++)
    test_fail (hosts, test_run (hosts, i), MARJORAM_RUN_BROKEN);
  test_probed (hosts, 0, "u", false);
  test_pass (hosts, 1000);
  ck_assert_int_eq (test_runs (hosts), 3);
  test_answer (hosts, last_run (), "first");
  test_pass (hosts, 1000);
  ck_assert_int_eq (test_runs (hosts), 4);
  test_answer (hosts, last_run (), "second");
  for (int i = 0; i < 2; i++)
    ck_assert (test_reply (hosts, calls[i])->ended);
}
END_TEST

/* The same, but the two are requests of two hosts, which hear of the death at
   the same moment and know nothing of each other's.  They must not meet at the
   upstream that is left: its death would convict neither.  */
START_TEST (suspects_of_two_hosts_do_not_meet)
{
  uint64_t calls[2];
  int open = 0;

  upstream (0, "u", 9000);
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
      test_pass (hosts, 50);
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

/* The same in the middle of a stream: what was passed on can't be taken back,
   so the stream is cut, never continued by another upstream.  */
START_TEST (broken_stream_is_cut)
{
  uint64_t call;

  upstream (0, "u", 9000);
  upstream (0, "v", 9001);
  call = ask (0, "free", NULL, true);
  test_head (hosts, last_run ());
  test_data (hosts, last_run (), "half");
  test_fail (hosts, last_run (), MARJORAM_RUN_BROKEN);
  test_probed (hosts, 0, "u", true);
  test_probed (hosts, 0, "v", true);
  ck_assert_int_eq (test_runs (hosts), 1);
  ck_assert (test_reply (hosts, call)->cut);
  ck_assert (!test_reply (hosts, call)->ended);
}
END_TEST

/* A first attempt was given up and a second one runs.  The first one's answer
   comes late: it must not be mixed into the second's.  */
START_TEST (late_answer_of_an_earlier_attempt_is_dropped)
{
  struct test_run *first;
  uint64_t call;

  upstream (0, "u", 9000);
  upstream (0, "v", 9001);
  call = ask (0, "free", NULL, false);
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

/* The upstream of a non-idempotent request breaks off.  The caller is told
   unknown; a resend to another host tells the same and runs nothing.  */
START_TEST (non_idempotent_request_is_not_retried)
{
  char key[MARJORAM_KEY_MAX];
  uint64_t call;

  upstream (0, "u", 9000);
  upstream (0, "v", 9001);
  new_key (key, 0, 2);
  call = ask (0, "free", key, false);
  ck_assert_int_eq (test_runs (hosts), 1);
  test_fail (hosts, last_run (), MARJORAM_RUN_BROKEN);
  test_probed (hosts, 0, "u", true);
  test_probed (hosts, 0, "v", true);
  test_deliver (hosts);
  ck_assert_int_eq (test_reply (hosts, call)->outcome,
                    MARJORAM_OUTCOME_UNKNOWN);
  call = ask (1, "free", key, false);
  test_pass (hosts, 2000);
  ck_assert (test_reply (hosts, call)->refused);
  ck_assert_int_eq (test_reply (hosts, call)->outcome,
                    MARJORAM_OUTCOME_UNKNOWN);
  ck_assert_int_eq (test_runs (hosts), 1);
}
END_TEST

/* The caller sends a non-idempotent request again, to another host of the zone
   and to another region, while the first still runs and after it ended.  It
   runs once; the later senders get the kept answer.  */
START_TEST (resent_request_runs_once)
{
  static const int to[] = { 1, 4 };
  char key[MARJORAM_KEY_MAX];
  uint64_t call;

  upstream (0, "u", 9000);
  new_key (key, 0, 3);
  call = ask (0, "free", key, false);
  for (int i = 0; i < 2; i++)
    {
      uint64_t again = ask (to[i], "free", key, false);

      test_pass (hosts, 1000);
      expect_refusal (again, MARJORAM_OUTCOME_UNKNOWN,
                      MARJORAM_REASON_CLAIM_BUSY);
    }
  test_answer (hosts, last_run (), "once");
  expect_done (call, "once");
  test_deliver (hosts);
  for (int i = 0; i < 2; i++)
    {
      uint64_t again = ask (to[i], "free", key, false);

      test_pass (hosts, 1000);
      expect_done (again, "once");
    }
  ck_assert_int_eq (test_runs (hosts), 1);
}
END_TEST

/* A neighbour has just restarted and still asks its peers for what it knew,
   when a new key needs its vote.  The key must not be called expired for that.
 */
START_TEST (recovering_neighbour_calls_no_key_expired)
{
  char key[MARJORAM_KEY_MAX];
  uint64_t call;

  upstream (0, "u", 9000);
  test_cut (hosts, 0, 2, true);
  test_cut (hosts, 1, 2, true);
  new_key (key, 0, 9);
  test_restart (hosts, 1);
  call = ask (0, "free", key, false);
  test_pass (hosts, 3000);
  ck_assert_int_ne (test_reply (hosts, call)->reason,
                    MARJORAM_REASON_KEY_EXPIRED);
}
END_TEST

/* Two callers send the same key and the same body.  Each is answered for its
   own request; the second must not get the first one's kept answer.  */
START_TEST (keys_of_two_callers_are_two)
{
  char key[MARJORAM_KEY_MAX];
  uint64_t call;

  upstream (0, "u", 9000);
  new_key (key, 0, 10);
  call = ask (0, "free", key, false);
  test_answer (hosts, last_run (), "free's");
  expect_done (call, "free's");
  test_deliver (hosts);
  call = ask (1, "bound", key, false);
  ck_assert_int_eq (test_runs (hosts), 2);
  test_answer (hosts, last_run (), "bound's");
  expect_done (call, "bound's");
}
END_TEST

/* The first host dies after the answer; the caller, who has not got it, asks
   another host of the zone by the key.  */
START_TEST (answer_survives_its_host)
{
  char key[MARJORAM_KEY_MAX];
  uint64_t call;

  upstream (0, "u", 9000);
  new_key (key, 0, 4);
  ask (0, "free", key, false);
  test_answer (hosts, last_run (), "kept");
  test_deliver (hosts);
  test_restart (hosts, 0);
  call = ask (2, "free", key, false);
  test_pass (hosts, 2000);
  expect_done (call, "kept");
  ck_assert_int_eq (test_runs (hosts), 1);
}
END_TEST

/* The link breaks while a non-idempotent request runs in the other zone.  Over
   the new link the request is asked for by its number; it goes on and runs
   once.  */
START_TEST (request_survives_a_broken_link)
{
  char key[MARJORAM_KEY_MAX];
  uint64_t call;

  upstream (0, "u", 9000);
  new_key (key, 0, 5);
  call = ask (4, "free", key, false);
  ck_assert_int_eq (test_runs (hosts), 1);
  for (int i = 0; i < 3; i++)
    test_cut (hosts, 4, i, true);
  test_answer (hosts, last_run (), "over the new link");
  test_pass (hosts, 500);
  ck_assert (!test_reply (hosts, call)->ended);
  for (int i = 0; i < 3; i++)
    test_cut (hosts, 4, i, false);
  test_pass (hosts, 500);
  expect_done (call, "over the new link");
  ck_assert_int_eq (test_runs (hosts), 1);
}
END_TEST

/* The forwarded request is lost with its link.  The receiver, asked over a new
   link, says that it never started and bars it: that is proof, so that even
   non-idempotent work may be sent again, and it runs once.  */
START_TEST (lost_forward_is_proved_not_run)
{
  char key[MARJORAM_KEY_MAX];
  uint64_t call;

  upstream (0, "u", 9000);
  new_key (key, 0, 6);
  call = test_send (hosts, 4, "free", "body", key, false, DEADLINE_MS);
  for (int i = 0; i < 3; i++)
    test_cut (hosts, 4, i, true);
  test_deliver (hosts);
  ck_assert_int_eq (test_runs (hosts), 0);
  for (int i = 0; i < 3; i++)
    test_cut (hosts, 4, i, false);
  test_pass (hosts, 1000);
  ck_assert_int_eq (test_runs (hosts), 1);
  test_answer (hosts, last_run (), "once");
  test_deliver (hosts);
  expect_done (call, "once");
}
END_TEST

/* The zone that guards a key has no upstream and refuses a non-idempotent
   request that came from another zone.  That zone has one, but no claim:
   running it there would let a resend, claimed properly, run it again.  */
START_TEST (refused_claim_is_not_run_elsewhere)
{
  char key[MARJORAM_KEY_MAX];
  uint64_t call;

  upstream (3, "u", 9000);
  new_key (key, 0, 8);
  call = ask (4, "free", key, false);
  test_pass (hosts, 1000);
  /* Only the guarding zone's own hosts may have started it.  */
  for (int i = 0; i < test_runs (hosts); i++)
    ck_assert_int_eq (strncmp (test_run (hosts, i)->id, "a-", 2), 0);
  ck_assert (test_reply (hosts, call)->refused);
}
END_TEST

/* The other zone's host ran a request, and restarted before it answered. Asked
   over the new link it remembers nothing; its "never started" would be told to
   the caller as not-run, falsely.  */
START_TEST (restarted_host_proves_nothing)
{
  uint64_t call;

  upstream (3, "u", 9000);
  call = ask (0, "free", NULL, false);
  ck_assert_int_eq (test_runs (hosts), 1);
  test_restart (hosts, last_run ()->host);
  test_pass (hosts, 5000);
  ck_assert (test_reply (hosts, call)->refused);
  ck_assert_int_eq (test_reply (hosts, call)->outcome,
                    MARJORAM_OUTCOME_UNKNOWN);
}
END_TEST

/* A FORWARD arrives after its sender asked about it and was told "never
   started".  It must not start then.  */
START_TEST (barred_forward_does_not_start_late)
{
  struct marjoram_forward forward = forged_forward (500);
  struct marjoram_revoke revoke = { 500, 0 };

  upstream (3, "u", 9000);
  forward.caller = (char *)"free";
  test_forge (hosts, 3, "a-1", 2, MARJORAM_FRAME_REVOKE, &revoke);
  test_forge (hosts, 3, "a-1", 2, MARJORAM_FRAME_FORWARD, &forward);
  ck_assert_int_eq (test_runs (hosts), 0);
}
END_TEST

/* The deadline passes while a non-idempotent request runs: the caller is told
   unknown at once, the request is not cut, and a resend gets its answer.  */
START_TEST (deadline_leaves_non_idempotent_work_running)
{
  char key[MARJORAM_KEY_MAX];
  uint64_t call;

  upstream (0, "u", 9000);
  new_key (key, 0, 7);
  call = test_send (hosts, 0, "free", "body", key, false, 1000);
  test_pass (hosts, 1200);
  expect_refusal (call, MARJORAM_OUTCOME_UNKNOWN, MARJORAM_REASON_DEADLINE);
  ck_assert (last_run ()->open);
  test_answer (hosts, last_run (), "late");
  test_deliver (hosts);
  call = ask (1, "free", key, false);
  test_pass (hosts, 500);
  expect_done (call, "late");
}
END_TEST

/* A connection to an upstream goes silent for good.  After two seconds the
   request is asked for by its id on a new one; it is not sent again.  */
START_TEST (silent_connection_is_resumed_by_id)
{
  uint64_t call;

  upstream (0, "u", 9000);
  upstream (0, "v", 9001);
  call = ask (0, "free", NULL, false);
  test_pass (hosts, 2200);
  ck_assert_int_eq (test_runs (hosts), 1);
  ck_assert_int_eq (last_run ()->resumes, 1);
  test_answer (hosts, last_run (), "by id");
  expect_done (call, "by id");
}
END_TEST

static bool
is_alive (int64_t now, const char *slot)
{
  struct marjoram_host_view view;

  marjoram_host_view (test_host (hosts, 0), now, slot, &view);
  return view.alive;
}

/* Two hosts are linked by a full path: a frame comes for some seconds, and
   echoes of heartbeats wait behind it.  The link was taken for silent and
   closed, with the requests that went over it.  Once nothing comes any more,
   it is silent indeed.  */
START_TEST (link_on_which_parts_come_is_not_silent)
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

/* The request is sent to an upstream, and a newer configuration takes region
   rb from its caller.  When the attempt in rb fails, the retry keeps to the
   newer rule.  */
START_TEST (newer_residency_rule_binds_at_the_next_step)
{
  static const char callers[]
      = "[caller free]\ntoken = free-0123456789abcdef\nhome = ra\n"
        "regions = ra\nrate = 100\n";
  uint64_t call;

  upstream (3, "u", 9000);
  upstream (3, "v", 9001);
  call = ask (0, "free", NULL, false);
  ck_assert_int_eq (test_runs (hosts), 1);
  test_configure (hosts, 2, callers);
  test_fail (hosts, last_run (), MARJORAM_RUN_REFUSED);
  test_deliver (hosts);
  ck_assert_int_eq (test_runs (hosts), 1);
  ck_assert (test_reply (hosts, call)->refused);
}
END_TEST

/* A newer configuration has no zone b any more, while a request is on its way
   there.  The answer that comes before the link is closed is passed on;
   another request ends in a stated outcome, and no host stumbles over the old
   index.  */
START_TEST (zone_removed_under_a_request)
{
  uint64_t first;
  uint64_t second;

  upstream (3, "u", 9000);
  first = ask (0, "free", NULL, false);
  second = ask (0, "free", NULL, false);
  test_answer (hosts, test_run (hosts, 0), "in time");
  test_remove_zone (hosts, 2);
  test_pass (hosts, DEADLINE_MS + 2000);
  ck_assert (test_reply (hosts, first)->ended
             || test_reply (hosts, first)->refused);
  ck_assert (test_reply (hosts, second)->refused);
  ck_assert_int_eq (test_reply (hosts, second)->outcome,
                    MARJORAM_OUTCOME_UNKNOWN);
}
END_TEST

/* A host with the owner's secret but of a broken build sends frames whose
   fields are all empty, and arrays of empty items.  The receiver must live on.
 */
START_TEST (empty_frames_do_no_harm)
{
  static const char *const slots[] = { "a-2", "b-1", "nobody" };
  enum marjoram_frame_type type = (enum marjoram_frame_type)_i;
  const struct marjoram_layout *layout = marjoram_frame_layout (type);
  char *message = calloc (1, layout->size);
  uint64_t call;

  upstream (1, "u", 9000);
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
  test_pass (hosts, 2000);
  call = ask (0, "free", NULL, false);
  test_answer (hosts, last_run (), "alive");
  expect_done (call, "alive");
}
END_TEST

/* A host that has no configuration yet can't know where requests may go: it
   serves nobody.  */
START_TEST (host_without_configuration_serves_nobody)
{
  uint64_t call;

  teardown ();
  hosts = test_hosts_create (3, 1);
  test_pass (hosts, 10000);
  call = ask (0, "free", NULL, false);
  expect_refusal (call, MARJORAM_OUTCOME_NOT_RUN, MARJORAM_REASON_NO_CONFIG);
}
END_TEST

/* A draining host takes nothing new and finishes what it has.  */
START_TEST (draining_host_finishes_its_requests)
{
  uint64_t first;
  uint64_t second;

  upstream (0, "u", 9000);
  first = ask (0, "free", NULL, false);
  marjoram_host_drain (test_host (hosts, 0), test_now (hosts));
  second = ask (0, "free", NULL, false);
  expect_refusal (second, MARJORAM_OUTCOME_NOT_RUN, MARJORAM_REASON_DRAINING);
  test_answer (hosts, last_run (), "finished");
  expect_done (first, "finished");
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
  tcase_add_test (c, answers_from_another_zone);
  tcase_add_test (c, residency_holds_when_only_the_forbidden_region_has_room);
  tcase_add_test (c, residency_is_checked_at_receipt);
  tcase_add_test (c, forwarded_request_never_goes_on);
  tcase_add_test (c, renewals_keep_an_upstream_at_all_hosts);
  tcase_add_test (c, work_without_a_home_may_wait_elsewhere);
  tcase_add_test (c, receiver_does_not_retry);
  tcase_add_test (c, answer_with_a_missing_piece_is_not_whole);
  tcase_add_test (c, region_cut_off_serves_its_own_callers);
  tcase_add_test (c, broken_answer_is_retried_unseen);
  tcase_add_test (c, suspects_take_turns);
  tcase_add_test (c, suspects_of_two_hosts_do_not_meet);
  tcase_add_test (c, broken_stream_is_cut);
  tcase_add_test (c, late_answer_of_an_earlier_attempt_is_dropped);
  tcase_add_test (c, non_idempotent_request_is_not_retried);
  tcase_add_test (c, resent_request_runs_once);
  tcase_add_test (c, recovering_neighbour_calls_no_key_expired);
  tcase_add_test (c, keys_of_two_callers_are_two);
  tcase_add_test (c, answer_survives_its_host);
  tcase_add_test (c, request_survives_a_broken_link);
  tcase_add_test (c, lost_forward_is_proved_not_run);
  tcase_add_test (c, refused_claim_is_not_run_elsewhere);
  tcase_add_test (c, restarted_host_proves_nothing);
  tcase_add_test (c, barred_forward_does_not_start_late);
  tcase_add_test (c, deadline_leaves_non_idempotent_work_running);
  tcase_add_test (c, silent_connection_is_resumed_by_id);
  tcase_add_test (c, link_on_which_parts_come_is_not_silent);
  tcase_add_test (c, newer_residency_rule_binds_at_the_next_step);
  tcase_add_loop_test (c, empty_frames_do_no_harm, 0, MARJORAM_FRAME_COUNT);
  tcase_add_test (c, zone_removed_under_a_request);
  tcase_add_test (c, host_without_configuration_serves_nobody);
  tcase_add_test (c, draining_host_finishes_its_requests);
  suite_add_tcase (s, c);
  return s;
}
