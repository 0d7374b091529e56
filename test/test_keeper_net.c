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
  CHANGE_BYTES = 64 * 1024, /* of one route changed, at most */
  FORM_MS = 20000,
  WANTED_MS = 4000, /* from a change's sending to its answer */
  LONG_MS = 30000
};

static const struct keeper_net_options between_regions
    = { KEEPERS, 55, BYTES_PER_S };

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
  tcase_add_test (c, growth_is_answered_in_time);
  tcase_add_test (c, keeper_left_behind_gets_the_newest);
  tcase_add_test (c, keepers_of_the_earlier_release_get_plain_values);
  tcase_add_test (c, many_routes_at_once_are_answered);
  suite_add_tcase (s, c);
  return s;
}
