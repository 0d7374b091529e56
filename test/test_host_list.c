/* Tests liveness, lookups and ownership of keys.  */
#include "suite.h"

#include "cleanup.h"
#include "host_list.h"

#include <stdio.h>
#include <string.h>

static marjoram_host_list *list;
static const char *found[MARJORAM_LOOKUP_MAX];
static enum marjoram_lookup_scope scope;

static void
setup (void)
{
  list = marjoram_host_list_create ();
}

static void
teardown (void)
{
  marjoram_host_list_destroy (list);
}

static struct marjoram_host_beat
make_heartbeat (const char *name, const char *zone, const char *region,
                uint64_t sequence)
{
  struct marjoram_host_beat heartbeat = { .name = (char *)name,
                                          .zone = (char *)zone,
                                          .region = (char *)region,
                                          .entry = (char *)name,
                                          .ready = true,
                                          .incarnation = 1,
                                          .sequence = sequence };

  return heartbeat;
}

static void
receive_heartbeat (int64_t now, const char *name, const char *zone,
                   const char *region)
{
  struct marjoram_host_beat heartbeat
      = make_heartbeat (name, zone, region, (uint64_t)now + 1);

  marjoram_host_list_update (list, now, &heartbeat, true);
}

static bool
is_home (void *context, const char *region)
{
  return strcmp (context, region) == 0;
}

static size_t
look_up (int64_t now, const char *zone, const char *region)
{
  return marjoram_host_list_lookup (list, now, zone, region, is_home,
                                    (void *)"r2", found, &scope);
}

START_TEST (own_zone_first_then_region_then_home)
{
  receive_heartbeat (0, "h1", "z1", "r1");
  receive_heartbeat (0, "h2", "z2", "r1");
  receive_heartbeat (0, "h3", "z3", "r2");
  receive_heartbeat (0, "h4", "z4", "r3");
  ck_assert_uint_eq (look_up (100, "z1", "r1"), 1);
  ck_assert_str_eq (found[0], "h1");
  ck_assert_int_eq (scope, MARJORAM_SCOPE_ZONE);
  ck_assert_uint_eq (look_up (100, "z9", "r1"), 2);
  ck_assert_int_eq (scope, MARJORAM_SCOPE_REGION);
  ck_assert_uint_eq (look_up (100, "z9", "r9"), 1);
  ck_assert_str_eq (found[0], "h3");
  ck_assert_int_eq (scope, MARJORAM_SCOPE_ALLOWED);
}
END_TEST

/* Guards against lookups that return a host two seconds after its death.  */
START_TEST (dead_host_is_omitted_in_time)
{
  receive_heartbeat (0, "h1", "z1", "r1");
  receive_heartbeat (0, "h2", "z1", "r1");
  for (int64_t now = 300; now <= 1800; now += 300)
    receive_heartbeat (now, "h2", "z1", "r1");
  ck_assert_uint_eq (look_up (1900, "z1", "r1"), 1);
  ck_assert_str_eq (found[0], "h2");
}
END_TEST

/* Guards against a host of a large fleet that counts as dead between two of
   its heartbeats.  */
START_TEST (host_is_alive_for_the_interval_that_it_states)
{
  struct marjoram_host_beat heartbeat = make_heartbeat ("h1", "z1", "r1", 1);

  heartbeat.interval_ms = 1000;
  marjoram_host_list_update (list, 0, &heartbeat, true);
  ck_assert_uint_eq (look_up (3900, "z1", "r1"), 1);
  ck_assert_uint_eq (look_up (4200, "z1", "r1"), 0);
  marjoram_host_list_update (list, 5000, &heartbeat, true);
  heartbeat.interval_ms = 0;
  heartbeat.sequence = 2;
  marjoram_host_list_update (list, 5000, &heartbeat, false);
  ck_assert_uint_eq (look_up (8900, "z1", "r1"), 1);
  ck_assert_uint_eq (look_up (9200, "z1", "r1"), 0);
}
END_TEST

/* Guards against a large fleet that learns of a host's death from its silence
   only.  */
START_TEST (deaths_and_recoveries_are_reported_once)
{
  const struct
  {
    int64_t heartbeat_at; /* of h1; h2 sends one each time */
    int64_t now;
    size_t lost;
    size_t found;
  } steps[] = { { 1000, 1000, 0, 0 },
                { 1000, 2500, 1, 0 },
                { 1000, 2600, 0, 0 },
                { 2700, 2700, 0, 1 },
                { 2700, 2800, 0, 0 } };

  for (size_t i = 0; i < sizeof steps / sizeof *steps; i++)
    {
      struct marjoram_host_events events;

      receive_heartbeat (steps[i].heartbeat_at, "h1", "z1", "r1");
      receive_heartbeat (steps[i].now, "h2", "z1", "r1");
      marjoram_host_list_take_events (list, steps[i].now, "r1", &events);
      ck_assert_uint_eq (events.lost.items.count, steps[i].lost);
      ck_assert_uint_eq (events.found.items.count, steps[i].found);
      ck_assert_uint_eq (events.watched.items.count, steps[i].lost);
      free (events.lost.items.items);
      free (events.watched.items.items);
      free (events.found.items.items);
    }
}
END_TEST

/* Guards against near hosts that count as dead because they send no
   heartbeats to a host that is told of deaths by a keeper.  */
START_TEST (host_is_alive_until_its_death_is_reported)
{
  marjoram_host_list_set_heartbeat_interval (list, "r1", 300);
  marjoram_host_list_set_relayed_valid (list, 27000);
  marjoram_host_list_set_told_of_losses (list, true);
  receive_heartbeat (0, "h1", "z1", "r1");
  receive_heartbeat (0, "h2", "z2", "r2");
  ck_assert_uint_eq (look_up (20000, "z1", "r1"), 1);
  ck_assert_uint_eq (look_up (20000, "z2", "r9"), 0);
  marjoram_host_list_lost (list, 20000, "h1", 1);
  ck_assert_uint_eq (look_up (20000, "z1", "r9"), 0);
}
END_TEST

START_TEST (reported_host_is_dead_until_its_heartbeat)
{
  receive_heartbeat (0, "h1", "z1", "r1");
  marjoram_host_list_lost (list, 100, "h1", 0);
  ck_assert_uint_eq (look_up (110, "z1", "r1"), 1);
  marjoram_host_list_lost (list, 100, "h1", 1);
  ck_assert_uint_eq (look_up (110, "z1", "r1"), 0);
  receive_heartbeat (120, "h1", "z1", "r1");
  ck_assert_uint_eq (look_up (130, "z1", "r1"), 1);
}
END_TEST

/* Guards against lookups that return a host which is shutting down.  */
START_TEST (leaving_host_is_omitted_at_once)
{
  struct marjoram_host_beat heartbeat = make_heartbeat ("h1", "z1", "r1", 2);

  receive_heartbeat (0, "h1", "z1", "r1");
  heartbeat.ready = false;
  heartbeat.leaving = true;
  ck_assert (marjoram_host_list_update (list, 10, &heartbeat, true));
  ck_assert_uint_eq (look_up (20, "z1", "r1"), 0);
}
END_TEST

/* Guards against a delayed relayed heartbeat of an earlier instance.  */
START_TEST (older_heartbeats_are_ignored)
{
  struct marjoram_host_beat old = make_heartbeat ("h1", "z1", "r1", 500);
  struct marjoram_host_beat new = make_heartbeat ("h1", "z1", "r1", 1);

  old.leaving = true;
  new.incarnation = 2;
  marjoram_host_list_update (list, 0, &new, true);
  ck_assert (!marjoram_host_list_update (list, 10, &old, false));
  ck_assert_uint_eq (look_up (20, "z1", "r1"), 1);
}
END_TEST

START_TEST (one_owner_among_live_hosts_of_a_region)
{
  const char *owner;

  receive_heartbeat (0, "h1", "z1", "r1");
  receive_heartbeat (0, "h2", "z1", "r1");
  receive_heartbeat (0, "h3", "z3", "r2");
  owner = marjoram_host_list_owner (list, 10, "r1", "upstream-7");
  ck_assert (strcmp (owner, "h1") == 0 || strcmp (owner, "h2") == 0);
  ck_assert_ptr_null (marjoram_host_list_owner (list, 9000, "r1", "a"));
  /* The other host takes over.  */
  receive_heartbeat (9000, strcmp (owner, "h1") == 0 ? "h2" : "h1", "z1",
                     "r1");
  ck_assert_str_ne (marjoram_host_list_owner (list, 9000, "r1", "upstream-7"),
                    owner);
}
END_TEST

/* Guards against a dead host, which may return, losing its share of the repeat
   budget at once.  */
START_TEST (dead_entries_count_for_a_while)
{
  receive_heartbeat (0, "h1", "z1", "r1");
  receive_heartbeat (0, "h2", "z1", "r1");
  marjoram_host_list_tick (list, 5000);
  ck_assert_uint_eq (marjoram_host_list_entry_count (list), 2);
  marjoram_host_list_tick (list, 90000);
  ck_assert_uint_eq (marjoram_host_list_entry_count (list), 0);
}
END_TEST

/* Guards against taking all other hosts for dead while this host receives
   late.  */
START_TEST (lagging_host_takes_no_host_for_dead)
{
  receive_heartbeat (0, "h1", "z1", "r1");
  receive_heartbeat (2000, "h2", "z1", "r1");
  marjoram_host_list_set_lag (list, 1500);
  ck_assert_uint_eq (look_up (2000, "z1", "r1"), 2);
  ck_assert_uint_eq (look_up (2900, "z1", "r1"), 1);
  marjoram_host_list_set_lag (list, 0);
  ck_assert_uint_eq (look_up (2000, "z1", "r1"), 1);
}
END_TEST

/* Guards against a host that never considers itself the owner because it
   receives no heartbeats of its own.  */
START_TEST (all_hosts_agree_on_an_owner_with_themselves)
{
  const char *names[] = { "h1", "h2", "h3" };
  const char *owners[3];

  for (int k = 0; k < 20; k++)
    {
      char key[16];

      snprintf (key, sizeof key, "k%d", k);
      for (int own = 0; own < 3; own++)
        {
          marjoram_host_list *others = marjoram_host_list_create ();

          for (int i = 0; i < 3; i++)
            {
              struct marjoram_host_beat heartbeat
                  = make_heartbeat (names[i], "z", "r", 1);

              if (i != own)
                marjoram_host_list_update (others, 0, &heartbeat, true);
            }
          owners[own] = names[0];
          for (int i = 0; i < 3; i++)
            if (strcmp (marjoram_host_list_owner_with (others, 0, "r", key,
                                                       names[own]),
                        names[i])
                == 0)
              owners[own] = names[i];
          marjoram_host_list_destroy (others);
        }
      ck_assert_str_eq (owners[0], owners[1]);
      ck_assert_str_eq (owners[0], owners[2]);
    }
}
END_TEST

/* Guards against a dangling reference to a settings string after a reload.  */
START_TEST (region_outlives_the_settings)
{
  char *region = marjoram_strdup ("za");

  marjoram_host_list_set_heartbeat_interval (list, region, 900);
  free (region);
  region = marjoram_strdup ("xx");
  receive_heartbeat (0, "h", "z1", "za");
  ck_assert_uint_eq (marjoram_host_list_serving_count (list, 3000, "za"), 1);
  ck_assert_uint_eq (marjoram_host_list_serving_count (list, 4000, "za"), 0);
  free (region);
}
END_TEST

START_TEST (disconnected_host_is_dead_until_heartbeat)
{
  receive_heartbeat (0, "h", "z1", "za");
  marjoram_host_list_connection_lost (list, 100, "h");
  ck_assert_uint_eq (marjoram_host_list_serving_count (list, 100, "za"), 0);
  receive_heartbeat (300, "h", "z1", "za");
  ck_assert_uint_eq (marjoram_host_list_serving_count (list, 300, "za"), 1);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("host_list");
  TCase *c = tcase_create ("host_list");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, own_zone_first_then_region_then_home);
  tcase_add_test (c, dead_host_is_omitted_in_time);
  tcase_add_test (c, leaving_host_is_omitted_at_once);
  tcase_add_test (c, host_is_alive_for_the_interval_that_it_states);
  tcase_add_test (c, deaths_and_recoveries_are_reported_once);
  tcase_add_test (c, host_is_alive_until_its_death_is_reported);
  tcase_add_test (c, reported_host_is_dead_until_its_heartbeat);
  tcase_add_test (c, older_heartbeats_are_ignored);
  tcase_add_test (c, one_owner_among_live_hosts_of_a_region);
  tcase_add_test (c, dead_entries_count_for_a_while);
  tcase_add_test (c, lagging_host_takes_no_host_for_dead);
  tcase_add_test (c, region_outlives_the_settings);
  tcase_add_test (c, all_hosts_agree_on_an_owner_with_themselves);
  tcase_add_test (c, disconnected_host_is_dead_until_heartbeat);
  suite_add_tcase (s, c);
  return s;
}
