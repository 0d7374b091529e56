/* The order lease: at most one holder, increasing fences, and no overlap of
   holders for engines that do not check the fence.  */
#include "suite.h"

#include "order.h"
#include "random.h"

#include <string.h>

enum
{
  HOSTS = 3,
  TEST_SECONDS = 60, /* allows for a slow machine */
  QUEUE_MAX = 512,
  LEASE_MS = 3000,
  LONGEST_ORDER_MS = 2000,
  HOLDER_LEASE_MS = LEASE_MS * 9 / 10, /* by the holder's clock */
  TAKEOVER_MS = 2 * LEASE_MS,
  SETTLE_MS = LEASE_MS + LONGEST_ORDER_MS,
  STEP_MS = 50,
  SKEW_MS = 2000, /* wall clock offset between consecutive hosts */
  START_WALL = 1000000,
  STEPS = 4000,
  SEEDS = 60
};

struct queued_message
{
  int from;
  int to;
  marjoram_bytes *bytes;
};

struct zone;

struct host
{
  struct zone *zone;
  int ordinal;
  bool suspended;
  uint64_t lease; /* as last reported */
  marjoram_orders *orders;
};

struct zone
{
  int64_t now;
  struct host hosts[HOSTS];
  struct queued_message queue[QUEUE_MAX];
  int queued_count;
  unsigned isolated;        /* bit mask of isolated hosts */
  uint64_t highest;         /* highest fence of any order */
  int64_t older_orders_end; /* latest end of orders with a lower fence */
  int64_t last_order;
  int orders;
  int unfenced_orders;
};

static void
enqueue (void *context, int ordinal,
         const struct marjoram_order_message *message)
{
  const struct host *host = context;
  struct zone *zone = host->zone;

  if (zone->queued_count < QUEUE_MAX)
    zone->queue[zone->queued_count++]
        = (struct queued_message){ host->ordinal, ordinal,
                                   marjoram_wire_pack (&marjoram_order_layout,
                                                       message) };
}

static void
on_lease (void *context, uint64_t fence)
{
  struct host *host = context;

  host->lease = fence;
}

static void
restart (struct zone *zone, int ordinal)
{
  static const struct marjoram_orders_ops ops = { enqueue, on_lease };
  struct marjoram_orders_options options
      = { HOSTS, ordinal, START_WALL + ordinal * SKEW_MS + zone->now, LEASE_MS,
          LONGEST_ORDER_MS };
  struct host *host = &zone->hosts[ordinal];

  marjoram_orders_destroy (host->orders);
  *host = (struct host){ .zone = zone, .ordinal = ordinal };
  host->orders = marjoram_orders_create (&options, &ops, host);
  marjoram_orders_tick (host->orders, zone->now);
}

static void
zone_init (struct zone *zone)
{
  memset (zone, 0, sizeof *zone);
  zone->now = 1;
  for (int i = 0; i < HOSTS; i++)
    restart (zone, i);
}

static struct queued_message
dequeue (struct zone *zone, int index)
{
  struct queued_message message = zone->queue[index];

  zone->queued_count--;
  memmove (&zone->queue[index], &zone->queue[index + 1],
           (zone->queued_count - index) * sizeof *zone->queue);
  return message;
}

static void
deliver (struct zone *zone, int index)
{
  struct queued_message queued = dequeue (zone, index);
  struct host *to = &zone->hosts[queued.to];
  void *message = marjoram_wire_unpack (
      &marjoram_order_layout, marjoram_bytes_data (queued.bytes),
      marjoram_bytes_size (queued.bytes), NULL);

  if (!(zone->isolated & (1U << queued.from | 1U << queued.to)))
    marjoram_orders_receive (to->orders, zone->now, queued.from, message);
  marjoram_wire_destroy (&marjoram_order_layout, message);
  marjoram_bytes_release (queued.bytes);
}

static void
zone_clear (struct zone *zone)
{
  while (zone->queued_count > 0)
    marjoram_bytes_release (dequeue (zone, 0).bytes);
  for (int i = 0; i < HOSTS; i++)
    marjoram_orders_destroy (zone->hosts[i].orders);
}

static int
find_holder (const struct zone *zone)
{
  int found = -1;

  for (int i = 0; i < HOSTS; i++)
    if (!zone->hosts[i].suspended
        && marjoram_orders_fence (zone->hosts[i].orders, zone->now, true))
      {
        ck_assert_int_eq (found, -1);
        found = i;
      }
  return found;
}

/* Messages to suspended hosts are held back.  */
static void
run_for (struct zone *zone, int64_t ms)
{
  for (int64_t end = zone->now + ms; zone->now < end; zone->now += STEP_MS)
    {
      for (int i = 0; i < HOSTS; i++)
        if (!zone->hosts[i].suspended)
          marjoram_orders_tick (zone->hosts[i].orders, zone->now);
      for (int i = 0; i < zone->queued_count;)
        if (zone->hosts[zone->queue[i].to].suspended)
          i++;
        else
          deliver (zone, i);
      find_holder (zone);
    }
}

static uint64_t
get_fence (const struct zone *zone, int host, bool fence_checked)
{
  return marjoram_orders_fence (zone->hosts[host].orders, zone->now,
                                fence_checked);
}

/* Guards against a holder that was suspended past its lease sending an order,
   and against its successor sending one to an engine that ignores fences while
   earlier orders may be in flight.  */
START_TEST (resumed_holder_sends_no_order)
{
  struct zone zone;
  int first_holder, second_holder;
  uint64_t old;
  int64_t suspended_at;

  zone_init (&zone);
  ck_assert_int_eq (find_holder (&zone), -1);
  run_for (&zone, SETTLE_MS - STEP_MS);
  ck_assert_int_eq (find_holder (&zone), -1);
  run_for (&zone, TAKEOVER_MS);
  first_holder = find_holder (&zone);
  ck_assert_int_ge (first_holder, 0);
  run_for (&zone, SETTLE_MS);
  old = get_fence (&zone, first_holder, false);
  ck_assert_uint_ne (old, 0);
  ck_assert_uint_eq (old, zone.hosts[first_holder].lease);
  suspended_at = zone.now;
  zone.hosts[first_holder].suspended = true;
  run_for (&zone, TAKEOVER_MS);
  second_holder = find_holder (&zone);
  ck_assert_int_ge (second_holder, 0);
  ck_assert_int_ne (second_holder, first_holder);
  ck_assert_uint_gt (get_fence (&zone, second_holder, true), old);
  ck_assert_uint_eq (get_fence (&zone, first_holder, true), 0);
  while (get_fence (&zone, second_holder, false) == 0)
    run_for (&zone, STEP_MS);
  ck_assert_int_ge (zone.now,
                    suspended_at + LONGEST_ORDER_MS + HOLDER_LEASE_MS);
  zone.hosts[first_holder].suspended = false;
  ck_assert_uint_eq (get_fence (&zone, first_holder, true), 0);
  run_for (&zone, STEP_MS);
  ck_assert_uint_eq (zone.hosts[first_holder].lease, 0);
  for (int i = 0; i < HOSTS; i++)
    ck_assert (
        !marjoram_orders_may_relay (zone.hosts[i].orders, zone.now, old));
  ck_assert (
      marjoram_orders_may_relay (zone.hosts[first_holder].orders, zone.now,
                                 get_fence (&zone, second_holder, true)));
  zone_clear (&zone);
}
END_TEST

/* Guards against a second holder after a voter restarts and has lost its
   vote.  */
START_TEST (restarted_voter_waits)
{
  struct zone zone;
  int first_holder;
  int64_t until;

  zone_init (&zone);
  run_for (&zone, SETTLE_MS + TAKEOVER_MS);
  first_holder = find_holder (&zone);
  zone.hosts[first_holder].suspended = true;
  restart (&zone, (first_holder + 1) % HOSTS);
  until = zone.now + SETTLE_MS;
  while (zone.now < until)
    {
      run_for (&zone, STEP_MS);
      ck_assert (find_holder (&zone) == -1);
    }
  ck_assert (!marjoram_orders_may_relay (
      zone.hosts[(first_holder + 1) % HOSTS].orders, zone.now - TAKEOVER_MS,
      1));
  run_for (&zone, TAKEOVER_MS);
  ck_assert_int_ne (find_holder (&zone), -1);
  zone_clear (&zone);
}
END_TEST

/* Guards against a delayed grant of an earlier round extending the lease
   beyond what its voter granted.  */
START_TEST (late_grant_does_not_extend_lease)
{
  struct zone zone;
  struct queued_message late;
  int first_holder, voter;
  int64_t promised;

  zone_init (&zone);
  run_for (&zone, SETTLE_MS + TAKEOVER_MS);
  first_holder = find_holder (&zone);
  voter = (first_holder + 1) % HOSTS;
  zone.now += LEASE_MS / 4;
  marjoram_orders_tick (zone.hosts[first_holder].orders, zone.now);
  while (zone.queue[0].to != voter)
    marjoram_bytes_release (dequeue (&zone, 0).bytes);
  deliver (&zone, 0);
  promised = zone.now + LEASE_MS;
  late = dequeue (&zone, zone.queued_count - 1);
  ck_assert_int_eq (late.from, voter);
  zone.now += LEASE_MS / 4;
  marjoram_orders_tick (zone.hosts[first_holder].orders, zone.now);
  while (zone.queued_count > 0)
    marjoram_bytes_release (dequeue (&zone, 0).bytes);
  zone.queue[zone.queued_count++] = late;
  deliver (&zone, 0);
  zone.now = promised;
  ck_assert_uint_eq (get_fence (&zone, first_holder, true), 0);
  zone_clear (&zone);
}
END_TEST

static void
send_order (struct zone *zone, int host, bool fence_checked)
{
  uint64_t order_fence = get_fence (zone, host, fence_checked);

  if (order_fence == 0)
    return;
  ck_assert_msg (order_fence >= zone->highest, "fence decreased");
  if (order_fence > zone->highest)
    {
      zone->older_orders_end = zone->last_order + LONGEST_ORDER_MS;
      zone->highest = order_fence;
    }
  ck_assert_msg (fence_checked || zone->orders == 0
                     || zone->now >= zone->older_orders_end,
                 "order overlaps one of an older holder");
  zone->last_order = zone->now;
  zone->orders++;
  zone->unfenced_orders += !fence_checked;
}

static void
random_event (struct zone *zone, marjoram_random *random)
{
  int host = (int)marjoram_random_below (random, HOSTS);
  uint32_t chance = marjoram_random_below (random, 1000);
  uint32_t fault = marjoram_random_below (random, 2000);

  if (fault == 0)
    restart (zone, host);
  else if (fault < 8)
    zone->hosts[host].suspended = !zone->hosts[host].suspended && fault == 1;
  else if (fault < 16)
    zone->isolated = fault < 10 ? zone->isolated ^ 1U << host : 0;
  else if (chance < 100)
    zone->now += marjoram_random_below (random, 200);
  else if (zone->hosts[host].suspended)
    return;
  else if (chance < 300)
    marjoram_orders_tick (zone->hosts[host].orders, zone->now);
  else if (chance < 400)
    send_order (zone, host, chance < 350);
  else if (zone->queued_count > 0)
    {
      int index = (int)marjoram_random_below (random, zone->queued_count);

      if (chance < 440)
        marjoram_bytes_release (dequeue (zone, index).bytes);
      else if (!zone->hosts[zone->queue[index].to].suspended)
        deliver (zone, index);
    }
  find_holder (zone);
}

/* Random restarts, suspensions, partitions, and lost or delayed messages:
   never two holders, never a decreasing fence, and no overlap with an older
   holder's orders for engines that ignore fences.  */
START_TEST (one_holder_in_random_schedules)
{
  int orders = 0;

  for (int seed = 1; seed <= SEEDS; seed++)
    {
      marjoram_random *random = marjoram_random_create (seed);
      struct zone zone;

      zone_init (&zone);
      run_for (&zone, SETTLE_MS);
      for (int i = 0; i < STEPS; i++)
        random_event (&zone, random);
      zone.isolated = 0;
      for (int i = 0; i < HOSTS; i++)
        zone.hosts[i].suspended = false;
      run_for (&zone, SETTLE_MS + TAKEOVER_MS + TAKEOVER_MS);
      ck_assert_int_ne (find_holder (&zone), -1);
      send_order (&zone, find_holder (&zone), true);
      orders += zone.unfenced_orders;
      zone_clear (&zone);
      marjoram_random_destroy (random);
    }
  ck_assert_int_gt (orders, SEEDS);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("order");
  TCase *c = tcase_create ("order");

  tcase_add_test (c, resumed_holder_sends_no_order);
  tcase_add_test (c, restarted_voter_waits);
  tcase_add_test (c, late_grant_does_not_extend_lease);
  tcase_add_test (c, one_holder_in_random_schedules);
  tcase_set_timeout (c, TEST_SECONDS);
  suite_add_tcase (s, c);
  return s;
}
