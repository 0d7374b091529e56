/* Tests what a keeper says of the builds that a service has had.  */
#include "suite.h"

#include "only_build.h"

#include <stdio.h>
#include <string.h>

enum
{
  NOW = 100000,
  SINCE = 60000,
  TURNED_MS = 6000 /* upstreams of a lost keeper have turned to others */
};

static marjoram_registry *registry;
static marjoram_host_list *hosts;

static void
add_upstream (int64_t now, const char *id, const char *zone, const char *build,
              const char *via)
{
  struct marjoram_upstream_heartbeat heartbeat
      = { .state = MARJORAM_UPSTREAM_READY,
          .started_at = 1,
          .sequence = now,
          .ends_ms = -1,
          .slots = 4 };

  snprintf (heartbeat.id, sizeof heartbeat.id, "%s", id);
  snprintf (heartbeat.service, sizeof heartbeat.service, "lm");
  snprintf (heartbeat.address, sizeof heartbeat.address, "%s:80", id);
  snprintf (heartbeat.zone, sizeof heartbeat.zone, "%s", zone);
  snprintf (heartbeat.build, sizeof heartbeat.build, "%s", build);
  marjoram_registry_update (registry, now, &heartbeat, 0);
  snprintf (marjoram_registry_find (registry, id)->via, MARJORAM_IP_MAX, "%s",
            via);
}

static void
hear (int64_t now, const char *name, bool keeper)
{
  const struct marjoram_host_beat heartbeat = { .name = (char *)name,
                                                .zone = (char *)"zb",
                                                .region = (char *)"rb",
                                                .entry = (char *)"",
                                                .keeper = keeper,
                                                .ready = true,
                                                .incarnation = 1,
                                                .sequence = (uint64_t)now };

  marjoram_host_list_update (hosts, now, &heartbeat, true);
}

static struct marjoram_only_build
find (int64_t now)
{
  return marjoram_only_build_find (registry, hosts, now, "lm", SINCE);
}

static void
setup (void)
{
  registry = marjoram_registry_create ();
  hosts = marjoram_host_list_create ();
  marjoram_registry_set_known (registry, INT64_MIN / 2);
  add_upstream (1, "u1", "za", "v1", "");
  hear (NOW, "k2", true);
  hear (NOW, "k3", true);
  hear (NOW, "e4", false);
}

static void
teardown (void)
{
  marjoram_host_list_destroy (hosts);
  marjoram_registry_destroy (registry);
}

START_TEST (all_keepers_must_agree)
{
  const struct marjoram_only_build found = find (NOW);

  ck_assert_str_eq (found.build, "v1");
  ck_assert_uint_eq (found.keepers, 3);
}
END_TEST

/* Guards against a stream that began in another region going on at the one
   build of this region.  */
START_TEST (builds_of_all_regions_count)
{
  add_upstream (2, "u2", "zb", "v2", "k2");
  ck_assert_ptr_null (find (NOW).build);
}
END_TEST

START_TEST (keeper_that_just_started_does_not_know)
{
  marjoram_registry *fresh = marjoram_registry_create ();
  struct marjoram_only_build found;

  marjoram_registry_destroy (registry);
  registry = fresh;
  add_upstream (1, "u1", "za", "v1", "");
  found = find (NOW);
  ck_assert_ptr_null (found.build);
  marjoram_registry_set_known (registry, SINCE);
  ck_assert_str_eq (find (NOW).build, "v1");
}
END_TEST

/* Guards against an upstream that only a lost keeper has heard of.  */
START_TEST (lost_keeper_is_waited_for)
{
  hear (NOW + TURNED_MS - 1, "k2", true);
  ck_assert_ptr_null (find (NOW + TURNED_MS - 1).build);
  hear (NOW + TURNED_MS, "k2", true);
  ck_assert_str_eq (find (NOW + TURNED_MS).build, "v1");
  ck_assert_uint_eq (find (NOW + TURNED_MS).keepers, 2);
}
END_TEST

/* Guards against a zone that is cut off with its keeper, where a new build
   joins.  */
START_TEST (lost_keeper_with_upstreams_of_its_own_is_waited_for)
{
  const int64_t now = NOW + TURNED_MS;

  add_upstream (2, "u3", "zc", "v1", "k3");
  hear (now, "k2", true);
  ck_assert_ptr_null (find (now).build);
  add_upstream (3, "u3", "zc", "v1", "k2");
  ck_assert_str_eq (find (now).build, "v1");
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("only_build");
  TCase *c = tcase_create ("only_build");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, all_keepers_must_agree);
  tcase_add_test (c, builds_of_all_regions_count);
  tcase_add_test (c, keeper_that_just_started_does_not_know);
  tcase_add_test (c, lost_keeper_is_waited_for);
  tcase_add_test (c, lost_keeper_with_upstreams_of_its_own_is_waited_for);
  suite_add_tcase (s, c);
  return s;
}
