/* Zone membership: leases, ordering of announcements, leaving, death,
   ejection, host heartbeats.  */
#include "suite.h"

#include "bytes.h"
#include "member.h"

#include <stdio.h>
#include <string.h>

enum
{
  LEASE_MS = 3000,
  HOUR_MS = 3600000
};

static marjoram_members *members;

static void
setup (void)
{
  members = marjoram_members_create ("ba-1", 0);
}

static void
teardown (void)
{
  marjoram_members_destroy (members);
}

static struct marjoram_work_name summary_work[]
    = { { (char *)"shift-summary" } };

static struct marjoram_announcement
announcement (const char *name, uint64_t incarnation, uint64_t sequence)
{
  return (struct marjoram_announcement){
    .name = (char *)name,
    .incarnation = incarnation,
    .sequence = sequence,
    .zone = (char *)"ba-1",
    .address = (char *)"127.3.5.1:9000",
    .engine = true,
    .slots = 8,
    .lease_ms = LEASE_MS,
    .works = { summary_work, 1 },
  };
}

static enum marjoram_announce_result
announce_to (marjoram_members *to, int64_t now, const char *name,
             uint64_t incarnation, uint64_t sequence, bool leaving)
{
  struct marjoram_announcement a = announcement (name, incarnation, sequence);

  a.leaving = leaving;
  return marjoram_members_announce (to, now, &a, false);
}

static enum marjoram_announce_result
announce (int64_t now, uint64_t incarnation, uint64_t sequence)
{
  return announce_to (members, now, "lm-1", incarnation, sequence, false);
}

static bool
usable (const marjoram_members *members_of_host, int64_t now, const char *name)
{
  const struct marjoram_upstream *upstream
      = marjoram_members_find (members_of_host, now, name);

  return upstream && marjoram_upstream_usable (upstream, now);
}

START_TEST (orders_announcements)
{
  static const struct
  {
    uint64_t incarnation, sequence;
    enum marjoram_announce_result result;
  } steps[] = {
    { 5, 2, MARJORAM_ANNOUNCE_NEW },     { 5, 2, MARJORAM_ANNOUNCE_STALE },
    { 5, 3, MARJORAM_ANNOUNCE_RENEWED }, { 5, 1, MARJORAM_ANNOUNCE_STALE },
    { 4, 9, MARJORAM_ANNOUNCE_STALE },   { 6, 1, MARJORAM_ANNOUNCE_NEW },
    { 5, 8, MARJORAM_ANNOUNCE_STALE },   { 6, 2, MARJORAM_ANNOUNCE_RENEWED },
  };
  struct marjoram_announcement other_zone = announcement ("lm-1", 9, 9);

  for (size_t i = 0; i < sizeof steps / sizeof *steps; i++)
    ck_assert_int_eq (
        announce ((int64_t)i, steps[i].incarnation, steps[i].sequence),
        steps[i].result);
  other_zone.zone = (char *)"ko-1";
  ck_assert_int_eq (marjoram_members_announce (members, 9, &other_zone, false),
                    MARJORAM_ANNOUNCE_WRONG_ZONE);
  ck_assert_uint_eq (marjoram_members_count (members), 1);
}
END_TEST

/* Guards against repeated or stale announcements extending the lease of a dead
   upstream.  */
START_TEST (repeated_announcement_does_not_extend_lease)
{
  announce (0, 1, 1);
  for (int64_t now = 100; now < LEASE_MS; now += 100)
    announce (now, 1, 1);
  ck_assert (usable (members, LEASE_MS - 1, "lm-1"));
  ck_assert (!usable (members, LEASE_MS, "lm-1"));
  ck_assert (
      !marjoram_upstream_usable (marjoram_members_at (members, 0), LEASE_MS));
}
END_TEST

/* Guards against taking the host's own stall for an upstream's silence.  */
START_TEST (lease_outlives_a_stall_of_the_host_for_a_moment)
{
  const int64_t lease_ms = LEASE_MS;
  int64_t now = 2 * lease_ms;

  announce (0, 1, 1);
  marjoram_members_stalled (members, lease_ms - 400, lease_ms + 300);
  ck_assert (usable (members, lease_ms + 300, "lm-1"));
  ck_assert (!usable (members, lease_ms + 900, "lm-1"));
  marjoram_members_stalled (members, lease_ms + 900, lease_ms + 1200);
  ck_assert (!usable (members, lease_ms + 1200, "lm-1"));
  announce (now, 1, 2);
  for (; now < 4 * lease_ms; now += lease_ms / 2)
    marjoram_members_stalled (members, now, now + lease_ms / 2);
  ck_assert (!usable (members, now, "lm-1"));
}
END_TEST

static void
count_expired (void *context, int64_t now,
               const struct marjoram_upstream *upstream)
{
  ck_assert_str_eq (upstream->announcement->name, "lm-1");
  ck_assert_int_ge (now, upstream->expires);
  ++*(int *)context;
}

START_TEST (expiry_is_reported_once)
{
  int expired = 0;

  announce (0, 1, 1);
  marjoram_members_tick (members, LEASE_MS - 1, count_expired, &expired);
  ck_assert_int_eq (expired, 0);
  for (int i = 0; i < 3; i++)
    marjoram_members_tick (members, LEASE_MS + i, count_expired, &expired);
  ck_assert_int_eq (expired, 1);
  announce (LEASE_MS + 10, 1, 2);
  marjoram_members_tick (members, 2 * LEASE_MS + 10, count_expired, &expired);
  ck_assert_int_eq (expired, 2);
  marjoram_members_tick (members, HOUR_MS, NULL, NULL);
  ck_assert_uint_eq (marjoram_members_count (members), 0);
}
END_TEST

/* Guards against a delayed renewal attracting requests to an engine that is
   leaving.  */
START_TEST (leave_overrides_late_renewal)
{
  announce (0, 1, 7);
  ck_assert_int_eq (announce_to (members, 10, "lm-1", 1, 7, true),
                    MARJORAM_ANNOUNCE_NEW);
  ck_assert (!usable (members, 11, "lm-1"));
  ck_assert_int_eq (announce (12, 1, 8), MARJORAM_ANNOUNCE_STALE);
  ck_assert (!usable (members, 13, "lm-1"));
  ck_assert_int_eq (announce (14, 2, 1), MARJORAM_ANNOUNCE_NEW);
  ck_assert (usable (members, 15, "lm-1"));
}
END_TEST

/* Relays everything FROM knows to TO, as when a link comes up.  */
static void
relay_all (const marjoram_members *from, marjoram_members *to, int64_t now)
{
  for (size_t i = 0; i < marjoram_members_count (from); i++)
    {
      struct marjoram_announcement a;

      if (marjoram_members_relay (from, now, i, &a))
        marjoram_members_announce (to, now, &a, true);
    }
}

/* A leave that reached only one side of a partition: the other side stops
   using the upstream when the lease ends, even if its hosts relay the
   announcement to each other, and at once when the partition heals.  */
START_TEST (leave_during_partition)
{
  marjoram_members *cut_off = marjoram_members_create ("ba-1", 1);
  marjoram_members *third = marjoram_members_create ("ba-1", 2);
  marjoram_members *notified = members;

  announce_to (notified, 0, "lm-1", 1, 1, false);
  relay_all (notified, cut_off, 100);
  announce_to (notified, 200, "lm-1", 1, 2, true);
  for (int64_t now = 200; now < LEASE_MS; now += 100)
    {
      ck_assert (!usable (notified, now, "lm-1"));
      ck_assert (usable (cut_off, now, "lm-1"));
      relay_all (cut_off, third, now);
      relay_all (third, cut_off, now);
    }
  ck_assert (!usable (cut_off, LEASE_MS, "lm-1"));
  ck_assert (!usable (third, LEASE_MS, "lm-1"));
  relay_all (notified, third, LEASE_MS);
  ck_assert_int_eq (announce_to (third, LEASE_MS + 1, "lm-1", 1, 3, false),
                    MARJORAM_ANNOUNCE_STALE);
  marjoram_members_destroy (cut_off);
  marjoram_members_destroy (third);
}
END_TEST

/* Guards against sending requests to a dead engine until its lease ends.  */
START_TEST (dead_upstream_is_unusable_until_announced)
{
  announce (0, 1, 5);
  marjoram_members_mark_dead (members, 100, "lm-1");
  ck_assert (!usable (members, 101, "lm-1"));
  ck_assert_int_eq (announce (200, 1, 5), MARJORAM_ANNOUNCE_STALE);
  ck_assert (!usable (members, 201, "lm-1"));
  announce (300, 1, 6);
  ck_assert (usable (members, 301, "lm-1"));
  /* It counts as restarted, so that its load grows slowly.  */
  ck_assert_int_eq (marjoram_members_find (members, 301, "lm-1")->since, 300);
}
END_TEST

/* Guards against ejecting all replicas when they fail alike.  */
START_TEST (ejects_a_third_at_most)
{
  char name[16];
  int ejected = 0;

  for (int i = 0; i < 9; i++)
    {
      snprintf (name, sizeof name, "lm-%d", i);
      announce_to (members, 0, name, 1, 1, false);
    }
  for (int round = 0; round < 3; round++)
    for (int i = 0; i < 9; i++)
      {
        snprintf (name, sizeof name, "lm-%d", i);
        marjoram_members_request_started (members, name);
        marjoram_members_request_ended (members, 10, name, true);
      }
  for (size_t i = 0; i < marjoram_members_count (members); i++)
    ejected
        += !marjoram_upstream_usable (marjoram_members_at (members, i), 11);
  ck_assert_int_eq (ejected, 3);
  ck_assert (usable (members, 2500, "lm-0"));
}
END_TEST

START_TEST (tracks_host_heartbeats)
{
  ck_assert (marjoram_members_host_alive (members, 0, 0));
  ck_assert (!marjoram_members_host_alive (members, 0, 1));
  marjoram_members_record_heartbeat (members, 100, 1, 7, false);
  marjoram_members_record_heartbeat (members, 150, 1, 6, true);
  ck_assert (marjoram_members_host_alive (members, 200, 1));
  ck_assert (!marjoram_members_host_draining (members, 1));
  ck_assert_int_eq (marjoram_members_count_hosts (members, 200), 2);
  marjoram_members_record_heartbeat (members, 200, 1, 7, true);
  ck_assert (marjoram_members_host_draining (members, 1));
  ck_assert_int_eq (marjoram_members_count_hosts (members, 300), 1);
  ck_assert (!marjoram_members_host_alive (members,
                                           200 + MARJORAM_HOST_TIMEOUT_MS, 1));
}
END_TEST

START_TEST (announcement_survives_encoding)
{
  struct marjoram_announcement a = announcement ("lm-1", 3, 4);
  marjoram_bytes *packed
      = marjoram_wire_pack (&marjoram_announcement_layout, &a);
  struct marjoram_announcement *read = marjoram_wire_unpack (
      &marjoram_announcement_layout, marjoram_bytes_data (packed),
      marjoram_bytes_size (packed), NULL);

  ck_assert_ptr_nonnull (read);
  ck_assert_int_eq (marjoram_members_announce (members, 0, read, true),
                    MARJORAM_ANNOUNCE_NEW);
  ck_assert_str_eq (((struct marjoram_work_name *)read->works.items)->name,
                    "shift-summary");
  marjoram_wire_destroy (&marjoram_announcement_layout, read);
  marjoram_bytes_release (packed);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("member");
  TCase *c = tcase_create ("member");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, orders_announcements);
  tcase_add_test (c, repeated_announcement_does_not_extend_lease);
  tcase_add_test (c, lease_outlives_a_stall_of_the_host_for_a_moment);
  tcase_add_test (c, expiry_is_reported_once);
  tcase_add_test (c, leave_overrides_late_renewal);
  tcase_add_test (c, leave_during_partition);
  tcase_add_test (c, dead_upstream_is_unusable_until_announced);
  tcase_add_test (c, ejects_a_third_at_most);
  tcase_add_test (c, tracks_host_heartbeats);
  tcase_add_test (c, announcement_survives_encoding);
  suite_add_tcase (s, c);
  return s;
}
