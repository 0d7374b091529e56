/* Tests upstream heartbeats, operator commands and lookups at a keeper.  */
#include "suite.h"

#include "cleanup.h"
#include "platform.h"
#include "registrar.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  NONE = -1
};

#define CONFIG(version, service)                                              \
  "{\"version\":" version ",\"routes\":[{\"name\":\"r\",\"host\":\"a\","      \
  "\"path_prefix\":\"/\",\"kind\":\"idempotent\",\"timeout_ms\":9,"           \
  "\"service\":\"" service "\"}],\"services\":[{\"name\":\"app\","            \
  "\"health_path\":\"/h\"}],\"limits\":{\"max_header_bytes\":1,"              \
  "\"max_body_bytes\":1,\"header_timeout_ms\":1,\"idle_timeout_ms\":1}}"

static marjoram_registry *registry;
static marjoram_host_list *hosts;
static marjoram_metrics *metrics;
static marjoram_registrar *registrar;
static struct marjoram_state *state;
static uint64_t last_request_id;
static int status;           /* status of the last response */
static char body[2048];      /* body of the last response */
static int renewals;         /* batches of renewals */
static size_t renewed_count; /* upstreams in the last batch of renewals */
static char renewed[64];     /* first upstream of the last batch of renewals */
static size_t batches_sent;
static size_t items_sent;
static size_t batches_relayed;
static size_t relayed_count; /* items of these */
static uint64_t ticket;      /* ticket of the last batch */
static size_t connected_hosts;
static uint64_t request; /* last apply or read request */
static int reads;
static int64_t decision_ms; /* of the register */
static char change_id[MARJORAM_NAME_MAX + 1];
static struct marjoram_file applied;
static struct marjoram_evacuation_order order; /* the last one proposed */
static char order_id[MARJORAM_NAME_MAX + 1];
static char order_zone[MARJORAM_ID_MAX];
static int orders;
static int64_t sent_after; /* the caller can't have sent its request before */
static bool caller_gone;

static void
op_respond (void *context, uint64_t request_id, int code, const char *text,
            size_t size)
{
  (void)context;
  ck_assert_uint_eq (request_id, last_request_id);
  ck_assert_msg (status == NONE, "more than one response to a request");
  status = code;
  snprintf (body, sizeof body, "%.*s", (int)size, text ? text : "");
}

static void
op_renew (void *context, const struct marjoram_news_batch *batch)
{
  const struct marjoram_news_item *items = batch->items.items;

  (void)context;
  renewals++;
  renewed_count = batch->items.count;
  if (renewed_count > 0)
    snprintf (renewed, sizeof renewed, "%s", items[0].id);
}

static size_t
op_broadcast (void *context, const struct marjoram_news_batch *batch)
{
  (void)context;
  batches_sent++;
  items_sent += batch->items.count;
  ticket = batch->ticket;
  return connected_hosts;
}

static void
op_relay (void *context, const struct marjoram_news_batch *batch)
{
  (void)context;
  batches_relayed++;
  relayed_count += batch->items.count;
}

static void
op_apply (void *context, uint64_t number, const char *id,
          const struct marjoram_file *file)
{
  (void)context;
  request = number;
  snprintf (change_id, sizeof change_id, "%s", id);
  marjoram_wire_clear (&marjoram_file_layout, &applied);
  applied.name = marjoram_strdup (file->name);
  applied.version = file->version;
  applied.text = marjoram_strdup (file->text);
}

static void
op_read (void *context, uint64_t number)
{
  (void)context;
  request = number;
  reads++;
}

static const struct marjoram_state *
op_state (void *context)
{
  (void)context;
  return state;
}

static void
op_order (void *context, uint64_t number, const char *id,
          const struct marjoram_evacuation_order *what)
{
  (void)context;
  request = number;
  orders++;
  snprintf (order_id, sizeof order_id, "%s", id);
  snprintf (order_zone, sizeof order_zone, "%s", what->zone);
  order = *what;
  order.zone = order_zone;
}

static void
op_redirect (void *context, uint64_t request_id, const char *target)
{
  (void)context;
  ck_assert_uint_eq (request_id, last_request_id);
  ck_assert_msg (status == NONE, "more than one response to a request");
  status = 307;
  snprintf (body, sizeof body, "%s", target);
}

static bool
op_arrival (void *context, uint64_t request_id,
            struct marjoram_api_arrival *what)
{
  (void)context;
  (void)request_id;
  *what = (struct marjoram_api_arrival){ .not_before = sent_after };
  return !caller_gone;
}

static int64_t
op_decision_ms (void *context)
{
  (void)context;
  return decision_ms;
}

static const struct marjoram_registrar_ops ops
    = { .respond = op_respond,
        .broadcast = op_broadcast,
        .relay = op_relay,
        .renew = op_renew,
        .apply = op_apply,
        .read = op_read,
        .state = op_state,
        .order = op_order,
        .redirect = op_redirect,
        .arrival = op_arrival,
        .decision_ms = op_decision_ms };

static bool
knows_zone (void *context, const char *zone)
{
  (void)context;
  return strcmp (zone, "za") == 0 || strcmp (zone, "zb") == 0;
}

static void
setup (void)
{
  struct marjoram_registrar_options options
      = { .dialect = marjoram_platform_dialect (),
          .lookup_valid_s = 2,
          .host = "10.0.0.1",
          .zone = "za",
          .heartbeat_port = 8146,
          .knows_zone = knows_zone };

  options.registry = registry = marjoram_registry_create ();
  options.hosts = hosts = marjoram_host_list_create ();
  options.metrics = metrics = marjoram_metrics_create ();
  registrar = marjoram_registrar_create (&options, &ops, NULL);
  state = NULL;
  decision_ms = 0;
  last_request_id = 0;
  batches_sent = 0;
  items_sent = 0;
  batches_relayed = 0;
  relayed_count = 0;
  renewals = 0;
  renewed_count = 0;
  ticket = 0;
  reads = 0;
  orders = 0;
  sent_after = INT64_MIN;
  caller_gone = false;
  connected_hosts = 0;
}

static void
teardown (void)
{
  marjoram_registrar_destroy (registrar);
  marjoram_registry_destroy (registry);
  marjoram_host_list_destroy (hosts);
  marjoram_metrics_destroy (metrics);
  marjoram_state_destroy (state);
  marjoram_wire_clear (&marjoram_file_layout, &applied);
}

static void
send_request (int64_t now, const char *method, const char *target,
              const char *text)
{
  status = NONE;
  last_request_id++;
  marjoram_registrar_receive (registrar, now, last_request_id, method, target,
                              text, strlen (text));
}

static void
heartbeat (int64_t now, const char *state_name, int sequence)
{
  char text[512];

  snprintf (text, sizeof text,
            "{\"service\":\"app\",\"address\":\"10.0.0.9:80\","
            "\"zone\":\"za\",\"state\":\"%s\",\"seq\":%d}",
            state_name, sequence);
  send_request (now, "POST", "/-/instances/u1/heartbeat", text);
}

/* Completes the pending register request; an accepted file takes effect.  */
static void
complete_request (int64_t now, enum marjoram_apply_outcome outcome,
                  enum marjoram_change_result result)
{
  const struct marjoram_apply_answer what
      = { .outcome = outcome, .result = result };

  if (outcome == MARJORAM_APPLY_DECIDED && applied.name
      && result == MARJORAM_CHANGE_ACCEPTED)
    {
      if (!state)
        state = marjoram_state_copy (NULL);
      state->number++;
      marjoram_state_set_file (state, &applied);
    }
  marjoram_registrar_request_completed (registrar, now, request, &what);
}

START_TEST (heartbeat_is_stored_and_broadcast)
{
  heartbeat (0, "ready", 1);
  ck_assert_int_eq (status, 200);
  ck_assert_uint_eq (batches_sent, 1);
  ck_assert_ptr_nonnull (marjoram_registry_find (registry, "u1"));
  heartbeat (1200, "ready", 2);
  ck_assert_int_eq (status, 200);
  ck_assert_uint_eq (batches_sent, 1);
  marjoram_registrar_tick (registrar, 1500);
  ck_assert_uint_eq (batches_sent, 1);
  ck_assert_int_eq (renewals, 1);
}
END_TEST

/* Guards against forwarding renewals received from other keepers, which would
   multiply the traffic to each host.  */
START_TEST (renewals_of_other_keepers_are_not_forwarded)
{
  struct marjoram_news_item item = { .id = (char *)"far",
                                     .service = (char *)"app",
                                     .address = (char *)"10.0.0.8:80",
                                     .zone = (char *)"zb",
                                     .sequence = 1,
                                     .ends_ms = -1 };
  const struct marjoram_news_batch batch = { .items = { &item, 1 } };

  heartbeat (0, "ready", 1);
  heartbeat (1000, "ready", 2);
  marjoram_registrar_apply_batch (registrar, 1050, "k2", &batch);
  marjoram_registrar_tick (registrar, 3100);
  ck_assert_int_eq (renewals, 1);
  ck_assert_uint_eq (renewed_count, 1);
  ck_assert_str_eq (renewed, "u1");
}
END_TEST

static void
register_upstream (int64_t now, int number)
{
  char target[64];
  char text[256];

  snprintf (target, sizeof target, "/-/instances/u%d/heartbeat", number);
  snprintf (text, sizeof text,
            "{\"service\":\"app\",\"address\":\"10.0.%d.%d:80\","
            "\"zone\":\"za\",\"state\":\"ready\",\"seq\":1}",
            number / 250, number % 250 + 1);
  send_request (now, "POST", target, text);
  ck_assert_int_eq (status, 200);
}

/* Registers COUNT upstreams within two seconds; returns the batches sent.  */
static size_t
batches_for (int count)
{
  const int64_t period_ms = 2000;

  for (int i = 0; i < count; i++)
    {
      int64_t now = 100000 * (int64_t)count + period_ms * i / count;

      register_upstream (now, i);
      marjoram_registrar_tick (registrar, now);
    }
  marjoram_registrar_tick (registrar, 100000 * (int64_t)count + 2 * period_ms);
  ck_assert_uint_eq (items_sent, (size_t)count);
  return batches_sent;
}

/* Guards against a message to each host for each upstream when a whole fleet
   starts.  */
START_TEST (changes_in_short_order_share_messages)
{
  static const int counts[] = { 100, 1000, 10000 };

  for (size_t i = 0; i < sizeof counts / sizeof *counts; i++)
    {
      size_t batches;

      if (i > 0)
        {
          teardown ();
          setup ();
        }
      batches = batches_for (counts[i]);
      printf ("%d upstreams: %zu batches\n", counts[i], batches);
      ck_assert_uint_le (batches, 22);
    }
}
END_TEST

/* Guards against hosts that follow this keeper alone missing a change that
   another keeper heard, and against relaying it again.  */
START_TEST (changes_of_other_keepers_are_relayed_once)
{
  struct marjoram_news_item item = { .id = (char *)"far",
                                     .service = (char *)"app",
                                     .address = (char *)"10.0.0.8:80",
                                     .zone = (char *)"zb",
                                     .sequence = 1,
                                     .ends_ms = -1 };
  const struct marjoram_news_batch batch = { .items = { &item, 1 } };

  marjoram_registrar_apply_batch (registrar, 1000, "k2", &batch);
  ck_assert_uint_eq (relayed_count, 1);
  marjoram_registrar_apply_batch (registrar, 2000, "k2", &batch);
  item.sequence = 2;
  marjoram_registrar_apply_batch (registrar, 3000, "k2", &batch);
  marjoram_registrar_tick (registrar, 4000);
  ck_assert_uint_eq (relayed_count, 1);
  ck_assert_uint_eq (batches_sent, 0);
}
END_TEST

static void
list_keeper (int64_t now, const char *name, const char *zone)
{
  struct marjoram_host_beat keeper = { .name = (char *)name,
                                       .zone = (char *)zone,
                                       .region = (char *)"r",
                                       .keeper = true,
                                       .ready = true,
                                       .incarnation = 1,
                                       .sequence = (uint64_t)now + 1 };

  marjoram_host_list_update (hosts, now, &keeper, true);
}

/* Upstreams of zone za that were told to send their heartbeats to HOST.  */
static int
count_sent_to (int64_t now, const char *host)
{
  char wanted[64];
  int count = 0;

  snprintf (wanted, sizeof wanted, "{\"heartbeat_address\":\"%s:8146\"}",
            host);
  for (int i = 0; i < 100; i++)
    {
      register_upstream (now, i);
      count += strcmp (body, wanted) == 0;
    }
  return count;
}

/* Guards against heartbeats that cross zones, and against one keeper getting
   most of them.  */
START_TEST (heartbeats_are_shared_by_keepers_of_the_zone)
{
  int own;
  int near;

  list_keeper (1000, "10.0.0.2", "za");
  list_keeper (1000, "10.0.0.3", "zb");
  own = count_sent_to (1100, "10.0.0.1");
  near = count_sent_to (1100, "10.0.0.2");
  ck_assert_int_eq (own + near, 100);
  ck_assert_int_ge (own, 25);
  ck_assert_int_ge (near, 25);
  ck_assert_int_eq (count_sent_to (9000, "10.0.0.1"), 100);
}
END_TEST

START_TEST (malformed_heartbeats_are_rejected)
{
  send_request (0, "POST", "/-/instances/u1/heartbeat", "{\"service\":1}");
  ck_assert_int_eq (status, 400);
  send_request (0, "POST", "/-/instances/u1/heartbeat",
                "{\"service\":\"app\",\"address\":\"10.0.0.9:80\","
                "\"zone\":\"nowhere\",\"state\":\"ready\",\"seq\":1}");
  ck_assert_int_eq (status, 400);
  ck_assert_ptr_null (marjoram_registry_find (registry, "u1"));
  ck_assert_uint_eq (batches_sent, 0);
  ck_assert_uint_eq (
      marjoram_metrics_get (metrics, MARJORAM_METRIC_REJECTED_INPUT), 2);
}
END_TEST

/* Guards against losing a deregistration when the keeper fails right after its
   response.  */
START_TEST (leave_is_confirmed_before_it_is_answered)
{
  connected_hosts = 2;
  heartbeat (0, "ready", 1);
  heartbeat (100, "draining", 2);
  ck_assert_int_eq (status, NONE);
  marjoram_registrar_acknowledged (registrar, ticket);
  ck_assert_int_eq (status, NONE);
  marjoram_registrar_acknowledged (registrar, ticket);
  ck_assert_int_eq (status, 200);
}
END_TEST

/* Guards against a deregistration that waits for an unresponsive host until
   the client's timeout.  */
START_TEST (leave_does_not_wait_for_a_frozen_host)
{
  connected_hosts = 1;
  send_request (100, "POST", "/-/instances/u1/deregister", "");
  ck_assert_int_eq (status, NONE);
  marjoram_registrar_tick (registrar, 750);
  ck_assert_int_eq (status, 200);
  marjoram_registrar_acknowledged (registrar, ticket);
}
END_TEST

START_TEST (configuration_is_answered_once_it_is_decided)
{
  send_request (0, "POST", "/-/config/replace", CONFIG ("7", "app"));
  ck_assert_int_eq (status, NONE);
  ck_assert_str_eq (applied.text, CONFIG ("7", "app"));
  complete_request (100, MARJORAM_APPLY_DECIDED, MARJORAM_CHANGE_ACCEPTED);
  ck_assert_int_eq (status, 200);
}
END_TEST

/* Guards against resent or outdated configurations replacing the current
   one.  */
START_TEST (outdated_versions_change_nothing)
{
  send_request (0, "POST", "/-/config/replace", CONFIG ("7", "app"));
  complete_request (100, MARJORAM_APPLY_DECIDED, MARJORAM_CHANGE_ACCEPTED);
  request = 0;
  send_request (200, "POST", "/-/config/replace", CONFIG ("7", "app"));
  ck_assert_int_eq (status, 200);
  send_request (300, "POST", "/-/config/replace", CONFIG ("6", "app"));
  ck_assert_int_eq (status, 200);
  ck_assert_uint_eq (request, 0);
  /* Another keeper was faster, which the register reports.  */
  send_request (400, "POST", "/-/config/replace", CONFIG ("8", "app"));
  complete_request (500, MARJORAM_APPLY_DECIDED, MARJORAM_CHANGE_CONFLICT);
  ck_assert_int_eq (status, 200);
}
END_TEST

START_TEST (faulty_configuration_is_refused)
{
  send_request (0, "POST", "/-/config/replace", CONFIG ("7", "none"));
  ck_assert_int_eq (status, 400);
  ck_assert (strstr (body, "unknown service none"));
  send_request (0, "POST", "/-/config/replace", "{\"version\":7,\"rou");
  ck_assert_int_eq (status, 400);
}
END_TEST

/* Guards against acknowledging or rejecting a command whose outcome is
   unknown.  */
START_TEST (undecided_order_is_unavailable)
{
  send_request (0, "POST", "/-/config/replace", CONFIG ("7", "app"));
  marjoram_registrar_tick (registrar, 950);
  ck_assert_int_eq (status, 503);
  /* A late result sends no second response.  */
  complete_request (2000, MARJORAM_APPLY_DECIDED, MARJORAM_CHANGE_ACCEPTED);
}
END_TEST

/* Ticks every 50 ms from START to END.  */
static void
run_between (int64_t start, int64_t end)
{
  for (int64_t now = start; now <= end; now += 50)
    marjoram_registrar_tick (registrar, now);
}

/* Guards against refusing a change that slow disks decide a little later.  */
START_TEST (order_waits_for_slow_disks)
{
  decision_ms = 4000;
  send_request (0, "POST", "/-/config/replace", CONFIG ("7", "app"));
  run_between (0, 4850);
  ck_assert_int_eq (status, NONE);
  complete_request (4860, MARJORAM_APPLY_DECIDED, MARJORAM_CHANGE_ACCEPTED);
  ck_assert_int_eq (status, 200);
  send_request (5000, "POST", "/-/config/replace", CONFIG ("8", "app"));
  run_between (5000, 9850);
  ck_assert_int_eq (status, NONE);
  run_between (9900, 9950);
  ck_assert_int_eq (status, 503);
}
END_TEST

/* Guards against counting the host's own stalls as missing answers.  */
START_TEST (order_survives_stalls_of_the_host)
{
  int64_t now = 0;

  marjoram_registrar_tick (registrar, 1);
  send_request (0, "POST", "/-/config/replace", CONFIG ("7", "app"));
  for (int stall = 0; stall < 3; stall++)
    {
      now += 1100;
      marjoram_registrar_tick (registrar, now);
      ck_assert_int_eq (status, NONE);
    }
  complete_request (now + 10, MARJORAM_APPLY_DECIDED,
                    MARJORAM_CHANGE_ACCEPTED);
  ck_assert_int_eq (status, 200);
  /* It is refused as soon as ever while the host runs.  */
  send_request (now + 20, "POST", "/-/config/replace", CONFIG ("8", "app"));
  run_between (now + 20, now + 870);
  ck_assert_int_eq (status, NONE);
  run_between (now + 920, now + 920);
  ck_assert_int_eq (status, 503);
}
END_TEST

START_TEST (read_needs_a_majority)
{
  send_request (0, "GET", "/-/config/read", "");
  complete_request (50, MARJORAM_APPLY_DECIDED, MARJORAM_CHANGE_SAME);
  ck_assert_int_eq (status, 503);
  send_request (100, "POST", "/-/config/replace", CONFIG ("7", "app"));
  complete_request (200, MARJORAM_APPLY_DECIDED, MARJORAM_CHANGE_ACCEPTED);
  send_request (300, "GET", "/-/config/read", "");
  ck_assert_int_eq (status, NONE);
  complete_request (400, MARJORAM_APPLY_DECIDED, MARJORAM_CHANGE_SAME);
  ck_assert_int_eq (status, 200);
  ck_assert_str_eq (body, CONFIG ("7", "app"));
  send_request (500, "GET", "/-/config/read", "");
  complete_request (600, MARJORAM_APPLY_NOT_RUN, MARJORAM_CHANGE_SAME);
  ck_assert_int_eq (status, 503);
}
END_TEST

/* Decides the order that was proposed last, and tells the registrar.  */
static void
decide_order (int64_t now)
{
  struct marjoram_apply_answer answer = { .outcome = MARJORAM_APPLY_DECIDED };

  answer.result = marjoram_evacuation_decide (state, order_id, &order);
  answer.version = marjoram_evacuation_number (state, order.zone);
  marjoram_registrar_request_completed (registrar, now, request, &answer);
}

/* An order that another keeper decides.  */
static void
decide_elsewhere (const char *zone, bool begin)
{
  const struct marjoram_evacuation_order other
      = { (char *)zone, begin, marjoram_evacuation_number (state, zone) };

  ck_assert_int_eq (marjoram_evacuation_decide (state, "other", &other),
                    MARJORAM_CHANGE_ACCEPTED);
}

/* Sends an order by a caller that can't have sent it before AFTER.  */
static void
send_order (int64_t now, int64_t after, const char *target)
{
  sent_after = after;
  send_request (now, "POST", target, "");
  if (status == NONE && reads > 0)
    {
      reads = 0;
      complete_request (now + 1, MARJORAM_APPLY_DECIDED, MARJORAM_CHANGE_SAME);
    }
}

static const char *
stored_list (void)
{
  return marjoram_state_file (state, MARJORAM_FILE_EVACUATIONS)->text;
}

/* Guards against one of two concurrent evacuations being lost.  */
START_TEST (concurrent_evacuations_both_apply)
{
  state = marjoram_state_copy (NULL);
  send_request (0, "POST", "/-/evacuations/za/begin", "");
  ck_assert_int_eq (orders, 1);
  /* Another keeper's command is committed first.  */
  decide_elsewhere ("zb", true);
  ck_assert_int_eq (status, NONE);
  decide_order (30);
  ck_assert_int_eq (status, 200);
  ck_assert_int_eq (orders, 1);
  ck_assert (marjoram_evacuation_in_force (state, "za"));
  ck_assert (marjoram_evacuation_in_force (state, "zb"));
  ck_assert_str_eq (stored_list (), "zb,zb=1,za,za=2");
  ck_assert_int_eq (reads, 0);
  marjoram_registrar_tick (registrar, 32);
  send_order (40, 35, "/-/evacuations/za/finish");
  decide_order (60);
  ck_assert_int_eq (status, 200);
  ck_assert (!marjoram_evacuation_in_force (state, "za"));
  ck_assert (marjoram_evacuation_in_force (state, "zb"));
  ck_assert_str_eq (stored_list (), "zb,zb=1,za=3");
  send_request (70, "POST", "/-/evacuations/nowhere/begin", "");
  ck_assert_int_eq (status, 400);
}
END_TEST

static void
begin_za (int64_t now)
{
  state = marjoram_state_copy (NULL);
  send_order (now, INT64_MIN, "/-/evacuations/za/begin");
  decide_order (now + 2);
  ck_assert_int_eq (status, 200);
}

/* Guards against an order that acts though it may have been sent before the
   last one for its zone was decided.  */
START_TEST (order_that_may_be_older_than_the_last_one_is_redirected)
{
  begin_za (0);
  marjoram_registrar_tick (registrar, 50);
  send_order (2000, 50, "/-/evacuations/za/finish");
  ck_assert_int_eq (status, 307);
  ck_assert_str_eq (body, "/-/evacuations/za/finish?after=1");
  ck_assert_int_eq (orders, 1);
  /* Its caller follows.  */
  send_order (2010, INT64_MIN, "/-/evacuations/za/finish?after=1");
  ck_assert_int_eq (orders, 2);
  ck_assert_uint_eq (order.base, 1);
  decide_order (2020);
  ck_assert_int_eq (status, 200);
  ck_assert (!marjoram_evacuation_in_force (state, "za"));
}
END_TEST

START_TEST (order_that_is_newer_than_the_last_one_is_proposed_at_once)
{
  begin_za (0);
  marjoram_registrar_tick (registrar, 50);
  send_order (2000, 51, "/-/evacuations/za/finish");
  ck_assert_int_eq (orders, 2);
  ck_assert_uint_eq (order.base, 1);
  decide_order (2010);
  ck_assert_int_eq (status, 200);
  ck_assert (!marjoram_evacuation_in_force (state, "za"));
}
END_TEST

/* Guards against a second try of an order that lost against another one.  */
START_TEST (order_that_lost_is_not_proposed_again)
{
  begin_za (0);
  marjoram_registrar_tick (registrar, 50);
  send_order (2000, 60, "/-/evacuations/za/finish");
  ck_assert_int_eq (orders, 2);
  decide_elsewhere ("za", false);
  decide_elsewhere ("za", true);
  decide_order (2010);
  ck_assert_int_eq (status, 307);
  ck_assert_str_eq (body, "/-/evacuations/za/finish?after=3");
  ck_assert_int_eq (orders, 2);
  ck_assert (marjoram_evacuation_in_force (state, "za"));
}
END_TEST

/* Guards against a redirected order that acts after another one.  */
START_TEST (redirected_order_that_comes_late_does_not_act)
{
  begin_za (0);
  decide_elsewhere ("za", false);
  decide_elsewhere ("za", true);
  send_order (2000, INT64_MIN, "/-/evacuations/za/finish?after=1");
  ck_assert_int_eq (status, 307);
  ck_assert_str_eq (body, "/-/evacuations/za/finish?after=3");
  /* The same if this keeper has not heard of the others yet.  */
  send_order (2010, INT64_MIN, "/-/evacuations/za/finish?after=3");
  ck_assert_int_eq (orders, 2);
  decide_elsewhere ("za", true);
  decide_order (2020);
  ck_assert_int_eq (status, 307);
  ck_assert (marjoram_evacuation_in_force (state, "za"));
}
END_TEST

/* Guards against waiting for a redirection where an order changes nothing, and
   against leaving it without a number of its own.  */
START_TEST (order_for_what_is_in_force_gets_a_number)
{
  begin_za (0);
  send_order (2000, INT64_MIN, "/-/evacuations/za/begin");
  ck_assert_int_eq (orders, 2);
  decide_order (2010);
  ck_assert_int_eq (status, 200);
  ck_assert_uint_eq (marjoram_evacuation_number (state, "za"), 2);
}
END_TEST

/* Guards against an order whose caller has left before it is proposed, and
   against dropping one that its caller gave up after its time.  */
START_TEST (order_is_wanted_until_its_caller_leaves)
{
  begin_za (0);
  marjoram_registrar_tick (registrar, 50);
  send_order (2000, 60, "/-/evacuations/za/finish");
  ck_assert (marjoram_registrar_wants (registrar, request));
  caller_gone = true;
  ck_assert (!marjoram_registrar_wants (registrar, request));
  caller_gone = false;
  marjoram_registrar_tick (registrar, 2990);
  send_order (3000, 60, "/-/evacuations/za/finish");
  run_between (3000, 3950);
  ck_assert_int_eq (status, 503);
  caller_gone = true;
  ck_assert (marjoram_registrar_wants (registrar, request));
}
END_TEST

START_TEST (lookups)
{
  struct marjoram_host_beat host = { .name = (char *)"10.0.0.1",
                                     .zone = (char *)"za",
                                     .region = (char *)"r1",
                                     .entry = (char *)"10.0.0.1:80",
                                     .ready = true,
                                     .incarnation = 1,
                                     .sequence = 1 };

  send_request (0, "GET", "/-/resolve?name=a&region=r1&zone=za", "");
  ck_assert_int_eq (status, 503);
  marjoram_host_list_update (hosts, 0, &host, true);
  send_request (10, "GET", "/-/resolve?name=a&region=r1&zone=za", "");
  ck_assert_int_eq (status, 200);
  ck_assert_str_eq (body, "{\"addresses\":[\"10.0.0.1:80\"],\"ttl_s\":2}");
  send_request (20, "GET", "/-/nothing", "");
  ck_assert_int_eq (status, 404);
}
END_TEST

/* Guards against lookups that return hosts outside the home regions of most
   routes while the caller's region restarts.  */
START_TEST (lookup_without_own_region_returns_home_regions)
{
  static const char routes[]
      = "{\"version\":1,\"routes\":["
        "{\"name\":\"r\",\"host\":\"a\",\"path_prefix\":\"/r/\",\"kind\":"
        "\"idempotent\",\"timeout_ms\":9,\"service\":\"app\","
        "\"home_regions\":[\"r2\",\"r1\"]},"
        "{\"name\":\"s\",\"host\":\"a\",\"path_prefix\":\"/s/\",\"kind\":"
        "\"idempotent\",\"timeout_ms\":9,\"service\":\"app\","
        "\"home_regions\":[\"r2\"]},"
        "{\"name\":\"t\",\"host\":\"a\",\"path_prefix\":\"/t/\",\"kind\":"
        "\"idempotent\",\"timeout_ms\":9,\"service\":\"app\"}],"
        "\"services\":[{\"name\":\"app\",\"health_path\":\"/h\"}],"
        "\"limits\":{\"max_header_bytes\":1,\"max_body_bytes\":1,"
        "\"header_timeout_ms\":1,\"idle_timeout_ms\":1}}";
  static const char *const regions[] = { "r3", "r2", "r3" };
  static const char *const names[] = { "10.0.0.3", "10.0.0.2", "10.0.0.4" };

  send_request (0, "POST", "/-/config/replace", routes);
  complete_request (1, MARJORAM_APPLY_DECIDED, MARJORAM_CHANGE_ACCEPTED);
  for (size_t i = 0; i < 3; i++)
    {
      struct marjoram_host_beat host = { .name = (char *)names[i],
                                         .zone = (char *)regions[i],
                                         .region = (char *)regions[i],
                                         .entry = (char *)names[i],
                                         .ready = true,
                                         .incarnation = 1,
                                         .sequence = 1 };

      marjoram_host_list_update (hosts, 0, &host, true);
    }
  send_request (10, "GET", "/-/resolve?name=a&region=r1&zone=za", "");
  ck_assert_str_eq (body, "{\"addresses\":[\"10.0.0.2\"],\"ttl_s\":2}");
}
END_TEST

/* Guards against lookups that return a host outside the home regions when no
   home region serves.  */
START_TEST (lookup_returns_no_host_outside_home_regions)
{
  static const char routes[]
      = "{\"version\":1,\"routes\":["
        "{\"name\":\"r\",\"host\":\"a\",\"path_prefix\":\"/r/\",\"kind\":"
        "\"idempotent\",\"timeout_ms\":9,\"service\":\"app\","
        "\"home_regions\":[\"r2\",\"r1\"]},"
        "{\"name\":\"t\",\"host\":\"b\",\"path_prefix\":\"/t/\",\"kind\":"
        "\"idempotent\",\"timeout_ms\":9,\"service\":\"app\"}],"
        "\"services\":[{\"name\":\"app\",\"health_path\":\"/h\"}],"
        "\"limits\":{\"max_header_bytes\":1,\"max_body_bytes\":1,"
        "\"header_timeout_ms\":1,\"idle_timeout_ms\":1}}";
  struct marjoram_host_beat host = { .name = (char *)"10.0.0.3",
                                     .zone = (char *)"r3",
                                     .region = (char *)"r3",
                                     .entry = (char *)"10.0.0.3",
                                     .ready = true,
                                     .incarnation = 1,
                                     .sequence = 1 };

  send_request (0, "POST", "/-/config/replace", routes);
  complete_request (1, MARJORAM_APPLY_DECIDED, MARJORAM_CHANGE_ACCEPTED);
  marjoram_host_list_update (hosts, 0, &host, true);
  send_request (10, "GET", "/-/resolve?name=a&region=r1&zone=za", "");
  ck_assert_int_eq (status, 503);
  send_request (10, "GET", "/-/resolve?name=b&region=r1&zone=za", "");
  ck_assert_str_eq (body, "{\"addresses\":[\"10.0.0.3\"],\"ttl_s\":2}");
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("registrar");
  TCase *c = tcase_create ("registrar");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, heartbeat_is_stored_and_broadcast);
  tcase_add_test (c, changes_in_short_order_share_messages);
  tcase_add_test (c, changes_of_other_keepers_are_relayed_once);
  tcase_add_test (c, heartbeats_are_shared_by_keepers_of_the_zone);
  tcase_add_test (c, renewals_of_other_keepers_are_not_forwarded);
  tcase_add_test (c, malformed_heartbeats_are_rejected);
  tcase_add_test (c, leave_is_confirmed_before_it_is_answered);
  tcase_add_test (c, leave_does_not_wait_for_a_frozen_host);
  tcase_add_test (c, configuration_is_answered_once_it_is_decided);
  tcase_add_test (c, outdated_versions_change_nothing);
  tcase_add_test (c, faulty_configuration_is_refused);
  tcase_add_test (c, undecided_order_is_unavailable);
  tcase_add_test (c, order_waits_for_slow_disks);
  tcase_add_test (c, order_survives_stalls_of_the_host);
  tcase_add_test (c, read_needs_a_majority);
  tcase_add_test (c, concurrent_evacuations_both_apply);
  tcase_add_test (c, order_that_may_be_older_than_the_last_one_is_redirected);
  tcase_add_test (c,
                  order_that_is_newer_than_the_last_one_is_proposed_at_once);
  tcase_add_test (c, order_that_lost_is_not_proposed_again);
  tcase_add_test (c, redirected_order_that_comes_late_does_not_act);
  tcase_add_test (c, order_for_what_is_in_force_gets_a_number);
  tcase_add_test (c, order_is_wanted_until_its_caller_leaves);
  tcase_add_test (c, lookups);
  tcase_add_test (c, lookup_without_own_region_returns_home_regions);
  tcase_add_test (c, lookup_returns_no_host_outside_home_regions);
  suite_add_tcase (s, c);
  return s;
}
