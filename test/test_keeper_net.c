/* What agreement costs between regions: bytes, copies, and time on slow
   connections.  */
#include "suite.h"

#include "cleanup.h"
#include "lib_keeper_net.h"

#include <stdio.h>
#include <string.h>

enum
{
  ROUTES = 4200,
  MANY_ROUTES = 20000,
  KEEPERS = 6,
  BYTES_PER_S = 600 * 1000,
  SLOW_BYTES_PER_S = 40 * 1000,
  SLOWER_BYTES_PER_S = 4 * 1000,
  CHANGE_BYTES = 64 * 1024, /* of one route changed, at most */
  FORM_MS = 20000,
  WANTED_MS = 4000, /* from a change's sending to its answer */
  LONG_MS = 30000
};

static const struct keeper_net_options between_regions
    = { KEEPERS, 55, BYTES_PER_S };
static const struct keeper_net_options slower = { 3, 55, SLOWER_BYTES_PER_S };
static const struct keeper_net_options very_slow = { 3, 55, SLOW_BYTES_PER_S };

/* Keepers that have formed a first state.  */
static struct keeper_net *
formed (const struct keeper_net_options *options)
{
  struct keeper_net *net = keeper_net_create (options);

  ck_assert (keeper_net_agree (net, FORM_MS));
  return net;
}

static int64_t
change (struct keeper_net *net, int at, int routes, int changed)
{
  marjoram_auto_free char *text = keeper_net_routes (routes, changed);

  return keeper_net_change (net, at, text, LONG_MS);
}

static void
expect_routes (const struct keeper_net *net, int index, int routes,
               int changed)
{
  marjoram_auto_free char *text = keeper_net_routes (routes, changed);
  const struct marjoram_file *file
      = marjoram_state_file (keeper_net_state (net, index), "routes");

  ck_assert_ptr_nonnull (file);
  ck_assert_msg (strcmp (file->text, text) == 0,
                 "keeper %d holds another configuration", index);
}

/* Changes of one route among thousands were answered late: each message that
   carries the value carried all routes, some fifteen times for one change,
   over connections of some 0.6 MB a second between regions.  What the other
   end holds already must not go there again.  */
START_TEST (bytes_of_a_change_among_4200_routes)
{
  struct keeper_net *net = formed (&between_regions);
  int64_t took;

  ck_assert_int_ge (change (net, 0, ROUTES, -1), 0);
  ck_assert (keeper_net_agree (net, LONG_MS));
  keeper_net_run (net, LONG_MS);
  keeper_net_forget (net);
  took = change (net, 2, ROUTES, 7);
  ck_assert (keeper_net_agree (net, LONG_MS));
  printf ("one route of %d: %llu bytes, answered after %lld ms\n", ROUTES,
          (unsigned long long)keeper_net_bytes (net), (long long)took);
  ck_assert_int_ge (took, 0);
  ck_assert_int_lt (took, WANTED_MS / 4);
  ck_assert_uint_lt (keeper_net_bytes (net), CHANGE_BYTES);
  for (int i = 0; i < KEEPERS; i++)
    expect_routes (net, i, ROUTES, 7);
  keeper_net_destroy (net);
}
END_TEST

/* Operators' changes came to one keeper after the other, each as soon as the
   one before was answered.  A proposer knew only by the last greetings what
   the keepers outside its quorum held, a value that it held no more itself,
   and sent them all routes.  */
START_TEST (proposers_in_turn_send_what_changed)
{
  struct keeper_net *net = formed (&between_regions);

  ck_assert_int_ge (change (net, 0, ROUTES, -1), 0);
  ck_assert (keeper_net_agree (net, LONG_MS));
  keeper_net_run (net, LONG_MS);
  keeper_net_forget (net);
  for (int i = 0; i < KEEPERS; i++)
    ck_assert_int_ge (change (net, i, ROUTES, i), 0);
  ck_assert (keeper_net_agree (net, LONG_MS));
  printf ("%d changes at keepers in turn: %llu bytes\n", KEEPERS,
          (unsigned long long)keeper_net_bytes (net));
  ck_assert_uint_lt (keeper_net_bytes (net), CHANGE_BYTES);
  keeper_net_destroy (net);
}
END_TEST

/* A configuration grew three times by 1,400 routes; operators waited up to
   seven seconds for the second growth, and the third was never acknowledged:
   whole values, sent again every half second, filled the connections.  */
START_TEST (growth_is_answered_in_time)
{
  struct keeper_net *net = formed (&between_regions);

  for (int routes = 1400; routes <= 5600; routes += 1400)
    {
      int64_t took = change (net, routes / 1400 % KEEPERS, routes, -1);

      printf ("grown to %d routes: answered after %lld ms\n", routes,
              (long long)took);
      ck_assert_int_ge (took, 0);
      ck_assert_int_lt (took, WANTED_MS);
      took = change (net, 0, routes, 3);
      ck_assert_int_ge (took, 0);
      ck_assert_int_lt (took, WANTED_MS);
    }
  ck_assert (keeper_net_agree (net, LONG_MS));
  keeper_net_destroy (net);
}
END_TEST

/* A connection slower than the repetition got a further copy of the value
   every half second behind the one that was still on its way, so that it
   never came to an end with them and the keepers' memory grew.  One copy is
   on its way at a time.  */
START_TEST (slow_connection_gets_one_copy)
{
  struct keeper_net *net = formed (&very_slow);
  int64_t took;

  keeper_net_forget (net);
  took = change (net, 0, 1400, -1);
  printf ("1400 routes over 40 kB a second: %d and %d copies, %llu bytes on "
          "their way at most, answered after %lld ms\n",
          keeper_net_large (net, 0, 1), keeper_net_large (net, 0, 2),
          (unsigned long long)keeper_net_most_waiting (net), (long long)took);
  ck_assert_int_ge (took, 0);
  ck_assert (keeper_net_agree (net, LONG_MS));
  /* No second copy comes behind either.  */
  keeper_net_run (net, LONG_MS);
  ck_assert_int_eq (keeper_net_large (net, 0, 1), 1);
  ck_assert_int_eq (keeper_net_large (net, 0, 2), 1);
  keeper_net_destroy (net);
}
END_TEST

/* Where a value takes longer than one attempt, each attempt began it anew and
   none came to an end.  The value that has come by the next one is not sent
   again.  */
START_TEST (value_slower_than_an_attempt_is_agreed_on)
{
  struct keeper_net *net = formed (&slower);

  keeper_net_forget (net);
  ck_assert_int_eq (change (net, 0, 1400, -1), -1);
  ck_assert (keeper_net_agree (net, LONG_MS));
  expect_routes (net, 1, 1400, -1);
  printf ("1400 routes over 4 kB a second: %d and %d copies\n",
          keeper_net_large (net, 0, 1), keeper_net_large (net, 0, 2));
  ck_assert_int_eq (keeper_net_large (net, 0, 1), 1);
  ck_assert_int_eq (keeper_net_large (net, 0, 2), 1);
  keeper_net_destroy (net);
}
END_TEST

/* A keeper's process stood still while its connections stayed open; all that
   was sent to it, a value every half second and one for each attempt, was
   kept for it in the others' memory.  */
START_TEST (stalled_keeper_is_kept_one_value)
{
  struct keeper_net *net = formed (&between_regions);
  uint64_t size;

  ck_assert_int_ge (change (net, 0, ROUTES, -1), 0);
  ck_assert (keeper_net_agree (net, LONG_MS));
  size = strlen (
      marjoram_state_file (keeper_net_state (net, 0), "routes")->text);
  keeper_net_stall (net, 5, true);
  keeper_net_forget (net);
  for (int i = 0; i < 5; i++)
    {
      ck_assert_int_ge (change (net, 0, ROUTES + 400 * (i + 1), i), 0);
      keeper_net_run (net, 10000);
    }
  printf ("%llu bytes of text; %llu wait for the stalled keeper\n",
          (unsigned long long)size,
          (unsigned long long)keeper_net_most_waiting (net));
  ck_assert_uint_lt (keeper_net_most_waiting (net), size);
  ck_assert_int_le (keeper_net_large (net, 0, 5), 1);
  keeper_net_stall (net, 5, false);
  ck_assert (keeper_net_agree (net, LONG_MS));
  expect_routes (net, 5, ROUTES + 2000, 4);
  keeper_net_destroy (net);
}
END_TEST

/* A connection broke with the only copy of the value on it.  It is sent again
   once the keeper there is heard over the next connection, soon enough for
   the change.  */
START_TEST (lost_copy_is_sent_again)
{
  struct keeper_net *net = formed (&very_slow);
  marjoram_auto_free char *text = keeper_net_routes (1400, -1);

  ck_assert_int_eq (keeper_net_change (net, 0, text, 400), -1);
  keeper_net_break (net, 1);
  keeper_net_break (net, 2);
  ck_assert (keeper_net_agree (net, LONG_MS));
  expect_routes (net, 0, 1400, -1);
  expect_routes (net, 1, 1400, -1);
  ck_assert_int_le (keeper_net_large (net, 0, 1), 2);
  keeper_net_destroy (net);
}
END_TEST

/* A keeper that was cut off while the configuration went on holds none of the
   values that the others name as known to it last; it must get the newest
   whole, and no other configuration.  */
START_TEST (keeper_left_behind_gets_the_newest)
{
  struct keeper_net *net = formed (&between_regions);

  ck_assert_int_ge (change (net, 0, ROUTES, -1), 0);
  ck_assert (keeper_net_agree (net, LONG_MS));
  keeper_net_cut (net, 4, true);
  for (int i = 0; i < 4; i++)
    ck_assert_int_ge (change (net, i, ROUTES, i), 0);
  keeper_net_cut (net, 4, false);
  ck_assert (keeper_net_agree (net, LONG_MS));
  expect_routes (net, 4, ROUTES, 3);
  ck_assert_int_ge (change (net, 4, ROUTES, 9), 0);
  ck_assert (keeper_net_agree (net, LONG_MS));
  for (int i = 0; i < KEEPERS; i++)
    expect_routes (net, i, ROUTES, 9);
  keeper_net_destroy (net);
}
END_TEST

/* While hosts are updated one after the other, keepers of two releases agree
   together; one of the earlier release would drop a compressed value and never
   vote.  */
START_TEST (keepers_of_the_earlier_release_get_plain_values)
{
  struct keeper_net *net = keeper_net_create (&between_regions);

  for (int i = 0; i < KEEPERS / 2; i++)
    keeper_net_make_earlier (net, i);
  ck_assert (keeper_net_agree (net, FORM_MS));
  ck_assert_int_ge (change (net, 0, 400, -1), 0);
  ck_assert_int_ge (change (net, KEEPERS - 1, 400, 7), 0);
  ck_assert (keeper_net_agree (net, LONG_MS));
  for (int i = 0; i < KEEPERS; i++)
    expect_routes (net, i, 400, 7);
  keeper_net_destroy (net);
}
END_TEST

/* Twenty thousand routes at once are more than a connection carries within
   the time of one repetition, also compressed.  */
START_TEST (many_routes_at_once_are_answered)
{
  struct keeper_net *net = formed (&between_regions);
  int64_t took = change (net, 0, MANY_ROUTES, -1);

  printf ("%d routes at once: answered after %lld ms\n", MANY_ROUTES,
          (long long)took);
  ck_assert_int_ge (took, 0);
  ck_assert_int_lt (took, WANTED_MS);
  ck_assert (keeper_net_agree (net, LONG_MS));
  keeper_net_destroy (net);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("keeper_net");
  TCase *c = tcase_create ("keeper_net");

  tcase_set_timeout (c, 120);
  tcase_add_test (c, bytes_of_a_change_among_4200_routes);
  tcase_add_test (c, proposers_in_turn_send_what_changed);
  tcase_add_test (c, growth_is_answered_in_time);
  tcase_add_test (c, slow_connection_gets_one_copy);
  tcase_add_test (c, value_slower_than_an_attempt_is_agreed_on);
  tcase_add_test (c, stalled_keeper_is_kept_one_value);
  tcase_add_test (c, lost_copy_is_sent_again);
  tcase_add_test (c, keeper_left_behind_gets_the_newest);
  tcase_add_test (c, keepers_of_the_earlier_release_get_plain_values);
  tcase_add_test (c, many_routes_at_once_are_answered);
  suite_add_tcase (s, c);
  return s;
}
