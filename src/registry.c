#include "registry.h"

#include "cleanup.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum
{
  /* Five heartbeat intervals of 1.2 s: tolerates two lost heartbeats and one
     that is a second late.  */
  SILENT_MS = 6000,
  /* Records outlive delayed heartbeats, so that outdated ones are
     recognized.  */
  FORGET_MS = 60000,
  /* For upstreams whose answers said that they leave: no heartbeat would tell
     it again.  */
  FORGET_LEAVING_MS = 600000,
  /* Time for which an upstream whose keeper is unreachable counts as alive
     without heartbeats.  */
  LIMBO_MAX_MS = 20000,
  /* Records checked for removal per tick.  */
  CHECKS_PER_TICK = 16,
  /* Well below the 3 s for which leaving upstreams serve on.  */
  STILL_SERVES_MS = 1500
};

struct marjoram_registered_service
{
  char *name;
  struct marjoram_registered_list upstreams;
  size_t count;
  char *build;        /* heard last */
  int64_t changed_at; /* a build other than the one before was heard */
  UT_hash_handle hh;
};

struct marjoram_registered_address
{
  char *name;
  struct marjoram_registered_list upstreams;
  UT_hash_handle hh;
};

struct marjoram_registry
{
  struct marjoram_registered_service *services;
  struct marjoram_registered_address *addresses;
  struct marjoram_registered_list list;
  struct marjoram_registered_list checked; /* least recently checked first */
  struct marjoram_registered *by_id;
  int64_t received_at; /* latest heartbeat of any upstream */
  bool uses_summaries;
  int64_t vouched_at; /* all vouched upstreams were alive then */
  /* All upstreams since then are, or were, in the list; INT64_MAX: not known.
   */
  int64_t known_since;
  int64_t emptied_at; /* the last upstream of some service was dropped */
  struct marjoram_registry_digest digest;
};

marjoram_registry *
marjoram_registry_create (void)
{
  marjoram_registry *registry = marjoram_alloc (sizeof *registry);

  TAILQ_INIT (&registry->list);
  TAILQ_INIT (&registry->checked);
  registry->received_at = INT64_MIN / 2;
  registry->vouched_at = INT64_MIN / 2;
  registry->known_since = INT64_MAX;
  registry->emptied_at = INT64_MIN;
  return registry;
}

/* A service that has lost all its upstreams may have had another build.  */
static struct marjoram_registered_service *
find_or_add_service (marjoram_registry *registry, const char *name)
{
  struct marjoram_registered_service *service;

  HASH_FIND_STR (registry->services, name, service);
  if (service)
    return service;
  service = marjoram_alloc (sizeof *service);
  service->name = marjoram_strdup (name);
  service->changed_at = registry->emptied_at;
  TAILQ_INIT (&service->upstreams);
  HASH_ADD_KEYPTR (hh, registry->services, service->name,
                   strlen (service->name), service);
  return service;
}

static void
leave_service (marjoram_registry *registry, int64_t now,
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
  registry->emptied_at = now;
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, registry->services, service);
  free (service->build);
  free (service->name);
  free (service);
}

static void
join_service (marjoram_registry *registry, int64_t now,
              struct marjoram_registered *upstream)
{
  if (upstream->service
      && strcmp (upstream->service->name, upstream->heartbeat.service) == 0)
    return;
  leave_service (registry, now, upstream);
  upstream->service
      = find_or_add_service (registry, upstream->heartbeat.service);
  TAILQ_INSERT_TAIL (&upstream->service->upstreams, upstream, service_link);
  upstream->service->count++;
}

static struct marjoram_registered_address *
find_or_add_address (marjoram_registry *registry, const char *name)
{
  struct marjoram_registered_address *address;

  HASH_FIND_STR (registry->addresses, name, address);
  if (address)
    return address;
  address = marjoram_alloc (sizeof *address);
  address->name = marjoram_strdup (name);
  TAILQ_INIT (&address->upstreams);
  HASH_ADD_KEYPTR (hh, registry->addresses, address->name,
                   strlen (address->name), address);
  return address;
}

static void
leave_address (marjoram_registry *registry,
               struct marjoram_registered *upstream)
{
  struct marjoram_registered_address *address = upstream->address;

  upstream->address = NULL;
  if (!address)
    return;
  TAILQ_REMOVE (&address->upstreams, upstream, address_link);
  if (!TAILQ_EMPTY (&address->upstreams))
    return;
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, registry->addresses, address);
  free (address->name);
  free (address);
}

static void
join_address (marjoram_registry *registry,
              struct marjoram_registered *upstream)
{
  if (upstream->address
      && strcmp (upstream->address->name, upstream->heartbeat.address) == 0)
    return;
  leave_address (registry, upstream);
  upstream->address
      = find_or_add_address (registry, upstream->heartbeat.address);
  TAILQ_INSERT_TAIL (&upstream->address->upstreams, upstream, address_link);
}

uint64_t
marjoram_registered_digest (const struct marjoram_registered *upstream)
{
  const struct marjoram_upstream_heartbeat *heartbeat = &upstream->heartbeat;
  const uint64_t instance = XXH3_64bits_withSeed (
      heartbeat->id, strlen (heartbeat->id), (uint64_t)heartbeat->started_at);

  const uint64_t state = XXH3_64bits_withSeed (&instance, sizeof instance,
                                               (uint64_t)heartbeat->state);

  return *heartbeat->build ? XXH3_64bits_withSeed (
             heartbeat->build, strlen (heartbeat->build), state)
                           : state;
}

/* Sets whether UPSTREAM is vouched for and brings the digest up to date.  */
static void
set_vouched (marjoram_registry *registry, struct marjoram_registered *upstream,
             bool vouched)
{
  registry->digest.sum -= upstream->digest;
  registry->digest.count -= upstream->is_vouched;
  upstream->is_vouched
      = vouched && upstream->heartbeat.state != MARJORAM_UPSTREAM_GONE;
  upstream->digest
      = upstream->is_vouched ? marjoram_registered_digest (upstream) : 0;
  registry->digest.sum += upstream->digest;
  registry->digest.count += upstream->is_vouched;
}

static void
remove_upstream (marjoram_registry *registry, int64_t now,
                 struct marjoram_registered *upstream)
{
  set_vouched (registry, upstream, false);
  leave_service (registry, now, upstream);
  leave_address (registry, upstream);
  TAILQ_REMOVE (&registry->checked, upstream, checked_link);
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
    remove_upstream (registry, 0, TAILQ_FIRST (&registry->list));
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

struct marjoram_registered_list *
marjoram_registry_of_address (marjoram_registry *registry, const char *address)
{
  struct marjoram_registered_address *found;

  HASH_FIND_STR (registry->addresses, address, found);
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

const char *
marjoram_registry_only_build (const marjoram_registry *registry,
                              const char *service, int64_t since)
{
  const struct marjoram_registered *upstream;
  struct marjoram_registered_service *found;
  const char *build = NULL;

  HASH_FIND_STR (registry->services, service, found);
  if (!found || since < registry->known_since || since < found->changed_at)
    return NULL;
  TAILQ_FOREACH (upstream, &found->upstreams, service_link)
  {
    if (build && strcmp (build, upstream->heartbeat.build) != 0)
      return NULL;
    build = upstream->heartbeat.build;
  }
  return build;
}

void
marjoram_registry_set_known (marjoram_registry *registry, int64_t since)
{
  if (since < registry->known_since)
    registry->known_since = since;
}

void
marjoram_registry_set_known_from_start (marjoram_registry *registry,
                                        int64_t started_at)
{
  marjoram_registry_set_known (registry, started_at + SILENT_MS);
}

int64_t
marjoram_registry_known_ms (const marjoram_registry *registry, int64_t now)
{
  if (registry->known_since < now - FORGET_MS)
    return FORGET_MS;
  return now - registry->known_since;
}

/* An upstream that starts again under its id may be of another build.  */
static void
note_build (struct marjoram_registered_service *service, int64_t now,
            const char *build)
{
  if (service->build && strcmp (service->build, build) == 0)
    return;
  if (service->build)
    service->changed_at = now;
  free (service->build);
  service->build = marjoram_strdup (build);
}

static void
store_heartbeat (marjoram_registry *registry,
                 struct marjoram_registered *upstream, int64_t now,
                 const struct marjoram_upstream_heartbeat *heartbeat,
                 int64_t age_ms)
{
  int64_t received_at = now - age_ms;

  upstream->heartbeat = *heartbeat;
  upstream->received_at = received_at;
  upstream->cold_until
      = heartbeat->cold_ms > 0 ? received_at + heartbeat->cold_ms : 0;
  upstream->ends_at
      = heartbeat->ends_ms >= 0 ? received_at + heartbeat->ends_ms : INT64_MAX;
  join_service (registry, now, upstream);
  join_address (registry, upstream);
  note_build (upstream->service, now, heartbeat->build);
}

/* A delayed heartbeat may carry an address that a later instance has taken
   over; the most recently started instance keeps the address.  */
static bool
claim_address (marjoram_registry *registry,
               const struct marjoram_upstream_heartbeat *heartbeat)
{
  struct marjoram_registered_list *others
      = marjoram_registry_of_address (registry, heartbeat->address);
  struct marjoram_registered *other;

  if (!others)
    return true;
  TAILQ_FOREACH (other, others, address_link)
  {
    if (other->heartbeat.state == MARJORAM_UPSTREAM_GONE
        || strcmp (other->heartbeat.id, heartbeat->id) == 0)
      continue;
    if (heartbeat->started_at < other->heartbeat.started_at)
      return false;
    if (heartbeat->started_at > other->heartbeat.started_at)
      {
        other->heartbeat.state = MARJORAM_UPSTREAM_GONE;
        set_vouched (registry, other, false);
      }
  }
  return true;
}

static enum marjoram_registry_result
add (marjoram_registry *registry, int64_t now,
     const struct marjoram_upstream_heartbeat *heartbeat, int64_t age_ms)
{
  struct marjoram_registered *upstream;

  /* A deregistration of an unknown upstream is recorded too, as delayed
     heartbeats may follow it.  */
  if (heartbeat->state != MARJORAM_UPSTREAM_GONE
      && !claim_address (registry, heartbeat))
    return MARJORAM_REGISTRY_STALE;
  upstream = marjoram_alloc (sizeof *upstream);
  upstream->direct_received_at = INT64_MIN;
  upstream->leaving_at = INT64_MIN;
  TAILQ_INSERT_TAIL (&registry->checked, upstream, checked_link);
  store_heartbeat (registry, upstream, now, heartbeat, age_ms);
  TAILQ_INSERT_TAIL (&registry->list, upstream, link);
  HASH_ADD_STR (registry->by_id, heartbeat.id, upstream);
  return MARJORAM_REGISTRY_CHANGED;
}

static enum marjoram_registry_result
leave (struct marjoram_registered *upstream,
       const struct marjoram_upstream_heartbeat *heartbeat)
{
  if (upstream->heartbeat.state == MARJORAM_UPSTREAM_GONE
      || (heartbeat->started_at != 0
          && heartbeat->started_at < upstream->heartbeat.started_at))
    return MARJORAM_REGISTRY_STALE;
  upstream->heartbeat.state = MARJORAM_UPSTREAM_GONE;
  return MARJORAM_REGISTRY_CHANGED;
}

/* The state of an instance only moves forward, so that a reordered heartbeat
   does not undo a deregistration.  */
static enum marjoram_registry_result
renew (marjoram_registry *registry, struct marjoram_registered *upstream,
       int64_t now, const struct marjoram_upstream_heartbeat *heartbeat,
       int64_t age_ms)
{
  enum marjoram_upstream_state before = upstream->heartbeat.state;
  bool differs
      = strcmp (upstream->heartbeat.address, heartbeat->address) != 0
        || strcmp (upstream->heartbeat.service, heartbeat->service) != 0
        || strcmp (upstream->heartbeat.build, heartbeat->build) != 0;

  if (before == MARJORAM_UPSTREAM_GONE
      || heartbeat->sequence <= upstream->heartbeat.sequence)
    return MARJORAM_REGISTRY_STALE;
  store_heartbeat (registry, upstream, now, heartbeat, age_ms);
  if (upstream->heartbeat.state < before)
    upstream->heartbeat.state = before;
  if (before == MARJORAM_UPSTREAM_READY
      && upstream->heartbeat.state == MARJORAM_UPSTREAM_LEAVING
      && !upstream->is_told_leaving)
    upstream->leaving_at = upstream->received_at;
  return upstream->heartbeat.state != before || differs
                 || heartbeat->cold_ms > 0
             ? MARJORAM_REGISTRY_CHANGED
             : MARJORAM_REGISTRY_RENEWED;
}

static enum marjoram_registry_result
apply_heartbeat (marjoram_registry *registry, int64_t now,
                 const struct marjoram_upstream_heartbeat *heartbeat,
                 int64_t age_ms)
{
  struct marjoram_registered *upstream
      = marjoram_registry_find (registry, heartbeat->id);

  if (now - age_ms > registry->received_at)
    registry->received_at = now - age_ms;
  if (!upstream)
    return add (registry, now, heartbeat, age_ms);
  if (heartbeat->state == MARJORAM_UPSTREAM_GONE)
    return leave (upstream, heartbeat);
  if (heartbeat->started_at < upstream->heartbeat.started_at)
    return MARJORAM_REGISTRY_STALE;
  if (heartbeat->started_at > upstream->heartbeat.started_at)
    {
      if (!claim_address (registry, heartbeat))
        return MARJORAM_REGISTRY_STALE;
      store_heartbeat (registry, upstream, now, heartbeat, age_ms);
      upstream->leaving_at = INT64_MIN;
      upstream->is_told_leaving = false;
      return MARJORAM_REGISTRY_CHANGED;
    }
  return renew (registry, upstream, now, heartbeat, age_ms);
}

enum marjoram_registry_result
marjoram_registry_update (marjoram_registry *registry, int64_t now,
                          const struct marjoram_upstream_heartbeat *heartbeat,
                          int64_t age_ms)
{
  enum marjoram_registry_result result
      = apply_heartbeat (registry, now, heartbeat, age_ms);
  struct marjoram_registered *upstream
      = marjoram_registry_find (registry, heartbeat->id);

  /* A snapshot may name an upstream with the heartbeat that is known.  */
  if (!upstream || heartbeat->started_at != upstream->heartbeat.started_at
      || heartbeat->sequence < upstream->heartbeat.sequence)
    return result;
  upstream->named_at = now;
  set_vouched (registry, upstream, age_ms <= MARJORAM_VOUCHED_AGE_MS);
  return result;
}

size_t
marjoram_registry_count (const marjoram_registry *registry)
{
  return HASH_COUNT (registry->by_id);
}

int64_t
marjoram_registry_heard_at (const marjoram_registry *registry,
                            const struct marjoram_registered *upstream)
{
  return upstream->is_vouched && registry->vouched_at > upstream->received_at
             ? registry->vouched_at
             : upstream->received_at;
}

/* Silence only counts relative to other upstreams: a host partitioned from the
   keepers receives no heartbeats and continues to use all upstreams.  With
   summaries, silent upstreams are named.  */
static bool
is_silent (const marjoram_registry *registry,
           const struct marjoram_registered *upstream)
{
  return !(registry->uses_summaries && upstream->is_vouched)
         && upstream->received_at <= registry->received_at - SILENT_MS;
}

bool
marjoram_registry_usable (const marjoram_registry *registry,
                          const struct marjoram_registered *upstream,
                          int64_t now)
{
  return upstream->heartbeat.state == MARJORAM_UPSTREAM_READY
         && !upstream->is_told_leaving && upstream->ends_at == INT64_MAX
         && !is_silent (registry, upstream)
         && now - marjoram_registry_heard_at (registry, upstream) < FORGET_MS;
}

bool
marjoram_registry_set_leaving (marjoram_registry *registry, int64_t now,
                               const char *id, int64_t started_at)
{
  struct marjoram_registered *upstream = marjoram_registry_find (registry, id);

  if (!upstream || upstream->heartbeat.started_at != started_at
      || upstream->is_told_leaving)
    return false;
  upstream->is_told_leaving = true;
  if (upstream->heartbeat.state == MARJORAM_UPSTREAM_READY)
    upstream->leaving_at = now;
  return true;
}

bool
marjoram_registry_still_serves (const marjoram_registry *registry,
                                const struct marjoram_registered *upstream,
                                int64_t now)
{
  return (upstream->heartbeat.state == MARJORAM_UPSTREAM_LEAVING
          || (upstream->is_told_leaving
              && upstream->heartbeat.state == MARJORAM_UPSTREAM_READY))
         && upstream->leaving_at != INT64_MIN
         && now < upstream->leaving_at + STILL_SERVES_MS
         && upstream->ends_at == INT64_MAX && !is_silent (registry, upstream);
}

static bool
is_forgotten (const marjoram_registry *registry,
              const struct marjoram_registered *upstream, int64_t now)
{
  const int64_t heard_at = marjoram_registry_heard_at (registry, upstream);

  return now - heard_at
             > (upstream->is_told_leaving ? FORGET_LEAVING_MS : FORGET_MS)
         && registry->received_at - heard_at > SILENT_MS;
}

void
marjoram_registry_tick (marjoram_registry *registry, int64_t now)
{
  size_t checks = marjoram_registry_count (registry);

  if (checks > CHECKS_PER_TICK)
    checks = CHECKS_PER_TICK;
  for (; checks > 0; checks--)
    {
      struct marjoram_registered *upstream = TAILQ_FIRST (&registry->checked);

      TAILQ_REMOVE (&registry->checked, upstream, checked_link);
      TAILQ_INSERT_TAIL (&registry->checked, upstream, checked_link);
      if (is_forgotten (registry, upstream, now))
        remove_upstream (registry, now, upstream);
    }
}

/* ---- Renewal by summaries.  ---- */

void
marjoram_registry_use_summaries (marjoram_registry *registry, bool use)
{
  registry->uses_summaries = use;
}

void
marjoram_registry_vouch (marjoram_registry *registry, int64_t now,
                         int64_t within_ms)
{
  registry->vouched_at = now - within_ms;
  registry->received_at = now;
}

void
marjoram_registry_set_silent (marjoram_registry *registry, int64_t now,
                              const char *id, int64_t age_ms)
{
  struct marjoram_registered *upstream = marjoram_registry_find (registry, id);

  if (!upstream)
    return;
  if (now - age_ms > upstream->received_at)
    upstream->received_at = now - age_ms;
  set_vouched (registry, upstream, false);
}

void
marjoram_registry_unvouch_before (marjoram_registry *registry, int64_t since)
{
  struct marjoram_registered *upstream;

  TAILQ_FOREACH (upstream, &registry->list, link)
  if (upstream->named_at < since)
    set_vouched (registry, upstream, false);
}

struct marjoram_registry_digest
marjoram_registry_digest (const marjoram_registry *registry)
{
  return registry->digest;
}

bool
marjoram_registered_is_live (const struct marjoram_registered *upstream,
                             int64_t now)
{
  const int64_t age_ms = now - upstream->received_at;

  return age_ms <= MARJORAM_VOUCHED_AGE_MS
         || (age_ms <= LIMBO_MAX_MS && now < upstream->limbo_until);
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
  const struct marjoram_upstream_heartbeat *heartbeat = &upstream->heartbeat;
  int64_t age_ms = now - upstream->received_at;

  if (age_ms > MARJORAM_VOUCHED_AGE_MS
      && marjoram_registered_is_live (upstream, now))
    age_ms = MARJORAM_VOUCHED_AGE_MS;

  *item = (struct marjoram_news_item){
    .id = (char *)heartbeat->id,
    .service = (char *)heartbeat->service,
    .address = (char *)heartbeat->address,
    .zone = (char *)heartbeat->zone,
    .state = heartbeat->state,
    .started_at = heartbeat->started_at,
    .sequence = heartbeat->sequence,
    .cold_ms = remaining_ms (upstream->cold_until, now),
    .ends_ms = upstream->ends_at == INT64_MAX
                   ? -1
                   : remaining_ms (upstream->ends_at, now),
    .age_ms = age_ms,
    .slots = heartbeat->slots,
    .build = (char *)heartbeat->build,
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
                          struct marjoram_upstream_heartbeat *heartbeat)
{
  memset (heartbeat, 0, sizeof *heartbeat);
  if (!copy_id (heartbeat->id, item->id)
      || !copy_id (heartbeat->service, item->service)
      || !copy_id (heartbeat->address, item->address)
      || !copy_id (heartbeat->zone, item->zone)
      || !copy_id (heartbeat->build, item->build ? item->build : "")
      || item->state > MARJORAM_UPSTREAM_GONE || item->age_ms < 0)
    return false;
  heartbeat->state = (enum marjoram_upstream_state)item->state;
  heartbeat->started_at = item->started_at;
  heartbeat->sequence = item->sequence;
  /* Both are relative to the time of sending, whereas the record counts from
     reception by the keeper.  */
  heartbeat->cold_ms = item->cold_ms > 0 ? item->cold_ms + item->age_ms : 0;
  heartbeat->ends_ms = item->ends_ms >= 0 ? item->ends_ms + item->age_ms : -1;
  heartbeat->slots = item->slots;
  return true;
}
