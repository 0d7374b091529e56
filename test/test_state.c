/* The replicated state: copies, lookups and the limit of change results.  */
#include "suite.h"

#include "cleanup.h"
#include "state.h"

#include <stdio.h>
#include <string.h>

START_TEST (digest_is_sha256_in_hex)
{
  marjoram_auto_free char *empty = marjoram_digest (NULL, 0);
  marjoram_auto_free char *abc = marjoram_digest ("abc", 3);

  ck_assert_str_eq (empty, "e3b0c44298fc1c149afbf4c8996fb924"
                           "27ae41e4649b934ca495991b7852b855");
  ck_assert_str_eq (abc, "ba7816bf8f01cfea414140de5dae2223"
                         "b00361a396177a9cb410ff61f20015ad");
}
END_TEST

START_TEST (copy_shares_nothing_and_packs_alike)
{
  struct marjoram_file file = { (char *)"a.ini", 3, (char *)"d", (char *)"t" };
  struct marjoram_change change
      = { (char *)"id", (char *)"a.ini", 0, 1, 3, (char *)"d" };
  struct marjoram_state *state = marjoram_state_copy (NULL);
  struct marjoram_state *copy;
  marjoram_bytes *packed, *repacked;

  marjoram_state_set_file (state, &file);
  marjoram_state_add_change (state, &change);
  marjoram_voters_add (&state->members, "k1", "s1");
  state->number = 1;
  copy = marjoram_state_copy (state);
  packed = marjoram_wire_pack (&marjoram_state_layout, state);
  marjoram_state_destroy (state);
  repacked = marjoram_wire_pack (&marjoram_state_layout, copy);
  ck_assert_uint_eq (marjoram_bytes_size (packed),
                     marjoram_bytes_size (repacked));
  ck_assert (memcmp (marjoram_bytes_data (packed),
                     marjoram_bytes_data (repacked),
                     marjoram_bytes_size (packed))
             == 0);
  file.version = 4;
  marjoram_state_set_file (copy, &file);
  ck_assert_uint_eq (copy->files.count, 1);
  ck_assert_uint_eq (marjoram_state_file (copy, "a.ini")->version, 4);
  ck_assert_ptr_null (marjoram_state_file (copy, "b.ini"));
  ck_assert (marjoram_voters_contain (&copy->members, "k1", "s1"));
  ck_assert (!marjoram_voters_contain (&copy->members, "k1", "s2"));
  marjoram_bytes_release (packed);
  marjoram_bytes_release (repacked);
  marjoram_state_destroy (copy);
}
END_TEST

/* Guards against a state that grows with each change: only the results of the
   last MARJORAM_CHANGES_KEPT are kept.  */
START_TEST (keeps_a_bounded_number_of_changes)
{
  struct marjoram_state *state = marjoram_state_copy (NULL);
  char id[32];

  for (int i = 0; i < MARJORAM_CHANGES_KEPT + 3; i++)
    {
      struct marjoram_change change = { .id = id, .number = i };

      snprintf (id, sizeof id, "change-%d", i);
      marjoram_state_add_change (state, &change);
    }
  ck_assert_uint_eq (state->changes.count, MARJORAM_CHANGES_KEPT);
  ck_assert_ptr_null (marjoram_state_change (state, "change-2"));
  ck_assert_uint_eq (marjoram_state_change (state, "change-3")->number, 3);
  marjoram_state_destroy (state);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("state");
  TCase *c = tcase_create ("state");

  tcase_add_test (c, digest_is_sha256_in_hex);
  tcase_add_test (c, copy_shares_nothing_and_packs_alike);
  tcase_add_test (c, keeps_a_bounded_number_of_changes);
  suite_add_tcase (s, c);
  return s;
}
