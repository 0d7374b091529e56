/* Tests of quotas over all hosts: keepers' shares and hosts' pools, connected
   by a simulated network with delays and losses.  Keepers and hosts are
   restarted, suspended and cut off, loads move between regions and exceed the
   quotas.  In each window the units that requests have spent stay within the
   bound.  */
#include "suite.h"

#include "cleanup.h"
#include "quota_pool.h"
#include "quota_share.h"
#include "random.h"

#include <stdio.h>
#include <string.h>

enum
{
  KEEPERS = 6,
  HOSTS = 24,
  REGIONS = 3,
  CUSTOMERS = 2,
  STEP_MS = 5,
  TICK_MS = 25,
  RUN_MS = 40000,
  WINDOW_MS = 8000,
  FAR_MS = 55,
  ALLOWANCE = 110000,
  QUEUE_MAX = 40000,
  CLAIMS_MAX = 200000,
  SEEDS = 6
};

static const double OVERAGE = 0.1;

/* A small customer, of whose quota an even part per host holds no request, and
   a large one.  */
static struct marjoram_customer_rule rules[CUSTOMERS] = {
  { .name = (char *)"small",
    .unit = MARJORAM_QUOTA_TOKENS,
    .rate_per_s = 29000,
    .burst = 29000 },
  { .name = (char *)"large",
    .unit = MARJORAM_QUOTA_TOKENS,
    .rate_per_s = 600000,
    .burst = 600000 },
};

static const struct marjoram_route_table table
    = { .customers = { rules, CUSTOMERS } };

struct message
{
  int64_t at;
  bool to_keeper;
  bool from_keeper;
  int from;
  int to;
  int customer;
  int64_t asked_at;
  int64_t units;
  int64_t asked_units;
  int64_t given_back;
  int64_t wait_ms;
};

struct world;

/* How quotas are divided among keepers.  */
enum way
{
  LENT,  /* evenly; keepers lend to those that run short */
  EVEN,  /* evenly; hosts ask other keepers for what is missing */
  OWNED, /* one keeper has all of a customer's quota */
  WAY_COUNT
};

static const char *const way_names[WAY_COUNT] = { "lent", "even", "owned" };

struct node
{
  struct world *world;
  int index;
  int region;
  int64_t deaf_until; /* suspended: receives and does nothing */
  int64_t cut_until;  /* messages are lost */
};

struct sim_host
{
  struct node node;
  marjoram_quota_pool *pool;
};

struct sim_keeper
{
  struct node node;
  marjoram_quota_shares *shares;
};

struct request
{
  struct marjoram_quota_claim claim;
  int customer;
};

struct world
{
  struct sim_host hosts[HOSTS];
  struct sim_keeper keepers[KEEPERS];
  char names[KEEPERS][16];
  struct message *queue;
  size_t queued;
  struct request *requests;
  size_t request_count;
  int64_t now;
  int64_t spent[CUSTOMERS][RUN_MS / STEP_MS];
  double asked[CUSTOMERS];
  double refused[CUSTOMERS];
  double within[CUSTOMERS]; /* units that one bucket would have allowed */
  double bucket[CUSTOMERS];
  double waited_ms[CUSTOMERS]; /* for units that were granted */
  double paid[CUSTOMERS];      /* requests */
  enum way way;
  bool faults;
  marjoram_random *random;
};

static uint32_t
below (struct world *w, uint32_t limit)
{
  return marjoram_random_below (w->random, limit);
}

/* ---- Network.  ---- */

static bool
is_cut (const struct node *a, const struct node *b)
{
  return a->world->now < a->cut_until || a->world->now < b->cut_until;
}

static void
post (struct world *w, const struct node *from, const struct node *to,
      struct message message)
{
  if (w->queued == QUEUE_MAX || is_cut (from, to))
    return;
  message.at
      = w->now + 1 + (from->region == to->region ? 0 : FAR_MS) + below (w, 4);
  w->queue[w->queued++] = message;
}

static size_t
op_keepers (void *context, const char *names[MARJORAM_QUOTA_KEEPERS_MAX])
{
  struct sim_host *host = context;
  struct world *w = host->node.world;
  size_t count = 0;

  for (int near = 1; near >= 0; near--)
    for (int i = 0; i < KEEPERS; i++)
      if ((w->keepers[i].node.region == host->node.region) == near)
        names[count++] = w->names[i];
  return count;
}

/* With OWNED, customer I belongs to keeper I.  */
static int
customer_index (const char *name)
{
  return strcmp (name, rules[0].name) == 0 ? 0 : 1;
}

static void
op_ask (void *context, const char *keeper,
        const struct marjoram_quota_ask *ask)
{
  struct sim_host *host = context;
  int to = host->node.world->way == OWNED ? customer_index (ask->customer)
                                          : keeper[1] - '0';

  post (host->node.world, &host->node, &host->node.world->keepers[to].node,
        (struct message){ .to_keeper = true,
                          .from = host->node.index,
                          .to = to,
                          .customer = customer_index (ask->customer),
                          .asked_at = ask->asked_at,
                          .units = ask->units,
                          .given_back = ask->given_back });
}

static void
spend (struct world *w, const struct request *request)
{
  w->waited_ms[request->customer]
      += (double)(w->now - request->claim.started_at);
  w->paid[request->customer]++;
  w->spent[request->customer][w->now / STEP_MS] += request->claim.units;
}

static void
op_settled (void *context, int64_t now, struct marjoram_quota_claim *claim,
            enum marjoram_quota_result result, int64_t retry_ms)
{
  struct sim_host *host = context;
  struct request *request = claim->owner;

  (void)retry_ms;
  (void)now;
  if (result == MARJORAM_QUOTA_PAID)
    spend (host->node.world, request);
  else
    host->node.world->refused[request->customer] += (double)claim->units;
}

static const struct marjoram_quota_pool_ops ops
    = { .keepers = op_keepers, .ask = op_ask, .settled = op_settled };

static void
borrow (struct world *w, struct sim_keeper *keeper, const char *customer)
{
  int64_t units
      = marjoram_quota_shares_borrow (keeper->shares, w->now, customer)
        / (KEEPERS - 1);

  for (int i = 0; w->way == LENT && units > 0 && i < KEEPERS; i++)
    if (i != keeper->node.index)
      post (w, &keeper->node, &w->keepers[i].node,
            (struct message){ .to_keeper = true,
                              .from_keeper = true,
                              .from = keeper->node.index,
                              .to = i,
                              .customer = customer_index (customer),
                              .asked_at = w->now,
                              .units = units });
}

static void
keeper_receive (struct world *w, struct sim_keeper *keeper,
                const struct message *m)
{
  const char *customer = rules[m->customer].name;
  struct message grant = { .from = keeper->node.index,
                           .to = m->from,
                           .customer = m->customer,
                           .asked_at = m->asked_at,
                           .asked_units = m->units };

  if (m->from_keeper && m->units < 0) /* lent to this keeper */
    {
      if (w->now < m->asked_at + MARJORAM_QUOTA_VALID_MS)
        marjoram_quota_shares_add (keeper->shares, w->now, customer,
                                   -m->units);
      return;
    }
  if (m->from_keeper)
    {
      grant.to_keeper = grant.from_keeper = true;
      grant.units = -marjoram_quota_shares_lend (keeper->shares, w->now,
                                                 customer, m->units);
      if (grant.units < 0)
        post (w, &keeper->node, &w->keepers[m->from].node, grant);
      return;
    }
  marjoram_quota_shares_add (keeper->shares, w->now, customer, m->given_back);
  if (m->units <= 0)
    return;
  grant.units = marjoram_quota_shares_take (keeper->shares, w->now, customer,
                                            m->units, &grant.wait_ms);
  borrow (w, keeper, customer);
  post (w, &keeper->node, &w->hosts[m->from].node, grant);
}

static void
host_receive (struct world *w, struct sim_host *host, const struct message *m)
{
  const struct marjoram_quota_grant grant
      = { .customer = rules[m->customer].name,
          .asked_at = m->asked_at,
          .asked_units = m->asked_units,
          .units = m->units,
          .wait_ms = m->wait_ms };

  marjoram_quota_pool_granted (host->pool, w->now, w->names[m->from], &grant);
}

static void
deliver (struct world *w)
{
  for (size_t i = 0; i < w->queued;)
    {
      struct message m = w->queue[i];
      struct node *to
          = m.to_keeper ? &w->keepers[m.to].node : &w->hosts[m.to].node;

      if (w->now < m.at || w->now < to->deaf_until)
        {
          i++;
          continue;
        }
      w->queue[i] = w->queue[--w->queued];
      if (m.to_keeper)
        keeper_receive (w, &w->keepers[m.to], &m);
      else
        host_receive (w, &w->hosts[m.to], &m);
    }
}

/* ---- Load.  ---- */

static void
start_request (struct world *w, struct sim_host *host, int customer)
{
  struct request *request = &w->requests[w->request_count++];
  const int64_t units
      = below (w, 4) ? 300 + below (w, 1500) : 4000 + below (w, 12000);

  ck_assert_uint_lt (w->request_count, CLAIMS_MAX);
  request->customer = customer;
  request->claim.owner = request;
  w->asked[customer] += (double)units;
  if (w->bucket[customer] >= (double)units)
    {
      w->bucket[customer] -= (double)units;
      w->within[customer] += (double)units;
    }
  if (marjoram_quota_pool_claim (host->pool, w->now, &request->claim,
                                 rules[customer].name, units)
      == MARJORAM_QUOTA_PAID)
    spend (w, request);
  marjoram_quota_pool_serve (host->pool, w->now);
}

/* Usage relative to the quota, in units per second, of one region.  */
static double
load_of (const struct world *w, int customer, int region, double load)
{
  const int busy = (int)(w->now / 9000) % REGIONS;
  const double hot = w->now / 13000 % 2 ? 1 : 4;

  return rules[customer].rate_per_s * load * (customer == 0 ? hot : 1)
         * (region == busy ? 0.8 : 0.1);
}

static void
send_requests (struct world *w, double load)
{
  static const double mean_units = (3 * 1050 + 10000) / 4.0;

  for (int c = 0; c < CUSTOMERS; c++)
    {
      w->bucket[c] += rules[c].rate_per_s * STEP_MS / 1000;
      if (w->bucket[c] > rules[c].burst)
        w->bucket[c] = rules[c].burst;
      for (int i = 0; i < HOSTS; i++)
        {
          struct sim_host *host = &w->hosts[i];
          double per_step = load_of (w, c, host->node.region, load) * REGIONS
                            / HOSTS / mean_units * STEP_MS / 1000;

          if (w->now >= host->node.deaf_until
              && below (w, 1000000) < per_step * 1000000)
            start_request (w, host, c);
        }
    }
}

/* ---- Faults.  ---- */

static void
restart_keeper (struct world *w, struct sim_keeper *keeper)
{
  marjoram_quota_shares_destroy (keeper->shares);
  keeper->shares = marjoram_quota_shares_create (ALLOWANCE);
  if (w->way == OWNED)
    {
      const int owner = keeper->node.index;
      const bool owns = owner < CUSTOMERS;
      const struct marjoram_route_table owned
          = { .customers = { owns ? &rules[owner] : NULL, owns } };

      marjoram_quota_shares_configure (keeper->shares, w->now, &owned, 1);
    }
  else
    marjoram_quota_shares_configure (keeper->shares, w->now, &table, KEEPERS);
}

static void
cause_faults (struct world *w)
{
  struct sim_keeper *keeper = &w->keepers[below (w, KEEPERS)];
  struct sim_host *host = &w->hosts[below (w, HOSTS)];

  if (!w->faults || below (w, 100))
    return;
  switch (below (w, 5))
    {
    case 0:
      restart_keeper (w, keeper);
      break;
    case 1:
      keeper->node.deaf_until = w->now + 500 + below (w, 6000);
      break;
    case 2:
      keeper->node.cut_until = w->now + 500 + below (w, 6000);
      break;
    case 3:
      host->node.deaf_until = w->now + 500 + below (w, 6000);
      break;
    default:
      host->node.cut_until = w->now + 500 + below (w, 3000);
      break;
    }
}

/* ---- Runs.  ---- */

static struct world *
open_world (int seed, enum way way)
{
  struct world *w = marjoram_alloc (sizeof *w);

  w->random = marjoram_random_create ((uint64_t)seed);
  w->queue = marjoram_alloc (QUEUE_MAX * sizeof *w->queue);
  w->requests = marjoram_alloc (CLAIMS_MAX * sizeof *w->requests);
  w->way = way;
  for (int i = 0; i < KEEPERS; i++)
    {
      snprintf (w->names[i], sizeof w->names[i], "k%d", i);
      w->keepers[i].node
          = (struct node){ .world = w, .index = i, .region = i % REGIONS };
      restart_keeper (w, &w->keepers[i]);
    }
  for (int i = 0; i < HOSTS; i++)
    {
      w->hosts[i].node
          = (struct node){ .world = w, .index = i, .region = i % REGIONS };
      w->hosts[i].pool = marjoram_quota_pool_create (&ops, &w->hosts[i]);
    }
  return w;
}

static void
close_world (struct world *w)
{
  for (int i = 0; i < KEEPERS; i++)
    marjoram_quota_shares_destroy (w->keepers[i].shares);
  for (int i = 0; i < HOSTS; i++)
    marjoram_quota_pool_destroy (w->hosts[i].pool);
  marjoram_random_destroy (w->random);
  free (w->queue);
  free (w->requests);
  free (w);
}

static void
tick_hosts (struct world *w)
{
  for (int i = 0; i < HOSTS; i++)
    if (w->now >= w->hosts[i].node.deaf_until)
      marjoram_quota_pool_tick (w->hosts[i].pool, w->now);
}

static void
play (struct world *w, double load)
{
  for (w->now = 0; w->now < RUN_MS; w->now += STEP_MS)
    {
      deliver (w);
      if (w->now >= 2000)
        send_requests (w, load);
      if (w->now % TICK_MS == 0)
        tick_hosts (w);
      cause_faults (w);
    }
}

/* The largest sum of a customer's units in a window, by its bound.  */
static double
worst_window (const struct world *w, int customer)
{
  const int steps = WINDOW_MS / STEP_MS;
  const double bound
      = (rules[customer].rate_per_s * WINDOW_MS / 1000 + rules[customer].burst)
            * (1 + OVERAGE)
        + ALLOWANCE;
  double sum = 0;
  double worst = 0;

  for (int i = 0; i < RUN_MS / STEP_MS; i++)
    {
      sum += (double)w->spent[customer][i];
      if (i >= steps)
        sum -= (double)w->spent[customer][i - steps];
      if (sum > worst)
        worst = sum;
    }
  return worst / bound;
}

static double
refused_share (const struct world *w, int customer)
{
  return w->refused[customer] / w->asked[customer];
}

static void
print (const struct world *w, const char *what, int seed)
{
  for (int c = 0; c < CUSTOMERS; c++)
    printf ("%-6s %-5s seed %d %s: worst window %.3f of the bound; refused "
            "%.4f of the units, %.4f over one bucket; waited %.1f ms\n",
            what, way_names[w->way], seed, rules[c].name, worst_window (w, c),
            refused_share (w, c), 1 - w->within[c] / w->asked[c],
            w->waited_ms[c] / w->paid[c]);
}

static void
expect_bound (const struct world *w, int seed)
{
  for (int c = 0; c < CUSTOMERS; c++)
    ck_assert_msg (worst_window (w, c) <= 1,
                   "seed %d: customer %s spent %.3f times the bound", seed,
                   rules[c].name, worst_window (w, c));
}

/* Loop index: seed and way.  */
static struct world *
open_loop (int i)
{
  return open_world (i / WAY_COUNT + 1, (enum way) (i % WAY_COUNT));
}

START_TEST (load_within_the_quota_is_not_refused)
{
  struct world *w = open_loop (_i);

  play (w, 0.25);
  print (w, "within", _i / WAY_COUNT + 1);
  expect_bound (w, _i / WAY_COUNT + 1);
  for (int c = 0; w->way == LENT && c < CUSTOMERS; c++)
    ck_assert_double_le (refused_share (w, c),
                         1 - w->within[c] / w->asked[c] + 0.02);
  close_world (w);
}
END_TEST

START_TEST (load_over_the_quota_keeps_the_bound)
{
  struct world *w = open_loop (_i);

  play (w, 3);
  print (w, "over", _i / WAY_COUNT + 1);
  expect_bound (w, _i / WAY_COUNT + 1);
  close_world (w);
}
END_TEST

START_TEST (faults_keep_the_bound)
{
  struct world *w = open_loop (_i);

  w->faults = true;
  play (w, 0.5);
  print (w, "faults", _i / WAY_COUNT + 1);
  expect_bound (w, _i / WAY_COUNT + 1);
  close_world (w);
}
END_TEST

START_TEST (faults_and_load_over_the_quota_keep_the_bound)
{
  struct world *w = open_loop (_i);

  w->faults = true;
  play (w, 3);
  print (w, "both", _i / WAY_COUNT + 1);
  expect_bound (w, _i / WAY_COUNT + 1);
  close_world (w);
}
END_TEST

START_TEST (a_restarted_keeper_grants_nothing_again)
{
  struct marjoram_quota_shares *shares
      = marjoram_quota_shares_create (ALLOWANCE);
  int64_t wait_ms;

  marjoram_quota_shares_configure (shares, 1000, &table, KEEPERS);
  ck_assert_int_eq (
      marjoram_quota_shares_take (shares, 1000, "small", 500, &wait_ms), 0);
  ck_assert_int_gt (wait_ms, 0);
  marjoram_quota_shares_destroy (shares);
}
END_TEST

START_TEST (a_lower_quota_takes_what_is_over_it)
{
  struct marjoram_quota_shares *shares = marjoram_quota_shares_create (0);
  struct marjoram_customer_rule lower = rules[1];
  const struct marjoram_route_table less = { .customers = { &lower, 1 } };
  int64_t wait_ms;

  marjoram_quota_shares_configure (shares, 0, &table, 1);
  lower.rate_per_s = lower.burst = 1000;
  marjoram_quota_shares_configure (shares, 5000, &less, 1);
  ck_assert_int_eq (
      marjoram_quota_shares_take (shares, 5000, "large", 9999, &wait_ms),
      1000);
  ck_assert_int_eq (
      marjoram_quota_shares_take (shares, 5000, "small", 1, &wait_ms), 0);
  marjoram_quota_shares_destroy (shares);
}
END_TEST

START_TEST (a_keeper_lends_only_what_it_can_spare)
{
  struct marjoram_quota_shares *shares = marjoram_quota_shares_create (0);

  marjoram_quota_shares_configure (shares, 0, &table, 1);
  ck_assert_int_eq (
      marjoram_quota_shares_lend (shares, 5000, "small", 1000000), 14500);
  ck_assert_int_eq (marjoram_quota_shares_lend (shares, 5000, "small", 1), 0);
  ck_assert_int_eq (marjoram_quota_shares_lend (shares, 5000, "none", 1), 0);
  marjoram_quota_shares_destroy (shares);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("quota");
  TCase *shares = tcase_create ("shares");
  TCase *simulated = tcase_create ("simulated");

  tcase_add_test (shares, a_restarted_keeper_grants_nothing_again);
  tcase_add_test (shares, a_lower_quota_takes_what_is_over_it);
  tcase_add_test (shares, a_keeper_lends_only_what_it_can_spare);
  suite_add_tcase (s, shares);
  tcase_set_timeout (simulated, 60);
  tcase_add_loop_test (simulated, load_within_the_quota_is_not_refused, 0,
                       SEEDS * WAY_COUNT);
  tcase_add_loop_test (simulated, load_over_the_quota_keeps_the_bound, 0,
                       SEEDS * WAY_COUNT);
  tcase_add_loop_test (simulated, faults_keep_the_bound, 0, SEEDS * WAY_COUNT);
  tcase_add_loop_test (simulated,
                       faults_and_load_over_the_quota_keep_the_bound, 0,
                       SEEDS * WAY_COUNT);
  suite_add_tcase (s, simulated);
  return s;
}
