/* Steps of a keeper's store from its start to its membership.  */
#include "suite.h"

#include "store_progress.h"

/* Guards against a step that is reported twice, or as late as a later one.  */
START_TEST (each_step_is_reported_once_with_its_time)
{
  marjoram_store_progress *progress = marjoram_store_progress_create (1000);

  ck_assert (
      marjoram_store_progress_update (progress, 1200, MARJORAM_STORE_REACHED));
  ck_assert (!marjoram_store_progress_update (progress, 1300,
                                              MARJORAM_STORE_REACHED));
  ck_assert (
      marjoram_store_progress_update (progress, 1700, MARJORAM_STORE_LEARNT));
  ck_assert_int_eq (
      marjoram_store_progress_ms (progress, MARJORAM_STORE_REACHED), 200);
  ck_assert_int_eq (
      marjoram_store_progress_ms (progress, MARJORAM_STORE_LEARNT), 700);
  ck_assert_int_eq (
      marjoram_store_progress_ms (progress, MARJORAM_STORE_MEMBER), -1);
  marjoram_store_progress_destroy (progress);
}
END_TEST

/* Guards against a skipped step without a time.  */
START_TEST (skipped_step_has_the_time_of_the_next)
{
  marjoram_store_progress *progress = marjoram_store_progress_create (1000);

  ck_assert (
      marjoram_store_progress_update (progress, 1900, MARJORAM_STORE_MEMBER));
  ck_assert_int_eq (
      marjoram_store_progress_ms (progress, MARJORAM_STORE_ASKED), 900);
  ck_assert (
      !marjoram_store_progress_update (progress, 2000, MARJORAM_STORE_ASKED));
  marjoram_store_progress_destroy (progress);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("store_progress");
  TCase *c = tcase_create ("store_progress");

  tcase_add_test (c, each_step_is_reported_once_with_its_time);
  tcase_add_test (c, skipped_step_has_the_time_of_the_next);
  suite_add_tcase (s, c);
  return s;
}
