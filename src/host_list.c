#include "host_list.h"

#include "cleanup.h"

#include <string.h>
#include <xxhash.h>

enum
{
  /* Beats come every 300 ms, so that four in a row are missing.  A dead host
     is then out of look-ups within two seconds.  */
  ALIVE_MS = 1300,
  /* Told by others, a beat is older by their own interval.  */
  ALIVE_TOLD_MS = 7000,
  FORGET_MS = 60000
};

struct marjoram_host_list
{
  int64_t told_valid_ms;
  struct marjoram_listed_hosts hosts;
};

marjoram_host_list *
marjoram_host_list_create (void)
{
  marjoram_host_list *list = marjoram_alloc (sizeof *list);

  TAILQ_INIT (&list->hosts);
  list->told_valid_ms = ALIVE_TOLD_MS;
  return list;
}

void
marjoram_host_list_set_told_valid (marjoram_host_list *list, int64_t msec)
{
  list->told_valid_ms = msec;
}

/* Where this host's own link is full or its loop stood still, all beats come
   late, and the live look dead: nothing could be forwarded, and each host that
   is late would take itself for the one that feeds a cold upstream.  The lag
   has a bound, so that the dead are found all the same.  */
void
marjoram_host_list_set_late (marjoram_host_list *list, int64_t late_ms)
{
  struct marjoram_listed_host *host;

  TAILQ_FOREACH (host, &list->hosts, link)
  host->late_ms = late_ms;
}

static void
clear_beat (struct marjoram_host_beat *beat)
{
  marjoram_wire_clear (&marjoram_host_beat_layout, beat);
}

static void
forget (marjoram_host_list *list, struct marjoram_listed_host *host)
{
  TAILQ_REMOVE (&list->hosts, host, link);
  clear_beat (&host->beat);
  free (host);
}

void
marjoram_host_list_destroy (marjoram_host_list *list)
{
  if (!list)
    return;
  while (!TAILQ_EMPTY (&list->hosts))
    /* The list macros mislead it.  NOLINTNEXTLINE(clang-analyzer-*) */
    forget (list, TAILQ_FIRST (&list->hosts));
  free (list);
}

static struct marjoram_listed_host *
find (const marjoram_host_list *list, const char *name)
{
  struct marjoram_listed_host *host;

  TAILQ_FOREACH (host, &list->hosts, link)
  if (strcmp (host->beat.name, name) == 0)
    return host;
  return NULL;
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

static void
copy_beat (struct marjoram_host_beat *target,
           const struct marjoram_host_beat *source)
{
  *target = *source;
  target->name = marjoram_strdup (source->name);
  target->zone = marjoram_strdup (source->zone);
  target->region = marjoram_strdup (source->region);
  target->entry = marjoram_strdup (source->entry ? source->entry : "");
  copy_offers (&target->offers, &source->offers);
  target->uses = (struct marjoram_array){ NULL, 0 };
}

static bool
is_older (const struct marjoram_host_beat *beat,
          const struct marjoram_host_beat *known)
{
  if (beat->incarnation != known->incarnation)
    return beat->incarnation < known->incarnation;
  return beat->sequence < known->sequence;
}

bool
marjoram_host_list_hear (marjoram_host_list *list, int64_t now,
                         const struct marjoram_host_beat *beat, bool direct)
{
  int64_t heard_at = now - (int64_t)beat->age_ms;
  struct marjoram_listed_host *host;
  bool changed;

  if (!beat->name || !beat->zone || !beat->region)
    return false;
  host = find (list, beat->name);
  if (host && is_older (beat, &host->beat))
    return false;
  changed = !host || host->beat.incarnation != beat->incarnation
            || host->beat.ready != beat->ready
            || host->beat.leaving != beat->leaving;
  if (host)
    clear_beat (&host->beat);
  else
    {
      host = marjoram_alloc (sizeof *host);
      host->heard_at = heard_at;
      host->told_valid_ms = list->told_valid_ms;
      TAILQ_INSERT_TAIL (&list->hosts, host, link);
    }
  copy_beat (&host->beat, beat);
  if (heard_at > host->heard_at)
    host->heard_at = heard_at;
  if (direct)
    host->direct = true;
  return changed;
}

struct marjoram_listed_hosts *
marjoram_host_list_all (marjoram_host_list *list)
{
  return &list->hosts;
}

bool
marjoram_host_list_alive (const struct marjoram_listed_host *host, int64_t now)
{
  return now - host->heard_at - host->late_ms
         <= (host->direct ? ALIVE_MS : host->told_valid_ms);
}

bool
marjoram_host_list_serves (const struct marjoram_listed_host *host,
                           int64_t now)
{
  return host->beat.entry[0] && host->beat.ready && !host->beat.leaving
         && marjoram_host_list_alive (host, now);
}

/* Which hosts are asked for; null: any.  */
struct wish
{
  const char *zone;
  const char *region;
  marjoram_region_allowed allowed;
  void *context;
};

static bool
fits (const struct marjoram_listed_host *host, const struct wish *wish)
{
  if (wish->zone && strcmp (host->beat.zone, wish->zone) != 0)
    return false;
  if (wish->region && strcmp (host->beat.region, wish->region) != 0)
    return false;
  return !wish->allowed || wish->allowed (wish->context, host->beat.region);
}

static size_t
collect (marjoram_host_list *list, int64_t now, const struct wish *wish,
         const char *addresses[MARJORAM_LOOKUP_MAX])
{
  const struct marjoram_listed_host *host;
  size_t count = 0;

  TAILQ_FOREACH (host, &list->hosts, link)
  if (count < MARJORAM_LOOKUP_MAX && marjoram_host_list_serves (host, now)
      && fits (host, wish))
    addresses[count++] = host->beat.entry;
  return count;
}

/* While all hosts of a region are restarted in turn, its callers go where
   their requests may run, before they go where those would only be passed on.
 */
size_t
marjoram_host_list_lookup (marjoram_host_list *list, int64_t now,
                           const char *zone, const char *region,
                           marjoram_region_allowed allowed, void *context,
                           const char *addresses[MARJORAM_LOOKUP_MAX],
                           enum marjoram_lookup_reach *reach)
{
  const struct wish wishes[MARJORAM_REACH_COUNT] = {
    [MARJORAM_REACH_ZONE] = { .zone = zone },
    [MARJORAM_REACH_REGION] = { .region = region },
    [MARJORAM_REACH_ALLOWED] = { .allowed = allowed, .context = context },
  };
  size_t count = 0;

  for (int i = 0; count == 0 && i < MARJORAM_REACH_COUNT; i++)
    {
      *reach = (enum marjoram_lookup_reach)i;
      count = collect (list, now, &wishes[i], addresses);
    }
  return count;
}

const struct marjoram_host_offer *
marjoram_listed_host_offer (const struct marjoram_listed_host *host,
                            const char *service)
{
  const struct marjoram_host_offer *offers = host->beat.offers.items;

  for (size_t i = 0; i < host->beat.offers.count; i++)
    if (strcmp (offers[i].service, service) == 0 && offers[i].upstreams > 0)
      return &offers[i];
  return NULL;
}

static uint64_t
claim (const char *name, const char *key)
{
  return XXH3_64bits_withSeed (key, strlen (key),
                               XXH3_64bits (name, strlen (name)));
}

const char *
marjoram_host_list_owner (marjoram_host_list *list, int64_t now,
                          const char *region, const char *key)
{
  const struct marjoram_listed_host *host;
  const struct marjoram_listed_host *best = NULL;

  TAILQ_FOREACH (host, &list->hosts, link)
  if (marjoram_host_list_serves (host, now)
      && strcmp (host->beat.region, region) == 0
      && (!best
          || claim (host->beat.name, key) > claim (best->beat.name, key)))
    best = host;
  return best ? best->beat.name : NULL;
}

size_t
marjoram_host_list_serving (marjoram_host_list *list, int64_t now,
                            const char *region)
{
  const struct marjoram_listed_host *host;
  size_t count = 0;

  TAILQ_FOREACH (host, &list->hosts, link)
  count += marjoram_host_list_serves (host, now)
           && strcmp (host->beat.region, region) == 0;
  return count;
}

size_t
marjoram_host_list_entries (marjoram_host_list *list)
{
  const struct marjoram_listed_host *host;
  size_t count = 0;

  TAILQ_FOREACH (host, &list->hosts, link)
  count += host->beat.entry[0] != '\0';
  return count;
}

void
marjoram_host_list_tick (marjoram_host_list *list, int64_t now)
{
  struct marjoram_listed_host *host = TAILQ_FIRST (&list->hosts);

  while (host)
    {
      struct marjoram_listed_host *next = TAILQ_NEXT (host, link);

      if (now - host->heard_at > FORGET_MS)
        forget (list, host);
      host = next;
    }
}
