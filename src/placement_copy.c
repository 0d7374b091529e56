#include "placement_copy.h"

#include <string.h>

enum
{
  /* Below this, prefill is as fast as setting up a copy.  */
  COPY_TOKENS_MIN = 64
};

#define COPY_SETUP_MS 1.3

static bool
is_in_group (const struct marjoram_copy_group *group,
             const struct marjoram_registered *upstream)
{
  return strcmp (group->zone, upstream->heartbeat.zone) == 0
         && strcmp (group->build, upstream->heartbeat.build) == 0;
}

static struct marjoram_copy_group *
find_or_add_group (struct marjoram_copy_sources *sources,
                   const struct marjoram_registered *upstream)
{
  struct marjoram_copy_group *found;

  for (size_t i = 0; i < sources->group_count; i++)
    if (is_in_group (&sources->groups[i], upstream))
      return &sources->groups[i];
  if (sources->group_count == MARJORAM_COPY_GROUPS_MAX)
    return NULL;
  found = &sources->groups[sources->group_count++];
  memset (found, 0, sizeof *found);
  found->zone = upstream->heartbeat.zone;
  found->build = upstream->heartbeat.build;
  return found;
}

static void
add_source (struct marjoram_copy_group *group,
            const struct marjoram_registered *upstream, int64_t cached)
{
  const struct marjoram_copy_source source = { upstream, cached };

  if (cached > group->first.cached)
    {
      group->second = group->first;
      group->first = source;
    }
  else if (cached > group->second.cached)
    group->second = source;
}

/* An engine whose connections broke may have restarted with an empty cache. */
static bool
may_copy_from (const marjoram_placement *placement,
               const struct marjoram_endpoint *endpoint,
               const struct marjoram_registered *upstream, int64_t now)
{
  const int64_t reported_lost_at
      = marjoram_endpoint_reported_lost_at (endpoint);
  const int64_t lost_at = endpoint->disconnected_at > reported_lost_at
                              ? endpoint->disconnected_at
                              : reported_lost_at;

  return now >= endpoint->paused_until && now >= endpoint->suspected_until
         && endpoint->silence == MARJORAM_SILENCE_NONE
         && marjoram_endpoint_retry_wait_ms (endpoint, now) == 0
         && (lost_at == 0
             || marjoram_registry_heard_at (placement->options.registry,
                                            upstream)
                    > lost_at);
}

void
marjoram_copy_sources_find (struct marjoram_copy_sources *sources,
                            marjoram_placement *placement,
                            const struct marjoram_place_query *query,
                            int64_t now)
{
  struct marjoram_registered_list *upstreams = marjoram_registry_of_service (
      placement->options.registry, query->service->name);
  struct marjoram_registered *upstream;

  sources->group_count = 0;
  if (!upstreams || query->service->engine.copied_per_ms <= 0
      || query->metadata->part_count == 0)
    return;
  TAILQ_FOREACH (upstream, upstreams, service_link)
  {
    struct marjoram_copy_group *group;
    struct marjoram_endpoint *endpoint;

    if (!marjoram_placement_is_candidate (placement, upstream, query, now))
      continue;
    endpoint = marjoram_endpoint_of (placement, upstream);
    group = find_or_add_group (sources, upstream);
    if (group && may_copy_from (placement, endpoint, upstream, now))
      add_source (group, upstream,
                  marjoram_endpoint_cached_tokens (endpoint, query->metadata));
  }
}

static const struct marjoram_copy_source *
source_for (const struct marjoram_copy_sources *sources,
            const struct marjoram_registered *upstream)
{
  for (size_t i = 0; i < sources->group_count; i++)
    if (is_in_group (&sources->groups[i], upstream))
      return sources->groups[i].first.upstream == upstream
                 ? &sources->groups[i].second
                 : &sources->groups[i].first;
  return NULL;
}

void
marjoram_copy_sources_best (const struct marjoram_copy_sources *sources,
                            const struct marjoram_endpoint *endpoint,
                            const struct marjoram_registered *upstream,
                            const struct marjoram_place_query *query,
                            struct marjoram_copy *copy)
{
  const struct marjoram_copy_source *source = source_for (sources, upstream);

  memset (copy, 0, sizeof *copy);
  copy->cached = marjoram_endpoint_cached_tokens (endpoint, query->metadata);
  if (!source || !source->upstream
      || source->cached - copy->cached < COPY_TOKENS_MIN)
    return;
  copy->from = source->upstream;
  copy->tokens = source->cached - copy->cached;
  copy->ms = COPY_SETUP_MS
             + (double)copy->tokens / query->service->engine.copied_per_ms;
}
