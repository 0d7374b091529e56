/* Tests of the record of which attempts of a request may have run.  */
#include "suite.h"

#include "run_proof.h"

static struct marjoram_run_record record;

static void
setup (void)
{
  record = (struct marjoram_run_record){ 0 };
}

START_TEST (request_that_was_not_sent_did_not_run)
{
  ck_assert (!marjoram_run_record_may_have_run (&record));
  ck_assert_int_eq (marjoram_run_record_outcome (&record),
                    MARJORAM_OUTCOME_NOT_RUN);
}
END_TEST

START_TEST (sent_attempt_may_have_run_until_it_is_proved)
{
  static const enum marjoram_run_proof proofs[]
      = { MARJORAM_PROOF_UNSENT, MARJORAM_PROOF_UPSTREAM,
          MARJORAM_PROOF_HOST };

  marjoram_run_record_sent (&record, 1);
  ck_assert_int_eq (marjoram_run_record_outcome (&record),
                    MARJORAM_OUTCOME_UNKNOWN);
  ck_assert (marjoram_run_record_prove (&record, 1, proofs[_i]));
  ck_assert_int_eq (record.proof, proofs[_i]);
  ck_assert (!marjoram_run_record_may_have_run (&record));
}
END_TEST

/* Guards against two proofs for one attempt that cover another one.  */
START_TEST (proof_counts_once)
{
  marjoram_run_record_sent (&record, 1);
  marjoram_run_record_sent (&record, 2);
  ck_assert (marjoram_run_record_prove (&record, 2, MARJORAM_PROOF_UPSTREAM));
  ck_assert (!marjoram_run_record_prove (&record, 2, MARJORAM_PROOF_HOST));
  ck_assert (marjoram_run_record_may_have_run (&record));
}
END_TEST

/* Guards against a proof that comes late for an earlier attempt.  */
START_TEST (proof_of_another_attempt_is_ignored)
{
  marjoram_run_record_sent (&record, 1);
  marjoram_run_record_sent (&record, 2);
  ck_assert (!marjoram_run_record_prove (&record, 1, MARJORAM_PROOF_UPSTREAM));
  ck_assert (!marjoram_run_record_prove (&record, 0, MARJORAM_PROOF_UPSTREAM));
  ck_assert (!marjoram_run_record_prove (&record, 2, MARJORAM_PROOF_NONE));
  ck_assert_int_eq (record.unproven, 2);
}
END_TEST

Suite *
suite (void)
{
  Suite *all = suite_create ("run_proof");
  TCase *tests = tcase_create ("run_proof");

  tcase_add_checked_fixture (tests, setup, NULL);
  tcase_add_test (tests, request_that_was_not_sent_did_not_run);
  tcase_add_loop_test (tests, sent_attempt_may_have_run_until_it_is_proved, 0,
                       3);
  tcase_add_test (tests, proof_counts_once);
  tcase_add_test (tests, proof_of_another_attempt_is_ignored);
  suite_add_tcase (all, tests);
  return all;
}
