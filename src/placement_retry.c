#include "placement_private.h"
#include "retry_after.h"

#include <string.h>

enum
{
  /* Interval between requests to an upstream whose Retry-After has passed,
     until one of them is answered: all hosts that it turned away may come
     back at the same moment.  */
  TRIAL_INTERVAL_MS = 100,
  /* Minimum wait after a refusal, doubled with each one in a row up to
     BACKOFF_MAX_MS: an upstream that refuses everything runs nothing, and
     would otherwise be the first choice each time that it has waited.  */
  BACKOFF_MS = 100,
  BACKOFF_MAX_MS = 2000
};

static int64_t
backoff_ms (int refusals)
{
  int64_t ms = BACKOFF_MS;

  for (int i = 1; i < refusals && ms < BACKOFF_MAX_MS; i++)
    ms *= 2;
  return ms < BACKOFF_MAX_MS ? ms : BACKOFF_MAX_MS;
}

int64_t
marjoram_endpoint_retry_wait_ms (const struct marjoram_endpoint *endpoint,
                                 int64_t now)
{
  const int64_t next_trial_at = endpoint->retry.tried_at + TRIAL_INTERVAL_MS;

  if (now < endpoint->retry.at)
    return endpoint->retry.at - now;
  return endpoint->retry.refusals > 0 && now < next_trial_at
             ? next_trial_at - now
             : 0;
}

void
marjoram_endpoint_clear_retry (struct marjoram_endpoint *endpoint)
{
  memset (&endpoint->retry, 0, sizeof endpoint->retry);
}

void
marjoram_endpoint_add_statements (struct marjoram_endpoint *endpoint,
                                  int64_t now, struct marjoram_load_item *item)
{
  item->leaving = endpoint->report_leaving;
  if (endpoint->retry.report && now < endpoint->retry.at)
    item->retry_ms = (uint64_t)(endpoint->retry.at - now);
  if (item->leaving || item->retry_ms > 0)
    item->started_at = endpoint->instance_started_at;
  endpoint->report_leaving = false;
  endpoint->retry.report = false;
}

void
marjoram_endpoint_learn_statements (marjoram_placement *placement,
                                    struct marjoram_endpoint *endpoint,
                                    int64_t now,
                                    const struct marjoram_load_item *item)
{
  const int64_t retry_ms = item->retry_ms < MARJORAM_RETRY_AFTER_MAX_MS
                               ? (int64_t)item->retry_ms
                               : MARJORAM_RETRY_AFTER_MAX_MS;

  if (item->leaving)
    marjoram_registry_set_leaving (placement->options.registry, now,
                                   endpoint->id, item->started_at);
  if (retry_ms > 0 && item->started_at == endpoint->instance_started_at
      && now + retry_ms > endpoint->retry.others_at)
    endpoint->retry.others_at = now + retry_ms;
}

void
marjoram_attempt_end_trial (const struct marjoram_placed_attempt *attempt)
{
  if (attempt->started_at >= attempt->endpoint->retry.at)
    attempt->endpoint->retry.refusals = 0;
}

bool
marjoram_placement_set_retry_after (marjoram_placement *placement, int64_t now,
                                    uint64_t number, int64_t retry_after_ms)
{
  struct marjoram_placed_attempt *attempt
      = marjoram_placement_find_attempt (placement, number);
  const struct marjoram_registered *upstream;
  struct marjoram_endpoint *endpoint;
  int64_t wait_ms;

  if (!attempt)
    return false;
  endpoint = attempt->endpoint;
  upstream
      = marjoram_registry_find (placement->options.registry, endpoint->id);
  if (upstream)
    marjoram_endpoint_of (placement, upstream);
  if (endpoint->instance_started_at != attempt->instance_started_at)
    return false;
  if (attempt->started_at >= endpoint->retry.at)
    endpoint->retry.refusals++;
  wait_ms = backoff_ms (endpoint->retry.refusals);
  if (retry_after_ms > wait_ms)
    wait_ms = retry_after_ms;
  if (now + wait_ms <= endpoint->retry.at)
    return false;
  endpoint->retry.at = now + wait_ms;
  endpoint->retry.report = true;
  marjoram_endpoint_set_active (placement, endpoint);
  return true;
}
