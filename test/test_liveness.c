/* Tests summaries of upstreams' liveness between a keeper and a host, and that
   their size does not grow with the number of upstreams.  */
#include "suite.h"

#include "cleanup.h"
#include "frame.h"
#include "liveness.h"

#include <stdio.h>
#include <string.h>

enum
{
  SUMMARY_MS = 1000,
  HEARTBEAT_MS = 2000,
  START_MS = 1000000
};

static marjoram_registry *keeper;
static marjoram_registry *host;
static marjoram_host_list *keepers;
static struct marjoram_liveness_check check;
static int64_t now;

static void
setup (void)
{
  keeper = marjoram_registry_create ();
  host = marjoram_registry_create ();
  keepers = marjoram_host_list_create ();
  marjoram_registry_use_summaries (host, true);
  memset (&check, 0, sizeof check);
  now = START_MS;
}

static void
teardown (void)
{
  marjoram_registry_destroy (keeper);
  marjoram_registry_destroy (host);
  marjoram_host_list_destroy (keepers);
}

static struct marjoram_upstream_heartbeat
make_heartbeat (int number)
{
  struct marjoram_upstream_heartbeat heartbeat
      = { .state = MARJORAM_UPSTREAM_READY,
          .started_at = 1,
          .sequence = now,
          .ends_ms = -1,
          .slots = 4 };

  snprintf (heartbeat.id, sizeof heartbeat.id, "u-%d", number);
  snprintf (heartbeat.service, sizeof heartbeat.service, "lm");
  snprintf (heartbeat.address, sizeof heartbeat.address, "10.0.0.9:%d",
            number + 1);
  snprintf (heartbeat.zone, sizeof heartbeat.zone, "z");
  return heartbeat;
}

/* Upstreams FIRST to LAST - 1 send the keeper a heartbeat.  */
static void
renew (int first, int last)
{
  for (int i = first; i < last; i++)
    {
      const struct marjoram_upstream_heartbeat heartbeat = make_heartbeat (i);

      marjoram_registry_update (keeper, now, &heartbeat, 0);
    }
}

/* Tells the host of all upstreams that the keeper knows.  */
static void
send_all (void)
{
  const struct marjoram_registered *upstream;

  TAILQ_FOREACH (upstream, marjoram_registry_all (keeper), link)
  {
    struct marjoram_news_item item;
    struct marjoram_upstream_heartbeat heartbeat;

    marjoram_registry_pack (upstream, now, &item);
    ck_assert (marjoram_registry_unpack (&item, &heartbeat));
    marjoram_registry_update (host, now, &heartbeat, item.age_ms);
  }
}

static bool
includes (void *context, const char *zone)
{
  (void)context;
  return strcmp (zone, "z") == 0;
}

static const struct marjoram_liveness_scope *
scope (void)
{
  static struct marjoram_liveness_scope all;

  all = (struct marjoram_liveness_scope){ keeper, keepers, includes, NULL };
  return &all;
}

/* Sends one summary; returns whether the host asks for a snapshot.  */
static bool
summarize (void)
{
  struct marjoram_liveness summary;
  bool asks;

  marjoram_liveness_build (scope (), now, &summary);
  asks = marjoram_liveness_apply (&check, host, now, &summary);
  marjoram_wire_clear (&marjoram_liveness_layout, &summary);
  return asks;
}

/* Upstreams FIRST to LAST - 1 keep sending heartbeats for MSEC.  */
static void
run (int64_t msec, int first, int last)
{
  const int64_t end = now + msec;

  for (; now < end; now += SUMMARY_MS)
    {
      if (now % HEARTBEAT_MS == 0)
        renew (first, last);
      ck_assert (!summarize ());
    }
}

static bool
uses (int number)
{
  char id[MARJORAM_ID_MAX];

  snprintf (id, sizeof id, "u-%d", number);
  return marjoram_registry_usable (host, marjoram_registry_find (host, id),
                                   now);
}

static size_t
summary_bytes (int upstreams)
{
  struct marjoram_liveness summary;
  marjoram_bytes *frame;
  size_t size;

  renew (0, upstreams);
  marjoram_liveness_build (scope (), now, &summary);
  ck_assert_uint_eq (summary.count, (uint64_t)upstreams);
  frame = marjoram_frame_pack (MARJORAM_FRAME_LIVENESS, &summary);
  size = marjoram_bytes_size (frame);
  marjoram_bytes_release (frame);
  marjoram_wire_clear (&marjoram_liveness_layout, &summary);
  return size;
}

/* Guards against renewals that grow with the number of upstreams.  */
START_TEST (summary_of_live_upstreams_has_one_size)
{
  static const int counts[] = { 100, 1000, 10000, 20000 };

  for (size_t i = 0; i < sizeof counts / sizeof *counts; i++)
    {
      size_t size = summary_bytes (counts[i]);

      printf ("%d upstreams: %zu bytes\n", counts[i], size);
      ck_assert_uint_le (size, 64);
    }
}
END_TEST

START_TEST (summaries_keep_upstreams_in_use)
{
  renew (0, 10);
  send_all ();
  run (30000, 0, 10);
  for (int i = 0; i < 10; i++)
    ck_assert (uses (i));
}
END_TEST

/* Guards against hosts that go on using an upstream which vanished.  */
START_TEST (silent_upstream_is_named_once)
{
  struct marjoram_liveness summary;

  renew (0, 10);
  send_all ();
  run (4000, 1, 10);
  ck_assert (uses (0));
  run (4000, 1, 10);
  ck_assert (!uses (0));
  ck_assert (uses (1));
  marjoram_liveness_build (scope (), now, &summary);
  ck_assert_uint_eq (summary.silent.count, 0);
  ck_assert_uint_eq (summary.count, 9);
  marjoram_wire_clear (&marjoram_liveness_layout, &summary);
}
END_TEST

/* Guards against all upstreams appearing silent after the loss of one keeper
   or of the path to it.  */
START_TEST (upstreams_of_unreachable_keeper_are_not_silent)
{
  const struct marjoram_host_beat other = { .name = (char *)"k2",
                                            .zone = (char *)"z",
                                            .region = (char *)"r",
                                            .keeper = true,
                                            .incarnation = 1,
                                            .sequence = 1 };

  marjoram_host_list_update (keepers, now, &other, true);
  renew (0, 10);
  for (int i = 0; i < 5; i++)
    {
      char id[MARJORAM_ID_MAX];

      snprintf (id, sizeof id, "u-%d", i);
      snprintf (marjoram_registry_find (keeper, id)->via, MARJORAM_IP_MAX,
                "k2");
    }
  send_all ();
  run (12000, 5, 10);
  ck_assert (uses (0));
  run (16000, 5, 10);
  ck_assert (!uses (0));
  ck_assert (uses (5));
}
END_TEST

/* Guards against a host that lacks upstreams, or keeps some that are gone, for
   good.  */
START_TEST (differing_host_asks_and_is_repaired)
{
  int asked = 0;

  renew (0, 10);
  send_all ();
  renew (10, 20);
  for (int i = 0; i < 6; i++, now += SUMMARY_MS)
    asked += summarize ();
  ck_assert_int_ge (asked, 1);
  ck_assert_int_le (asked, 3);
  renew (0, 20);
  send_all ();
  ck_assert (!summarize ());
  for (int i = 0; i < 20; i++)
    ck_assert (uses (i));
}
END_TEST

/* The keeper has restarted and does not know one of the host's upstreams.  */
START_TEST (upstream_missing_from_a_snapshot_is_not_renewed)
{
  renew (0, 10);
  send_all ();
  marjoram_registry_destroy (keeper);
  keeper = marjoram_registry_create ();
  now += HEARTBEAT_MS;
  renew (1, 10);
  summarize ();
  now += SUMMARY_MS;
  ck_assert (summarize ());
  now += SUMMARY_MS;
  send_all ();
  marjoram_registry_unvouch_before (host, now);
  run (10000, 1, 10);
  ck_assert (!uses (0));
  ck_assert (uses (1));
}
END_TEST

/* A host that is cut off from all keepers continues to use its upstreams.  */
START_TEST (host_without_summaries_keeps_its_upstreams)
{
  renew (0, 10);
  send_all ();
  run (4000, 0, 10);
  now += 20000;
  ck_assert (uses (0));
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("liveness");
  TCase *c = tcase_create ("liveness");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, summary_of_live_upstreams_has_one_size);
  tcase_add_test (c, summaries_keep_upstreams_in_use);
  tcase_add_test (c, silent_upstream_is_named_once);
  tcase_add_test (c, upstreams_of_unreachable_keeper_are_not_silent);
  tcase_add_test (c, differing_host_asks_and_is_repaired);
  tcase_add_test (c, upstream_missing_from_a_snapshot_is_not_renewed);
  tcase_add_test (c, host_without_summaries_keeps_its_upstreams);
  suite_add_tcase (s, c);
  return s;
}
