/* Tests how a region's capacity is divided between customers: of one host, and
   of many hosts that exchange their sums through a collector.  */
#include "suite.h"

#include "cleanup.h"
#include "random.h"
#include "room_collector.h"
#include "room_share.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

static marjoram_room_share *share;

static void
setup (void)
{
  share = marjoram_room_share_create ();
}

static void
teardown (void)
{
  marjoram_room_share_destroy (share);
}

/* ---- One host with given sums.  ---- */

struct use
{
  const char *customer;
  uint64_t used;
  uint64_t wanted;
};

/* The collector's sums for service "lm", of one host, while requests wait.  */
static void
apply (int64_t now, const struct use *uses, size_t count, uint64_t waiting)
{
  struct marjoram_room_item items[8];
  const struct marjoram_room_report sums = { { items, count }, 1 };

  ck_assert_uint_le (count, sizeof items / sizeof *items);
  for (size_t i = 0; i < count; i++)
    items[i]
        = (struct marjoram_room_item){ (char *)"lm", (char *)uses[i].customer,
                                       uses[i].used, uses[i].wanted, waiting };
  marjoram_room_share_apply (share, now, &sums, 1);
}

static bool
is_over (int64_t now, const char *customer)
{
  return marjoram_room_share_is_over (share, now, "lm", customer);
}

/* Guards against shares that ignore the quotas.  */
START_TEST (shares_follow_quotas)
{
  struct marjoram_customer_rule rules[] = {
    { .name = "large", .unit = MARJORAM_QUOTA_TOKENS, .rate_per_s = 3000 },
    { .name = "small", .unit = MARJORAM_QUOTA_TOKENS, .rate_per_s = 1000 },
    { .name = "counted", .rate_per_s = 5 },
    { .name = "free" }
  };
  struct marjoram_route_table table = { .customers = { rules, 4 } };
  const struct use even[] = { { "large", 500, 2000 }, { "small", 500, 2000 } };
  const struct use fair[] = { { "large", 750, 2000 }, { "small", 250, 2000 } };
  /* Without a quota, or with one in another unit: the mean, 2000.  */
  const struct use unknown[] = { { "large", 300, 4000 },
                                 { "small", 100, 4000 },
                                 { "free", 600, 4000 } };
  const struct use counted[]
      = { { "small", 400, 4000 }, { "counted", 600, 4000 } };

  marjoram_room_share_set_table (share, &table);
  apply (1000, even, 2, 1);
  ck_assert (is_over (1000, "small") && !is_over (1000, "large"));
  apply (1100, fair, 2, 1);
  ck_assert (!is_over (1100, "small") && !is_over (1100, "large"));
  apply (1200, unknown, 3, 1);
  ck_assert (is_over (1200, "free") && !is_over (1200, "large"));
  apply (1300, counted, 2, 1);
  ck_assert (is_over (1300, "small") && !is_over (1300, "counted"));
}
END_TEST

/* Guards against capacity that is kept for customers which do not want it.  */
START_TEST (unused_shares_go_to_others)
{
  const struct use uses[]
      = { { "a", 100, 100 }, { "b", 400, 4000 }, { "c", 500, 4000 } };
  const struct use all[]
      = { { "a", 100, 100 }, { "b", 400, 400 }, { "c", 500, 500 } };

  apply (1000, uses, 3, 1);
  /* B and c may have 450 each, not a third.  */
  ck_assert (!is_over (1000, "b") && is_over (1000, "c"));
  ck_assert_int_eq (marjoram_room_share_part (share, 1000, "lm", "a"), 100);
  ck_assert_int_gt (marjoram_room_share_part (share, 1000, "lm", "c"), 100);
  apply (1100, all, 3, 1);
  ck_assert (!is_over (1100, "a") && !is_over (1100, "b")
             && !is_over (1100, "c"));
}
END_TEST

/* Guards against a customer that is limited by itself.  */
START_TEST (single_customer_is_not_limited)
{
  const struct use uses[] = { { "", 1000, 9000 } };

  apply (1000, uses, 1, 1);
  ck_assert (!is_over (1000, ""));
  ck_assert (!marjoram_room_share_holds (share, 1000, "lm", "", 100));
  ck_assert_int_eq (marjoram_room_share_retry_ms (share, 1000, "lm", ""), 0);
}
END_TEST

/* Guards against requests that are held back without a shortage, or although
   nobody takes the place.  */
START_TEST (requests_are_held_while_others_wait)
{
  const struct use uses[] = { { "a", 100, 400 }, { "b", 900, 4000 } };

  apply (1000, uses, 2, 0);
  ck_assert (is_over (1000, "b"));
  ck_assert (!marjoram_room_share_holds (share, 1000, "lm", "b", 100));
  apply (1100, uses, 2, 3);
  ck_assert (marjoram_room_share_is_short (share, 1100, "lm"));
  ck_assert (marjoram_room_share_holds (share, 1100, "lm", "b", 100));
  ck_assert (!marjoram_room_share_holds (share, 1100, "lm", "a", 100));
  /* An idle upstream is given away after a tick.  */
  ck_assert (marjoram_room_share_holds (share, 1100, "lm", "b", 0));
  ck_assert (!marjoram_room_share_holds (share, 1125, "lm", "b", 0));
  marjoram_room_share_found_none (share, "lm");
  ck_assert (marjoram_room_share_holds (share, 1150, "lm", "b", 0));
  /* The shortage ends some time after nobody waits.  */
  apply (1200, uses, 2, 0);
  ck_assert (marjoram_room_share_is_short (share, 1200, "lm"));
  ck_assert (!marjoram_room_share_is_short (share, 1700, "lm"));
}
END_TEST

/* Guards against a customer that gets all at once what is left of its share by
   having many requests queued.  */
START_TEST (queued_requests_use_up_the_share)
{
  const struct use uses[] = { { "a", 400, 600 }, { "b", 300, 4000 } };

  apply (1000, uses, 2, 1);
  ck_assert (!is_over (1000, "b"));
  for (int i = 0; i < 2; i++)
    marjoram_room_share_add_waiting (share, 1000, "lm", "b", 100);
  ck_assert (is_over (1000, "b"));
  marjoram_room_share_clear_waiting (share);
  ck_assert (!is_over (1000, "b"));
}
END_TEST

/* Guards against callers of a customer that floods who are told to return as
   soon as others.  */
START_TEST (refused_customers_wait_by_their_use)
{
  const struct use uses[] = { { "a", 100, 100 }, { "b", 900, 9000 } };
  const struct use less[] = { { "a", 300, 300 }, { "b", 900, 1500 } };
  int64_t long_ms;
  int64_t short_ms;

  apply (1000, uses, 2, 1);
  long_ms = marjoram_room_share_retry_ms (share, 1000, "lm", "b");
  ck_assert_int_eq (marjoram_room_share_retry_ms (share, 1000, "lm", "a"), 0);
  apply (1100, less, 2, 1);
  marjoram_room_share_add_used (share, 1100, "lm", "b", 100);
  short_ms = marjoram_room_share_retry_ms (share, 1100, "lm", "b");
  ck_assert_int_ge (short_ms, 250);
  ck_assert_int_gt (long_ms, short_ms);
  ck_assert_int_le (long_ms, 4000);
}
END_TEST

/* Guards against sums that are used after they have expired, and against a
   host that forgets its shares then.  */
START_TEST (last_shares_hold_without_sums)
{
  const struct use uses[] = { { "a", 300, 400 }, { "b", 900, 9000 } };
  int64_t now = 0;

  /* Half of the demand of b comes to this host.  */
  for (; now < 4000; now += 100)
    {
      marjoram_room_share_add_wanted (share, now, "lm", "b", 450);
      marjoram_room_share_add_wanted (share, now, "lm", "a", 10);
      apply (now, uses, 2, 1);
    }
  ck_assert (is_over (now, "b"));
  now += MARJORAM_ROOM_VALID_MS;
  ck_assert (marjoram_room_share_is_short (share, now, "lm"));
  /* Half of 860 in a second, of which a quarter may start at once.  */
  ck_assert (!is_over (now, "b"));
  marjoram_room_share_add_used (share, now, "lm", "b", 150);
  ck_assert (is_over (now, "b"));
  ck_assert (is_over (now + 50, "b"));
  ck_assert (!is_over (now + 150, "b"));
  /* Customers that were not limited are not limited now.  */
  marjoram_room_share_add_used (share, now, "lm", "a", 2000);
  ck_assert (!is_over (now, "a"));
  apply (now, uses, 1, 0);
  ck_assert (!is_over (now, "b"));
}
END_TEST

/* Guards against a new host that lets one customer through before it has
   received sums.  */
START_TEST (new_host_uses_equal_shares)
{
  marjoram_room_share_add_wanted (share, 1000, "lm", "a", 500);
  marjoram_room_share_add_used (share, 1000, "lm", "a", 300);
  marjoram_room_share_add_wanted (share, 1000, "lm", "b", 5000);
  marjoram_room_share_add_used (share, 1000, "lm", "b", 700);
  ck_assert (is_over (1000, "b") && !is_over (1000, "a"));
  marjoram_room_share_return_used (share, 1000, "lm", "b", 500);
  ck_assert (!is_over (1100, "b"));
}
END_TEST

/* Guards against customers that are kept for ever.  */
START_TEST (idle_customers_are_forgotten)
{
  struct marjoram_room_report report;

  marjoram_room_share_add_wanted (share, 0, "lm", "a", 1000);
  marjoram_room_share_report (share, 0, &report);
  ck_assert_uint_eq (report.items.count, 1);
  marjoram_wire_clear (&marjoram_room_report_layout, &report);
  marjoram_room_share_report (share, 10000, &report);
  ck_assert_uint_eq (report.items.count, 0);
  marjoram_wire_clear (&marjoram_room_report_layout, &report);
  ck_assert_int_eq (marjoram_room_share_part (share, 10000, "lm", "a"), -1);
}
END_TEST

/* ---- The collector.  ---- */

static void
report_use (marjoram_room_collector *collector, int64_t now, const char *host,
            uint64_t used, uint64_t waiting)
{
  struct marjoram_room_item item
      = { (char *)"lm", (char *)"a", used, used, waiting };
  const struct marjoram_room_report report = { { &item, 1 }, 1 };

  marjoram_room_collector_apply (collector, now, host, &report);
}

static struct marjoram_room_item
take_use (marjoram_room_collector *collector, int64_t now, size_t hosts)
{
  struct marjoram_room_report sums;
  struct marjoram_room_item item = { 0 };

  marjoram_room_collector_take (collector, now, &sums);
  ck_assert_uint_eq (sums.hosts, hosts);
  if (sums.items.count > 0)
    item = *(struct marjoram_room_item *)sums.items.items;
  item.service = item.customer = NULL;
  marjoram_wire_clear (&marjoram_room_report_layout, &sums);
  return item;
}

/* Guards against a host's report that is added to its last one, and against
   the use of a lost host.  */
START_TEST (collector_sums_and_expires)
{
  marjoram_room_collector *collector = marjoram_room_collector_create ();
  struct marjoram_room_item item;

  report_use (collector, 0, "h1", 1000, 1);
  report_use (collector, 0, "h2", 500, 0);
  item = take_use (collector, 0, 2);
  ck_assert_uint_eq (item.used, 1500);
  ck_assert_uint_eq (item.waiting, 1);
  ck_assert (marjoram_room_collector_is_urgent (collector));
  /* What is reported decays.  */
  item = take_use (collector, 1000, 2);
  ck_assert_uint_eq (item.used, 552);
  report_use (collector, 1000, "h1", 100, 0);
  item = take_use (collector, 1000, 2);
  ck_assert_uint_eq (item.used, 284);
  ck_assert (!marjoram_room_collector_is_urgent (collector));
  report_use (collector, 2500, "h1", 100, 0);
  item = take_use (collector, 2500, 1);
  ck_assert_uint_eq (item.used, 100);
  take_use (collector, 5000, 0);
  marjoram_room_collector_destroy (collector);
}
END_TEST

/* Guards against sums that take much of a small host's link.  For 16 customers
   of 3 services, sent 100 times a second while the region is short: 1.6 of
   10 Mbit/s at the collector.  */
START_TEST (sums_are_small)
{
  struct marjoram_room_report report;
  marjoram_bytes *bytes;

  for (int i = 0; i < 48; i++)
    {
      char service[32];
      char customer[32];

      snprintf (service, sizeof service, "model-%d", i / 16);
      snprintf (customer, sizeof customer, "customer-%d", i % 16);
      marjoram_room_share_add_wanted (share, 0, service, customer, 100000);
      marjoram_room_share_add_used (share, 0, service, customer, 100000);
    }
  marjoram_room_share_report (share, 0, &report);
  ck_assert_uint_eq (report.items.count, 48);
  bytes = marjoram_wire_pack (&marjoram_room_report_layout, &report);
  if (getenv ("MARJORAM_TEST_VERBOSE"))
    printf ("48 items: %zu bytes\n", marjoram_bytes_size (bytes));
  ck_assert_uint_le (marjoram_bytes_size (bytes), 2000);
  marjoram_bytes_release (bytes);
  marjoram_wire_clear (&marjoram_room_report_layout, &report);
}
END_TEST

/* Guards against intervals that overload a collector, or that are longer than
   sums are valid.  */
START_TEST (intervals_grow_with_hosts)
{
  ck_assert_int_eq (marjoram_room_interval_ms (3, true), 100);
  ck_assert_int_eq (marjoram_room_interval_ms (20, true), 200);
  ck_assert_int_eq (marjoram_room_interval_ms (300, true), 400);
  ck_assert_int_ge (marjoram_room_interval_ms (3, false), 400);
  ck_assert_int_le (marjoram_room_interval_ms (300, false),
                    MARJORAM_ROOM_VALID_MS / 2);
}
END_TEST

/* ---- A region of many hosts.  ---- */

enum
{
  TICK_MS = 25,
  CUSTOMERS = 16,
  LOUD = 0,
  LOUD_SIZE = 5, /* its usual load, as a multiple of another's */
  FLOOD_FACTOR = 8,
  CALM_MS = 5000,
  FLOOD_MS = 15000,
  AFTER_MS = 17000,
  END_MS = 22000,
  WAIT_MS = 1000, /* for which requests wait for a place */
  SERVE_MS = 250,
  WORK = 1000,
  CHANCES = 50,
  USUAL_PER_S = 16, /* requests of a customer */
  PLACES = 100      /* 400 requests per second */
};

/* A request that waits at a host.  */
struct waiting
{
  TAILQ_ENTRY (waiting) link;
  int customer;
  int64_t since;
  bool over;
};

struct host
{
  marjoram_room_share *share;
  char name[16];
  TAILQ_HEAD (, waiting) queue;
  int64_t reported_at;
};

struct region
{
  struct host *hosts;
  int count;
  int flood_hosts;
  marjoram_random *random;
  marjoram_room_collector *collector;
  int64_t collector_from; /* there is none before */
  int64_t sums_at;
  int busy;
  int ending[END_MS + SERVE_MS + 1];
  int sent[CUSTOMERS][3]; /* before, during and after the flood */
  int served[CUSTOMERS][3];
  int64_t used_ms; /* time of all places while any request waits */
  int64_t idle_ms;
};

static const char *
name_of (int customer)
{
  static char names[CUSTOMERS][8];

  snprintf (names[customer], sizeof names[customer], "c%d", customer);
  return names[customer];
}

/* -1: not counted.  */
static int
period_of (int64_t at)
{
  if (at < CALM_MS)
    return 0;
  if (at < FLOOD_MS)
    return 1;
  return at < AFTER_MS || at >= END_MS - 2 * WAIT_MS ? -1 : 2;
}

static struct region *
open_region (int hosts, int flood_hosts, uint64_t seed)
{
  struct region *region = marjoram_alloc (sizeof *region);

  region->hosts = marjoram_alloc ((size_t)hosts * sizeof *region->hosts);
  region->count = hosts;
  region->flood_hosts = flood_hosts;
  region->random = marjoram_random_create (seed);
  region->collector = marjoram_room_collector_create ();
  for (int i = 0; i < hosts; i++)
    {
      struct host *host = &region->hosts[i];

      host->share = marjoram_room_share_create ();
      host->reported_at = -(int64_t)(i % 4) * TICK_MS;
      TAILQ_INIT (&host->queue);
      snprintf (host->name, sizeof host->name, "h%d", i);
    }
  return region;
}

static void
close_region (struct region *region)
{
  for (int i = 0; i < region->count; i++)
    {
      struct host *host = &region->hosts[i];
      struct waiting *waiting;

      while ((waiting = TAILQ_FIRST (&host->queue)))
        {
          TAILQ_REMOVE (&host->queue, waiting, link);
          free (waiting);
        }
      marjoram_room_share_destroy (host->share);
    }
  marjoram_room_collector_destroy (region->collector);
  marjoram_random_destroy (region->random);
  free (region->hosts);
  free (region);
}

static void
arrive (struct region *region, int64_t now, int customer, int hosts)
{
  struct host *host
      = &region
             ->hosts[marjoram_random_below (region->random, (uint32_t)hosts)];
  struct waiting *waiting = marjoram_alloc (sizeof *waiting);

  waiting->customer = customer;
  waiting->since = now;
  TAILQ_INSERT_TAIL (&host->queue, waiting, link);
  marjoram_room_share_add_wanted (host->share, now, "lm", name_of (customer),
                                  WORK);
  if (period_of (now) >= 0)
    region->sent[customer][period_of (now)]++;
}

static void
send_all (struct region *region, int64_t now)
{
  const bool floods = now >= CALM_MS && now < FLOOD_MS;

  for (int i = 0; i < CUSTOMERS; i++)
    {
      const int size = i == LOUD ? LOUD_SIZE : 1;
      const int factor = i == LOUD && floods ? FLOOD_FACTOR : 1;
      const int hosts
          = i == LOUD && floods ? region->flood_hosts : region->count;

      /* Chances for each tick, each small.  */
      for (int j = 0; j < CHANCES; j++)
        if (marjoram_random_unit (region->random)
            < (double)(size * factor * USUAL_PER_S * TICK_MS)
                  / (CHANCES * 1000))
          arrive (region, now, i, hosts);
    }
}

static void
remove_waiting (struct host *host, struct waiting *waiting)
{
  TAILQ_REMOVE (&host->queue, waiting, link);
  free (waiting);
}

static void
serve (struct region *region, struct host *host, struct waiting *waiting,
       int64_t now)
{
  marjoram_room_share_add_used (host->share, now, "lm",
                                name_of (waiting->customer), WORK);
  region->busy++;
  region->ending[now + SERVE_MS]++;
  if (period_of (waiting->since) >= 0)
    region->served[waiting->customer][period_of (waiting->since)]++;
  remove_waiting (host, waiting);
}

static void
judge (struct host *host, int64_t now)
{
  struct waiting *waiting;

  marjoram_room_share_clear_waiting (host->share);
  TAILQ_FOREACH (waiting, &host->queue, link)
  {
    const char *name = name_of (waiting->customer);

    waiting->over = marjoram_room_share_is_over (host->share, now, "lm", name);
    if (!waiting->over)
      marjoram_room_share_add_waiting (host->share, now, "lm", name, WORK);
  }
}

static void
place (struct region *region, struct host *host, int64_t now, bool over)
{
  struct waiting *waiting;
  struct waiting *next;

  for (waiting = TAILQ_FIRST (&host->queue); waiting; waiting = next)
    {
      /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
      const char *name = name_of (waiting->customer);

      next = TAILQ_NEXT (waiting, link);
      if (waiting->over != over)
        continue;
      if (region->busy >= PLACES)
        {
          if (over)
            marjoram_room_share_found_none (host->share, "lm");
          return;
        }
      if (!over
          || !marjoram_room_share_holds (host->share, now, "lm", name, 0))
        serve (region, host, waiting, now);
    }
}

static bool
expire (struct host *host, int64_t now)
{
  struct waiting *waiting;

  while ((waiting = TAILQ_FIRST (&host->queue))
         /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
         && now >= waiting->since + WAIT_MS)
    {
      if (!waiting->over)
        marjoram_room_share_add_refused (host->share, now, "lm",
                                         name_of (waiting->customer));
      remove_waiting (host, waiting);
    }
  return waiting != NULL;
}

static void
exchange_sums (struct region *region, int64_t now)
{
  struct marjoram_room_report report;

  for (int i = 0; i < region->count; i++)
    {
      struct host *host = &region->hosts[i];

      if (now < host->reported_at
                    + marjoram_room_interval_ms (
                        (size_t)region->count,
                        marjoram_room_share_is_urgent (host->share, now)))
        continue;
      host->reported_at = now;
      marjoram_room_share_report (host->share, now, &report);
      if (now >= region->collector_from)
        marjoram_room_collector_apply (region->collector, now, host->name,
                                       &report);
      marjoram_wire_clear (&marjoram_room_report_layout, &report);
    }
  if (now < region->collector_from
      || now < region->sums_at
                   + marjoram_room_interval_ms (
                       (size_t)region->count,
                       marjoram_room_collector_is_urgent (region->collector)))
    return;
  region->sums_at = now;
  marjoram_room_collector_take (region->collector, now, &report);
  for (int i = 0; i < region->count; i++)
    marjoram_room_share_apply (region->hosts[i].share, now, &report,
                               (size_t)region->count);
  marjoram_wire_clear (&marjoram_room_report_layout, &report);
}

static void
tick (struct region *region, int64_t now)
{
  /* Each host comes first in turn.  */
  const int first = (int)(now / TICK_MS) % region->count;
  bool waits = false;

  for (int64_t at = now > TICK_MS ? now - TICK_MS + 1 : 0; at <= now; at++)
    region->busy -= region->ending[at];
  send_all (region, now);
  for (int pass = 0; pass < 2; pass++)
    for (int i = 0; i < region->count; i++)
      {
        struct host *host = &region->hosts[(first + i) % region->count];

        if (pass == 0)
          judge (host, now);
        place (region, host, now, false);
        place (region, host, now, true);
        if (pass == 1)
          waits = expire (host, now) || waits;
      }
  if (waits && now >= CALM_MS + 500 && now < FLOOD_MS)
    {
      region->used_ms += (int64_t)PLACES * TICK_MS;
      region->idle_ms += (int64_t)(PLACES - region->busy) * TICK_MS;
    }
  exchange_sums (region, now);
}

static double
served_share (const struct region *region, int customer, int period)
{
  return (double)region->served[customer][period]
         / region->sent[customer][period];
}

/* The share of the requests of all but the loud customer, served.  */
static double
quiet_share (const struct region *region, int period)
{
  int sent = 0;
  int served = 0;

  for (int i = 0; i < CUSTOMERS; i++)
    if (i != LOUD)
      {
        sent += region->sent[i][period];
        served += region->served[i][period];
      }
  return (double)served / sent;
}

static void
check_region (struct region *region, const char *what)
{
  const double before = quiet_share (region, 0);
  const double during = quiet_share (region, 1);
  const double after = quiet_share (region, 2);
  double least = 1;

  for (int i = 0; i < CUSTOMERS; i++)
    if (i != LOUD && served_share (region, i, 1) < least)
      least = served_share (region, i, 1);
  if (getenv ("MARJORAM_TEST_VERBOSE"))
    printf ("%s, %d hosts, flood through %d: before %.3f, during %.3f "
            "(least %.3f), after %.3f, loud %.3f, idle %.3f\n",
            what, region->count, region->flood_hosts, before, during, least,
            after, served_share (region, LOUD, 1),
            (double)region->idle_ms / (double)region->used_ms);
  ck_assert_msg (during >= 0.95 * before, "%s, %d hosts: %.3f, before %.3f",
                 what, region->count, during, before);
  ck_assert_msg (least >= 0.9 * before, "%s, %d hosts: one got %.3f", what,
                 region->count, least);
  ck_assert_msg (after >= 0.98 * before, "%s, %d hosts: %.3f after", what,
                 region->count, after);
  ck_assert_msg (served_share (region, LOUD, 2) >= 0.98,
                 "%s, %d hosts: the loud one got %.3f after", what,
                 region->count, served_share (region, LOUD, 2));
  /* The flood gets what the others leave, some 160 of 640 per second.  */
  ck_assert_msg (served_share (region, LOUD, 1) >= 0.2,
                 "%s, %d hosts: the loud one got %.3f", what, region->count,
                 served_share (region, LOUD, 1));
  ck_assert_msg (region->idle_ms <= region->used_ms / 20,
                 "%s, %d hosts: %.3f idle while requests wait", what,
                 region->count,
                 (double)region->idle_ms / (double)region->used_ms);
}

static const int host_counts[] = { 9, 59, 300 };

static struct region *
open_flood (int hosts, int way)
{
  const int floods[] = { 1, hosts / 3, hosts };

  return open_region (hosts, floods[way], (uint64_t)way + 1);
}

/* Guards against a flood that takes capacity from other customers, in small
   and large regions, through one, some or all hosts.  */
START_TEST (flood_is_limited_over_all_hosts)
{
  for (int way = 0; way < 3; way++)
    {
      struct region *region = open_flood (host_counts[_i], way);

      for (int64_t now = 0; now < END_MS; now += TICK_MS)
        tick (region, now);
      check_region (region, "no fault");
      close_region (region);
    }
}
END_TEST

/* Guards against shares that are lost with the collector.  */
START_TEST (flood_is_limited_without_collector)
{
  for (int way = 0; way < 3; way++)
    {
      struct region *region = open_flood (host_counts[_i], way);

      for (int64_t now = 0; now < END_MS; now += TICK_MS)
        {
          if (now == 9000)
            {
              marjoram_room_collector_destroy (region->collector);
              region->collector = marjoram_room_collector_create ();
              region->collector_from = now + 2500;
            }
          tick (region, now);
        }
      check_region (region, "collector lost");
      close_region (region);
    }
}
END_TEST

/* Guards against a host that starts during the flood and lets it through.  */
START_TEST (new_host_during_a_flood)
{
  for (int way = 0; way < 3; way++)
    {
      struct region *region = open_flood (host_counts[_i], way);

      for (int64_t now = 0; now < END_MS; now += TICK_MS)
        {
          if (now == 9000)
            {
              marjoram_room_share_destroy (region->hosts[0].share);
              region->hosts[0].share = marjoram_room_share_create ();
            }
          tick (region, now);
        }
      check_region (region, "new host");
      close_region (region);
    }
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("room_share");
  TCase *tc = tcase_create ("room_share");

  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_set_timeout (tc, 120);
  tcase_add_test (tc, shares_follow_quotas);
  tcase_add_test (tc, unused_shares_go_to_others);
  tcase_add_test (tc, single_customer_is_not_limited);
  tcase_add_test (tc, requests_are_held_while_others_wait);
  tcase_add_test (tc, queued_requests_use_up_the_share);
  tcase_add_test (tc, refused_customers_wait_by_their_use);
  tcase_add_test (tc, last_shares_hold_without_sums);
  tcase_add_test (tc, new_host_uses_equal_shares);
  tcase_add_test (tc, idle_customers_are_forgotten);
  tcase_add_test (tc, collector_sums_and_expires);
  tcase_add_test (tc, sums_are_small);
  tcase_add_test (tc, intervals_grow_with_hosts);
  tcase_add_loop_test (tc, flood_is_limited_over_all_hosts, 0, 3);
  tcase_add_loop_test (tc, flood_is_limited_without_collector, 0, 3);
  tcase_add_loop_test (tc, new_host_during_a_flood, 0, 3);
  suite_add_tcase (s, tc);
  return s;
}
