#include "placement_private.h"

#include <string.h>

void
marjoram_placement_set_silence (marjoram_placement *placement,
                                const char *upstream,
                                enum marjoram_silence silence)
{
  struct marjoram_endpoint *endpoint;

  if (silence != MARJORAM_SILENCE_NONE)
    marjoram_endpoint_find_or_add (placement, upstream)->silence = silence;
  else
    {
      HASH_FIND_STR (placement->endpoints, upstream, endpoint);
      if (endpoint)
        endpoint->silence = MARJORAM_SILENCE_NONE;
    }
}

/* Whether UPSTREAM, other than ID, should be alive.  */
static bool
is_sound (const marjoram_placement *placement,
          const struct marjoram_registered *upstream, const char *id)
{
  const struct marjoram_placement_options *options = &placement->options;
  const char *region
      = options->region_of (options->context, upstream->heartbeat.zone);
  const struct marjoram_endpoint *endpoint;

  HASH_FIND_STR (placement->endpoints, upstream->heartbeat.id, endpoint);
  return strcmp (upstream->heartbeat.id, id) != 0
         && upstream->heartbeat.state == MARJORAM_UPSTREAM_READY && region
         && strcmp (region, placement->region) == 0
         && (!endpoint || endpoint->silence == MARJORAM_SILENCE_NONE);
}

const char *
marjoram_placement_find_other (marjoram_placement *placement, const char *id,
                               uint64_t number)
{
  struct marjoram_registered_list *all
      = marjoram_registry_all (placement->options.registry);
  const struct marjoram_registered *upstream;
  uint64_t count = 0;

  TAILQ_FOREACH (upstream, all, link)
  count += is_sound (placement, upstream, id);
  if (count == 0)
    return NULL;
  number %= count;
  TAILQ_FOREACH (upstream, all, link)
  if (is_sound (placement, upstream, id) && number-- == 0)
    return upstream->heartbeat.address;
  return NULL;
}

void
marjoram_placement_head_received (marjoram_placement *placement, int64_t now,
                                  uint64_t number)
{
  struct marjoram_placed_attempt *attempt
      = marjoram_placement_find_attempt (placement, number);

  if (attempt)
    attempt->endpoint->head_received_at = now;
}

/* When the first event of an attempt at ENDPOINT was expected; 0 if one of
   them has begun.  */
static int64_t
due_at (const struct marjoram_endpoint *endpoint)
{
  const struct marjoram_placed_attempt *attempt;
  int64_t unanswered = 0;
  int64_t first = INT64_MAX;

  TAILQ_FOREACH (attempt, &endpoint->unanswered, link)
  {
    const int64_t due = attempt->started_at + attempt->expected_ms;

    unanswered++;
    if (due < first)
      first = due;
  }
  return unanswered < endpoint->own.running ? 0 : first;
}

size_t
marjoram_placement_awaited_max (const marjoram_placement *placement)
{
  return marjoram_placement_active_count (placement);
}

size_t
marjoram_placement_find_awaited (marjoram_placement *placement,
                                 struct marjoram_awaited_upstream *found,
                                 size_t max)
{
  const struct marjoram_endpoint *endpoint;
  size_t count = 0;

  TAILQ_FOREACH (endpoint, &placement->active, active_link)
  {
    const struct marjoram_registered *upstream;

    if (endpoint->own.running == 0 || count == max)
      continue;
    upstream
        = marjoram_registry_find (placement->options.registry, endpoint->id);
    if (!upstream)
      continue;
    found[count++] = (struct marjoram_awaited_upstream){
      .id = endpoint->id,
      .started_at = upstream->heartbeat.started_at,
      .address = upstream->heartbeat.address,
      .waiting = (int)endpoint->own.running,
      .heard_at = endpoint->last_received_at > endpoint->head_received_at
                      ? endpoint->last_received_at
                      : endpoint->head_received_at,
      .due_at = due_at (endpoint),
    };
  }
  return count;
}
