/* Tests of Retry-After in responses.  */
#include "suite.h"

#include "retry_after.h"

START_TEST (seconds_and_fractions_are_parsed)
{
  static const struct
  {
    const char *text;
    int64_t ms;
  } cases[] = {
    { "0", 0 },         { "3", 3000 },     { "1.5", 1500 },
    { " 2\t", 2000 },   { "0.25", 250 },   { "0.0004", 1 },
    { "1.0010", 1001 }, { "2.", 2000 },    { "007", 7000 },
    { "0.9999", 1000 }, { "1.000", 1000 }, { "0.000000000000000000001", 1 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      int64_t ms = -1;

      ck_assert_msg (marjoram_retry_after_parse (cases[i].text, &ms), "%s",
                     cases[i].text);
      ck_assert_int_eq (ms, cases[i].ms);
    }
}
END_TEST

/* Guards against a mistake of an upstream that takes it out for good.  */
START_TEST (huge_values_are_limited)
{
  static const char *const texts[]
      = { "3600",
          "3600.5",
          "3601",
          "100000000000000000000",
          "9223372036854775807",
          "18446744073709551617.99999999999999999999" };

  for (size_t i = 0; i < sizeof texts / sizeof *texts; i++)
    {
      int64_t ms = -1;

      ck_assert (marjoram_retry_after_parse (texts[i], &ms));
      ck_assert_int_eq (ms, MARJORAM_RETRY_AFTER_MAX_MS);
    }
}
END_TEST

START_TEST (other_values_are_refused)
{
  static const char *const texts[] = {
    NULL,  "",    " ",     "soon", "-5",  "+5",
    "nan", "inf", "1e400", "0x10", "3 4", "3s",
    ".",   ".5",  "1,5",   "1.5.", "3;q", "Fri, 31 Dec 1999 23:59:59 GMT"
  };

  for (size_t i = 0; i < sizeof texts / sizeof *texts; i++)
    {
      int64_t ms = -7;

      ck_assert_msg (!marjoram_retry_after_parse (texts[i], &ms), "%s",
                     texts[i]);
      ck_assert_int_eq (ms, -7);
    }
}
END_TEST

Suite *
suite (void)
{
  Suite *all = suite_create ("retry_after");
  TCase *parse = tcase_create ("parse");

  tcase_add_test (parse, seconds_and_fractions_are_parsed);
  tcase_add_test (parse, huge_values_are_limited);
  tcase_add_test (parse, other_values_are_refused);
  suite_add_tcase (all, parse);
  return all;
}
