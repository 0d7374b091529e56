/* Load orders: how many, to which engines, how often, and by which host.  */
#include "suite.h"

#include "cleanup.h"
#include "log.h"
#include "model_placement.h"

#include <stdio.h>
#include <string.h>

enum
{
  ENGINES = 4,
  ORDERS_MAX = 64,
  STEP_MS = 250,
  /* A first holder waits for a lease that its previous run may have
     granted.  */
  LEASE_WAIT_MS = 60000
};

/* A recorded order.  */
struct recorded_order
{
  uint64_t number;
  uint64_t fence;
  int engine;
  char model[8];
};

static struct recorded_order recorded_orders[ORDERS_MAX];
static int recorded_count;
static marjoram_config *config;
static marjoram_members *members;
static marjoram_orders *orders;
static marjoram_model_placement *placement;
static marjoram_random *rng;
static int64_t now;

static void
record_order (void *context, const struct marjoram_order *order)
{
  struct recorded_order *copy
      = &recorded_orders[recorded_count++ % ORDERS_MAX];

  (void)context;
  copy->number = order->number;
  copy->fence = order->fence;
  copy->engine = order->address[strlen (order->address) - 1] - '0';
  snprintf (copy->model, sizeof copy->model, "%s", order->model);
}

static const struct marjoram_model_placement_ops placement_ops
    = { record_order };

static void
on_send (void *context, int ordinal,
         const struct marjoram_order_message *message)
{
  (void)context;
  (void)ordinal;
  (void)message;
}

static void
on_lease (void *context, uint64_t fence)
{
  (void)context;
  (void)fence;
}

static const struct marjoram_orders_ops orders_ops = { on_send, on_lease };

static marjoram_config *
make_config (void)
{
  static const char text[]
      = "[file]\nname = all\nversion = 1\n[cluster t]\n[region r]\n"
        "[zone z]\nregion = r\n[slot z-1]\nzone = z\npeer = 127.9.2.1:7000\n"
        "entry = 127.9.2.1:8080\nkeeper = yes\n"
        "[model m]\ncopies = 2\nload_ms = 1000\n"
        "[model n]\ncopies = 3\nload_ms = 1000\n";
  struct marjoram_state *state = marjoram_state_copy (NULL);
  struct marjoram_file *file = marjoram_alloc (sizeof *file);
  marjoram_config *made;

  state->number = 1;
  state->files.items = file;
  state->files.count = 1;
  file->name = marjoram_strdup ("all");
  file->version = 1;
  file->text = marjoram_strdup (text);
  file->digest = marjoram_digest (text, strlen (text));
  made = marjoram_config_create (state, NULL, NULL);
  marjoram_state_destroy (state);
  return made;
}

/* Announces engine INDEX, which has LOADED (NULL for none) and can load m and
   n.  */
static void
announce (int index, const char *loaded)
{
  static uint64_t sequence;
  struct marjoram_work_name works[1] = { { (char *)loaded } };
  struct marjoram_work_name loadable[2] = { { (char *)"m" }, { (char *)"n" } };
  struct marjoram_announcement a = { 0 };
  char name[16];
  char address[32];

  snprintf (name, sizeof name, "e%d", index);
  snprintf (address, sizeof address, "127.9.2.9:%d", 9000 + index);
  a.name = name;
  a.zone = (char *)"z";
  a.address = address;
  a.incarnation = 1;
  a.sequence = ++sequence;
  a.engine = true;
  a.slots = 4;
  a.lease_ms = 60000;
  a.works.items = works;
  a.works.count = loaded != NULL;
  a.loadable.items = loadable;
  a.loadable.count = 2;
  marjoram_members_announce (members, now, &a, false);
}

static void
advance (int64_t msec)
{
  for (int64_t end = now + msec; now < end;)
    {
      now += STEP_MS;
      marjoram_orders_tick (orders, now);
      marjoram_model_placement_tick (placement, now, config, members, orders);
    }
}

static void
setup (void)
{
  struct marjoram_orders_options options = { .slot_count = 1,
                                             .incarnation = 1000,
                                             .lease_ms = 10000,
                                             .longest_order_ms = 1000 };

  now = 1000000;
  recorded_count = 0;
  config = make_config ();
  ck_assert_ptr_nonnull (config);
  members = marjoram_members_create ("z", 0);
  rng = marjoram_random_create (1);
  orders = marjoram_orders_create (&options, &orders_ops, NULL);
  placement = marjoram_model_placement_create (&placement_ops, NULL, rng);
  for (int i = 0; i < ENGINES; i++)
    announce (i, NULL);
}

static void
teardown (void)
{
  marjoram_model_placement_destroy (placement);
  marjoram_orders_destroy (orders);
  marjoram_random_destroy (rng);
  marjoram_members_destroy (members);
  marjoram_config_release (config);
}

/* Guards against overloading the weight store with concurrent loads.  */
START_TEST (loads_at_most_two_models_at_once)
{
  int answered_count = 0;

  while (recorded_count == 0)
    advance (STEP_MS);
  for (int round = 0; round < 40; round++)
    {
      advance (STEP_MS);
      ck_assert_int_le (recorded_count - answered_count, 2);
      if (recorded_count - answered_count == 2)
        ck_assert_int_ne (recorded_orders[answered_count].engine,
                          recorded_orders[answered_count + 1].engine);
      for (; answered_count < recorded_count && round % 4 == 3;
           answered_count++)
        {
          marjoram_model_placement_answered (
              placement, now, recorded_orders[answered_count].number, 200, 0);
          announce (recorded_orders[answered_count].engine,
                    recorded_orders[answered_count].model);
        }
    }
  /* Five copies on four engines: one engine loads both models.  */
  ck_assert_int_ge (recorded_count, ENGINES);
  for (int i = 0; i < recorded_count; i++)
    ck_assert (recorded_orders[i].fence > 0);
}
END_TEST

/* Guards against retrying refused loads (429) on every tick.  */
START_TEST (refused_loads_back_off)
{
  int answered = 0;

  for (int i = 0; i < 480; i++)
    {
      advance (STEP_MS);
      for (; answered < recorded_count; answered++)
        marjoram_model_placement_answered (
            placement, now, recorded_orders[answered].number, 429, 0);
    }
  ck_assert_int_lt (recorded_count, 60);
  ck_assert_int_gt (recorded_count, 4);
}
END_TEST

/* Guards against a stated time that the limit of the own backoff cuts.  */
START_TEST (stated_time_is_kept)
{
  const int64_t stated_ms = 150000;
  int64_t answered_at[ORDERS_MAX] = { 0 };
  int answered = 0;

  for (int i = 0; i < 1200; i++)
    {
      for (int engine = 0; engine < ENGINES; engine++)
        announce (engine, NULL);
      advance (STEP_MS);
      for (; answered < recorded_count; answered++)
        {
          ck_assert_int_lt (answered, ORDERS_MAX);
          answered_at[answered] = now;
          marjoram_model_placement_answered (placement, now,
                                             recorded_orders[answered].number,
                                             503, stated_ms);
        }
    }
  ck_assert_int_gt (answered, 0);
  for (int i = 0; i < answered; i++)
    for (int j = 0; j < i; j++)
      if (recorded_orders[i].engine == recorded_orders[j].engine
          && strcmp (recorded_orders[i].model, recorded_orders[j].model) == 0)
        ck_assert_int_ge (answered_at[i] - answered_at[j], stated_ms);
}
END_TEST

/* Guards against a host that was suspended past its lease sending an order
   under that lease.  */
START_TEST (resumed_holder_sends_no_order_on_expired_lease)
{
  uint64_t before;

  advance (LEASE_WAIT_MS);
  ck_assert_int_gt (recorded_count, 0);
  before = recorded_orders[recorded_count - 1].fence;
  recorded_count = 0;
  now += 60000;
  marjoram_model_placement_tick (placement, now, config, members, orders);
  ck_assert_int_eq (recorded_count, 0);
  for (int i = 0; i < ENGINES; i++)
    announce (i, NULL);
  advance (LEASE_WAIT_MS);
  ck_assert_int_gt (recorded_count, 0);
  ck_assert_uint_ge (recorded_orders[0].fence, before);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("model_placement");
  TCase *c = tcase_create ("model_placement");

  marjoram_log_open ("test", MARJORAM_LOG_ERROR);
  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, loads_at_most_two_models_at_once);
  tcase_add_test (c, refused_loads_back_off);
  tcase_add_test (c, stated_time_is_kept);
  tcase_add_test (c, resumed_holder_sends_no_order_on_expired_lease);
  suite_add_tcase (s, c);
  return s;
}
