/* Response times of a load of long prompts on simulated engines.  */
#include "suite.h"

#include "lib_load.h"

#include <inttypes.h>

/* Four engines and four hosts under heavy load: three quarters of the prefill
   capacity without caching.  */
static const struct load_terms heavy = {
  .seed = 1,
  .engines = 4,
  .hosts = 4,
  .reviews_per_s = 20,
  .chats_per_s = 30,
  .sessions = 83,
  .span_ms = 60000,
};

static struct load_result
run_policy (enum load_policy policy)
{
  struct load_terms terms = heavy;
  struct load_result result;

  terms.policy = policy;
  load_run (&terms, &result);
  return result;
}

static void
check_more (const struct load_result *more, const struct load_result *less,
            double factor)
{
  ck_assert_int_eq (more->asked, less->asked);
  ck_assert_msg ((double)more->in_time >= factor * (double)less->in_time,
                 "%" PRId64 " of %" PRId64 " in time, compared with %" PRId64,
                 more->in_time, more->asked, less->in_time);
}

/* Guards against placement that serves fewer requests in time than round robin
   or least-in-flight.  */
START_TEST (placed_requests_are_served_in_time)
{
  struct load_result placed = run_policy (LOAD_PLACED);
  struct load_result turn = run_policy (LOAD_ROUND_ROBIN);
  struct load_result fewest = run_policy (LOAD_LEAST_IN_FLIGHT);

  check_more (&placed, &turn, 1.5);
  check_more (&placed, &fewest, 1.3);
  ck_assert_int_lt (placed.late * 100, placed.asked);
  ck_assert_int_gt (placed.in_time * 100, placed.asked * 86);
}
END_TEST

/* Guards against copies that do not reduce repeated prefill and rejected
   requests.  */
START_TEST (copies_serve_more_callers)
{
  struct load_result copying = run_policy (LOAD_PLACED_COPYING);
  struct load_result placed = run_policy (LOAD_PLACED);

  check_more (&copying, &placed, 1.03);
  ck_assert_int_lt (copying.refused * 2, placed.refused);
  ck_assert_msg (copying.prefilled_again * 4 < placed.prefilled_again * 3,
                 "%" PRId64 " tokens read again, compared with %" PRId64,
                 copying.prefilled_again, placed.prefilled_again);
}
END_TEST

Suite *
suite (void)
{
  Suite *all = suite_create ("placement_load");
  TCase *tests = tcase_create ("placement_load");

  tcase_set_timeout (tests, 60);
  tcase_add_test (tests, placed_requests_are_served_in_time);
  tcase_add_test (tests, copies_serve_more_callers);
  suite_add_tcase (all, tests);
  return all;
}
