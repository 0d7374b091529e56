/* Keepers' registrars under random schedules: copies of orders are delayed,
   sent again to other keepers, given up and left behind in sockets, keepers
   freeze and hear of decisions late, acknowledgements are lost.  Once an
   operator has an acknowledgement, its zone stays as ordered until it sends
   another order for it.  */
#include "suite.h"

#include "cleanup.h"
#include "platform.h"
#include "random.h"
#include "registrar.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

enum
{
  KEEPERS = 3,
  ZONES = 2,
  SCHEDULES = 400,
  SCHEDULE_MS = 40000,
  HEALED_MS = 15000, /* without faults, at the end */
  TICK_MS = 25,
  CALL_MS = 1000,    /* an operator waits so long for an answer */
  GIVE_UP_MS = 6000, /* and sends an order again for so long */
  FOLLOWED_MAX = 2,
  DECIDE_MS = 300, /* longest time of a decision or a round of reads */
  LATE_MS = 9000   /* longest delay of a copy or of what a keeper learns */
};

/* A copy of an order on its way, and then a request of its keeper.  */
struct copy
{
  TAILQ_ENTRY (copy) link;
  struct client *client; /* null once it was given up */
  int keeper;
  int64_t arrives_at;  /* at the keeper's socket */
  int64_t opened_at;   /* its connection entered the keeper's queue */
  int64_t not_before;  /* as the keeper's server knows */
  bool is_closed;      /* its end came with it */
  uint64_t request_id; /* 0 until it was read */
  char target[128];
};

/* What the register has to do for a keeper.  */
struct job
{
  TAILQ_ENTRY (job) link;
  int64_t due_at;
  int keeper;
  uint64_t number;
  bool is_read;
  bool is_decided;
  struct marjoram_apply_answer answer;
  char id[MARJORAM_NAME_MAX];
  char zone[MARJORAM_ID_MAX];
  struct marjoram_evacuation_order order;
};

struct keeper
{
  int index;
  marjoram_registrar *registrar;
  struct marjoram_state *state; /* the latest one that it knows */
  int64_t learns_at;
  int64_t frozen_until;
  int64_t idle_at; /* its queue of connections was empty */
};

/* The operator of one zone.  */
struct client
{
  const char *zone;
  bool begin;
  int64_t first_sent_at; /* of the current order */
  int64_t call_until;
  int64_t next_at;
  int followed;
  struct copy *copy;
  bool is_acknowledged;
  int acknowledged;
};

static marjoram_random *source;
static marjoram_registry *registry;
static marjoram_host_list *hosts;
static marjoram_metrics *metrics;
static struct marjoram_state *chosen;
static struct keeper keepers[KEEPERS];
static struct client clients[ZONES];
static TAILQ_HEAD (, copy) copies;
static TAILQ_HEAD (, job) jobs;
static int64_t now;
static bool healed;
static uint64_t last_request_id;
static uint64_t seed;
static int redirected;

static int64_t
below (int64_t limit)
{
  return (int64_t)marjoram_random_below (source, (uint32_t)limit);
}

static bool
chance (int percent)
{
  return !healed && below (100) < percent;
}

/* ---- The register: decides in one order, late if a keeper is slow.  ---- */

static void
add_job (struct keeper *keeper, uint64_t number, const char *id,
         const struct marjoram_evacuation_order *order)
{
  struct job *job = marjoram_alloc (sizeof *job);

  job->keeper = keeper->index;
  job->number = number;
  job->due_at = now + 1 + below (chance (10) ? LATE_MS : DECIDE_MS);
  job->is_read = !order;
  if (order)
    {
      snprintf (job->id, sizeof job->id, "%s", id);
      snprintf (job->zone, sizeof job->zone, "%s", order->zone);
      job->order = *order;
      job->order.zone = job->zone;
    }
  TAILQ_INSERT_TAIL (&jobs, job, link);
}

static void
learn (struct keeper *keeper)
{
  marjoram_state_destroy (keeper->state);
  keeper->state = marjoram_state_copy (chosen);
}

static void
check_acknowledged (void)
{
  for (int i = 0; i < ZONES; i++)
    if (clients[i].is_acknowledged)
      ck_assert_msg (marjoram_evacuation_in_force (chosen, clients[i].zone)
                         == clients[i].begin,
                     "schedule %llu, %lld ms: %s of %s was undone after its "
                     "acknowledgement",
                     (unsigned long long)seed, (long long)now,
                     clients[i].begin ? "begin" : "finish", clients[i].zone);
}

/* A change is recorded once, as the register does by its id.  */
static void
decide (struct job *job)
{
  const struct marjoram_change *change;

  if (!marjoram_state_change (chosen, job->id))
    marjoram_evacuation_decide (chosen, job->id, &job->order);
  change = marjoram_state_change (chosen, job->id);
  job->is_decided = true;
  job->answer = (struct marjoram_apply_answer){
    .outcome = MARJORAM_APPLY_DECIDED,
    .result = (enum marjoram_change_result)change->result,
    .number = change->number,
    .version = change->version
  };
  check_acknowledged ();
}

/* A decision needs a majority, and its keeper hears of it when it runs.  */
static void
run_job (struct job *job)
{
  struct keeper *keeper = &keepers[job->keeper];
  const uint64_t number = job->number;
  struct marjoram_apply_answer answer;

  if (now < job->due_at)
    return;
  if (!job->is_read && !job->is_decided && now >= keeper->frozen_until
      && below (2) == 0
      && !marjoram_registrar_wants (keeper->registrar, number))
    {
      TAILQ_REMOVE (&jobs, job, link);
      free (job);
      return;
    }
  if (!job->is_read && !job->is_decided)
    decide (job);
  if (now < keeper->frozen_until)
    return;
  answer = job->answer;
  if (job->is_read)
    answer
        = (struct marjoram_apply_answer){ .outcome = MARJORAM_APPLY_DECIDED };
  TAILQ_REMOVE (&jobs, job, link);
  free (job);
  learn (keeper);
  marjoram_registrar_request_completed (keeper->registrar, now, number,
                                        &answer);
}

static void
run_jobs (void)
{
  struct job *job;
  struct job *next;

  for (job = TAILQ_FIRST (&jobs); job; job = next)
    {
      next = TAILQ_NEXT (job, link);
      run_job (job);
    }
}

/* ---- Operators.  ---- */

static void
forget_copy (struct copy *copy)
{
  if (copy->client)
    copy->client->copy = NULL;
  TAILQ_REMOVE (&copies, copy, link);
  free (copy);
}

static void
send_copy (struct client *client, int keeper, const char *target)
{
  struct copy *copy = marjoram_alloc (sizeof *copy);

  copy->client = client;
  copy->keeper = keeper;
  copy->opened_at = now;
  copy->arrives_at = now + below (chance (20) ? LATE_MS : 60);
  copy->not_before = INT64_MAX;
  snprintf (copy->target, sizeof copy->target, "%s", target);
  TAILQ_INSERT_TAIL (&copies, copy, link);
  client->copy = copy;
}

static void
send_order (struct client *client)
{
  char target[64];

  snprintf (target, sizeof target, "/-/evacuations/%s/%s", client->zone,
            client->begin ? "begin" : "finish");
  client->followed = 0;
  client->call_until = now + CALL_MS;
  send_copy (client, (int)below (KEEPERS), target);
}

/* Gives up the call in progress; its copy stays where it is, and its end comes
   with it or not.  */
static void
give_up_call (struct client *client)
{
  if (!client->copy)
    return;
  client->copy->is_closed = below (2) == 0;
  client->copy->client = NULL;
  client->copy = NULL;
}

static void
start_order (struct client *client)
{
  client->is_acknowledged = false;
  client->begin = below (4) == 0 ? client->begin : !client->begin;
  client->first_sent_at = now;
  send_order (client);
}

static void
run_client (struct client *client)
{
  if (client->is_acknowledged)
    {
      if (now >= client->next_at && (!healed || client->acknowledged == 0))
        start_order (client);
      return;
    }
  if (client->copy && now >= client->call_until)
    give_up_call (client);
  if (client->copy || now < client->next_at)
    return;
  client->next_at = now + 20 + below (300);
  if (now >= client->first_sent_at + GIVE_UP_MS)
    start_order (client);
  else
    send_order (client);
}

static void
on_acknowledged (struct client *client)
{
  client->copy = NULL;
  client->is_acknowledged = true;
  client->acknowledged++;
  client->next_at = now + below (chance (50) ? 50 : 2500);
  check_acknowledged ();
}

/* ---- Operations of the registrars.  ---- */

static struct copy *
find_request (const struct keeper *keeper, uint64_t request_id)
{
  struct copy *copy;

  TAILQ_FOREACH (copy, &copies, link)
  if (copy->keeper == keeper->index && copy->request_id == request_id)
    return copy;
  return NULL;
}

static void
op_respond (void *context, uint64_t request_id, int status, const char *body,
            size_t size)
{
  struct copy *copy = find_request (context, request_id);
  struct client *client = copy ? copy->client : NULL;

  (void)body;
  (void)size;
  if (!copy)
    return;
  if (client && (status != 200 || chance (15)))
    client->next_at = now + 20 + below (300);
  else if (client)
    on_acknowledged (client);
  forget_copy (copy);
}

static void
op_redirect (void *context, uint64_t request_id, const char *target)
{
  struct copy *copy = find_request (context, request_id);
  struct client *client = copy ? copy->client : NULL;

  if (!copy)
    return;
  redirected++;
  forget_copy (copy);
  if (client && client->followed++ < FOLLOWED_MAX)
    send_copy (client, ((struct keeper *)context)->index, target);
}

static bool
op_arrival (void *context, uint64_t request_id,
            struct marjoram_api_arrival *arrival)
{
  const struct copy *copy = find_request (context, request_id);

  *arrival = (struct marjoram_api_arrival){ .not_before = INT64_MIN };
  if (!copy)
    return false;
  arrival->not_before = copy->not_before;
  return !copy->is_closed;
}

static void
op_read (void *context, uint64_t number)
{
  add_job (context, number, NULL, NULL);
}

static void
op_order (void *context, uint64_t number, const char *id,
          const struct marjoram_evacuation_order *order)
{
  add_job (context, number, id, order);
}

static const struct marjoram_state *
op_state (void *context)
{
  return ((struct keeper *)context)->state;
}

static int64_t
op_decision_ms (void *context)
{
  (void)context;
  return 0;
}

static const struct marjoram_registrar_ops ops
    = { .respond = op_respond,
        .redirect = op_redirect,
        .arrival = op_arrival,
        .read = op_read,
        .order = op_order,
        .state = op_state,
        .decision_ms = op_decision_ms };

/* ---- Keepers.  ---- */

static bool
knows_zone (void *context, const char *zone)
{
  (void)context;
  (void)zone;
  return true;
}

/* The server accepts the connections that wait, then reads what has come.  */
static void
serve (struct keeper *keeper)
{
  struct copy *copy;

  TAILQ_FOREACH (copy, &copies, link)
  if (copy->keeper == keeper->index && copy->not_before == INT64_MAX
      && copy->opened_at <= now)
    copy->not_before = keeper->idle_at;
  keeper->idle_at = now;
  do
    {
      TAILQ_FOREACH (copy, &copies, link)
      if (copy->keeper == keeper->index && copy->request_id == 0
          && copy->arrives_at <= now)
        break;
      if (copy)
        {
          copy->request_id = ++last_request_id;
          marjoram_registrar_receive (keeper->registrar, now, last_request_id,
                                      "POST", copy->target, "", 0);
        }
    }
  while (copy);
}

/* After a freeze a keeper may serve before it hears what was decided.  */
static void
run_keeper (struct keeper *keeper)
{
  const bool serves_first = below (2) == 0;

  if (now < keeper->frozen_until)
    return;
  if (chance (1))
    {
      keeper->frozen_until = now + 200 + below (LATE_MS);
      return;
    }
  if (serves_first)
    serve (keeper);
  if (now >= keeper->learns_at)
    {
      learn (keeper);
      keeper->learns_at = now + below (chance (5) ? LATE_MS : 200);
    }
  marjoram_registrar_tick (keeper->registrar, now);
  if (!serves_first)
    serve (keeper);
}

static void
create_keeper (int index)
{
  struct keeper *keeper = &keepers[index];
  const struct marjoram_registrar_options options
      = { .dialect = marjoram_platform_dialect (),
          .registry = registry,
          .hosts = hosts,
          .metrics = metrics,
          .host = "10.0.0.1",
          .zone = "za",
          .heartbeat_port = 8146,
          .nonce = (uint64_t)index + 1,
          .knows_zone = knows_zone };

  *keeper = (struct keeper){ .index = index, .idle_at = now };
  keeper->registrar = marjoram_registrar_create (&options, &ops, keeper);
  keeper->state = marjoram_state_copy (chosen);
}

static void
setup_schedule (void)
{
  static const char *const zones[ZONES] = { "za", "zb" };

  source = marjoram_random_create (seed);
  now = TICK_MS;
  healed = false;
  TAILQ_INIT (&copies);
  TAILQ_INIT (&jobs);
  chosen = marjoram_state_copy (NULL);
  for (int i = 0; i < KEEPERS; i++)
    create_keeper (i);
  for (int i = 0; i < ZONES; i++)
    {
      clients[i] = (struct client){ .zone = zones[i] };
      start_order (&clients[i]);
    }
}

static void
teardown_schedule (void)
{
  struct copy *copy;
  struct job *job;

  for (int i = 0; i < KEEPERS; i++)
    {
      marjoram_registrar_destroy (keepers[i].registrar);
      marjoram_state_destroy (keepers[i].state);
    }
  while ((copy = TAILQ_FIRST (&copies)))
    {
      TAILQ_REMOVE (&copies, copy, link);
      free (copy);
    }
  while ((job = TAILQ_FIRST (&jobs)))
    {
      TAILQ_REMOVE (&jobs, job, link);
      free (job);
    }
  marjoram_state_destroy (chosen);
  marjoram_random_destroy (source);
}

static void
run_until (int64_t end)
{
  for (; now < end; now += 1 + below (TICK_MS))
    {
      run_jobs ();
      for (int i = 0; i < KEEPERS; i++)
        run_keeper (&keepers[i]);
      for (int i = 0; i < ZONES; i++)
        run_client (&clients[i]);
    }
}

/* Returns the number of orders that were acknowledged.  */
static int
run_schedule (void)
{
  int acknowledged = 0;

  setup_schedule ();
  run_until (SCHEDULE_MS);
  for (int i = 0; i < ZONES; i++)
    {
      acknowledged += clients[i].acknowledged;
      clients[i].acknowledged = 0;
      clients[i].is_acknowledged = false;
      give_up_call (&clients[i]);
      start_order (&clients[i]);
    }
  healed = true;
  run_until (now + LATE_MS + HEALED_MS);
  for (int i = 0; i < ZONES; i++)
    ck_assert_msg (clients[i].acknowledged > 0,
                   "schedule %llu: an order for %s is not acknowledged",
                   (unsigned long long)seed, clients[i].zone);
  teardown_schedule ();
  return acknowledged;
}

/* Guards against an order that acts after a later one was acknowledged.  */
START_TEST (zones_stay_as_the_last_acknowledged_order_says)
{
  const char *more = getenv ("SCHEDULES");
  const uint64_t count = more ? strtoull (more, NULL, 10) : SCHEDULES;
  int64_t acknowledged = 0;

  for (seed = 1; seed <= count; seed++)
    acknowledged += run_schedule ();
  printf ("%llu schedules, %lld orders acknowledged, %d redirections\n",
          (unsigned long long)count, (long long)acknowledged, redirected);
  ck_assert_int_gt (acknowledged, 5 * (int64_t)count);
  ck_assert_int_gt (redirected, (int64_t)count);
}
END_TEST

static void
setup (void)
{
  registry = marjoram_registry_create ();
  hosts = marjoram_host_list_create ();
  metrics = marjoram_metrics_create ();
}

static void
teardown (void)
{
  marjoram_registry_destroy (registry);
  marjoram_host_list_destroy (hosts);
  marjoram_metrics_destroy (metrics);
}

Suite *
suite (void)
{
  Suite *s = suite_create ("late_orders");
  TCase *c = tcase_create ("late_orders");

  tcase_set_timeout (c, 0);
  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, zones_stay_as_the_last_acknowledged_order_says);
  suite_add_tcase (s, c);
  return s;
}
