#include "room_collector.h"

#include "cleanup.h"
#include "room_share.h"

#include <math.h>
#include <string.h>
#include <sys/queue.h>
#include <uthash.h>

enum
{
  /* Time per host, so that a collector sends 100 messages per second, a small
     part of what a host's link carries.  */
  INTERVAL_PER_HOST_MS = 10,
  INTERVAL_MIN_MS = 100,
  /* Sums and reports have to arrive twice within the time for which they are
     valid, and within the time for which a shortage is remembered.  */
  INTERVAL_MAX_MS = 400,
  IDLE_INTERVAL_MS = 500
};

/* Largest amount that a host can report, for sums that fit an integer.  */
#define AMOUNT_MAX 1e12

/* Amounts at AT; they decay.  */
struct amount
{
  double used;
  double wanted;
  uint64_t waiting;
};

struct total
{
  char *key; /* service, NUL, customer */
  size_t key_size;
  const char *customer; /* in KEY */
  struct amount amount;
  int64_t at;
  size_t reporter_count;
  UT_hash_handle hh;
};

/* What one host reported of one customer.  */
struct part
{
  struct total *total;
  struct amount amount;
};

struct reporter
{
  TAILQ_ENTRY (reporter) link;
  char *host;
  int64_t received_at;
  struct part *parts;
  size_t count;
  UT_hash_handle hh;
};

struct marjoram_room_collector
{
  struct total *totals;
  struct reporter *reporters;
  TAILQ_HEAD (reporter_list, reporter) by_age; /* oldest report first */
  uint64_t waiting;
};

marjoram_room_collector *
marjoram_room_collector_create (void)
{
  marjoram_room_collector *collector = marjoram_alloc (sizeof *collector);

  TAILQ_INIT (&collector->by_age);
  return collector;
}

static void
remove_total (marjoram_room_collector *collector, struct total *total)
{
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, collector->totals, total);
  free (total->key);
  free (total);
}

static void
decay_total (struct total *total, int64_t now)
{
  const double left = marjoram_room_decay (now - total->at);

  total->amount.used *= left;
  total->amount.wanted *= left;
  total->at = now;
}

static void
remove_parts (marjoram_room_collector *collector, struct reporter *reporter,
              int64_t now)
{
  const double left = marjoram_room_decay (now - reporter->received_at);

  for (size_t i = 0; i < reporter->count; i++)
    {
      const struct part *part = &reporter->parts[i];
      struct total *total = part->total;

      decay_total (total, now);
      total->amount.used
          = fmax (0, total->amount.used - left * part->amount.used);
      total->amount.wanted
          = fmax (0, total->amount.wanted - left * part->amount.wanted);
      total->amount.waiting -= part->amount.waiting;
      collector->waiting -= part->amount.waiting;
      if (--total->reporter_count == 0)
        remove_total (collector, total);
    }
  free (reporter->parts);
  reporter->parts = NULL;
  reporter->count = 0;
}

static void
remove_reporter (marjoram_room_collector *collector, struct reporter *reporter,
                 int64_t now)
{
  remove_parts (collector, reporter, now);
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, collector->reporters, reporter);
  TAILQ_REMOVE (&collector->by_age, reporter, link);
  free (reporter->host);
  free (reporter);
}

static void
expire_reporters (marjoram_room_collector *collector, int64_t now)
{
  struct reporter *oldest;

  while ((oldest = TAILQ_FIRST (&collector->by_age))
         /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
         && now > oldest->received_at + MARJORAM_ROOM_VALID_MS)
    remove_reporter (collector, oldest, now);
}

void
marjoram_room_collector_destroy (marjoram_room_collector *collector)
{
  struct reporter *reporter;

  if (!collector)
    return;
  while ((reporter = TAILQ_FIRST (&collector->by_age)))
    remove_reporter (collector, reporter, reporter->received_at);
  free (collector);
}

static struct reporter *
find_or_add_reporter (marjoram_room_collector *collector, const char *host)
{
  struct reporter *reporter;

  HASH_FIND_STR (collector->reporters, host, reporter);
  if (reporter)
    {
      TAILQ_REMOVE (&collector->by_age, reporter, link);
      TAILQ_INSERT_TAIL (&collector->by_age, reporter, link);
      return reporter;
    }
  reporter = marjoram_alloc (sizeof *reporter);
  reporter->host = marjoram_strdup (host);
  HASH_ADD_KEYPTR (hh, collector->reporters, reporter->host,
                   strlen (reporter->host), reporter);
  TAILQ_INSERT_TAIL (&collector->by_age, reporter, link);
  return reporter;
}

static struct total *
find_or_add_total (marjoram_room_collector *collector, int64_t now,
                   const struct marjoram_room_item *item)
{
  const size_t service_size = strlen (item->service) + 1;
  const size_t size = service_size + strlen (item->customer) + 1;
  marjoram_auto_free char *key = marjoram_alloc (size);
  struct total *total;

  memcpy (key, item->service, service_size);
  memcpy (key + service_size, item->customer, size - service_size);
  HASH_FIND (hh, collector->totals, key, size, total);
  if (total)
    return total;
  total = marjoram_alloc (sizeof *total);
  total->key = key;
  total->key_size = size;
  total->customer = key + service_size;
  total->at = now;
  HASH_ADD_KEYPTR (hh, collector->totals, total->key, total->key_size, total);
  key = NULL;
  return total;
}

static void
add_part (marjoram_room_collector *collector, struct reporter *reporter,
          int64_t now, const struct marjoram_room_item *item)
{
  struct part *part = &reporter->parts[reporter->count++];

  part->total = find_or_add_total (collector, now, item);
  part->amount = (struct amount){ fmin ((double)item->used, AMOUNT_MAX),
                                  fmin ((double)item->wanted, AMOUNT_MAX),
                                  item->waiting };
  decay_total (part->total, now);
  part->total->amount.used += part->amount.used;
  part->total->amount.wanted += part->amount.wanted;
  part->total->amount.waiting += part->amount.waiting;
  part->total->reporter_count++;
  collector->waiting += part->amount.waiting;
}

void
marjoram_room_collector_apply (marjoram_room_collector *collector, int64_t now,
                               const char *host,
                               const struct marjoram_room_report *report)
{
  const struct marjoram_room_item *items = report->items.items;
  struct reporter *reporter = find_or_add_reporter (collector, host);

  remove_parts (collector, reporter, now);
  reporter->received_at = now;
  reporter->parts
      = marjoram_alloc ((report->items.count + 1) * sizeof *reporter->parts);
  for (size_t i = 0; i < report->items.count; i++)
    if (items[i].service && items[i].customer)
      add_part (collector, reporter, now, &items[i]);
}

void
marjoram_room_collector_take (marjoram_room_collector *collector, int64_t now,
                              struct marjoram_room_report *sums)
{
  struct marjoram_room_item *items;
  struct total *total;

  expire_reporters (collector, now);
  memset (sums, 0, sizeof *sums);
  sums->hosts = HASH_COUNT (collector->reporters);
  sums->items.items = items
      = marjoram_alloc ((HASH_COUNT (collector->totals) + 1) * sizeof *items);
  for (total = collector->totals;
       total && sums->items.count < MARJORAM_ROOM_ITEMS_MAX;
       total = total->hh.next)
    {
      decay_total (total, now);
      items[sums->items.count++] = (struct marjoram_room_item){
        .service = marjoram_strdup (total->key),
        .customer = marjoram_strdup (total->customer),
        .used = (uint64_t)llround (total->amount.used),
        .wanted = (uint64_t)llround (total->amount.wanted),
        .waiting = total->amount.waiting
      };
    }
}

bool
marjoram_room_collector_is_urgent (const marjoram_room_collector *collector)
{
  return collector->waiting > 0;
}

int64_t
marjoram_room_interval_ms (size_t hosts, bool urgent)
{
  const int64_t msec = (int64_t)hosts * INTERVAL_PER_HOST_MS;

  if (!urgent)
    return IDLE_INTERVAL_MS;
  if (msec < INTERVAL_MIN_MS)
    return INTERVAL_MIN_MS;
  return msec < INTERVAL_MAX_MS ? msec : INTERVAL_MAX_MS;
}
