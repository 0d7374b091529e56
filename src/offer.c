#include "offer.h"

#include "cleanup.h"

#include <math.h>
#include <string.h>

enum
{
  BACKOFF_MS = 500,
  MAX_BACKOFF_DOUBLINGS = 4
};

/* Fraction of the free capacity reserved for zones without any; the rest is
   split evenly among all, so that a zone that becomes overloaded can forward
   at once.  */
#define OVERLOADED_ZONES_FRACTION 0.75

static const struct marjoram_field offer_fields[] = {
  { MARJORAM_WIRE_STRING (struct marjoram_offer, work, MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_UINT (struct marjoram_offer, room) },
  { MARJORAM_WIRE_INT (struct marjoram_offer, wait_ms) },
  { MARJORAM_WIRE_UINT (struct marjoram_offer, upstreams) },
};
const struct marjoram_layout marjoram_offer_layout
    = { "offer", sizeof (struct marjoram_offer), offer_fields,
        sizeof offer_fields / sizeof *offer_fields };

/* The last offer of one zone for one model or service.  */
struct entry
{
  uint64_t offered; /* requests */
  uint64_t max_in_flight;
  uint64_t in_flight;
  int64_t sent_since_offer; /* less those ended since */
  int64_t wait_ms;
  int64_t link_ms;
  int64_t expires; /* 0 if none was received */
  int64_t last_sent;
  int64_t backoff_until;
  uint32_t upstreams;
  uint32_t failures;
};

struct marjoram_offer_table
{
  marjoram_random *random;
  marjoram_config *config;
  struct entry *entries; /* indexed by zone * work_count + work */
  int zone;
  int zone_count;
  int work_count;
};

marjoram_offer_table *
marjoram_offer_table_create (marjoram_random *random)
{
  marjoram_offer_table *table = marjoram_alloc (sizeof *table);

  table->random = random;
  return table;
}

void
marjoram_offer_table_destroy (marjoram_offer_table *table)
{
  if (!table)
    return;
  marjoram_config_release (table->config);
  free (table->entries);
  free (table);
}

static struct entry *
get_entry (const marjoram_offer_table *table, int zone, int work)
{
  return &table->entries[zone * table->work_count + work];
}

static void
carry_over (const marjoram_offer_table *table, marjoram_config *config,
            struct entry *entries, int zone, int work)
{
  int old_zone = marjoram_config_find_zone (
      table->config, marjoram_config_zone (config, zone)->name);
  int old_work = marjoram_config_find_work (
      table->config, marjoram_config_work (config, work)->name);

  if (old_zone >= 0 && old_work >= 0)
    entries[zone * marjoram_config_work_count (config) + work]
        = *get_entry (table, old_zone, old_work);
}

void
marjoram_offer_table_configure (marjoram_offer_table *table,
                                marjoram_config *config, int zone)
{
  int zones = marjoram_config_zone_count (config);
  int works = marjoram_config_work_count (config);
  struct entry *entries
      = marjoram_alloc (((size_t)zones * (size_t)works + 1) * sizeof *entries);

  for (int i = 0; table->config && i < zones; i++)
    for (int j = 0; j < works; j++)
      carry_over (table, config, entries, i, j);
  free (table->entries);
  table->entries = entries;
  marjoram_config_retain (config);
  marjoram_config_release (table->config);
  table->config = config;
  table->zone = zone;
  table->zone_count = zones;
  table->work_count = works;
}

static void
update_entry (struct entry *entry, int64_t now,
              const struct marjoram_offer *offer, int64_t link_ms)
{
  /* Prevents a burst of requests after a partition heals: the number of
     concurrent requests starts low and grows with each further offer and each
     success.  */
  if (now >= entry->expires)
    entry->max_in_flight = MARJORAM_OFFER_RAMP_START;
  else if (entry->max_in_flight < offer->room)
    entry->max_in_flight *= 2;
  /* The offer does not reflect requests sent within the last round trip.  */
  if (now >= entry->last_sent + 2 * link_ms)
    entry->sent_since_offer = 0;
  entry->offered = offer->room;
  entry->wait_ms = offer->wait_ms > 0 ? offer->wait_ms : 0;
  entry->link_ms = link_ms > 0 ? link_ms : 0;
  entry->upstreams = (uint32_t)offer->upstreams;
  entry->expires = now + MARJORAM_OFFER_LIFE_MS;
}

void
marjoram_offer_table_update (marjoram_offer_table *table, int64_t now,
                             int zone, const struct marjoram_array *offers,
                             int64_t link_ms)
{
  const struct marjoram_offer *items = offers->items;

  for (size_t i = 0; i < offers->count; i++)
    {
      int work = items[i].work
                     ? marjoram_config_find_work (table->config, items[i].work)
                     : -1;

      if (work >= 0)
        update_entry (get_entry (table, zone, work), now, &items[i], link_ms);
    }
}

static bool
in_regions (const marjoram_offer_table *table, int zone, uint64_t regions)
{
  return regions >> marjoram_config_zone (table->config, zone)->region & 1;
}

/* Whether one more request may be sent there.  Work without a local upstream
   may exceed the offered capacity, but not max_in_flight.  */
static bool
accepts_request (const struct entry *entry, int64_t now,
                 bool no_local_upstream)
{
  bool has_capacity = no_local_upstream
                          ? entry->upstreams > 0
                          : entry->sent_since_offer < (int64_t)entry->offered;

  return now < entry->expires && now >= entry->backoff_until
         && entry->in_flight < entry->max_in_flight && has_capacity;
}

/* Queueing delay from this host's requests beyond the offered capacity.  */
static double
excess_queue_ms (const struct entry *entry, double unloaded_ms)
{
  int64_t excess_requests = entry->sent_since_offer - (int64_t)entry->offered;

  return excess_requests > 0 && entry->upstreams > 0
             ? unloaded_ms * (double)excess_requests / entry->upstreams
             : 0;
}

static bool
zone_tried (const struct marjoram_query *query, int zone)
{
  for (int i = 0; i < query->zones_tried_count; i++)
    if (query->zones_tried[i] == zone)
      return true;
  return false;
}

void
marjoram_offer_table_find_best (marjoram_offer_table *table, int64_t now,
                                const struct marjoram_query *query,
                                uint64_t regions, double unloaded_ms,
                                bool no_local_upstream,
                                struct marjoram_zone_estimate *best)
{
  int start = (int)marjoram_random_below (
      table->random, (uint32_t)(table->zone_count ? table->zone_count : 1));

  *best = (struct marjoram_zone_estimate){ -1, HUGE_VAL };
  for (int i = 0; i < table->zone_count; i++)
    {
      int zone = (start + i) % table->zone_count;
      const struct entry *entry = get_entry (table, zone, query->work);
      double total;

      if (zone == table->zone || !in_regions (table, zone, regions)
          || zone_tried (query, zone)
          || !accepts_request (entry, now, no_local_upstream))
        continue;
      total = 2 * (double)entry->link_ms + (double)entry->wait_ms + unloaded_ms
              + excess_queue_ms (entry, unloaded_ms);
      if (total < best->total_ms)
        *best = (struct marjoram_zone_estimate){ zone, total };
    }
}

bool
marjoram_offer_table_has_upstreams (const marjoram_offer_table *table,
                                    int64_t now, int work, uint64_t regions)
{
  for (int i = 0; i < table->zone_count; i++)
    {
      const struct entry *entry = get_entry (table, i, work);

      if (i != table->zone && in_regions (table, i, regions)
          && now < entry->expires && entry->upstreams > 0)
        return true;
    }
  return false;
}

bool
marjoram_offer_table_has_capacity (const marjoram_offer_table *table,
                                   int64_t now, int work, uint64_t regions)
{
  for (int i = 0; i < table->zone_count; i++)
    if (i != table->zone && in_regions (table, i, regions)
        && accepts_request (get_entry (table, i, work), now, false))
      return true;
  return false;
}

void
marjoram_offer_table_request_sent (marjoram_offer_table *table, int64_t now,
                                   int zone, int work)
{
  struct entry *entry = get_entry (table, zone, work);

  entry->sent_since_offer++;
  entry->in_flight++;
  entry->last_sent = now;
}

/* Exponential backoff from a zone whose offers are wrong or whose requests
   fail.  */
void
marjoram_offer_table_request_ended (marjoram_offer_table *table, int64_t now,
                                    int zone, int work, bool failed)
{
  struct entry *entry = get_entry (table, zone, work);
  uint32_t doublings = entry->failures < MAX_BACKOFF_DOUBLINGS
                           ? entry->failures
                           : MAX_BACKOFF_DOUBLINGS;
  uint32_t backoff_ms = (uint32_t)BACKOFF_MS << doublings;

  entry->sent_since_offer--;
  entry->in_flight -= entry->in_flight > 0;
  if (!failed)
    {
      entry->failures = 0;
      entry->max_in_flight++;
      return;
    }
  /* Failures of concurrent requests count once.  */
  if (now < entry->backoff_until)
    return;
  entry->failures++;
  entry->max_in_flight = MARJORAM_OFFER_RAMP_START;
  entry->backoff_until
      = now + backoff_ms + marjoram_random_below (table->random, backoff_ms);
}

static bool
is_overloaded (const marjoram_offer_table *table, int64_t now, int zone,
               int work)
{
  const struct entry *entry = get_entry (table, zone, work);

  return now < entry->expires && (entry->wait_ms > 0 || entry->upstreams == 0);
}

uint64_t
marjoram_offer_table_allocate (marjoram_offer_table *table, int64_t now,
                               int zone, int work, double free_capacity)
{
  int slots = marjoram_config_zone (table->config, zone)->slot_count;
  int other_zones = table->zone_count - 1;
  int overloaded_zones = 0;
  double share;
  uint64_t whole_share;

  if (other_zones < 1 || slots < 1 || free_capacity <= 0)
    return 0;
  for (int i = 0; i < table->zone_count; i++)
    overloaded_zones
        += i != table->zone && is_overloaded (table, now, i, work);
  share = free_capacity / other_zones;
  if (overloaded_zones > 0)
    share
        = free_capacity * (1 - OVERLOADED_ZONES_FRACTION) / other_zones
          + (is_overloaded (table, now, zone, work)
                 ? free_capacity * OVERLOADED_ZONES_FRACTION / overloaded_zones
                 : 0);
  share /= slots;
  whole_share = (uint64_t)share;
  /* Randomized rounding, so that capacity below one request per host is
     offered too and the sum is right on average.  */
  return whole_share
         + (marjoram_random_unit (table->random)
            < share - (double)whole_share);
}
