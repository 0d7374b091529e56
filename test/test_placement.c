/* Tests the selection of upstreams and the rejection of requests that cannot
   be served in time.  */
#include "suite.h"

#include "placement.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static marjoram_registry *registry;
static marjoram_host_list *hosts;
static marjoram_placement *placement;
static const char *evacuated;
static uint64_t next_attempt;

static const struct marjoram_service_rule engine = {
  .name = (char *)"lm",
  .cold_ms = 3000,
  .cold_per_s = 2,
  .has_engine = true,
  .engine = { .slots = 64, .kv_capacity = 250000 },
};
static const struct marjoram_service_rule plain = { .name = (char *)"app" };

static const char *
region_of (void *context, const char *zone)
{
  (void)context;
  return strcmp (zone, "far") == 0 ? "r2" : "r1";
}

static bool
is_evacuated (void *context, const char *zone)
{
  (void)context;
  return evacuated && strcmp (zone, evacuated) == 0;
}

static marjoram_placement *
create (const char *host)
{
  const struct marjoram_placement_options options = {
    .registry = registry,
    .hosts = hosts,
    .host = host,
    .region = "r1",
    .region_of = region_of,
    .is_evacuated = is_evacuated,
  };

  return marjoram_placement_create (&options);
}

/* A host that offers nothing reaches no upstreams.  */
static void
receive_host (int64_t now, const char *name, bool offers)
{
  struct marjoram_host_beat heartbeat = { .name = (char *)name,
                                          .zone = (char *)"za",
                                          .region = (char *)"r1",
                                          .entry = (char *)name,
                                          .ready = true,
                                          .incarnation = 1,
                                          .sequence = (uint64_t)now + 1,
                                          .offers_nothing = !offers };

  marjoram_host_list_update (hosts, now, &heartbeat, true);
}

static void
receive_host_heartbeat (int64_t now, const char *name)
{
  receive_host (now, name, true);
}

static void
setup (void)
{
  evacuated = NULL;
  next_attempt = 0;
  registry = marjoram_registry_create ();
  hosts = marjoram_host_list_create ();
  placement = create ("h1");
  receive_host_heartbeat (0, "h1");
}

static void
teardown (void)
{
  marjoram_placement_destroy (placement);
  marjoram_registry_destroy (registry);
  marjoram_host_list_destroy (hosts);
}

static void
receive_upstream (int64_t now, const char *service, const char *id,
                  const char *zone, int64_t cold_ms, int64_t sequence)
{
  struct marjoram_upstream_heartbeat heartbeat = { .started_at = 1,
                                                   .sequence = sequence,
                                                   .cold_ms = cold_ms,
                                                   .ends_ms = -1,
                                                   .slots = 4 };

  snprintf (heartbeat.id, sizeof heartbeat.id, "%s", id);
  snprintf (heartbeat.service, sizeof heartbeat.service, "%s", service);
  snprintf (heartbeat.address, sizeof heartbeat.address, "10.0.0.%s:80", id);
  snprintf (heartbeat.zone, sizeof heartbeat.zone, "%s", zone);
  marjoram_registry_update (registry, now, &heartbeat, 0);
}

static void
receive_heartbeat (int64_t now, const char *id)
{
  receive_upstream (now, "lm", id, "za", 0, now + 1);
}

/* A prompt that consists of a shared part and one of its own.  */
static struct marjoram_call_metadata
prompt (uint64_t shared, int64_t shared_tokens, uint64_t own,
        int64_t own_tokens)
{
  struct marjoram_call_metadata metadata
      = { .prompt_tokens = shared_tokens + own_tokens,
          .answer_tokens_hint = 50,
          .parts = { { shared, shared_tokens }, { own, own_tokens } },
          .part_count = 2 };

  snprintf (metadata.id, sizeof metadata.id, "%llu", (unsigned long long)own);
  return metadata;
}

static struct marjoram_place_query
make_query (const struct marjoram_call_metadata *metadata, int priority)
{
  struct marjoram_place_query query = { .service = &engine,
                                        .metadata = metadata,
                                        .priority = priority,
                                        .time_left_ms = 1000 };

  return query;
}

/* Chooses an upstream and, if one is found, starts an attempt there.  */
static struct marjoram_place
choose_and_start (int64_t now, const struct marjoram_place_query *query)
{
  struct marjoram_place chosen;
  struct marjoram_place_query started = *query;

  marjoram_placement_choose (placement, now, query, &chosen);
  started.expected_ms = chosen.wait_ms;
  started.copied_tokens = chosen.copied_tokens;
  if (chosen.outcome == MARJORAM_PLACE_FOUND)
    marjoram_placement_attempt_started (placement, now, ++next_attempt,
                                        chosen.upstream->heartbeat.id,
                                        &started);
  return chosen;
}

/* Guards against prefill on other engines of a part that an engine reported as
   cached.  */
START_TEST (prompt_goes_to_engine_reporting_it_cached)
{
  const struct marjoram_prompt_part cached = { 7, 4000 };
  struct marjoram_call_metadata metadata = prompt (7, 4000, 100, 500);
  struct marjoram_place_query query = make_query (&metadata, 1);

  receive_heartbeat (0, "1");
  receive_heartbeat (0, "2");
  receive_heartbeat (0, "3");
  marjoram_placement_add_cached (placement, "2", &cached, 1);
  ck_assert_str_eq (choose_and_start (10, &query).upstream->heartbeat.id, "2");
  marjoram_placement_add_cached (placement, "3", &cached, 1);
  ck_assert_int_lt (choose_and_start (20, &query).wait_ms, 40);
}
END_TEST

/* Guards against connecting to one upstream after another of a zone that has
   lost power, until each has become silent.  */
START_TEST (upstreams_of_dark_zone_are_the_last_choice)
{
  const struct marjoram_prompt_part cached = { 7, 4000 };
  const struct marjoram_call_metadata metadata = prompt (7, 4000, 100, 500);
  const struct marjoram_place_query query = make_query (&metadata, 1);
  struct marjoram_host_beat dead = { .name = (char *)"dead-1",
                                     .zone = (char *)"zb",
                                     .region = (char *)"r1",
                                     .entry = (char *)"dead-1",
                                     .ready = true,
                                     .incarnation = 1,
                                     .sequence = 1 };
  struct marjoram_place chosen;

  receive_upstream (0, "lm", "1", "za", 0, 1);
  receive_upstream (0, "lm", "2", "zb", 0, 1);
  marjoram_placement_add_cached (placement, "2", &cached, 1);
  marjoram_host_list_update (hosts, 0, &dead, true);
  marjoram_placement_choose (placement, 2000, &query, &chosen);
  ck_assert_str_eq (chosen.upstream->heartbeat.id, "2");
  dead.name = (char *)"dead-2";
  dead.entry = (char *)"";
  dead.keeper = true;
  marjoram_host_list_update (hosts, 0, &dead, true);
  marjoram_placement_choose (placement, 2200, &query, &chosen);
  ck_assert_str_eq (chosen.upstream->heartbeat.id, "1");
  dead.sequence = 2;
  marjoram_host_list_update (hosts, 2400, &dead, true);
  marjoram_placement_choose (placement, 2600, &query, &chosen);
  ck_assert_str_eq (chosen.upstream->heartbeat.id, "1");
  receive_upstream (2700, "lm", "2", "zb", 0, 2);
  marjoram_placement_choose (placement, 2800, &query, &chosen);
  ck_assert_str_eq (chosen.upstream->heartbeat.id, "2");
}
END_TEST

/* They are better than none.  */
START_TEST (upstream_of_dark_zone_is_used_if_it_is_the_only_one)
{
  const struct marjoram_call_metadata metadata = prompt (7, 4000, 100, 500);
  const struct marjoram_place_query query = make_query (&metadata, 1);
  struct marjoram_host_beat dead = { .name = (char *)"dead-1",
                                     .zone = (char *)"zb",
                                     .region = (char *)"r1",
                                     .incarnation = 1,
                                     .sequence = 1 };
  struct marjoram_place chosen;

  receive_upstream (0, "lm", "2", "zb", 0, 1);
  marjoram_host_list_update (hosts, 0, &dead, true);
  dead.name = (char *)"dead-2";
  marjoram_host_list_update (hosts, 0, &dead, true);
  marjoram_placement_choose (placement, 2000, &query, &chosen);
  ck_assert_int_eq (chosen.outcome, MARJORAM_PLACE_FOUND);
}
END_TEST

enum
{
  MANY_HOSTS = 40,
  MANY_ENGINES = 400,
  SHARED_PARTS = 100,
  DECIDERS = 4
};

static void
receive_large_region (void)
{
  char name[MARJORAM_ID_MAX];

  for (int i = 0; i < MANY_HOSTS; i++)
    {
      snprintf (name, sizeof name, "host-%d", i);
      receive_host_heartbeat (0, name);
    }
  for (int i = 0; i < MANY_ENGINES; i++)
    {
      snprintf (name, sizeof name, "%d", i);
      receive_heartbeat (0, name);
    }
}

/* The number of engine that HOST chooses for a prompt with PART.  */
static int
choose_at (marjoram_placement *host, uint64_t part, uint64_t own)
{
  const struct marjoram_call_metadata metadata = prompt (part, 4000, own, 500);
  const struct marjoram_place_query query = make_query (&metadata, 1);
  struct marjoram_place chosen;

  marjoram_placement_choose (host, 10, &query, &chosen);
  ck_assert_int_eq (chosen.outcome, MARJORAM_PLACE_FOUND);
  return atoi (chosen.upstream->heartbeat.id);
}

/* Guards against hosts of a large region that each send a shared part to
   another engine until they hear of each other.  */
START_TEST (hosts_agree_on_an_engine_without_reports)
{
  marjoram_placement *deciders[DECIDERS];
  bool used[MANY_ENGINES] = { false };
  int agreed = 0;
  int engines = 0;

  receive_large_region ();
  for (int i = 0; i < DECIDERS; i++)
    deciders[i] = create ((const char *[]){ "h1", "h2", "h3", "h4" }[i]);
  for (uint64_t part = 1; part <= SHARED_PARTS; part++)
    {
      const int first = choose_at (deciders[0], part, 1000 * part);
      int same = 0;

      for (uint64_t i = 1; i < DECIDERS; i++)
        same += choose_at (deciders[i], part, 1000 * part + i) == first;
      agreed += same == DECIDERS - 1;
      engines += !used[first];
      used[first] = true;
    }
  for (int i = 0; i < DECIDERS; i++)
    marjoram_placement_destroy (deciders[i]);
  ck_assert_int_eq (agreed, SHARED_PARTS);
  ck_assert_int_ge (engines, SHARED_PARTS / 2);
}
END_TEST

START_TEST (prompt_goes_to_engine_caching_its_part)
{
  struct marjoram_call_metadata first = prompt (7, 4000, 100, 500);
  struct marjoram_place_query query = make_query (&first, 1);
  char where[MARJORAM_ID_MAX];

  for (int i = 1; i <= 4; i++)
    receive_heartbeat (0, (const char *[]){ "", "1", "2", "3", "4" }[i]);
  snprintf (where, sizeof where, "%s",
            choose_and_start (0, &query).upstream->heartbeat.id);
  marjoram_placement_response_started (placement, 100, 1);
  marjoram_placement_attempt_ended (placement, 200, 1,
                                    MARJORAM_ATTEMPT_SERVED);
  for (uint64_t i = 0; i < 5; i++)
    {
      struct marjoram_call_metadata next = prompt (7, 4000, 200 + i, 500);
      struct marjoram_place chosen;

      query = make_query (&next, 1);
      chosen = choose_and_start (300 + (int64_t)i * 200, &query);
      ck_assert_str_eq (chosen.upstream->heartbeat.id, where);
      ck_assert_int_lt (chosen.wait_ms, 20);
      marjoram_placement_attempt_ended (placement, 400 + (int64_t)i * 200,
                                        next_attempt, MARJORAM_ATTEMPT_SERVED);
    }
}
END_TEST

/* Guards against prefill of a prompt that can be copied from a busy engine of
   the same zone, and against copies between zones.  */
START_TEST (cached_prompt_is_copied_from_busy_engine)
{
  struct marjoram_service_rule copying = engine;
  struct marjoram_call_metadata first = prompt (7, 6000, 100, 10);
  struct marjoram_call_metadata other = prompt (8, 3000, 200, 1000);
  struct marjoram_call_metadata next = prompt (7, 6000, 300, 10);
  struct marjoram_place_query query = make_query (&first, 1);
  struct marjoram_place chosen;

  copying.engine.copied_per_ms = 400;
  query.service = &copying;
  receive_heartbeat (0, "1");
  ck_assert_ptr_null (choose_and_start (0, &query).copy_from);
  marjoram_placement_response_started (placement, 150, 1);
  marjoram_placement_attempt_ended (placement, 200, 1,
                                    MARJORAM_ATTEMPT_SERVED);
  query.metadata = &other;
  choose_and_start (300, &query);
  receive_heartbeat (300, "2");
  receive_upstream (300, "lm", "3", "zb", 0, 301);
  query.metadata = &next;
  chosen = choose_and_start (310, &query);
  ck_assert_str_eq (chosen.upstream->heartbeat.id, "2");
  ck_assert_str_eq (chosen.copy_from->heartbeat.id, "1");
  ck_assert_int_eq (chosen.copied_tokens, 6000);
  ck_assert_int_lt (chosen.wait_ms, 30);
  /* No engine in the zone of upstream 3 has it cached.  */
  query.tried[query.tried_count++] = "1";
  query.tried[query.tried_count++] = "2";
  chosen = choose_and_start (320, &query);
  ck_assert_str_eq (chosen.upstream->heartbeat.id, "3");
  ck_assert_ptr_null (chosen.copy_from);
}
END_TEST

/* Guards against a copy from an engine that may have restarted with an empty
   cache.  */
START_TEST (nothing_is_copied_after_connection_loss)
{
  struct marjoram_service_rule copying = engine;
  struct marjoram_call_metadata first = prompt (7, 6000, 100, 10);
  struct marjoram_place_query query = make_query (&first, 1);
  struct marjoram_place chosen;

  copying.engine.copied_per_ms = 400;
  query.service = &copying;
  receive_heartbeat (10, "1");
  choose_and_start (10, &query);
  marjoram_placement_attempt_ended (placement, 200, 1,
                                    MARJORAM_ATTEMPT_SERVED);
  receive_heartbeat (300, "2");
  marjoram_placement_connection_lost (placement, 400, "10.0.0.1:80", true);
  query.tried[query.tried_count++] = "1";
  chosen = choose_and_start (410, &query);
  ck_assert_str_eq (chosen.upstream->heartbeat.id, "2");
  ck_assert_ptr_null (chosen.copy_from);
}
END_TEST

/* An upstream refuses a request that is sent to it now, and tells this host to
   wait.  */
static void
refuse_with_retry_after (int64_t now, const struct marjoram_place_query *query,
                         int64_t retry_after_ms)
{
  choose_and_start (now, query);
  ck_assert (marjoram_placement_set_retry_after (placement, now, next_attempt,
                                                 retry_after_ms));
  marjoram_placement_attempt_ended (placement, now, next_attempt,
                                    MARJORAM_ATTEMPT_REFUSED);
}

/* Guards against a copy from an engine that told this host to wait.  */
START_TEST (nothing_is_copied_during_retry_after)
{
  struct marjoram_service_rule copying = engine;
  struct marjoram_call_metadata first = prompt (7, 6000, 100, 10);
  struct marjoram_place_query query = make_query (&first, 1);
  struct marjoram_place chosen;

  copying.engine.copied_per_ms = 400;
  query.service = &copying;
  receive_heartbeat (10, "1");
  choose_and_start (10, &query);
  marjoram_placement_attempt_ended (placement, 200, 1,
                                    MARJORAM_ATTEMPT_SERVED);
  refuse_with_retry_after (210, &query, 1000);
  receive_heartbeat (300, "2");
  chosen = choose_and_start (410, &query);
  ck_assert_str_eq (chosen.upstream->heartbeat.id, "2");
  ck_assert_ptr_null (chosen.copy_from);
}
END_TEST

/* Guards against other regions sending requests that can't be placed here.  */
START_TEST (nothing_is_offered_during_retry_after)
{
  struct marjoram_call_metadata first = prompt (7, 600, 100, 10);
  struct marjoram_place_query query = make_query (&first, 1);
  struct marjoram_host_offer offer;

  receive_heartbeat (10, "1");
  marjoram_placement_offer (placement, 20, &engine, &offer);
  ck_assert_uint_eq (offer.upstreams, 1);
  refuse_with_retry_after (30, &query, 1000);
  marjoram_placement_offer (placement, 500, &engine, &offer);
  ck_assert_uint_eq (offer.upstreams, 0);
  marjoram_placement_offer (placement, 1100, &engine, &offer);
  ck_assert_uint_eq (offer.upstreams, 1);
}
END_TEST

/* Guards against a gap in the heartbeats that ends the time.  */
START_TEST (retry_after_outlives_the_registry_entry)
{
  struct marjoram_call_metadata first = prompt (7, 600, 100, 10);
  struct marjoram_place_query query = make_query (&first, 1);
  struct marjoram_load_report report;
  struct marjoram_place chosen;

  receive_heartbeat (10, "1");
  refuse_with_retry_after (30, &query, 300000);
  /* Parts that are not reported yet keep the endpoint as well.  */
  marjoram_placement_report (placement, 40, &report);
  marjoram_wire_clear (&marjoram_load_report_layout, &report);
  for (int64_t now = 1000; now < 100000; now += 1000)
    {
      receive_upstream (now, "app", "2", "za", 0, now + 1);
      marjoram_registry_tick (registry, now);
      marjoram_placement_tick (placement, now);
    }
  ck_assert_ptr_null (marjoram_registry_find (registry, "1"));
  receive_heartbeat (100000, "1");
  marjoram_placement_choose (placement, 100010, &query, &chosen);
  ck_assert_int_eq (chosen.outcome, MARJORAM_PLACE_NONE);
  ck_assert_int_eq (chosen.excluded[MARJORAM_EXCLUDED_RETRY_AFTER], 1);
  ck_assert_int_eq (chosen.limit, MARJORAM_PLACE_LIMIT_RETRY_AFTER);
  ck_assert_int_eq (chosen.retry_wait_ms, 200020);
}
END_TEST

static void
set_build (int64_t now, const char *id, const char *build)
{
  struct marjoram_upstream_heartbeat heartbeat
      = marjoram_registry_find (registry, id)->heartbeat;

  heartbeat.sequence++;
  snprintf (heartbeat.build, sizeof heartbeat.build, "%s", build);
  marjoram_registry_update (registry, now, &heartbeat, 0);
}

/* Guards against a run that goes on from what another build cached.  */
START_TEST (nothing_is_copied_from_another_build)
{
  struct marjoram_service_rule copying = engine;
  struct marjoram_call_metadata first = prompt (7, 6000, 100, 10);
  struct marjoram_place_query query = make_query (&first, 1);
  struct marjoram_place chosen;

  copying.engine.copied_per_ms = 400;
  query.service = &copying;
  receive_heartbeat (10, "1");
  choose_and_start (10, &query);
  marjoram_placement_attempt_ended (placement, 200, 1,
                                    MARJORAM_ATTEMPT_SERVED);
  receive_heartbeat (300, "2");
  query.tried[query.tried_count++] = "1";
  set_build (310, "1", "v1");
  set_build (310, "2", _i == 0 ? "v1" : "v1.1");
  chosen = choose_and_start (410, &query);
  ck_assert_str_eq (chosen.upstream->heartbeat.id, "2");
  ck_assert (_i == 0 ? chosen.copy_from != NULL : chosen.copy_from == NULL);
}
END_TEST

/* Guards against queueing all prompts that share a part on the engine that
   caches it while others are idle.  */
START_TEST (shared_part_is_spread_over_idle_engines)
{
  int at[5] = { 0 };

  for (int i = 1; i <= 4; i++)
    receive_heartbeat (0, (const char *[]){ "", "1", "2", "3", "4" }[i]);
  for (uint64_t i = 0; i < 12; i++)
    {
      struct marjoram_call_metadata metadata = prompt (7, 4000, 100 + i, 3000);
      struct marjoram_place_query query = make_query (&metadata, 1);
      struct marjoram_place chosen = choose_and_start (0, &query);

      if (chosen.outcome == MARJORAM_PLACE_FOUND)
        at[atoi (chosen.upstream->heartbeat.id)]++;
    }
  for (int i = 1; i <= 4; i++)
    ck_assert_int_ge (at[i], 1);
}
END_TEST

/* Guards against an unbounded prefill queue: excess requests are rejected at
   once with a retry delay.  */
START_TEST (queue_of_prompts_is_bounded)
{
  struct marjoram_place chosen = { 0 };
  int accepted = 0;

  receive_heartbeat (0, "1");
  for (uint64_t i = 0; i < 20; i++)
    {
      struct marjoram_call_metadata metadata
          = prompt (100 + i, 4000, 500 + i, 3000);
      struct marjoram_place_query query = make_query (&metadata, 1);

      chosen = choose_and_start (0, &query);
      accepted += chosen.outcome == MARJORAM_PLACE_FOUND;
    }
  ck_assert_int_ge (accepted, 1);
  ck_assert_int_le (accepted, 3);
  ck_assert_int_eq (chosen.outcome, MARJORAM_PLACE_BUSY);
  ck_assert_int_gt (chosen.retry_ms, 0);
}
END_TEST

/* Guards against rejecting urgent requests because of queued lower-priority
   prompts.  */
START_TEST (urgent_requests_bypass_the_queue)
{
  struct marjoram_call_metadata urgent = prompt (9, 100, 10, 600);
  struct marjoram_place_query query;

  receive_heartbeat (0, "1");
  for (uint64_t i = 0; i < 20; i++)
    {
      struct marjoram_call_metadata metadata
          = prompt (100 + i, 4000, 500 + i, 3000);

      query = make_query (&metadata, 1);
      choose_and_start (0, &query);
    }
  query = make_query (&urgent, 0);
  ck_assert_int_eq (choose_and_start (0, &query).outcome,
                    MARJORAM_PLACE_FOUND);
}
END_TEST

/* Guards against several hosts together exceeding the request rate that a cold
   upstream withstands.  */
START_TEST (cold_upstream_gets_requests_from_one_host)
{
  marjoram_placement *others[2] = { create ("h2"), create ("h3") };
  int sent = 0;

  receive_host_heartbeat (0, "h2");
  receive_host_heartbeat (0, "h3");
  receive_upstream (0, "lm", "1", "za", 3000, 1);
  for (int64_t now = 1; now < 1000; now += 10)
    for (int i = 0; i < 3; i++)
      {
        struct marjoram_call_metadata metadata
            = prompt (7, 10, (uint64_t)now * 3 + (uint64_t)i, 10);
        struct marjoram_place_query query = make_query (&metadata, 1);
        marjoram_placement *by = i == 0 ? placement : others[i - 1];
        struct marjoram_place chosen;

        marjoram_placement_choose (by, now, &query, &chosen);
        if (chosen.outcome != MARJORAM_PLACE_FOUND)
          continue;
        sent++;
        marjoram_placement_attempt_started (by, now, ++next_attempt, "1",
                                            &query);
        marjoram_placement_attempt_ended (by, now, next_attempt,
                                          MARJORAM_ATTEMPT_SERVED);
      }
  ck_assert_int_ge (sent, 1);
  ck_assert_int_le (sent, 2);
  marjoram_placement_destroy (others[0]);
  marjoram_placement_destroy (others[1]);
}
END_TEST

/* Guards against sending at full rate to an upstream that restarted cold,
   before its next heartbeat.  */
START_TEST (disconnected_upstream_is_cold_until_heartbeat)
{
  int sent = 0;

  receive_heartbeat (0, "1");
  marjoram_placement_connection_lost (placement, 100, "10.0.0.1:80", true);
  for (int64_t now = 110; now < 1110; now += 20)
    {
      struct marjoram_call_metadata metadata
          = prompt (7, 10, (uint64_t)now, 10);
      struct marjoram_place_query query = make_query (&metadata, 1);

      if (choose_and_start (now, &query).outcome != MARJORAM_PLACE_FOUND)
        continue;
      sent++;
      marjoram_placement_attempt_ended (placement, now, next_attempt,
                                        MARJORAM_ATTEMPT_SERVED);
    }
  ck_assert_int_le (sent, 2);
  receive_host_heartbeat (1200, "h1");
  receive_heartbeat (1200, "1");
  sent = 0;
  for (int64_t now = 1210; now < 1410; now += 20)
    {
      struct marjoram_call_metadata metadata
          = prompt (7, 10, (uint64_t)now, 10);
      struct marjoram_place_query query = make_query (&metadata, 1);

      sent += choose_and_start (now, &query).outcome == MARJORAM_PLACE_FOUND;
    }
  ck_assert_int_eq (sent, 10);
}
END_TEST

/* Guards against hosts that take an upstream for restarted because another
   host lost its way to it.  */
START_TEST (reported_loss_does_not_outweigh_own_data)
{
  marjoram_placement *other = create ("h2");
  const struct marjoram_call_metadata metadata = prompt (7, 10, 8, 10);
  const struct marjoram_place_query query = make_query (&metadata, 1);
  struct marjoram_load_report report;
  struct marjoram_place chosen;

  receive_host_heartbeat (0, "h2");
  receive_heartbeat (0, "1");
  ck_assert_int_eq (choose_and_start (10, &query).outcome,
                    MARJORAM_PLACE_FOUND);
  marjoram_placement_connection_lost (other, 400, "10.0.0.1:80", false);
  marjoram_placement_report (other, 410, &report);
  ck_assert_uint_eq (report.items.count, 0);
  marjoram_wire_clear (&marjoram_load_report_layout, &report);
  marjoram_placement_connection_lost (other, 420, "10.0.0.1:80", true);
  marjoram_placement_report (other, 430, &report);
  marjoram_placement_apply_report (placement, 440, "h2", &report);
  marjoram_wire_clear (&marjoram_load_report_layout, &report);
  choose_and_start (450, &query);
  marjoram_placement_choose (placement, 460, &query, &chosen);
  ck_assert_int_eq (chosen.excluded[MARJORAM_EXCLUDED_REPORTED_LOST], 1);
  marjoram_placement_data_received (placement, 470, 1);
  marjoram_placement_choose (placement, 480, &query, &chosen);
  ck_assert_int_eq (chosen.outcome, MARJORAM_PLACE_FOUND);
  marjoram_placement_destroy (other);
}
END_TEST

/* Guards against hosts that take each other's word of one limit for another,
   and tell it again for each response.  */
START_TEST (rate_limit_with_many_decimals_is_told_once)
{
  marjoram_placement *other = create ("h2");
  const struct marjoram_call_metadata metadata = prompt (7, 10, 8, 10);
  const struct marjoram_place_query query = make_query (&metadata, 1);
  struct marjoram_load_report report;

  receive_heartbeat (0, "1");
  choose_and_start (10, &query);
  marjoram_placement_attempt_started (other, 10, 1, "1", &query);
  ck_assert (marjoram_placement_set_rate_limit (placement, 20, 1, 1.23456));
  marjoram_placement_report (placement, 30, &report);
  marjoram_placement_apply_report (other, 40, "h1", &report);
  marjoram_wire_clear (&marjoram_load_report_layout, &report);
  ck_assert (!marjoram_placement_set_rate_limit (other, 50, 1, 1.23456));
  marjoram_placement_destroy (other);
}
END_TEST

/* Guards against sending at full rate to a restored zone that may be cold, and
   against throttling it after its next heartbeat.  */
START_TEST (restored_zone_is_cold_until_heartbeat)
{
  struct marjoram_call_metadata metadata = prompt (7, 10, 8, 10);
  struct marjoram_place_query query = make_query (&metadata, 1);

  receive_heartbeat (0, "1");
  evacuated = "za";
  ck_assert_int_eq (choose_and_start (0, &query).outcome, MARJORAM_PLACE_NONE);
  evacuated = NULL;
  marjoram_placement_zone_restored (placement, 10, "za");
  ck_assert_int_eq (choose_and_start (20, &query).outcome,
                    MARJORAM_PLACE_FOUND);
  ck_assert_int_eq (choose_and_start (40, &query).outcome,
                    MARJORAM_PLACE_NONE);
  receive_heartbeat (400, "1");
  ck_assert_int_eq (choose_and_start (410, &query).outcome,
                    MARJORAM_PLACE_FOUND);
  ck_assert_int_eq (choose_and_start (420, &query).outcome,
                    MARJORAM_PLACE_FOUND);
  marjoram_placement_zone_restored (placement, 500, "za");
  receive_upstream (900, "lm", "1", "za", 2000, 901);
  ck_assert_int_eq (choose_and_start (1000, &query).outcome,
                    MARJORAM_PLACE_FOUND);
  ck_assert_int_eq (choose_and_start (1020, &query).outcome,
                    MARJORAM_PLACE_NONE);
}
END_TEST

/* Guards against sending to an engine that has become slow, which only its
   missing or late responses show.  */
START_TEST (slow_engine_is_avoided)
{
  struct marjoram_call_metadata metadata = prompt (7, 4000, 8, 100);
  struct marjoram_place_query query = make_query (&metadata, 1);
  char slow[MARJORAM_ID_MAX];
  struct marjoram_place chosen;

  receive_heartbeat (0, "1");
  receive_heartbeat (0, "2");
  chosen = choose_and_start (0, &query);
  snprintf (slow, sizeof slow, "%s", chosen.upstream->heartbeat.id);
  marjoram_placement_response_started (placement, 110, 1);
  marjoram_placement_attempt_ended (placement, 120, 1,
                                    MARJORAM_ATTEMPT_SERVED);
  /* It caches the part, so the next request is sent there and waits.  */
  ck_assert_str_eq (choose_and_start (200, &query).upstream->heartbeat.id,
                    slow);
  ck_assert_str_ne (choose_and_start (1200, &query).upstream->heartbeat.id,
                    slow);
  marjoram_placement_response_started (placement, 1300, 3);
  marjoram_placement_attempt_ended (placement, 1400, 3,
                                    MARJORAM_ATTEMPT_SERVED);
  marjoram_placement_response_started (placement, 2200, 2);
  marjoram_placement_attempt_ended (placement, 2300, 2,
                                    MARJORAM_ATTEMPT_SERVED);
  ck_assert_str_ne (choose_and_start (2400, &query).upstream->heartbeat.id,
                    slow);
}
END_TEST

START_TEST (only_the_local_region_is_used)
{
  struct marjoram_call_metadata metadata = prompt (7, 10, 8, 10);
  struct marjoram_place_query query = make_query (&metadata, 1);

  receive_upstream (0, "lm", "1", "far", 0, 1);
  ck_assert_int_eq (choose_and_start (0, &query).outcome, MARJORAM_PLACE_NONE);
}
END_TEST

START_TEST (unreachable_and_replaced_upstreams_are_skipped)
{
  struct marjoram_call_metadata metadata = prompt (7, 10, 8, 10);
  struct marjoram_place_query query = make_query (&metadata, 1);

  receive_heartbeat (0, "1");
  choose_and_start (0, &query);
  marjoram_placement_attempt_ended (placement, 10, next_attempt,
                                    MARJORAM_ATTEMPT_UNREACHED);
  ck_assert_int_eq (choose_and_start (20, &query).outcome,
                    MARJORAM_PLACE_NONE);
  ck_assert_int_eq (choose_and_start (400, &query).outcome,
                    MARJORAM_PLACE_FOUND);
  /* Another upstream owns its address: only its own heartbeat makes it usable
     again.  */
  marjoram_placement_attempt_ended (placement, 410, next_attempt,
                                    MARJORAM_ATTEMPT_WRONG_UPSTREAM);
  ck_assert_int_eq (choose_and_start (5000, &query).outcome,
                    MARJORAM_PLACE_NONE);
  receive_heartbeat (5100, "1");
  ck_assert_int_eq (choose_and_start (5200, &query).outcome,
                    MARJORAM_PLACE_FOUND);
}
END_TEST

/* Guards against rejecting requests when the only upstream is suspected, and
   against preferring it to a healthy one.  */
START_TEST (suspected_upstream_is_used_as_last_resort)
{
  struct marjoram_call_metadata metadata = prompt (7, 10, 8, 10);
  struct marjoram_place_query query = make_query (&metadata, 1);

  receive_heartbeat (0, "1");
  for (int i = 0; i < 4; i++)
    {
      ck_assert_int_eq (choose_and_start (i, &query).outcome,
                        MARJORAM_PLACE_FOUND);
      marjoram_placement_attempt_ended (placement, i, next_attempt,
                                        MARJORAM_ATTEMPT_BROKEN);
    }
  receive_heartbeat (10, "2");
  for (int i = 0; i < 4; i++)
    ck_assert_str_eq (choose_and_start (20 + i, &query).upstream->heartbeat.id,
                      "2");
}
END_TEST

/* Guards against rejecting all requests for good after a period of slow
   responses: estimates improve only through new requests.  */
START_TEST (slow_responses_do_not_block_a_service)
{
  const struct marjoram_call_metadata small = prompt (7, 10, 8, 10);
  struct marjoram_place_query queries[2] = { make_query (&small, 1) };

  queries[1] = queries[0];
  queries[1].service = &plain;
  for (int64_t i = 0; i < 60; i++)
    for (int kind = 0; kind < 2; kind++)
      {
        struct marjoram_place_query query = queries[kind];

        query.time_left_ms = 60000;
        receive_heartbeat (i * 3000, "1");
        receive_upstream (i * 3000, "app", "2", "za", 0, i + 1);
        ck_assert_int_eq (choose_and_start (i * 3000, &query).outcome,
                          MARJORAM_PLACE_FOUND);
        marjoram_placement_response_started (placement, i * 3000 + 2900,
                                             next_attempt);
        marjoram_placement_attempt_ended (
            placement, i * 3000 + 2900, next_attempt, MARJORAM_ATTEMPT_SERVED);
      }
  for (int kind = 0; kind < 2; kind++)
    {
      queries[kind].time_left_ms = 300;
      ck_assert_int_eq (choose_and_start (180000, &queries[kind]).outcome,
                        MARJORAM_PLACE_FOUND);
    }
}
END_TEST

START_TEST (plain_requests_go_to_the_least_loaded)
{
  struct marjoram_call_metadata metadata = { 0 };
  struct marjoram_place_query query
      = { .service = &plain, .metadata = &metadata, .time_left_ms = 300 };
  int at[3] = { 0 };

  receive_upstream (0, "app", "1", "za", 0, 1);
  receive_upstream (0, "app", "2", "za", 0, 1);
  for (int i = 0; i < 8; i++)
    {
      snprintf (metadata.id, sizeof metadata.id, "%d", i);
      at[atoi (choose_and_start (0, &query).upstream->heartbeat.id)]++;
    }
  ck_assert_int_eq (at[1], 4);
  ck_assert_int_eq (at[2], 4);
}
END_TEST

/* Guards against ignoring the load that other hosts report, and against
   counting it after they fall silent.  */
START_TEST (load_of_other_hosts_counts)
{
  marjoram_placement *other = create ("h2");
  struct marjoram_load_report report;
  struct marjoram_call_metadata metadata = prompt (7, 4000, 8, 4000);
  struct marjoram_place_query query = make_query (&metadata, 1);
  struct marjoram_place chosen;

  receive_heartbeat (0, "1");
  choose_and_start (0, &query);
  marjoram_placement_report (placement, 5, &report);
  marjoram_placement_apply_report (other, 10, "h1", &report);
  marjoram_wire_clear (&marjoram_load_report_layout, &report);
  marjoram_placement_choose (other, 20, &query, &chosen);
  ck_assert_int_eq (chosen.outcome, MARJORAM_PLACE_BUSY);
  marjoram_placement_choose (other, 5000, &query, &chosen);
  ck_assert_int_eq (chosen.outcome, MARJORAM_PLACE_FOUND);
  /* The part that the first host placed is known to be cached there.  */
  ck_assert_int_lt (chosen.wait_ms, 20);
  marjoram_placement_destroy (other);
}
END_TEST

/* Guards against hosts of a region counting on more of its engines than there
   are, as a host is not in its own list.  */
START_TEST (host_counts_itself_among_the_shares_of_engines)
{
  struct marjoram_call_metadata metadata = prompt (7, 4000, 100, 500);
  struct marjoram_place_query query = make_query (&metadata, 1);
  marjoram_placement *unlisted = create ("h2");
  struct marjoram_place chosen;

  receive_heartbeat (0, "1");
  receive_heartbeat (0, "2");
  marjoram_placement_choose (unlisted, 10, &query, &chosen);
  ck_assert_int_eq (chosen.usable, 2);
  ck_assert_double_eq_tol (chosen.tokens_per_ms, chosen.engine_tokens_per_ms,
                           0.001);
  marjoram_placement_destroy (unlisted);
}
END_TEST

/* Guards against a host that lets too few requests wait because it counts
   hosts that have lost their connections to the engines.  */
START_TEST (hosts_without_engines_have_no_share_of_them)
{
  const struct marjoram_call_metadata metadata = prompt (7, 4000, 100, 500);
  const struct marjoram_place_query query = make_query (&metadata, 1);
  struct marjoram_place chosen;

  receive_heartbeat (0, "1");
  receive_host (0, "h2", false);
  receive_host (0, "h3", true);
  marjoram_placement_choose (placement, 10, &query, &chosen);
  ck_assert_double_eq_tol (2 * chosen.tokens_per_ms,
                           chosen.engine_tokens_per_ms, 0.001);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("placement");
  TCase *c = tcase_create ("placement");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, prompt_goes_to_engine_reporting_it_cached);
  tcase_add_test (c, hosts_agree_on_an_engine_without_reports);
  tcase_add_test (c, upstreams_of_dark_zone_are_the_last_choice);
  tcase_add_test (c, upstream_of_dark_zone_is_used_if_it_is_the_only_one);
  tcase_add_test (c, prompt_goes_to_engine_caching_its_part);
  tcase_add_test (c, cached_prompt_is_copied_from_busy_engine);
  tcase_add_test (c, nothing_is_copied_after_connection_loss);
  tcase_add_test (c, nothing_is_copied_during_retry_after);
  tcase_add_test (c, nothing_is_offered_during_retry_after);
  tcase_add_test (c, retry_after_outlives_the_registry_entry);
  tcase_add_loop_test (c, nothing_is_copied_from_another_build, 0, 2);
  tcase_add_test (c, shared_part_is_spread_over_idle_engines);
  tcase_add_test (c, queue_of_prompts_is_bounded);
  tcase_add_test (c, urgent_requests_bypass_the_queue);
  tcase_add_test (c, cold_upstream_gets_requests_from_one_host);
  tcase_add_test (c, disconnected_upstream_is_cold_until_heartbeat);
  tcase_add_test (c, reported_loss_does_not_outweigh_own_data);
  tcase_add_test (c, rate_limit_with_many_decimals_is_told_once);
  tcase_add_test (c, restored_zone_is_cold_until_heartbeat);
  tcase_add_test (c, slow_engine_is_avoided);
  tcase_add_test (c, only_the_local_region_is_used);
  tcase_add_test (c, unreachable_and_replaced_upstreams_are_skipped);
  tcase_add_test (c, suspected_upstream_is_used_as_last_resort);
  tcase_add_test (c, slow_responses_do_not_block_a_service);
  tcase_add_test (c, plain_requests_go_to_the_least_loaded);
  tcase_add_test (c, load_of_other_hosts_counts);
  tcase_add_test (c, host_counts_itself_among_the_shares_of_engines);
  tcase_add_test (c, hosts_without_engines_have_no_share_of_them);
  suite_add_tcase (s, c);
  return s;
}
