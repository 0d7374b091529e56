/* Admission and routing: residency, forwarding loops, stale offers and
   reports, dead and restarted upstreams, retries.  */
#include "suite.h"

#include "config_spec.h"
#include "route.h"

#include <string.h>

enum
{
  SLOTS = 4,
  QUEUE_LENGTH = 5 * SLOTS,
  SHORT_QUEUE_LENGTH = 2 * SLOTS,
  IDLE_ENGINES = 9,
  IDLE_SLOTS = IDLE_ENGINES * SLOTS,
  LINK_MS = 52,
  HOST_MAX = 12,
  SEEDS = 50
};

struct node
{
  marjoram_members *members;
  marjoram_suspects *suspects;
  marjoram_random *random;
  marjoram_router *router;
};

static marjoram_config *config;
static struct node nodes[HOST_MAX];
static int node_count;

static struct config_spec
default_spec (void)
{
  return (struct config_spec){ .regions = 3,
                               .zones = 1,
                               .slots = 3,
                               .works = 2,
                               .services = 1,
                               .callers = 3,
                               .rate = 100,
                               .burst = 100,
                               .prefill_rate = 2000,
                               .decode_rate = 30 };
}

static void
use_config (const struct config_spec *spec)
{
  marjoram_config_release (config);
  config = config_from_spec (spec);
}

static struct node *
add_node (int zone, int ordinal, uint64_t seed)
{
  struct node *node = &nodes[node_count++];
  const char *name = marjoram_config_zone (config, zone)->name;

  node->members = marjoram_members_create (name, ordinal);
  node->suspects = marjoram_suspects_create (60000);
  node->random = marjoram_random_create (seed);
  node->router = marjoram_router_create (name, node->members, node->suspects,
                                         node->random);
  marjoram_router_configure (node->router, 0, config);
  return node;
}

static void
setup (void)
{
  struct config_spec spec = default_spec ();

  config = NULL;
  use_config (&spec);
  node_count = 0;
}

static void
teardown (void)
{
  for (int i = 0; i < node_count; i++)
    {
      marjoram_router_destroy (nodes[i].router);
      marjoram_random_destroy (nodes[i].random);
      marjoram_suspects_destroy (nodes[i].suspects);
      marjoram_members_destroy (nodes[i].members);
    }
  marjoram_config_release (config);
}

static void
announce (struct node *node, int64_t now, const char *name, uint64_t sequence,
          uint64_t running)
{
  struct marjoram_work_name work = { (char *)"w00" };
  struct marjoram_announcement a = {
    .name = (char *)name,
    .incarnation = 1,
    .sequence = sequence,
    .zone = (char *)marjoram_members_zone (node->members),
    .engine = true,
    .slots = SLOTS,
    .lease_ms = 60000,
    .running = running,
    .works = { &work, 1 },
  };

  ck_assert_int_ne (marjoram_members_announce (node->members, now, &a, false),
                    MARJORAM_ANNOUNCE_WRONG_ZONE);
}

static void
offer_capacity (struct node *node, int64_t now, int zone, uint64_t room)
{
  struct marjoram_offer offer = { (char *)"w00", room, 0, 3 };
  struct marjoram_offers offers = {
    .zone = marjoram_config_zone (config, zone)->name,
    .offers = { &offer, 1 },
  };

  marjoram_router_process_offers (node->router, now, &offers, LINK_MS);
}

static struct marjoram_query
query (int64_t deadline)
{
  return (struct marjoram_query){ .deadline = deadline,
                                  .prompt_tokens = 400,
                                  .answer_tokens = 60 };
}

static struct marjoram_choice
choose (struct node *node, int64_t now, const struct marjoram_query *q)
{
  struct marjoram_choice choice;

  marjoram_router_choose (node->router, now, q, &choice);
  if (choice.verdict == MARJORAM_VERDICT_REFUSE)
    ck_assert_int_gt (choice.retry_ms, 0);
  return choice;
}

#define assert_refused(choice, why)                                           \
  do                                                                          \
    {                                                                         \
      ck_assert_int_eq ((choice).verdict, MARJORAM_VERDICT_REFUSE);           \
      ck_assert_str_eq (marjoram_reason_name ((choice).reason),               \
                        marjoram_reason_name (why));                          \
    }                                                                         \
  while (0)

/* Guards against forwarding to a forbidden region with free capacity when the
   allowed region is full.  */
START_TEST (residency_under_overload)
{
  struct config_spec spec = default_spec ();
  struct node *node;

  spec.allowed = 1;
  use_config (&spec);
  node = add_node (0, 0, (uint64_t)_i);
  announce (node, 0, "lm-1", 1, 100);
  for (int64_t now = 0; now < 5000; now += 100)
    {
      struct marjoram_query q = query (now + 1000);

      if (now % 1000 == 0)
        {
          offer_capacity (node, now, 1, 100);
          offer_capacity (node, now, 2, 100);
        }
      assert_refused (choose (node, now, &q), MARJORAM_REASON_RESIDENCY);
    }
}
END_TEST

/* Guards against using offers that a newer configuration forbids.  */
START_TEST (residency_of_the_newest_configuration)
{
  struct config_spec spec = default_spec ();
  struct node *node = add_node (0, 0, 1);
  struct marjoram_query q = query (3000);

  offer_capacity (node, 0, 1, 100);
  ck_assert_int_eq (choose (node, 0, &q).verdict, MARJORAM_VERDICT_FORWARD);
  spec.allowed = 1;
  use_config (&spec);
  marjoram_router_configure (node->router, 10, config);
  assert_refused (choose (node, 10, &q), MARJORAM_REASON_RESIDENCY);
}
END_TEST

/* Guards against running a request that a host with an older configuration
   forwarded to a forbidden region.  */
START_TEST (residency_at_receipt)
{
  struct config_spec spec = default_spec ();
  struct marjoram_query q = query (3000);
  struct node *node;

  spec.allowed = 1;
  use_config (&spec);
  node = add_node (1, 0, 1);
  announce (node, 0, "lm-1", 1, 0);
  q.forwarded = true;
  assert_refused (choose (node, 0, &q), MARJORAM_REASON_RESIDENCY);
}
END_TEST

/* Guards against a forwarding loop between two full zones with stale
   offers.  */
START_TEST (full_zones_with_stale_offers)
{
  struct node *a = add_node (0, 0, 1);
  struct node *b = add_node (1, 0, 2);
  struct marjoram_query q = query (12500);
  struct marjoram_choice first;

  announce (a, 0, "lm-1", 1, 100);
  announce (b, 0, "lm-2", 1, 100);
  for (int64_t now = 0; now < 3000; now += 1000)
    {
      offer_capacity (a, now, 1, 100);
      offer_capacity (b, now, 0, 100);
    }
  first = choose (a, 2500, &q);
  ck_assert_int_eq (first.verdict, MARJORAM_VERDICT_FORWARD);
  ck_assert_int_eq (first.zone, 1);
  q.forwarded = true;
  assert_refused (choose (b, 2560, &q), MARJORAM_REASON_OVERLOAD);
  q.forwarded = false;
  q.zones_tried[q.zones_tried_count++] = 1;
  assert_refused (choose (a, 2620, &q), MARJORAM_REASON_OVERLOAD);
  /* A bound request is not forwarded either.  */
  q.zones_tried_count = 0;
  q.bound = true;
  assert_refused (choose (a, 2630, &q), MARJORAM_REASON_OVERLOAD);
}
END_TEST

START_TEST (refusing_zone_is_backed_off)
{
  struct node *a = add_node (0, 0, 1);
  struct marjoram_query q = query (100000);

  offer_capacity (a, 0, 1, 100);
  ck_assert_int_eq (choose (a, 0, &q).verdict, MARJORAM_VERDICT_FORWARD);
  marjoram_router_forward_started (a->router, 0, 1, 0);
  marjoram_router_forward_ended (a->router, 100, 1, 0, true);
  offer_capacity (a, 200, 1, 100);
  ck_assert_int_eq (choose (a, 200, &q).verdict, MARJORAM_VERDICT_REFUSE);
  offer_capacity (a, 3000, 1, 100);
  ck_assert_int_eq (choose (a, 3000, &q).verdict, MARJORAM_VERDICT_FORWARD);
}
END_TEST

/* Number of requests that NODE forwards to ZONE until it stops.  */
static int
forward_until_refused (struct node *node, int64_t now, int zone)
{
  int sent = 0;

  for (; sent < 1000; sent++)
    {
      struct marjoram_query q = query (now + 30000);
      struct marjoram_choice choice = choose (node, now, &q);

      if (choice.verdict != MARJORAM_VERDICT_FORWARD || choice.zone != zone)
        break;
      marjoram_router_forward_started (node->router, now, zone, 0);
    }
  return sent;
}

/* Guards against overload of an idle zone by many hosts after a partition
   heals.  */
START_TEST (no_overload_after_partition_heals)
{
  struct node *idle = add_node (2, 0, (uint64_t)_i + 100);
  struct node *full[6];

  for (int i = 0; i < 6; i++)
    full[i] = add_node (i / 3, i % 3, (uint64_t)_i * 10 + (uint64_t)i);
  for (int i = 0; i < IDLE_ENGINES; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "lm-%d", i);
      announce (idle, 59000, name, 1, 0);
    }
  /* Grows the limits on concurrent requests before the partition.  */
  for (int64_t now = 0; now < 5000; now += 1000)
    for (int i = 0; i < 6; i++)
      offer_capacity (full[i], now, 2, 100);
  for (int round = 0; round < 6; round++)
    {
      int64_t now = 60000 - 1 + round * 1000;
      int sent = 0;

      for (int i = 0; i < 6; i++)
        {
          struct marjoram_offers offers;
          int forwarded_count;

          marjoram_router_build_offers (idle->router, now - LINK_MS, i / 3,
                                        &offers);
          marjoram_router_process_offers (full[i]->router, now, &offers,
                                          LINK_MS);
          marjoram_wire_clear (&marjoram_offers_layout, &offers);
          forwarded_count = forward_until_refused (full[i], now, 2);
          if (round == 0)
            ck_assert_int_le (forwarded_count, MARJORAM_OFFER_RAMP_START);
          sent += forwarded_count;
        }
      ck_assert_int_le (sent, IDLE_SLOTS);
    }
}
END_TEST

START_TEST (offers_expire)
{
  struct node *node = add_node (0, 0, 1);
  struct marjoram_query q = query (100000);

  offer_capacity (node, 0, 1, 5);
  ck_assert_int_eq (choose (node, MARJORAM_OFFER_LIFE_MS - 1, &q).verdict,
                    MARJORAM_VERDICT_FORWARD);
  assert_refused (choose (node, MARJORAM_OFFER_LIFE_MS, &q),
                  MARJORAM_REASON_NO_UPSTREAM);
}
END_TEST

/* Guards against selecting a dead or failed upstream because it has free
   slots.  */
START_TEST (dead_upstream_is_not_selected)
{
  struct node *node = add_node (0, 0, (uint64_t)_i);
  struct marjoram_query q = query (30000);

  announce (node, 0, "lm-1", 1, 0);
  announce (node, 0, "lm-2", 1, SLOTS);
  marjoram_members_mark_dead (node->members, 5, "lm-1");
  for (int i = 0; i < 20; i++)
    ck_assert_str_eq (choose (node, 10, &q).upstream, "lm-2");
  marjoram_members_mark_dead (node->members, 15, "lm-2");
  assert_refused (choose (node, 20, &q), MARJORAM_REASON_NO_UPSTREAM);
  announce (node, 30, "lm-2", 2, 0);
  q.tried[q.tried_count++] = "lm-2";
  assert_refused (choose (node, 40, &q), MARJORAM_REASON_NO_UPSTREAM);
}
END_TEST

/* Guards against a Retry-After that is too short for the request to be
   admitted.  */
START_TEST (retry_after_is_sufficient)
{
  struct node *node = add_node (0, 0, (uint64_t)_i);
  struct marjoram_query q = query (4000);
  struct marjoram_choice choice;
  double drained;

  announce (node, 0, "lm-1", 1, QUEUE_LENGTH);
  choice = choose (node, 0, &q);
  assert_refused (choice, MARJORAM_REASON_OVERLOAD);
  /* 60 tokens at 30 per second and 400 of prefill: 2.2 s per request.  */
  drained = (double)choice.retry_ms / 2200 * SLOTS;
  ck_assert_double_gt (drained, 3 * SLOTS);
  q.deadline = choice.retry_ms + 4000;
  announce (node, choice.retry_ms, "lm-1", 2,
            drained < QUEUE_LENGTH ? (uint64_t)(QUEUE_LENGTH - drained) : 0);
  ck_assert_int_eq (choose (node, choice.retry_ms, &q).verdict,
                    MARJORAM_VERDICT_LOCAL);
}
END_TEST

/* Guards against one busy caller filling the queue at the expense of
   others.  */
START_TEST (overload_refuses_heaviest_caller_first)
{
  struct node *node = add_node (0, 0, (uint64_t)_i);
  struct marjoram_query q;

  announce (node, 0, "lm-1", 1, 0);
  for (int64_t now = 0; now < 5000; now += 10)
    {
      q = query (now + 30000);
      q.caller = now % 200 == 0 ? 1 : 0;
      choose (node, now, &q);
    }
  announce (node, 5000, "lm-1", 2, SHORT_QUEUE_LENGTH);
  q = query (5000 + 8000);
  q.caller = 0;
  assert_refused (choose (node, 5000, &q), MARJORAM_REASON_OVERLOAD);
  q.caller = 1;
  ck_assert_int_eq (choose (node, 5000, &q).verdict, MARJORAM_VERDICT_LOCAL);
}
END_TEST

START_TEST (overnight_work_does_not_queue)
{
  struct node *node = add_node (0, 0, (uint64_t)_i);
  struct marjoram_query q = query (30000);

  announce (node, 0, "lm-1", 1, SLOTS);
  ck_assert_int_eq (choose (node, 1, &q).verdict, MARJORAM_VERDICT_LOCAL);
  q.class = MARJORAM_CLASS_OVERNIGHT;
  q.deadline = 36000000;
  assert_refused (choose (node, 1, &q), MARJORAM_REASON_OVERLOAD);
  /* It is not forwarded to another region before its deadline requires it.  */
  offer_capacity (node, 1, 1, 100);
  assert_refused (choose (node, 2, &q), MARJORAM_REASON_OVERLOAD);
  q.deadline = 6000;
  ck_assert_int_eq (choose (node, 3, &q).verdict, MARJORAM_VERDICT_FORWARD);
}
END_TEST

/* Guards against all hosts selecting the upstream that is idle in a stale
   report.  */
START_TEST (stale_report_does_not_concentrate_load)
{
  int sent_to_idle = 0;
  char name[16];

  for (uint64_t seed = 0; seed < SEEDS; seed++)
    {
      teardown ();
      setup ();
      for (int i = 0; i < 3; i++)
        {
          struct node *node = add_node (0, i, seed * 3 + (uint64_t)i);

          for (int j = 0; j < 3; j++)
            marjoram_members_record_heartbeat (node->members, 20000, j, 1,
                                               false);
          for (int j = 0; j < 6; j++)
            {
              snprintf (name, sizeof name, "lm-%d", j);
              announce (node, 0, name, 1, j == 0 ? 0 : SLOTS / 2);
            }
        }
      for (int i = 0; i < 15; i++)
        {
          struct marjoram_query q = query (50000);
          struct node *node = &nodes[i % 3];
          struct marjoram_choice choice = choose (node, 20001, &q);

          ck_assert_int_eq (choice.verdict, MARJORAM_VERDICT_LOCAL);
          sent_to_idle += strcmp (choice.upstream, "lm-0") == 0;
          marjoram_members_request_started (node->members, choice.upstream);
        }
    }
  ck_assert_int_le (sent_to_idle, SEEDS * 9 / 2);
}
END_TEST

/* Requests with the same prefix go to the same replica from every host, unless
   it is overloaded.  */
START_TEST (prefix_maps_to_one_replica)
{
  struct marjoram_query q = query (50000);
  char first[MARJORAM_NAME_MAX + 1] = "";
  struct marjoram_choice choice;
  char name[16];

  q.prefix_hash = UINT64_C (0x123456789) * (uint64_t)(_i + 1);
  q.prompt_tokens = 4000;
  for (int i = 0; i < 3; i++)
    {
      struct node *node = add_node (0, i, (uint64_t)_i * 3 + (uint64_t)i);

      for (int j = 0; j < 6; j++)
        {
          /* Hosts may learn of the upstreams in any order.  */
          snprintf (name, sizeof name, "lm-%d", (j + i) % 6);
          announce (node, 0, name, 1, 0);
        }
      choice = choose (node, 20000, &q);
      if (i == 0)
        snprintf (first, sizeof first, "%s", choice.upstream);
      ck_assert_str_eq (choice.upstream, first);
    }
  announce (&nodes[0], 20010, first, 2, QUEUE_LENGTH);
  choice = choose (&nodes[0], 20020, &q);
  ck_assert_str_ne (choice.upstream, first);
  ck_assert_int_eq (choice.verdict, MARJORAM_VERDICT_LOCAL);
}
END_TEST

/* Guards against a restarted engine, idle and with an empty cache, receiving
   all new requests.  */
START_TEST (returning_upstream_starts_slowly)
{
  struct node *node = add_node (0, 0, (uint64_t)_i);
  struct marjoram_query q = query (90000);
  int early = 0;
  int late = 0;

  announce (node, 0, "lm-1", 1, 1);
  announce (node, 0, "lm-2", 1, 1);
  announce (node, 30000, "lm-3", 1, 0);
  for (int i = 0; i < 300; i++)
    {
      early += strcmp (choose (node, 30001, &q).upstream, "lm-3") == 0;
      late += strcmp (choose (node, 45000, &q).upstream, "lm-3") == 0;
    }
  ck_assert_int_gt (late, 100);
  ck_assert_int_lt (early, late / 2);
}
END_TEST

static void
measure (struct node *node, const char *name, int64_t now, int64_t whole_ms)
{
  struct marjoram_query q = query (now + 30000);

  marjoram_router_record_latency (node->router, now, name, &q, whole_ms / 4,
                                  whole_ms, q.answer_tokens);
}

/* Ejects a replica that is much slower than its peers, but none if all are
   slow.  */
START_TEST (slow_replica_is_ejected)
{
  struct node *node = add_node (0, 0, 1);
  bool all_slow = _i == 1;
  int ejected = 0;
  char name[16];

  for (int j = 0; j < 4; j++)
    {
      snprintf (name, sizeof name, "lm-%d", j);
      announce (node, 0, name, 1, 0);
    }
  for (int i = 0; i < 64; i++)
    for (int j = 0; j < 4; j++)
      {
        snprintf (name, sizeof name, "lm-%d", j);
        measure (node, name, 20000 + i, j == 0 || all_slow ? 22000 : 2200);
      }
  for (size_t j = 0; j < marjoram_members_count (node->members); j++)
    ejected += !marjoram_upstream_usable (
        marjoram_members_at (node->members, j), 20070);
  ck_assert_int_eq (ejected, all_slow ? 0 : 1);
}
END_TEST

/* Guards against retries multiplying the load while upstreams fail.  */
START_TEST (retries_have_a_budget)
{
  struct node *node = add_node (0, 0, 1);
  int64_t retry_ms;
  int retries = 0;

  for (int64_t now = 0; now < 100000; now += 100)
    {
      ck_assert_int_eq (
          marjoram_router_admit (node->router, now, 0, &retry_ms),
          MARJORAM_REASON_NONE);
      retries += marjoram_router_retry (node->router, now);
    }
  ck_assert_int_ge (retries, 100);
  ck_assert_int_le (retries, 110);
}
END_TEST

START_TEST (refuses_invalid_requests)
{
  struct node *node = add_node (0, 0, 1);
  struct marjoram_query q = query (1000);
  marjoram_router *fresh = marjoram_router_create (
      "r00-z00", node->members, node->suspects, node->random);
  struct marjoram_choice choice;
  int64_t retry_ms;

  marjoram_router_choose (fresh, 0, &q, &choice);
  assert_refused (choice, MARJORAM_REASON_NO_CONFIG);
  ck_assert_int_eq (marjoram_router_admit (fresh, 0, 0, &retry_ms),
                    MARJORAM_REASON_NO_CONFIG);
  marjoram_router_destroy (fresh);
  assert_refused (choose (node, 1000, &q), MARJORAM_REASON_DEADLINE);
  q.work = 99;
  assert_refused (choose (node, 0, &q), MARJORAM_REASON_CONFIG_CHANGED);
}
END_TEST

START_TEST (offers_survive_encoding)
{
  struct node *from = add_node (1, 2, 1);
  struct node *to = add_node (0, 0, 2);
  struct marjoram_query q = query (30000);
  struct marjoram_offers offers;
  struct marjoram_offers *read;
  marjoram_bytes *packed;
  int64_t retry_ms;
  bool forwarded = false;

  for (int i = 0; i < 9; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "lm-%d", i);
      announce (from, 0, name, 1, 0);
      marjoram_router_admit (from->router, 0, 1, &retry_ms);
    }
  marjoram_router_build_offers (from->router, 10, 0, &offers);
  packed = marjoram_wire_pack (&marjoram_offers_layout, &offers);
  read = marjoram_wire_unpack (&marjoram_offers_layout,
                               marjoram_bytes_data (packed),
                               marjoram_bytes_size (packed), NULL);
  ck_assert_ptr_nonnull (read);
  ck_assert_uint_eq (read->ordinal, 2);
  marjoram_router_process_offers (to->router, 20, read, LINK_MS);
  forwarded = choose (to, 30, &q).verdict == MARJORAM_VERDICT_FORWARD;
  ck_assert (forwarded);
  marjoram_wire_destroy (&marjoram_offers_layout, read);
  marjoram_wire_clear (&marjoram_offers_layout, &offers);
  marjoram_bytes_release (packed);
}
END_TEST

START_TEST (explains)
{
  struct node *node = add_node (0, 0, 1);
  struct marjoram_query q = query (30000);
  struct marjoram_choice choice;
  char *text;

  announce (node, 0, "lm-1", 1, 0);
  offer_capacity (node, 0, 1, 3);
  text = marjoram_router_explain (node->router, 1, &q, &choice);
  ck_assert_int_eq (choice.verdict, MARJORAM_VERDICT_LOCAL);
  ck_assert_ptr_nonnull (strstr (text, "upstream lm-1: usable"));
  ck_assert_ptr_nonnull (strstr (text, "zone r01-z00 offers capacity"));
  ck_assert_ptr_nonnull (strstr (text, "chosen: upstream lm-1"));
  free (text);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("route");
  TCase *c = tcase_create ("route");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_loop_test (c, residency_under_overload, 1, 10);
  tcase_add_test (c, residency_of_the_newest_configuration);
  tcase_add_test (c, residency_at_receipt);
  tcase_add_test (c, full_zones_with_stale_offers);
  tcase_add_test (c, refusing_zone_is_backed_off);
  tcase_add_loop_test (c, no_overload_after_partition_heals, 1, SEEDS);
  tcase_add_test (c, offers_expire);
  tcase_add_loop_test (c, dead_upstream_is_not_selected, 1, 10);
  tcase_add_loop_test (c, retry_after_is_sufficient, 1, 10);
  tcase_add_loop_test (c, overload_refuses_heaviest_caller_first, 1, 10);
  tcase_add_loop_test (c, overnight_work_does_not_queue, 1, 10);
  tcase_add_test (c, stale_report_does_not_concentrate_load);
  tcase_add_loop_test (c, prefix_maps_to_one_replica, 1, SEEDS);
  tcase_add_loop_test (c, returning_upstream_starts_slowly, 1, 10);
  tcase_add_loop_test (c, slow_replica_is_ejected, 0, 2);
  tcase_add_test (c, retries_have_a_budget);
  tcase_add_test (c, refuses_invalid_requests);
  tcase_add_test (c, offers_survive_encoding);
  tcase_add_test (c, explains);
  tcase_set_timeout (c, 60);
  suite_add_tcase (s, c);
  return s;
}
