/* Tests the retry delay of rejected requests.  */
#include "suite.h"

#include "shortage.h"

static marjoram_shortages *shortages;

static void
setup (void)
{
  shortages = marjoram_shortages_create ();
}

static void
teardown (void)
{
  marjoram_shortages_destroy (shortages);
}

/* Guards against callers that use up their retries within one long shortage.
 */
START_TEST (retry_delay_grows_with_shortage)
{
  ck_assert_int_eq (marjoram_shortages_retry_ms (shortages, 0, "lm", 250),
                    250);
  for (int64_t now = 0; now < 3000; now += 100)
    marjoram_shortages_retry_ms (shortages, now, "lm", 250);
  ck_assert_int_eq (marjoram_shortages_retry_ms (shortages, 3000, "lm", 250),
                    3000);
  for (int64_t now = 3000; now < 9000; now += 100)
    marjoram_shortages_retry_ms (shortages, now, "lm", 250);
  ck_assert_int_eq (marjoram_shortages_retry_ms (shortages, 9000, "lm", 250),
                    4000);
}
END_TEST

START_TEST (shortage_ends_without_refusals)
{
  for (int64_t now = 0; now < 3000; now += 100)
    marjoram_shortages_retry_ms (shortages, now, "lm", 250);
  ck_assert_int_eq (marjoram_shortages_retry_ms (shortages, 4000, "lm", 250),
                    250);
  ck_assert_int_eq (marjoram_shortages_retry_ms (shortages, 4000, "app", 90),
                    90);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("shortage");
  TCase *c = tcase_create ("shortage");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, retry_delay_grows_with_shortage);
  tcase_add_test (c, shortage_ends_without_refusals);
  suite_add_tcase (s, c);
  return s;
}
