/* Tests the state of upstreams as derived from their heartbeats.  */
#include "suite.h"

#include "registry.h"

#include <stdio.h>
#include <string.h>

static marjoram_registry *registry;

static void
setup (void)
{
  registry = marjoram_registry_create ();
}

static void
teardown (void)
{
  marjoram_registry_destroy (registry);
}

static struct marjoram_upstream_heartbeat
heartbeat (const char *id, int64_t started_at, int64_t sequence,
           enum marjoram_upstream_state state)
{
  struct marjoram_upstream_heartbeat made = { .state = state,
                                              .started_at = started_at,
                                              .sequence = sequence,
                                              .ends_ms = -1,
                                              .slots = 4 };

  snprintf (made.id, sizeof made.id, "%s", id);
  snprintf (made.service, sizeof made.service, "lm");
  snprintf (made.address, sizeof made.address, "10.0.0.9:80");
  snprintf (made.zone, sizeof made.zone, "za");
  return made;
}

static enum marjoram_registry_result
receive_heartbeat (int64_t now, const char *id, int64_t started_at,
                   int64_t sequence, enum marjoram_upstream_state state)
{
  struct marjoram_upstream_heartbeat made
      = heartbeat (id, started_at, sequence, state);

  return marjoram_registry_update (registry, now, &made, 0);
}

static bool
usable (const char *id, int64_t now)
{
  return marjoram_registry_usable (registry,
                                   marjoram_registry_find (registry, id), now);
}

START_TEST (heartbeats_renew)
{
  ck_assert_int_eq (receive_heartbeat (0, "a", 1, 1, MARJORAM_UPSTREAM_READY),
                    MARJORAM_REGISTRY_CHANGED);
  ck_assert_int_eq (
      receive_heartbeat (1200, "a", 1, 2, MARJORAM_UPSTREAM_READY),
      MARJORAM_REGISTRY_RENEWED);
  ck_assert (usable ("a", 1300));
}
END_TEST

/* Guards against a delayed heartbeat that makes a draining upstream usable
   again.  */
START_TEST (late_heartbeat_does_not_undo_leaving)
{
  receive_heartbeat (0, "a", 1, 1, MARJORAM_UPSTREAM_READY);
  receive_heartbeat (100, "a", 1, 3, MARJORAM_UPSTREAM_LEAVING);
  ck_assert_int_eq (
      receive_heartbeat (200, "a", 1, 2, MARJORAM_UPSTREAM_READY),
      MARJORAM_REGISTRY_STALE);
  ck_assert (!usable ("a", 300));
  receive_heartbeat (300, "a", 1, 4, MARJORAM_UPSTREAM_READY);
  ck_assert (!usable ("a", 400));
}
END_TEST

/* Guards against a delayed heartbeat that brings back a deregistered
   upstream.  */
START_TEST (deregistered_upstream_stays_gone)
{
  receive_heartbeat (0, "a", 1, 1, MARJORAM_UPSTREAM_READY);
  ck_assert_int_eq (receive_heartbeat (100, "a", 0, 0, MARJORAM_UPSTREAM_GONE),
                    MARJORAM_REGISTRY_CHANGED);
  ck_assert_int_eq (
      receive_heartbeat (4000, "a", 1, 9, MARJORAM_UPSTREAM_READY),
      MARJORAM_REGISTRY_STALE);
  ck_assert (!usable ("a", 4100));
}
END_TEST

/* Guards against ignoring a restarted upstream, or accepting a heartbeat of
   its earlier instance.  */
START_TEST (restart_with_same_id_is_accepted)
{
  receive_heartbeat (0, "a", 1000, 50, MARJORAM_UPSTREAM_READY);
  ck_assert_int_eq (
      receive_heartbeat (5000, "a", 6000, 1, MARJORAM_UPSTREAM_READY),
      MARJORAM_REGISTRY_CHANGED);
  ck_assert_int_eq (
      receive_heartbeat (5100, "a", 1000, 51, MARJORAM_UPSTREAM_LEAVING),
      MARJORAM_REGISTRY_STALE);
  ck_assert (usable ("a", 5200));
}
END_TEST

/* Guards against requests sent to the wrong service after an address has been
   reused.  */
START_TEST (latest_instance_owns_address)
{
  receive_heartbeat (0, "old", 1000, 5, MARJORAM_UPSTREAM_READY);
  receive_heartbeat (4000, "new", 3000, 1, MARJORAM_UPSTREAM_READY);
  ck_assert (!usable ("old", 4100));
  ck_assert_int_eq (
      receive_heartbeat (5000, "old2", 900, 1, MARJORAM_UPSTREAM_READY),
      MARJORAM_REGISTRY_STALE);
  ck_assert (usable ("new", 5000));
}
END_TEST

/* Guards against losing all upstreams when no keeper is reachable.  */
START_TEST (silence_counts_relative_to_others)
{
  struct marjoram_upstream_heartbeat other
      = heartbeat ("b", 1, 1, MARJORAM_UPSTREAM_READY);

  snprintf (other.address, sizeof other.address, "10.0.0.8:80");
  receive_heartbeat (0, "a", 1, 1, MARJORAM_UPSTREAM_READY);
  marjoram_registry_update (registry, 0, &other, 0);
  ck_assert (usable ("a", 20000));
  other.sequence = 2;
  marjoram_registry_update (registry, 20000, &other, 0);
  ck_assert (!usable ("a", 20000));
  ck_assert (usable ("b", 20000));
}
END_TEST

START_TEST (ending_upstream_is_not_usable)
{
  struct marjoram_upstream_heartbeat made
      = heartbeat ("a", 1, 1, MARJORAM_UPSTREAM_LEAVING);

  made.ends_ms = 2000;
  marjoram_registry_update (registry, 0, &made, 0);
  ck_assert (!usable ("a", 10));
  ck_assert_int_eq (marjoram_registry_find (registry, "a")->ends_at, 2000);
}
END_TEST

/* Guards against durations that shift when packed and unpacked on hosts with
   different clocks.  */
START_TEST (durations_survive_transfer)
{
  struct marjoram_upstream_heartbeat made
      = heartbeat ("a", 1, 1, MARJORAM_UPSTREAM_READY);
  struct marjoram_upstream_heartbeat read;
  struct marjoram_news_item item;
  marjoram_registry *other = marjoram_registry_create ();

  made.cold_ms = 3000;
  marjoram_registry_update (registry, 1000, &made, 0);
  marjoram_registry_pack (marjoram_registry_find (registry, "a"), 2000, &item);
  ck_assert (marjoram_registry_unpack (&item, &read));
  marjoram_registry_update (other, 500000, &read, item.age_ms);
  ck_assert_int_eq (marjoram_registry_find (other, "a")->cold_until, 502000);
  ck_assert_int_eq (marjoram_registry_find (other, "a")->received_at, 499000);
  marjoram_registry_destroy (other);
}
END_TEST

/* Guards against a new build that is known by no other field reaching no other
   host.  */
START_TEST (build_alone_is_a_change)
{
  struct marjoram_upstream_heartbeat made
      = heartbeat ("a", 1, 1, MARJORAM_UPSTREAM_READY);
  struct marjoram_upstream_heartbeat received;
  struct marjoram_news_item item;
  uint64_t digest;

  snprintf (made.build, sizeof made.build, "v1");
  marjoram_registry_update (registry, 0, &made, 0);
  digest = marjoram_registry_digest (registry).sum;
  snprintf (made.build, sizeof made.build, "v1.1");
  made.sequence = 2;
  ck_assert_int_eq (marjoram_registry_update (registry, 100, &made, 0),
                    MARJORAM_REGISTRY_CHANGED);
  ck_assert_uint_ne (marjoram_registry_digest (registry).sum, digest);
  marjoram_registry_pack (marjoram_registry_find (registry, "a"), 200, &item);
  ck_assert (marjoram_registry_unpack (&item, &received));
  ck_assert_str_eq (received.build, "v1.1");
  item.build = NULL; /* as sent by hosts that don't know it */
  ck_assert (marjoram_registry_unpack (&item, &received));
  ck_assert_str_eq (received.build, "");
}
END_TEST

/* Guards against heartbeats, or a gap in them, that make an upstream usable
   again after its answers said that it leaves.  */
START_TEST (told_leaving_holds_until_a_restart)
{
  struct marjoram_upstream_heartbeat other
      = heartbeat ("b", 1, 1, MARJORAM_UPSTREAM_READY);

  snprintf (other.address, sizeof other.address, "10.0.0.8:80");
  receive_heartbeat (0, "a", 5, 1, MARJORAM_UPSTREAM_READY);
  ck_assert (!marjoram_registry_set_leaving (registry, 10, "a", 4));
  ck_assert (!marjoram_registry_set_leaving (registry, 10, "b", 5));
  ck_assert (usable ("a", 20));
  ck_assert (marjoram_registry_set_leaving (registry, 30, "a", 5));
  ck_assert (!marjoram_registry_set_leaving (registry, 40, "a", 5));
  ck_assert (!usable ("a", 50));
  receive_heartbeat (100, "a", 5, 2, MARJORAM_UPSTREAM_READY);
  ck_assert (!usable ("a", 110));
  for (int64_t now = 1000; now < 120000; now += 1000)
    {
      other.sequence = now;
      marjoram_registry_update (registry, now, &other, 0);
      marjoram_registry_tick (registry, now);
    }
  receive_heartbeat (120000, "a", 5, 3, MARJORAM_UPSTREAM_READY);
  ck_assert (!usable ("a", 120001));
  receive_heartbeat (121000, "a", 6, 1, MARJORAM_UPSTREAM_READY);
  ck_assert (usable ("a", 121001));
}
END_TEST

START_TEST (told_leaving_upstream_serves_on_for_a_while)
{
  const struct marjoram_registered *upstream;

  receive_heartbeat (0, "a", 5, 1, MARJORAM_UPSTREAM_READY);
  upstream = marjoram_registry_find (registry, "a");
  ck_assert (!marjoram_registry_still_serves (registry, upstream, 10));
  marjoram_registry_set_leaving (registry, 100, "a", 5);
  ck_assert (marjoram_registry_still_serves (registry, upstream, 1000));
  receive_heartbeat (1200, "a", 5, 2, MARJORAM_UPSTREAM_LEAVING);
  ck_assert (!marjoram_registry_still_serves (registry, upstream, 1700));
}
END_TEST

START_TEST (old_records_are_dropped)
{
  struct marjoram_upstream_heartbeat other
      = heartbeat ("b", 1, 1, MARJORAM_UPSTREAM_READY);

  snprintf (other.address, sizeof other.address, "10.0.0.8:80");
  receive_heartbeat (0, "a", 1, 1, MARJORAM_UPSTREAM_GONE);
  marjoram_registry_update (registry, 90000, &other, 0);
  marjoram_registry_tick (registry, 90000);
  ck_assert_ptr_null (marjoram_registry_find (registry, "a"));
  ck_assert_ptr_nonnull (marjoram_registry_find (registry, "b"));
}
END_TEST

static void
receive_build (int64_t now, const char *id, const char *service,
               const char *build)
{
  struct marjoram_upstream_heartbeat made
      = heartbeat (id, 1, now + 1, MARJORAM_UPSTREAM_READY);

  snprintf (made.service, sizeof made.service, "%s", service);
  snprintf (made.address, sizeof made.address, "%s:80", id);
  snprintf (made.build, sizeof made.build, "%s", build);
  marjoram_registry_update (registry, now, &made, 0);
}

/* Guards against a long stream whose service was without upstreams for a
   while, and then had those of another build.  */
START_TEST (forgotten_service_may_have_had_another_build)
{
  marjoram_registry_set_known (registry, INT64_MIN / 2);
  receive_build (0, "a", "lm", "v1");
  receive_build (70000, "c", "app", "v1");
  marjoram_registry_tick (registry, 70000);
  ck_assert_uint_eq (marjoram_registry_service_count (registry, "lm"), 0);
  receive_build (80000, "b", "lm", "v2");
  ck_assert_ptr_null (marjoram_registry_only_build (registry, "lm", 69999));
  ck_assert_str_eq (marjoram_registry_only_build (registry, "lm", 70000),
                    "v2");
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("registry");
  TCase *c = tcase_create ("registry");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, heartbeats_renew);
  tcase_add_test (c, late_heartbeat_does_not_undo_leaving);
  tcase_add_test (c, deregistered_upstream_stays_gone);
  tcase_add_test (c, restart_with_same_id_is_accepted);
  tcase_add_test (c, latest_instance_owns_address);
  tcase_add_test (c, silence_counts_relative_to_others);
  tcase_add_test (c, ending_upstream_is_not_usable);
  tcase_add_test (c, durations_survive_transfer);
  tcase_add_test (c, build_alone_is_a_change);
  tcase_add_test (c, told_leaving_holds_until_a_restart);
  tcase_add_test (c, told_leaving_upstream_serves_on_for_a_while);
  tcase_add_test (c, old_records_are_dropped);
  tcase_add_test (c, forgotten_service_may_have_had_another_build);
  suite_add_tcase (s, c);
  return s;
}
