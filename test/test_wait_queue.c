/* Tests of the queue of requests that wait for a place.  */
#include "suite.h"

#include "wait_queue.h"

#include <stdlib.h>

static marjoram_wait_queue *queue;

static void
setup (void)
{
  queue = marjoram_wait_queue_create ();
}

static void
teardown (void)
{
  marjoram_wait_queue_destroy (queue);
}

static struct marjoram_waiter
waiter (const char *service, int priority, int64_t start_by, int64_t tokens)
{
  struct marjoram_waiter made = { 0 };

  made.service = service;
  made.start_by = start_by;
  made.sort_key = marjoram_wait_queue_sort_key (priority, start_by);
  made.tokens = tokens;
  return made;
}

START_TEST (urgent_goes_first_then_less_time_left)
{
  struct marjoram_waiter late = waiter ("lm", 0, 1200, 1);
  struct marjoram_waiter low = waiter ("lm", 1, 1100, 1);
  struct marjoram_waiter early = waiter ("lm", 0, 1000, 1);

  marjoram_wait_queue_add (queue, &low);
  marjoram_wait_queue_add (queue, &late);
  marjoram_wait_queue_add (queue, &early);
  ck_assert_ptr_eq (marjoram_wait_queue_first (queue), &early);
  ck_assert_ptr_eq (marjoram_wait_queue_next (&early), &late);
  ck_assert_ptr_eq (marjoram_wait_queue_next (&late), &low);
  ck_assert_ptr_null (marjoram_wait_queue_next (&low));
}
END_TEST

/* Guards against starvation of low-priority requests by a steady flow of
   urgent ones.  */
START_TEST (low_priority_does_not_starve)
{
  struct marjoram_waiter low = waiter ("lm", 1, 1000, 1);
  struct marjoram_waiter newcomer = waiter ("lm", 0, 2100, 1);

  marjoram_wait_queue_add (queue, &newcomer);
  marjoram_wait_queue_add (queue, &low);
  ck_assert_ptr_eq (marjoram_wait_queue_first (queue), &low);
}
END_TEST

START_TEST (tokens_before_counts_one_service)
{
  struct marjoram_waiter first = waiter ("lm", 0, 1000, 300);
  struct marjoram_waiter other = waiter ("app", 0, 1000, 50);
  struct marjoram_waiter last = waiter ("lm", 0, 2000, 500);

  marjoram_wait_queue_add (queue, &first);
  marjoram_wait_queue_add (queue, &other);
  marjoram_wait_queue_add (queue, &last);
  ck_assert_int_eq (marjoram_wait_queue_tokens_before (queue, "lm", 1500),
                    300);
  ck_assert_int_eq (marjoram_wait_queue_tokens_before (queue, "lm", 2500),
                    800);
  marjoram_wait_queue_remove (queue, &first);
  marjoram_wait_queue_remove (queue, &first);
  ck_assert_int_eq (marjoram_wait_queue_tokens_before (queue, "lm", 1500), 0);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("wait_queue");
  TCase *c = tcase_create ("wait_queue");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, urgent_goes_first_then_less_time_left);
  tcase_add_test (c, low_priority_does_not_starve);
  tcase_add_test (c, tokens_before_counts_one_service);
  suite_add_tcase (s, c);
  return s;
}
