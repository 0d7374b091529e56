#include "carried_ids.h"
#include "suite.h"

#include <stdio.h>

enum
{
  ID_MAX = 32
};

static marjoram_carried_ids *ids;

static void
setup (void)
{
  ids = marjoram_carried_ids_create ();
}

static void
teardown (void)
{
  marjoram_carried_ids_destroy (ids);
}

static const char *
name (int number)
{
  static char id[ID_MAX];

  snprintf (id, sizeof id, "id-%d", number);
  return id;
}

START_TEST (only_added_ids_are_contained)
{
  ck_assert (!marjoram_carried_ids_contains (ids, "a"));
  marjoram_carried_ids_add (ids, "a");
  ck_assert (marjoram_carried_ids_contains (ids, "a"));
  ck_assert (!marjoram_carried_ids_contains (ids, "A"));
  ck_assert (!marjoram_carried_ids_contains (ids, ""));
}
END_TEST

/* Guards against ids being forgotten as more are added.  */
START_TEST (all_ids_are_contained_up_to_the_limit)
{
  for (int i = 0; i < MARJORAM_CARRIED_IDS_MAX; i++)
    {
      ck_assert (!marjoram_carried_ids_is_full (ids));
      ck_assert (!marjoram_carried_ids_contains (ids, name (i)));
      marjoram_carried_ids_add (ids, name (i));
    }
  ck_assert (marjoram_carried_ids_is_full (ids));
  marjoram_carried_ids_add (ids, "one more");
  ck_assert (!marjoram_carried_ids_contains (ids, "one more"));
  for (int i = 0; i < MARJORAM_CARRIED_IDS_MAX; i++)
    ck_assert (marjoram_carried_ids_contains (ids, name (i)));
}
END_TEST

Suite *
suite (void)
{
  Suite *all = suite_create ("carried_ids");
  TCase *tests = tcase_create ("carried_ids");

  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, only_added_ids_are_contained);
  tcase_add_test (tests, all_ids_are_contained_up_to_the_limit);
  suite_add_tcase (all, tests);
  return all;
}
