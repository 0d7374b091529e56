#include "offer.h"

#include "cleanup.h"

#include <math.h>
#include <string.h>

enum
{
  BACKOFF_MS = 500,
  BACKOFF_DOUBLINGS = 4
};

/* Part of the spare room that goes to zones in need; the rest is split between
   all, so that one that falls into need can go somewhere at once.  */
#define NEED_PART 0.75

static const struct marjoram_field offer_fields[] = {
  { MARJORAM_WIRE_STRING (struct marjoram_offer, work, MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_UINT (struct marjoram_offer, room) },
  { MARJORAM_WIRE_INT (struct marjoram_offer, wait_ms) },
  { MARJORAM_WIRE_UINT (struct marjoram_offer, upstreams) },
};
const struct marjoram_layout marjoram_offer_layout
    = { "offer", sizeof (struct marjoram_offer), offer_fields,
        sizeof offer_fields / sizeof *offer_fields };

/* The last offer of one zone for one work.  */
struct entry
{
  uint64_t room;
  uint64_t ramp; /* most that is under way at once */
  uint64_t under_way;
  int64_t taken; /* started since the offer, less ended ones */
  int64_t wait_ms;
  int64_t link_ms;
  int64_t expires; /* 0 if never heard */
  int64_t last_sent;
  int64_t barred_until;
  uint32_t upstreams;
  uint32_t failures;
};

struct marjoram_loans
{
  marjoram_random *random;
  marjoram_config *config;
  struct entry *entries; /* of zone * work_count + work */
  int zone;
  int zone_count;
  int work_count;
};

marjoram_loans *
marjoram_loans_create (marjoram_random *random)
{
  marjoram_loans *loans = marjoram_alloc (sizeof *loans);

  loans->random = random;
  return loans;
}

void
marjoram_loans_destroy (marjoram_loans *loans)
{
  if (!loans)
    return;
  marjoram_config_release (loans->config);
  free (loans->entries);
  free (loans);
}

static struct entry *
entry_of (const marjoram_loans *loans, int zone, int work)
{
  return &loans->entries[zone * loans->work_count + work];
}

static void
carry_over (const marjoram_loans *loans, marjoram_config *config,
            struct entry *entries, int zone, int work)
{
  int old_zone = marjoram_config_find_zone (
      loans->config, marjoram_config_zone (config, zone)->name);
  int old_work = marjoram_config_find_work (
      loans->config, marjoram_config_work (config, work)->name);

  if (old_zone >= 0 && old_work >= 0)
    entries[zone * marjoram_config_work_count (config) + work]
        = *entry_of (loans, old_zone, old_work);
}

void
marjoram_loans_configure (marjoram_loans *loans, marjoram_config *config,
                          int zone)
{
  int zones = marjoram_config_zone_count (config);
  int works = marjoram_config_work_count (config);
  struct entry *entries
      = marjoram_alloc (((size_t)zones * (size_t)works + 1) * sizeof *entries);

  for (int i = 0; loans->config && i < zones; i++)
    for (int j = 0; j < works; j++)
      carry_over (loans, config, entries, i, j);
  free (loans->entries);
  loans->entries = entries;
  marjoram_config_retain (config);
  marjoram_config_release (loans->config);
  loans->config = config;
  loans->zone = zone;
  loans->zone_count = zones;
  loans->work_count = works;
}

static void
learn_one (struct entry *entry, int64_t now,
           const struct marjoram_offer *offer, int64_t link_ms)
{
  /* Stops the stampede after a link heals: a zone that was silent gets a few
     requests at once at first, and twice as many with each offer that follows
     and each few that end well.  */
  if (now >= entry->expires)
    entry->ramp = MARJORAM_OFFER_RAMP_START;
  else if (entry->ramp < offer->room)
    entry->ramp *= 2;
  /* What was sent within the last round trip is not yet seen in the offer.  */
  if (now >= entry->last_sent + 2 * link_ms)
    entry->taken = 0;
  entry->room = offer->room;
  entry->wait_ms = offer->wait_ms > 0 ? offer->wait_ms : 0;
  entry->link_ms = link_ms > 0 ? link_ms : 0;
  entry->upstreams = (uint32_t)offer->upstreams;
  entry->expires = now + MARJORAM_OFFER_LIFE_MS;
}

void
marjoram_loans_learn (marjoram_loans *loans, int64_t now, int zone,
                      const struct marjoram_array *offers, int64_t link_ms)
{
  const struct marjoram_offer *items = offers->items;

  for (size_t i = 0; i < offers->count; i++)
    {
      int work = items[i].work
                     ? marjoram_config_find_work (loans->config, items[i].work)
                     : -1;

      if (work >= 0)
        learn_one (entry_of (loans, zone, work), now, &items[i], link_ms);
    }
}

static bool
in_regions (const marjoram_loans *loans, int zone, uint64_t regions)
{
  return regions >> marjoram_config_zone (loans->config, zone)->region & 1;
}

/* Whether one more may be sent there.  Work that has no other place may wait
   beyond the room that is lent; the ramp holds for it too.  */
static bool
lends (const struct entry *entry, int64_t now, bool homeless)
{
  bool room
      = homeless ? entry->upstreams > 0 : entry->taken < (int64_t)entry->room;

  return now < entry->expires && now >= entry->barred_until
         && entry->under_way < entry->ramp && room;
}

/* The wait that requests of this host beyond the lent room add.  */
static double
own_queue_ms (const struct entry *entry, double alone_ms)
{
  int64_t over = entry->taken - (int64_t)entry->room;

  return over > 0 && entry->upstreams > 0
             ? alone_ms * (double)over / entry->upstreams
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
marjoram_loans_best (marjoram_loans *loans, int64_t now,
                     const struct marjoram_query *query, uint64_t regions,
                     double alone_ms, bool homeless,
                     struct marjoram_loan *best)
{
  int start = (int)marjoram_random_below (
      loans->random, (uint32_t)(loans->zone_count ? loans->zone_count : 1));

  *best = (struct marjoram_loan){ -1, HUGE_VAL };
  for (int i = 0; i < loans->zone_count; i++)
    {
      int zone = (start + i) % loans->zone_count;
      const struct entry *entry = entry_of (loans, zone, query->work);
      double total;

      if (zone == loans->zone || !in_regions (loans, zone, regions)
          || zone_tried (query, zone) || !lends (entry, now, homeless))
        continue;
      total = 2 * (double)entry->link_ms + (double)entry->wait_ms + alone_ms
              + own_queue_ms (entry, alone_ms);
      if (total < best->total_ms)
        *best = (struct marjoram_loan){ zone, total };
    }
}

bool
marjoram_loans_known (const marjoram_loans *loans, int64_t now, int work,
                      uint64_t regions)
{
  for (int i = 0; i < loans->zone_count; i++)
    {
      const struct entry *entry = entry_of (loans, i, work);

      if (i != loans->zone && in_regions (loans, i, regions)
          && now < entry->expires && entry->upstreams > 0)
        return true;
    }
  return false;
}

bool
marjoram_loans_room (const marjoram_loans *loans, int64_t now, int work,
                     uint64_t regions)
{
  for (int i = 0; i < loans->zone_count; i++)
    if (i != loans->zone && in_regions (loans, i, regions)
        && lends (entry_of (loans, i, work), now, false))
      return true;
  return false;
}

void
marjoram_loans_sent (marjoram_loans *loans, int64_t now, int zone, int work)
{
  struct entry *entry = entry_of (loans, zone, work);

  entry->taken++;
  entry->under_way++;
  entry->last_sent = now;
}

/* Stops the repeated sending to a zone whose offers are wrong or whose
   requests fail: it is left alone for a time that doubles.  */
void
marjoram_loans_returned (marjoram_loans *loans, int64_t now, int zone,
                         int work, bool failed)
{
  struct entry *entry = entry_of (loans, zone, work);
  uint32_t doublings = entry->failures < BACKOFF_DOUBLINGS ? entry->failures
                                                           : BACKOFF_DOUBLINGS;
  uint32_t span = (uint32_t)BACKOFF_MS << doublings;

  entry->taken--;
  entry->under_way -= entry->under_way > 0;
  if (!failed)
    {
      entry->failures = 0;
      entry->ramp++;
      return;
    }
  /* Requests that were under way together fail together.  */
  if (now < entry->barred_until)
    return;
  entry->failures++;
  entry->ramp = MARJORAM_OFFER_RAMP_START;
  entry->barred_until
      = now + span + marjoram_random_below (loans->random, span);
}

static bool
needs (const marjoram_loans *loans, int64_t now, int zone, int work)
{
  const struct entry *entry = entry_of (loans, zone, work);

  return now < entry->expires && (entry->wait_ms > 0 || entry->upstreams == 0);
}

uint64_t
marjoram_loans_split (marjoram_loans *loans, int64_t now, int zone, int work,
                      double free)
{
  int slots = marjoram_config_zone (loans->config, zone)->slot_count;
  int others = loans->zone_count - 1;
  int needy = 0;
  double part;
  uint64_t whole;

  if (others < 1 || slots < 1 || free <= 0)
    return 0;
  for (int i = 0; i < loans->zone_count; i++)
    needy += i != loans->zone && needs (loans, now, i, work);
  part = free / others;
  if (needy > 0)
    part = free * (1 - NEED_PART) / others
           + (needs (loans, now, zone, work) ? free * NEED_PART / needy : 0);
  part /= slots;
  whole = (uint64_t)part;
  /* A fraction is lent by lot, so that little room is lent at all, and the
     sum is right on average.  */
  return whole + (marjoram_random_unit (loans->random) < part - (double)whole);
}
