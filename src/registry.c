#include "registry.h"

#include "cleanup.h"

#include <stdio.h>
#include <string.h>

enum
{
  /* Five heartbeat intervals of 1.2 s: tolerates two lost heartbeats and one
     that is a second late.  */
  SILENT_MS = 6000,
  /* Records outlive delayed heartbeats, so that outdated ones are
     recognized.  */
  FORGET_MS = 60000
};

struct marjoram_registered_service
{
  char *name;
  struct marjoram_registered_list upstreams;
  size_t count;
  UT_hash_handle hh;
};

struct marjoram_registry
{
  struct marjoram_registered_service *services;
  struct marjoram_registered_list list;
  struct marjoram_registered *by_id;
  int64_t heard_at; /* latest heartbeat of any upstream */
};

marjoram_registry *
marjoram_registry_create (void)
{
  marjoram_registry *registry = marjoram_alloc (sizeof *registry);

  TAILQ_INIT (&registry->list);
  registry->heard_at = INT64_MIN / 2;
  return registry;
}

static struct marjoram_registered_service *
find_or_add_service (marjoram_registry *registry, const char *name)
{
  struct marjoram_registered_service *service;

  HASH_FIND_STR (registry->services, name, service);
  if (service)
    return service;
  service = marjoram_alloc (sizeof *service);
  service->name = marjoram_strdup (name);
  TAILQ_INIT (&service->upstreams);
  HASH_ADD_KEYPTR (hh, registry->services, service->name,
                   strlen (service->name), service);
  return service;
}

static void
leave_service (marjoram_registry *registry,
               struct marjoram_registered *upstream)
{
  struct marjoram_registered_service *service = upstream->service;

  upstream->service = NULL;
  if (!service)
    return;
  TAILQ_REMOVE (&service->upstreams, upstream, service_link);
  service->count--;
  if (!TAILQ_EMPTY (&service->upstreams))
    return;
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, registry->services, service);
  free (service->name);
  free (service);
}

static void
join_service (marjoram_registry *registry,
              struct marjoram_registered *upstream)
{
  if (upstream->service
      && strcmp (upstream->service->name, upstream->news.service) == 0)
    return;
  leave_service (registry, upstream);
  upstream->service = find_or_add_service (registry, upstream->news.service);
  TAILQ_INSERT_TAIL (&upstream->service->upstreams, upstream, service_link);
  upstream->service->count++;
}

static void
remove_upstream (marjoram_registry *registry,
                 struct marjoram_registered *upstream)
{
  leave_service (registry, upstream);
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, registry->by_id, upstream);
  TAILQ_REMOVE (&registry->list, upstream, link);
  free (upstream);
}

void
marjoram_registry_destroy (marjoram_registry *registry)
{
  if (!registry)
    return;
  while (!TAILQ_EMPTY (&registry->list))
    remove_upstream (registry, TAILQ_FIRST (&registry->list));
  free (registry);
}

struct marjoram_registered *
marjoram_registry_find (const marjoram_registry *registry, const char *id)
{
  struct marjoram_registered *upstream;

  HASH_FIND_STR (registry->by_id, id, upstream);
  return upstream;
}

struct marjoram_registered_list *
marjoram_registry_all (marjoram_registry *registry)
{
  return &registry->list;
}

struct marjoram_registered_list *
marjoram_registry_of_service (marjoram_registry *registry, const char *service)
{
  struct marjoram_registered_service *found;

  HASH_FIND_STR (registry->services, service, found);
  return found ? &found->upstreams : NULL;
}

size_t
marjoram_registry_service_count (const marjoram_registry *registry,
                                 const char *service)
{
  struct marjoram_registered_service *found;

  HASH_FIND_STR (registry->services, service, found);
  return found ? found->count : 0;
}

static void
store_news (marjoram_registry *registry, struct marjoram_registered *upstream,
            int64_t now, const struct marjoram_upstream_heartbeat *news,
            int64_t age_ms)
{
  int64_t heard_at = now - age_ms;

  upstream->news = *news;
  upstream->heard_at = heard_at;
  upstream->cold_until = news->cold_ms > 0 ? heard_at + news->cold_ms : 0;
  upstream->ends_at
      = news->ends_ms >= 0 ? heard_at + news->ends_ms : INT64_MAX;
  join_service (registry, upstream);
}

/* A delayed heartbeat may carry an address that a later instance has taken
   over; the most recently started instance keeps the address.  */
static bool
claim_address (marjoram_registry *registry,
               const struct marjoram_upstream_heartbeat *news)
{
  struct marjoram_registered *other;

  TAILQ_FOREACH (other, &registry->list, link)
  {
    if (other->news.state == MARJORAM_UPSTREAM_GONE
        || strcmp (other->news.address, news->address) != 0
        || strcmp (other->news.id, news->id) == 0)
      continue;
    if (news->born < other->news.born)
      return false;
    if (news->born > other->news.born)
      other->news.state = MARJORAM_UPSTREAM_GONE;
  }
  return true;
}

static enum marjoram_registry_result
add (marjoram_registry *registry, int64_t now,
     const struct marjoram_upstream_heartbeat *news, int64_t age_ms)
{
  struct marjoram_registered *upstream;

  /* A deregistration of an unknown upstream is recorded too, as delayed
     heartbeats may follow it.  */
  if (news->state != MARJORAM_UPSTREAM_GONE && !claim_address (registry, news))
    return MARJORAM_REGISTRY_STALE;
  upstream = marjoram_alloc (sizeof *upstream);
  upstream->direct_heard_at = INT64_MIN;
  store_news (registry, upstream, now, news, age_ms);
  TAILQ_INSERT_TAIL (&registry->list, upstream, link);
  HASH_ADD_STR (registry->by_id, news.id, upstream);
  return MARJORAM_REGISTRY_CHANGED;
}

static enum marjoram_registry_result
leave (struct marjoram_registered *upstream,
       const struct marjoram_upstream_heartbeat *news)
{
  if (upstream->news.state == MARJORAM_UPSTREAM_GONE
      || (news->born != 0 && news->born < upstream->news.born))
    return MARJORAM_REGISTRY_STALE;
  upstream->news.state = MARJORAM_UPSTREAM_GONE;
  return MARJORAM_REGISTRY_CHANGED;
}

/* The state of an instance only moves forward, so that a reordered heartbeat
   does not undo a deregistration.  */
static enum marjoram_registry_result
renew (marjoram_registry *registry, struct marjoram_registered *upstream,
       int64_t now, const struct marjoram_upstream_heartbeat *news,
       int64_t age_ms)
{
  enum marjoram_upstream_state before = upstream->news.state;
  bool moved = strcmp (upstream->news.address, news->address) != 0
               || strcmp (upstream->news.service, news->service) != 0;

  if (before == MARJORAM_UPSTREAM_GONE
      || news->sequence <= upstream->news.sequence)
    return MARJORAM_REGISTRY_STALE;
  store_news (registry, upstream, now, news, age_ms);
  if (upstream->news.state < before)
    upstream->news.state = before;
  return upstream->news.state != before || moved || news->cold_ms > 0
             ? MARJORAM_REGISTRY_CHANGED
             : MARJORAM_REGISTRY_RENEWED;
}

enum marjoram_registry_result
marjoram_registry_update (marjoram_registry *registry, int64_t now,
                          const struct marjoram_upstream_heartbeat *news,
                          int64_t age_ms)
{
  struct marjoram_registered *upstream
      = marjoram_registry_find (registry, news->id);

  if (now - age_ms > registry->heard_at)
    registry->heard_at = now - age_ms;
  if (!upstream)
    return add (registry, now, news, age_ms);
  if (news->state == MARJORAM_UPSTREAM_GONE)
    return leave (upstream, news);
  if (news->born < upstream->news.born)
    return MARJORAM_REGISTRY_STALE;
  if (news->born > upstream->news.born)
    {
      if (!claim_address (registry, news))
        return MARJORAM_REGISTRY_STALE;
      store_news (registry, upstream, now, news, age_ms);
      return MARJORAM_REGISTRY_CHANGED;
    }
  return renew (registry, upstream, now, news, age_ms);
}

size_t
marjoram_registry_count (const marjoram_registry *registry)
{
  return HASH_COUNT (registry->by_id);
}

/* Silence only counts relative to other upstreams: a host partitioned from the
   keepers receives no heartbeats and continues to use all upstreams.  */
bool
marjoram_registry_usable (const marjoram_registry *registry,
                          const struct marjoram_registered *upstream,
                          int64_t now)
{
  return upstream->news.state == MARJORAM_UPSTREAM_READY
         && upstream->ends_at == INT64_MAX
         && upstream->heard_at > registry->heard_at - SILENT_MS
         && now - upstream->heard_at < FORGET_MS;
}

void
marjoram_registry_tick (marjoram_registry *registry, int64_t now)
{
  struct marjoram_registered *upstream = TAILQ_FIRST (&registry->list);

  while (upstream)
    {
      struct marjoram_registered *next = TAILQ_NEXT (upstream, link);

      if (now - upstream->heard_at > FORGET_MS
          && registry->heard_at - upstream->heard_at > SILENT_MS)
        remove_upstream (registry, upstream);
      upstream = next;
    }
}

static int64_t
remaining_ms (int64_t until, int64_t now)
{
  return until > now ? until - now : 0;
}

void
marjoram_registry_pack (const struct marjoram_registered *upstream,
                        int64_t now, struct marjoram_news_item *item)
{
  const struct marjoram_upstream_heartbeat *news = &upstream->news;

  *item = (struct marjoram_news_item){
    .id = (char *)news->id,
    .service = (char *)news->service,
    .address = (char *)news->address,
    .zone = (char *)news->zone,
    .state = news->state,
    .born = news->born,
    .sequence = news->sequence,
    .cold_ms = remaining_ms (upstream->cold_until, now),
    .ends_ms = upstream->ends_at == INT64_MAX
                   ? -1
                   : remaining_ms (upstream->ends_at, now),
    .age_ms = now - upstream->heard_at,
    .slots = news->slots,
  };
}

static bool
copy_id (char target[MARJORAM_ID_MAX], const char *text)
{
  if (!text || strlen (text) >= MARJORAM_ID_MAX)
    return false;
  snprintf (target, MARJORAM_ID_MAX, "%s", text);
  return true;
}

bool
marjoram_registry_unpack (const struct marjoram_news_item *item,
                          struct marjoram_upstream_heartbeat *news)
{
  memset (news, 0, sizeof *news);
  if (!copy_id (news->id, item->id) || !copy_id (news->service, item->service)
      || !copy_id (news->address, item->address)
      || !copy_id (news->zone, item->zone)
      || item->state > MARJORAM_UPSTREAM_GONE || item->age_ms < 0)
    return false;
  news->state = (enum marjoram_upstream_state)item->state;
  news->born = item->born;
  news->sequence = item->sequence;
  /* Both are relative to the time of sending, whereas the record counts from
     reception by the keeper.  */
  news->cold_ms = item->cold_ms > 0 ? item->cold_ms + item->age_ms : 0;
  news->ends_ms = item->ends_ms >= 0 ? item->ends_ms + item->age_ms : -1;
  news->slots = item->slots;
  return true;
}
