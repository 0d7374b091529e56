#include "host_list.h"

#include "cleanup.h"

#include <string.h>
#include <xxhash.h>

enum
{
  /* Four missed heartbeats at the default interval of 300 ms, so that lookups
     omit a dead host within two seconds.  */
  ALIVE_MS = 1300,
  /* The same for longer heartbeat intervals.  */
  ALIVE_HEARTBEATS = 4,
  ALIVE_MARGIN_MS = 100,
  /* For relayed heartbeats, which are sent less often.  */
  ALIVE_RELAYED_MS = 7000,
  FORGET_MS = 60000,
  CHECK_INTERVAL_MS = 1000,
  /* Lifetime of an unchanged view; a host that falls silent may stay in it for
     this long.  */
  VIEW_MS = 100,
  /* Dead hosts that show the loss of a zone; fewer may have failed by
     themselves.  */
  DARK_ZONE_HOSTS_MIN = 2
};

/* Cached owner of a key among the hosts of a view.  */
struct owner
{
  char *key;
  const struct marjoram_listed_host *host;
  UT_hash_handle hh;
};

/* Cached subset of the hosts, so that per-request queries need not scan the
   whole list.  */
enum view_kind
{
  VIEW_REGION,  /* serving hosts of a region */
  VIEW_SHARING, /* those of them that reach upstreams */
  VIEW_LIVE, /* entry hosts of a region, ready or not, without leaving ones */
  VIEW_ZONE,
  VIEW_KEEPERS, /* ready keepers of a zone */
  VIEW_ALIVE,   /* all live hosts of a zone */
  VIEW_OFFERING /* hosts with offers */
};

struct view
{
  enum view_kind kind;
  char *name; /* region or zone */
  struct marjoram_host_slice result;
  size_t next; /* index at which the next lookup starts */
  size_t capacity;
  /* VIEW_ALIVE: hosts of the zone, alive or dead, and when all were dead.  */
  size_t known;
  int64_t dark_at;
  int64_t built_at;
  uint64_t changes; /* CHANGES of the list when the view was built */
  struct owner *owners;
  UT_hash_handle hh;
};

struct marjoram_host_list
{
  int64_t relayed_valid_ms;
  int64_t checked_at; /* for hosts to be forgotten */
  int64_t lag_ms;     /* receive lag of this host */
  bool is_told_of_losses;
  char *region; /* region whose entry hosts use HEARTBEAT_MS; NULL if none */
  int64_t heartbeat_ms;
  struct marjoram_listed_hosts hosts;
  struct marjoram_listed_host *by_name;
  size_t entries;
  uint64_t changes; /* number of changes that may affect views */
  struct view *regions;
  struct view *sharing; /* keyed by region */
  struct view *live;    /* keyed by region */
  struct view *zones;
  struct view *keepers; /* keyed by zone */
  struct view *alive;   /* the same */
  struct view offering;
};

marjoram_host_list *
marjoram_host_list_create (void)
{
  marjoram_host_list *list = marjoram_alloc (sizeof *list);

  TAILQ_INIT (&list->hosts);
  list->relayed_valid_ms = ALIVE_RELAYED_MS;
  list->offering.kind = VIEW_OFFERING;
  return list;
}

void
marjoram_host_list_set_relayed_valid (marjoram_host_list *list, int64_t msec)
{
  list->relayed_valid_ms = msec;
}

/* With a lagging receiver all heartbeats arrive late and live hosts would
   appear dead; several hosts could then each consider themselves the owner of
   a cold upstream.  The lag is bounded by its source, so that dead hosts are
   still detected.  */
void
marjoram_host_list_set_lag (marjoram_host_list *list, int64_t lag_ms)
{
  list->lag_ms = lag_ms;
}

void
marjoram_host_list_set_told_of_losses (marjoram_host_list *list, bool told)
{
  list->is_told_of_losses = told;
}

static void
clear_heartbeat (struct marjoram_host_beat *heartbeat)
{
  marjoram_wire_clear (&marjoram_host_beat_layout, heartbeat);
}

static bool
is_entry (const struct marjoram_host_beat *heartbeat)
{
  return heartbeat->entry && heartbeat->entry[0];
}

static void
remove_host (marjoram_host_list *list, struct marjoram_listed_host *host)
{
  list->changes++;
  list->entries -= is_entry (&host->heartbeat);
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, list->by_name, host);
  TAILQ_REMOVE (&list->hosts, host, link);
  clear_heartbeat (&host->heartbeat);
  free (host);
}

static void
clear_owners (struct view *view)
{
  struct owner *owner;
  struct owner *next;

  HASH_ITER (hh, view->owners, owner, next)
  {
    /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
    HASH_DELETE (hh, view->owners, owner);
    free (owner->key);
    free (owner);
  }
}

static void
clear_view (struct view *view)
{
  clear_owners (view);
  free (view->result.hosts);
}

static void
destroy_views (struct view **views)
{
  struct view *view;
  struct view *next;

  HASH_ITER (hh, *views, view, next)
  {
    /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
    HASH_DELETE (hh, *views, view);
    clear_view (view);
    free (view->name);
    free (view);
  }
}

void
marjoram_host_list_destroy (marjoram_host_list *list)
{
  if (!list)
    return;
  destroy_views (&list->regions);
  destroy_views (&list->sharing);
  destroy_views (&list->live);
  destroy_views (&list->zones);
  destroy_views (&list->keepers);
  destroy_views (&list->alive);
  free (list->region);
  clear_view (&list->offering);
  while (!TAILQ_EMPTY (&list->hosts))
    /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
    remove_host (list, TAILQ_FIRST (&list->hosts));
  free (list);
}

static struct marjoram_listed_host *
find (const marjoram_host_list *list, const char *name)
{
  struct marjoram_listed_host *host;

  HASH_FIND_STR (list->by_name, name, host);
  return host;
}

const struct marjoram_listed_host *
marjoram_host_list_find (const marjoram_host_list *list, const char *name)
{
  return find (list, name);
}

static void
copy_offers (struct marjoram_array *target,
             const struct marjoram_array *source)
{
  const struct marjoram_host_offer *from = source->items;
  struct marjoram_host_offer *to = marjoram_alloc (source->count * sizeof *to);

  target->items = to;
  target->count = source->count;
  for (size_t i = 0; i < source->count; i++)
    {
      to[i] = from[i];
      to[i].service = marjoram_strdup (from[i].service ? from[i].service : "");
    }
}

static bool
is_same_text (const char *known, const char *received)
{
  return strcmp (known, received ? received : "") == 0;
}

/* Fast path for heartbeats with unchanged strings and no offers: updates in
   place.  */
static bool
update_heartbeat_in_place (struct marjoram_host_beat *known,
                           const struct marjoram_host_beat *heartbeat)
{
  if (known->offers.count > 0 || heartbeat->offers.count > 0
      || !is_same_text (known->zone, heartbeat->zone)
      || !is_same_text (known->region, heartbeat->region)
      || !is_same_text (known->entry, heartbeat->entry))
    return false;
  known->keeper = heartbeat->keeper;
  known->ready = heartbeat->ready;
  known->leaving = heartbeat->leaving;
  known->incarnation = heartbeat->incarnation;
  known->sequence = heartbeat->sequence;
  known->config_number = heartbeat->config_number;
  known->age_ms = heartbeat->age_ms;
  known->follow = heartbeat->follow;
  known->interval_ms = heartbeat->interval_ms;
  known->offers_nothing = heartbeat->offers_nothing;
  return true;
}

static void
copy_heartbeat (struct marjoram_host_beat *target,
                const struct marjoram_host_beat *source)
{
  *target = *source;
  target->name = marjoram_strdup (source->name);
  target->zone = marjoram_strdup (source->zone);
  target->region = marjoram_strdup (source->region);
  target->entry = marjoram_strdup (source->entry ? source->entry : "");
  copy_offers (&target->offers, &source->offers);
}

static bool
is_older (const struct marjoram_host_beat *heartbeat,
          const struct marjoram_host_beat *known)
{
  if (heartbeat->incarnation != known->incarnation)
    return heartbeat->incarnation < known->incarnation;
  return heartbeat->sequence < known->sequence;
}

static struct marjoram_listed_host *
add (marjoram_host_list *list, const struct marjoram_host_beat *heartbeat,
     int64_t received_at)
{
  struct marjoram_listed_host *host = marjoram_alloc (sizeof *host);

  host->received_at = received_at;
  host->lost_at = INT64_MIN;
  host->list = list;
  host->name_hash = XXH3_64bits (heartbeat->name, strlen (heartbeat->name));
  copy_heartbeat (&host->heartbeat, heartbeat);
  TAILQ_INSERT_TAIL (&list->hosts, host, link);
  HASH_ADD_KEYPTR (hh, list->by_name, host->heartbeat.name,
                   strlen (host->heartbeat.name), host);
  return host;
}

/* The name is the hash key and must stay allocated.  */
static void
replace_heartbeat (struct marjoram_listed_host *host,
                   const struct marjoram_host_beat *heartbeat)
{
  char *name = host->heartbeat.name;

  if (update_heartbeat_in_place (&host->heartbeat, heartbeat))
    return;
  host->heartbeat.name = NULL;
  clear_heartbeat (&host->heartbeat);
  copy_heartbeat (&host->heartbeat, heartbeat);
  free (host->heartbeat.name);
  host->heartbeat.name = name;
}

/* Whether HEARTBEAT may add HOST to a view or remove it.  */
static bool
changes_views (const struct marjoram_listed_host *host, int64_t now,
               const struct marjoram_host_beat *heartbeat)
{
  return !marjoram_host_list_alive (host, now)
         || (host->heartbeat.offers.count > 0) != (heartbeat->offers.count > 0)
         || host->heartbeat.offers_nothing != heartbeat->offers_nothing;
}

/* A relayed heartbeat does not state how often this host is sent one.  */
static void
keep_direct_terms (const struct marjoram_listed_host *host,
                   struct marjoram_host_beat *relayed)
{
  relayed->follow = host->heartbeat.follow;
  relayed->interval_ms = host->heartbeat.interval_ms;
}

bool
marjoram_host_list_update (marjoram_host_list *list, int64_t now,
                           const struct marjoram_host_beat *received,
                           bool direct)
{
  struct marjoram_host_beat merged = *received;
  const struct marjoram_host_beat *heartbeat = &merged;
  int64_t received_at = now - (int64_t)heartbeat->age_ms;
  struct marjoram_listed_host *host;
  bool changed;

  if (!heartbeat->name || !heartbeat->zone || !heartbeat->region)
    return false;
  host = find (list, heartbeat->name);
  if (host && is_older (heartbeat, &host->heartbeat))
    return false;
  if (host && !direct)
    keep_direct_terms (host, &merged);
  changed = !host || host->heartbeat.incarnation != heartbeat->incarnation
            || host->heartbeat.ready != heartbeat->ready
            || host->heartbeat.leaving != heartbeat->leaving;
  list->changes += changed || changes_views (host, now, heartbeat);
  if (host)
    {
      list->entries -= is_entry (&host->heartbeat);
      replace_heartbeat (host, heartbeat);
    }
  else
    host = add (list, heartbeat, received_at);
  list->entries += is_entry (&host->heartbeat);
  if (received_at > host->received_at)
    host->received_at = received_at;
  if (direct)
    host->direct = true;
  return changed;
}

struct marjoram_listed_hosts *
marjoram_host_list_all (marjoram_host_list *list)
{
  return &list->hosts;
}

void
marjoram_host_list_set_heartbeat_interval (marjoram_host_list *list,
                                           const char *region,
                                           int64_t heartbeat_ms)
{
  if (!list->region || strcmp (list->region, region) != 0)
    {
      free (list->region);
      list->region = marjoram_strdup (region);
    }
  list->heartbeat_ms = heartbeat_ms;
}

void
marjoram_host_list_heard (marjoram_host_list *list, int64_t now,
                          const char *name)
{
  struct marjoram_listed_host *host = find (list, name);

  if (!host)
    return;
  list->changes += !marjoram_host_list_alive (host, now);
  host->received_at = now;
}

void
marjoram_host_list_connection_lost (marjoram_host_list *list, int64_t now,
                                    const char *name)
{
  struct marjoram_listed_host *host = find (list, name);

  if (!host || !host->direct)
    return;
  host->lost_at = now;
  list->changes++;
}

void
marjoram_host_list_leaves (marjoram_host_list *list, const char *name)
{
  struct marjoram_listed_host *host = find (list, name);

  if (!host || host->heartbeat.leaving)
    return;
  host->heartbeat.leaving = true;
  list->changes++;
}

bool
marjoram_host_list_lost (marjoram_host_list *list, int64_t now,
                         const char *name, uint64_t incarnation)
{
  struct marjoram_listed_host *host = find (list, name);

  if (!host || host->heartbeat.incarnation > incarnation
      || !marjoram_host_list_alive (host, now))
    return false;
  host->lost_at = now;
  list->changes++;
  return true;
}

/* Silence in ms after which HOST counts as dead.  */
static int64_t
max_silence_ms (const struct marjoram_listed_host *host)
{
  const marjoram_host_list *list = host->list;
  const int64_t stated_ms = (int64_t)host->heartbeat.interval_ms;
  int64_t heartbeats_ms
      = (stated_ms > 0 ? stated_ms : list->heartbeat_ms) * ALIVE_HEARTBEATS
        + ALIVE_MARGIN_MS;

  if (!host->direct
      || (list->is_told_of_losses && !host->heartbeat.keeper && list->region
          && strcmp (host->heartbeat.region, list->region) == 0))
    return list->relayed_valid_ms;
  if (stated_ms > 0)
    return heartbeats_ms > ALIVE_MS ? heartbeats_ms : ALIVE_MS;
  if (host->heartbeat.keeper || !list->region || heartbeats_ms < ALIVE_MS
      || strcmp (host->heartbeat.region, list->region) != 0)
    return ALIVE_MS;
  return heartbeats_ms;
}

bool
marjoram_host_list_alive (const struct marjoram_listed_host *host, int64_t now)
{
  return host->received_at > host->lost_at
         && now - host->received_at - host->list->lag_ms
                <= max_silence_ms (host);
}

bool
marjoram_host_list_serves (const struct marjoram_listed_host *host,
                           int64_t now)
{
  return host->heartbeat.entry[0] && host->heartbeat.ready
         && !host->heartbeat.leaving && marjoram_host_list_alive (host, now);
}

/* ---- Views.  ---- */

static bool
is_in_view (const struct view *view, const struct marjoram_listed_host *host,
            int64_t now)
{
  switch (view->kind)
    {
    case VIEW_REGION:
      if (strcmp (host->heartbeat.region, view->name) != 0)
        return false;
      break;
    case VIEW_SHARING:
      if (strcmp (host->heartbeat.region, view->name) != 0
          || host->heartbeat.offers_nothing)
        return false;
      break;
    case VIEW_LIVE:
      return strcmp (host->heartbeat.region, view->name) == 0
             && is_entry (&host->heartbeat) && !host->heartbeat.leaving
             && marjoram_host_list_alive (host, now);
    case VIEW_ZONE:
      if (strcmp (host->heartbeat.zone, view->name) != 0)
        return false;
      break;
    case VIEW_KEEPERS:
      return host->heartbeat.keeper && host->heartbeat.ready
             && !host->heartbeat.leaving
             && strcmp (host->heartbeat.zone, view->name) == 0
             && marjoram_host_list_alive (host, now);
    case VIEW_ALIVE:
      return strcmp (host->heartbeat.zone, view->name) == 0
             && marjoram_host_list_alive (host, now);
    case VIEW_OFFERING:
      if (host->heartbeat.offers.count == 0)
        return false;
      break;
    }
  return marjoram_host_list_serves (host, now);
}

static void
build_view (const marjoram_host_list *list, struct view *view, int64_t now)
{
  struct marjoram_listed_host *host;

  clear_owners (view);
  if (view->capacity < HASH_COUNT (list->by_name))
    {
      free (view->result.hosts);
      view->capacity = HASH_COUNT (list->by_name);
      view->result.hosts = marjoram_alloc (
          view->capacity * sizeof (struct marjoram_listed_host *));
    }
  view->result.count = 0;
  view->known = 0;
  TAILQ_FOREACH (host, &list->hosts, link)
  {
    view->known += view->kind == VIEW_ALIVE
                   && strcmp (host->heartbeat.zone, view->name) == 0;
    if (is_in_view (view, host, now))
      view->result.hosts[view->result.count++] = host;
  }
  view->built_at = now;
  view->changes = list->changes;
}

static void
refresh_view (const marjoram_host_list *list, struct view *view, int64_t now)
{
  if (view->changes != list->changes || now < view->built_at
      || now >= view->built_at + VIEW_MS)
    build_view (list, view, now);
}

static struct view *
find_view (const marjoram_host_list *list, struct view **views,
           enum view_kind kind, const char *name, int64_t now)
{
  struct view *view;

  HASH_FIND_STR (*views, name, view);
  if (!view)
    {
      view = marjoram_alloc (sizeof *view);
      view->kind = kind;
      view->name = marjoram_strdup (name);
      view->changes = list->changes - 1;
      view->dark_at = INT64_MIN;
      HASH_ADD_KEYPTR (hh, *views, view->name, strlen (view->name), view);
    }
  refresh_view (list, view, now);
  return view;
}

static struct view *
region_view (marjoram_host_list *list, int64_t now, const char *region)
{
  return find_view (list, &list->regions, VIEW_REGION, region, now);
}

const struct marjoram_host_slice *
marjoram_host_list_offering (marjoram_host_list *list, int64_t now)
{
  refresh_view (list, &list->offering, now);
  return &list->offering.result;
}

const struct marjoram_host_slice *
marjoram_host_list_of_region (marjoram_host_list *list, int64_t now,
                              const char *region)
{
  return &region_view (list, now, region)->result;
}

const struct marjoram_host_slice *
marjoram_host_list_live (marjoram_host_list *list, int64_t now,
                         const char *region)
{
  return &find_view (list, &list->live, VIEW_LIVE, region, now)->result;
}

uint64_t
marjoram_listed_host_weight (const struct marjoram_listed_host *host,
                             const char *key)
{
  return XXH3_64bits_withSeed (key, strlen (key), host->name_hash);
}

static const struct marjoram_listed_host *
find_owner (const struct view *view, const char *key)
{
  const struct marjoram_listed_host *best = NULL;
  uint64_t highest = 0;

  for (size_t i = 0; i < view->result.count; i++)
    {
      uint64_t weight
          = marjoram_listed_host_weight (view->result.hosts[i], key);

      if (best && weight <= highest)
        continue;
      best = view->result.hosts[i];
      highest = weight;
    }
  return best;
}

const char *
marjoram_host_list_owner (marjoram_host_list *list, int64_t now,
                          const char *region, const char *key)
{
  struct view *view = region_view (list, now, region);
  struct owner *owner;

  HASH_FIND_STR (view->owners, key, owner);
  if (!owner)
    {
      owner = marjoram_alloc (sizeof *owner);
      owner->key = marjoram_strdup (key);
      owner->host = find_owner (view, key);
      HASH_ADD_KEYPTR (hh, view->owners, owner->key, strlen (owner->key),
                       owner);
    }
  return owner->host ? owner->host->heartbeat.name : NULL;
}

static uint64_t
weight_of (const char *host, const char *key)
{
  return XXH3_64bits_withSeed (key, strlen (key),
                               XXH3_64bits (host, strlen (host)));
}

const char *
marjoram_host_list_owner_with (marjoram_host_list *list, int64_t now,
                               const char *region, const char *key,
                               const char *own)
{
  const char *owner = marjoram_host_list_owner (list, now, region, key);

  return owner && weight_of (owner, key) > weight_of (own, key) ? owner : own;
}

size_t
marjoram_host_list_rank (marjoram_host_list *list, int64_t now,
                         const char *region, const char *key, const char *own)
{
  const struct marjoram_host_slice *serving
      = marjoram_host_list_of_region (list, now, region);
  const uint64_t weight = weight_of (own, key);
  size_t rank = 0;

  for (size_t i = 0; i < serving->count; i++)
    rank += marjoram_listed_host_weight (serving->hosts[i], key) > weight;
  return rank;
}

const char *
marjoram_host_list_keeper (marjoram_host_list *list, int64_t now,
                           const char *zone, const char *key, const char *own)
{
  const struct marjoram_listed_host *best = find_owner (
      find_view (list, &list->keepers, VIEW_KEEPERS, zone, now), key);

  if (!best)
    return own;
  return own && weight_of (own, key) >= marjoram_listed_host_weight (best, key)
             ? own
             : best->heartbeat.name;
}

int64_t
marjoram_host_list_zone_dark_at (marjoram_host_list *list, int64_t now,
                                 const char *zone)
{
  struct view *view = find_view (list, &list->alive, VIEW_ALIVE, zone, now);

  if (view->known >= DARK_ZONE_HOSTS_MIN && view->result.count == 0)
    view->dark_at = now;
  return view->dark_at;
}

size_t
marjoram_host_list_serving_count (marjoram_host_list *list, int64_t now,
                                  const char *region)
{
  return region_view (list, now, region)->result.count;
}

/* Host OWN if it is in the list and serves in REGION; NULL otherwise.  */
static const struct marjoram_listed_host *
find_own (const marjoram_host_list *list, int64_t now, const char *region,
          const char *own)
{
  const struct marjoram_listed_host *listed
      = marjoram_host_list_find (list, own);

  return listed && marjoram_host_list_serves (listed, now)
                 && strcmp (listed->heartbeat.region, region) == 0
             ? listed
             : NULL;
}

size_t
marjoram_host_list_serving_count_with (marjoram_host_list *list, int64_t now,
                                       const char *region, const char *own)
{
  const bool counted = find_own (list, now, region, own) != NULL;

  return marjoram_host_list_serving_count (list, now, region)
         + (counted ? 0 : 1);
}

size_t
marjoram_host_list_sharing_count_with (marjoram_host_list *list, int64_t now,
                                       const char *region, const char *own)
{
  const struct marjoram_listed_host *listed
      = find_own (list, now, region, own);
  const bool counted = listed && !listed->heartbeat.offers_nothing;
  const struct view *sharing
      = find_view (list, &list->sharing, VIEW_SHARING, region, now);

  return sharing->result.count + (counted ? 0 : 1);
}

size_t
marjoram_host_list_entry_count (marjoram_host_list *list)
{
  return list->entries;
}

/* ---- Lookups.  ---- */

/* Rotates through the hosts if there are more than fit in one response.  */
static size_t
collect_hosts (struct view *view, int64_t now,
               const char *addresses[MARJORAM_LOOKUP_MAX])
{
  size_t count = 0;

  for (size_t i = 0; i < view->result.count && count < MARJORAM_LOOKUP_MAX;
       i++)
    {
      const struct marjoram_listed_host *host
          = view->result.hosts[(view->next + i) % view->result.count];

      if (marjoram_host_list_serves (host, now))
        addresses[count++] = host->heartbeat.entry;
    }
  if (view->result.count > 0)
    view->next = (view->next + count) % view->result.count;
  return count;
}

static size_t
collect_allowed (marjoram_host_list *list, int64_t now,
                 marjoram_region_allowed allowed, void *context,
                 const char *addresses[MARJORAM_LOOKUP_MAX])
{
  const struct marjoram_listed_host *host;
  size_t count = 0;

  TAILQ_FOREACH (host, &list->hosts, link)
  if (count < MARJORAM_LOOKUP_MAX && marjoram_host_list_serves (host, now)
      && (!allowed || allowed (context, host->heartbeat.region)))
    addresses[count++] = host->heartbeat.entry;
  return count;
}

/* Falls back from zone to region to allowed regions, so that callers of a
   region under restart reach hosts that may execute their requests rather than
   merely forward them.  */
size_t
marjoram_host_list_lookup (marjoram_host_list *list, int64_t now,
                           const char *zone, const char *region,
                           marjoram_region_allowed allowed, void *context,
                           const char *addresses[MARJORAM_LOOKUP_MAX],
                           enum marjoram_lookup_scope *scope)
{
  size_t count = 0;

  *scope = MARJORAM_SCOPE_ZONE;
  if (zone)
    count = collect_hosts (
        find_view (list, &list->zones, VIEW_ZONE, zone, now), now, addresses);
  if (count > 0)
    return count;
  *scope = MARJORAM_SCOPE_REGION;
  if (region)
    count = collect_hosts (region_view (list, now, region), now, addresses);
  if (count > 0)
    return count;
  *scope = MARJORAM_SCOPE_ALLOWED;
  return collect_allowed (list, now, allowed, context, addresses);
}

const struct marjoram_host_offer *
marjoram_listed_host_offer (const struct marjoram_listed_host *host,
                            const char *service)
{
  const struct marjoram_host_offer *offers = host->heartbeat.offers.items;

  for (size_t i = 0; i < host->heartbeat.offers.count; i++)
    if (strcmp (offers[i].service, service) == 0 && offers[i].upstreams > 0)
      return &offers[i];
  return NULL;
}

bool
marjoram_listed_host_is_watched (const struct marjoram_listed_host *host)
{
  return host->direct && host->heartbeat.follow != MARJORAM_FOLLOW_ANOTHER;
}

static void
add_lost (const struct marjoram_listed_host *host,
          struct marjoram_lost_hosts *lost)
{
  struct marjoram_lost_host *items = lost->items.items;

  items[lost->items.count++]
      = (struct marjoram_lost_host){ host->heartbeat.name,
                                     host->heartbeat.incarnation };
}

static void
add_event (struct marjoram_listed_host *host, int64_t now,
           struct marjoram_host_events *events)
{
  const bool is_alive = marjoram_host_list_alive (host, now);
  struct marjoram_host_beat *found = events->found.items.items;

  if (is_alive != host->is_reported)
    return;
  host->is_reported = !is_alive;
  if (is_alive)
    found[events->found.items.count++] = host->heartbeat;
  else
    add_lost (host, &events->lost);
  if (!is_alive && marjoram_listed_host_is_watched (host))
    add_lost (host, &events->watched);
}

void
marjoram_host_list_take_events (marjoram_host_list *list, int64_t now,
                                const char *region,
                                struct marjoram_host_events *events)
{
  const size_t most = HASH_COUNT (list->by_name);
  struct marjoram_listed_host *host;

  events->lost.items = (struct marjoram_array){
    marjoram_alloc (most * sizeof (struct marjoram_lost_host)), 0
  };
  events->watched.items = (struct marjoram_array){
    marjoram_alloc (most * sizeof (struct marjoram_lost_host)), 0
  };
  events->found.items = (struct marjoram_array){
    marjoram_alloc (most * sizeof (struct marjoram_host_beat)), 0
  };
  TAILQ_FOREACH (host, &list->hosts, link)
  if (host->direct && strcmp (host->heartbeat.region, region) == 0)
    add_event (host, now, events);
}

void
marjoram_host_list_tick (marjoram_host_list *list, int64_t now)
{
  struct marjoram_listed_host *host = TAILQ_FIRST (&list->hosts);

  if (now < list->checked_at + CHECK_INTERVAL_MS)
    return;
  list->checked_at = now;
  while (host)
    {
      struct marjoram_listed_host *next = TAILQ_NEXT (host, link);

      if (now - host->received_at > FORGET_MS)
        remove_host (list, host);
      host = next;
    }
}
