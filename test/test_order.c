/* The lease for orders to engines: one holder at a time, fences that only
   grow, and silence where the engine does not check them.  */
#include "suite.h"

#include "order.h"
#include "random.h"

#include <string.h>

enum
{
  HOSTS = 3,
  TEST_SECONDS = 60, /* a busy machine is no failure */
  BAG_MAX = 512,
  LEASE_MS = 3000,
  LONGEST_MS = 2000,
  HELD_MS = LEASE_MS * 9 / 10, /* by the holder's own clock */
  WHILE_MS = 2 * LEASE_MS,
  SETTLE_MS = LEASE_MS + LONGEST_MS,
  STEP_MS = 50,
  SKEW_MS = 2000, /* between one host's wall clock and the next one's */
  START_WALL = 1000000,
  STEPS = 4000,
  SEEDS = 60
};

struct letter
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
  bool frozen;
  uint64_t lease; /* as last told */
  marjoram_orders *orders;
};

struct zone
{
  int64_t now;
  struct host hosts[HOSTS];
  struct letter bag[BAG_MAX];
  int letters;
  unsigned cut;     /* hosts that nobody hears, a bit for each */
  uint64_t highest; /* fence on any order so far */
  int64_t old_ends; /* when the last order under a lower fence has ended */
  int64_t last_order;
  int orders;
  int unfenced_orders;
};

static void
post (void *context, int ordinal, const struct marjoram_order_message *message)
{
  const struct host *host = context;
  struct zone *zone = host->zone;

  if (zone->letters < BAG_MAX)
    zone->bag[zone->letters++]
        = (struct letter){ host->ordinal, ordinal,
                           marjoram_wire_pack (&marjoram_order_layout,
                                               message) };
}

static void
lease (void *context, uint64_t fence)
{
  struct host *host = context;

  host->lease = fence;
}

static void
restart (struct zone *zone, int ordinal)
{
  static const struct marjoram_orders_ops ops = { post, lease };
  struct marjoram_orders_options options
      = { HOSTS, ordinal, START_WALL + ordinal * SKEW_MS + zone->now, LEASE_MS,
          LONGEST_MS };
  struct host *host = &zone->hosts[ordinal];

  marjoram_orders_destroy (host->orders);
  *host = (struct host){ .zone = zone, .ordinal = ordinal };
  host->orders = marjoram_orders_create (&options, &ops, host);
  marjoram_orders_tick (host->orders, zone->now);
}

static void
open_zone (struct zone *zone)
{
  memset (zone, 0, sizeof *zone);
  zone->now = 1;
  for (int i = 0; i < HOSTS; i++)
    restart (zone, i);
}

static struct letter
take (struct zone *zone, int index)
{
  struct letter letter = zone->bag[index];

  zone->letters--;
  memmove (&zone->bag[index], &zone->bag[index + 1],
           (zone->letters - index) * sizeof *zone->bag);
  return letter;
}

static void
deliver (struct zone *zone, int index)
{
  struct letter letter = take (zone, index);
  struct host *to = &zone->hosts[letter.to];
  void *message = marjoram_wire_unpack (
      &marjoram_order_layout, marjoram_bytes_data (letter.bytes),
      marjoram_bytes_size (letter.bytes), NULL);

  if (!(zone->cut & (1U << letter.from | 1U << letter.to)))
    marjoram_orders_receive (to->orders, zone->now, letter.from, message);
  marjoram_wire_destroy (&marjoram_order_layout, message);
  marjoram_bytes_release (letter.bytes);
}

static void
close_zone (struct zone *zone)
{
  while (zone->letters > 0)
    marjoram_bytes_release (take (zone, 0).bytes);
  for (int i = 0; i < HOSTS; i++)
    marjoram_orders_destroy (zone->hosts[i].orders);
}

static int
holder (const struct zone *zone)
{
  int found = -1;

  for (int i = 0; i < HOSTS; i++)
    if (!zone->hosts[i].frozen
        && marjoram_orders_fence (zone->hosts[i].orders, zone->now, true))
      {
        ck_assert_int_eq (found, -1);
        found = i;
      }
  return found;
}

/* Letters to frozen hosts wait.  */
static void
run_for (struct zone *zone, int64_t ms)
{
  for (int64_t end = zone->now + ms; zone->now < end; zone->now += STEP_MS)
    {
      for (int i = 0; i < HOSTS; i++)
        if (!zone->hosts[i].frozen)
          marjoram_orders_tick (zone->hosts[i].orders, zone->now);
      for (int i = 0; i < zone->letters;)
        if (zone->hosts[zone->bag[i].to].frozen)
          i++;
        else
          deliver (zone, i);
      holder (zone);
    }
}

static uint64_t
fence (const struct zone *zone, int host, bool honoured)
{
  return marjoram_orders_fence (zone->hosts[host].orders, zone->now, honoured);
}

/* The holder is frozen past its lease and thawed: it wakes up believing that
   it holds the lease, and must not send its next order.  Its successor has a
   higher number, and orders to engines that ignore numbers wait until all that
   the old holder sent must have ended.  */
START_TEST (thawed_holder_gives_no_order)
{
  struct zone zone;
  int first, second;
  uint64_t old;
  int64_t frozen_at;

  open_zone (&zone);
  ck_assert_int_eq (holder (&zone), -1);
  run_for (&zone, SETTLE_MS - STEP_MS);
  ck_assert_int_eq (holder (&zone), -1);
  run_for (&zone, WHILE_MS);
  first = holder (&zone);
  ck_assert_int_ge (first, 0);
  run_for (&zone, SETTLE_MS);
  old = fence (&zone, first, false);
  ck_assert_uint_ne (old, 0);
  ck_assert_uint_eq (old, zone.hosts[first].lease);
  frozen_at = zone.now;
  zone.hosts[first].frozen = true;
  run_for (&zone, WHILE_MS);
  second = holder (&zone);
  ck_assert_int_ge (second, 0);
  ck_assert_int_ne (second, first);
  ck_assert_uint_gt (fence (&zone, second, true), old);
  ck_assert_uint_eq (fence (&zone, first, true), 0);
  while (fence (&zone, second, false) == 0)
    run_for (&zone, STEP_MS);
  ck_assert_int_ge (zone.now, frozen_at + LONGEST_MS + HELD_MS);
  zone.hosts[first].frozen = false;
  ck_assert_uint_eq (fence (&zone, first, true), 0);
  run_for (&zone, STEP_MS);
  ck_assert_uint_eq (zone.hosts[first].lease, 0);
  for (int i = 0; i < HOSTS; i++)
    ck_assert (
        !marjoram_orders_may_relay (zone.hosts[i].orders, zone.now, old));
  ck_assert (marjoram_orders_may_relay (zone.hosts[first].orders, zone.now,
                                        fence (&zone, second, true)));
  close_zone (&zone);
}
END_TEST

/* A host that granted the lease restarts empty while its holder is cut off
   from all but that host.  Had it granted at once, there would be two.  */
START_TEST (restarted_voter_waits)
{
  struct zone zone;
  int first;
  int64_t until;

  open_zone (&zone);
  run_for (&zone, SETTLE_MS + WHILE_MS);
  first = holder (&zone);
  zone.hosts[first].frozen = true;
  restart (&zone, (first + 1) % HOSTS);
  until = zone.now + SETTLE_MS;
  while (zone.now < until)
    {
      run_for (&zone, STEP_MS);
      ck_assert (holder (&zone) == -1);
    }
  ck_assert (!marjoram_orders_may_relay (
      zone.hosts[(first + 1) % HOSTS].orders, zone.now - WHILE_MS, 1));
  run_for (&zone, WHILE_MS);
  ck_assert_int_ne (holder (&zone), -1);
  close_zone (&zone);
}
END_TEST

/* The holder's renewal is granted by one voter, but the grant is delayed; of
   the next renewal nothing arrives.  Taking the late grant for the latter, the
   holder would go on for longer than that voter has promised, beside the next
   holder.  */
START_TEST (late_grant_does_not_prolong_the_lease)
{
  struct zone zone;
  struct letter late;
  int first, voter;
  int64_t promised;

  open_zone (&zone);
  run_for (&zone, SETTLE_MS + WHILE_MS);
  first = holder (&zone);
  voter = (first + 1) % HOSTS;
  zone.now += LEASE_MS / 4;
  marjoram_orders_tick (zone.hosts[first].orders, zone.now);
  while (zone.bag[0].to != voter)
    marjoram_bytes_release (take (&zone, 0).bytes);
  deliver (&zone, 0);
  promised = zone.now + LEASE_MS;
  late = take (&zone, zone.letters - 1);
  ck_assert_int_eq (late.from, voter);
  zone.now += LEASE_MS / 4;
  marjoram_orders_tick (zone.hosts[first].orders, zone.now);
  while (zone.letters > 0)
    marjoram_bytes_release (take (&zone, 0).bytes);
  zone.bag[zone.letters++] = late;
  deliver (&zone, 0);
  zone.now = promised;
  ck_assert_uint_eq (fence (&zone, first, true), 0);
  close_zone (&zone);
}
END_TEST

static void
order (struct zone *zone, int host, bool honoured)
{
  uint64_t f = fence (zone, host, honoured);

  if (f == 0)
    return;
  ck_assert_msg (f >= zone->highest, "fence went back");
  if (f > zone->highest)
    {
      zone->old_ends = zone->last_order + LONGEST_MS;
      zone->highest = f;
    }
  ck_assert_msg (honoured || zone->orders == 0 || zone->now >= zone->old_ends,
                 "order beside one of an older holder");
  zone->last_order = zone->now;
  zone->orders++;
  zone->unfenced_orders += !honoured;
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
    zone->hosts[host].frozen = !zone->hosts[host].frozen && fault == 1;
  else if (fault < 16)
    zone->cut = fault < 10 ? zone->cut ^ 1U << host : 0;
  else if (chance < 100)
    zone->now += marjoram_random_below (random, 200);
  else if (zone->hosts[host].frozen)
    return;
  else if (chance < 300)
    marjoram_orders_tick (zone->hosts[host].orders, zone->now);
  else if (chance < 400)
    order (zone, host, chance < 350);
  else if (zone->letters > 0)
    {
      int index = (int)marjoram_random_below (random, zone->letters);

      if (chance < 440)
        marjoram_bytes_release (take (zone, index).bytes);
      else if (!zone->hosts[zone->bag[index].to].frozen)
        deliver (zone, index);
    }
  holder (zone);
}

/* Restarts, freezes, cuts and lost or late messages in any order: at no time
   two holders, no order under a lower number than one before, and none beside
   an older holder's where the engine does not check.  */
START_TEST (one_holder_in_random_schedules)
{
  int orders = 0;

  for (int seed = 1; seed <= SEEDS; seed++)
    {
      marjoram_random *random = marjoram_random_create (seed);
      struct zone zone;

      open_zone (&zone);
      run_for (&zone, SETTLE_MS);
      for (int i = 0; i < STEPS; i++)
        random_event (&zone, random);
      zone.cut = 0;
      for (int i = 0; i < HOSTS; i++)
        zone.hosts[i].frozen = false;
      run_for (&zone, SETTLE_MS + WHILE_MS + WHILE_MS);
      ck_assert_int_ne (holder (&zone), -1);
      order (&zone, holder (&zone), true);
      orders += zone.unfenced_orders;
      close_zone (&zone);
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

  tcase_add_test (c, thawed_holder_gives_no_order);
  tcase_add_test (c, restarted_voter_waits);
  tcase_add_test (c, late_grant_does_not_prolong_the_lease);
  tcase_add_test (c, one_holder_in_random_schedules);
  tcase_set_timeout (c, TEST_SECONDS);
  suite_add_tcase (s, c);
  return s;
}
