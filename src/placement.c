#include "placement_private.h"

#include "cleanup.h"

#include <string.h>

/* Initial estimate of an engine's prefill speed, in tokens per ms.  */
#define INITIAL_TOKENS_PER_MS 40.0
/* Weight of a new sample in the moving means.  */
#define SMOOTHING 0.1
/* Weight of a new first-event delay, which must adapt within a few
   requests.  */
#define DELAY_SMOOTHING 0.3
/* Share of lower-priority prefill tokens that delay an urgent request: it is
   scheduled ahead of queued prompts but not of those in prefill.  */
#define LOWER_PRIORITY_SHARE 0.3

enum
{
  /* Initial estimate of a request's duration.  */
  INITIAL_REQUEST_MS = 20,
  /* Backoff after an upstream reports that it is at capacity: about the
     duration of a request.  */
  CAPACITY_BACKOFF_MS = 50,
  /* Backoff after a connection failure, doubled on each failure up to
     CONNECT_BACKOFF_DOUBLINGS times.  Starts low, so that an upstream that
     restarts within a second or two is found soon.  */
  CONNECT_BACKOFF_MS = 300,
  CONNECT_BACKOFF_DOUBLINGS = 4,
  /* Time for which one request tries an upstream whose connections failed,
     before another one does: that of a connect that times out.  */
  TRIAL_MS = 600,
  /* Consecutive broken responses after which the upstream is suspected: too
     many to be the fault of one request.  */
  BROKEN_RESPONSES_MAX = 3,
  SUSPECT_MS = 500,
  /* Minimum prefill tokens, of a request and the queue ahead of it, from which
     prefill speed is measured.  */
  SPEED_TOKENS_MIN = 1500,
  /* Endpoints checked for removal per tick.  */
  CHECKS_PER_TICK = 16
};

marjoram_placement *
marjoram_placement_create (const struct marjoram_placement_options *options)
{
  marjoram_placement *placement = marjoram_alloc (sizeof *placement);

  placement->options = *options;
  placement->host = marjoram_strdup (options->host);
  placement->region = marjoram_strdup (options->region);
  placement->zone = options->zone ? marjoram_strdup (options->zone) : NULL;
  STAILQ_INIT (&placement->placed);
  TAILQ_INIT (&placement->checked);
  TAILQ_INIT (&placement->active);
  for (int i = 0; i < MARJORAM_LOAD_GROUPS; i++)
    TAILQ_INIT (&placement->collected[i]);
  TAILQ_INIT (&placement->reporters_by_age);
  return placement;
}

void
marjoram_placement_set_features (marjoram_placement *placement,
                                 const struct marjoram_load_features *features)
{
  placement->features = *features;
}

struct marjoram_endpoint *
marjoram_endpoint_find_or_add (marjoram_placement *placement, const char *id)
{
  struct marjoram_endpoint *endpoint;

  HASH_FIND_STR (placement->endpoints, id, endpoint);
  if (endpoint)
    return endpoint;
  endpoint = marjoram_alloc (sizeof *endpoint);
  endpoint->id = marjoram_strdup (id);
  endpoint->cache = marjoram_engine_cache_create ();
  endpoint->instance_started_at = MARJORAM_START_UNKNOWN;
  endpoint->group = marjoram_load_group (id);
  TAILQ_INIT (&endpoint->unanswered);
  HASH_ADD_KEYPTR (hh, placement->endpoints, endpoint->id,
                   strlen (endpoint->id), endpoint);
  TAILQ_INSERT_TAIL (&placement->checked, endpoint, checked_link);
  return endpoint;
}

void
marjoram_endpoint_set_active (marjoram_placement *placement,
                              struct marjoram_endpoint *endpoint)
{
  if (endpoint->is_active)
    return;
  endpoint->is_active = true;
  TAILQ_INSERT_TAIL (&placement->active, endpoint, active_link);
}

void
marjoram_endpoint_set_idle (marjoram_placement *placement,
                            struct marjoram_endpoint *endpoint)
{
  if (!endpoint->is_active)
    return;
  endpoint->is_active = false;
  TAILQ_REMOVE (&placement->active, endpoint, active_link);
}

static void
destroy_endpoint (marjoram_placement *placement,
                  struct marjoram_endpoint *endpoint)
{
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, placement->endpoints, endpoint);
  TAILQ_REMOVE (&placement->checked, endpoint, checked_link);
  marjoram_endpoint_set_idle (placement, endpoint);
  marjoram_endpoint_clear_collected (placement, endpoint);
  marjoram_engine_cache_destroy (endpoint->cache);
  marjoram_upstream_rate_destroy (endpoint->rate);
  free (endpoint->id);
  free (endpoint);
}

static void
destroy_attempt (marjoram_placement *placement,
                 struct marjoram_placed_attempt *attempt)
{
  HASH_DELETE (hh, placement->attempts, attempt);
  free (attempt->service);
  free (attempt);
}

void
marjoram_placement_clear_placed (marjoram_placement *placement)
{
  struct marjoram_placed_item *placed;

  while ((placed = STAILQ_FIRST (&placement->placed)))
    {
      STAILQ_REMOVE_HEAD (&placement->placed, link);
      free (placed);
    }
}

void
marjoram_placement_destroy (marjoram_placement *placement)
{
  struct marjoram_placed_attempt *attempt;
  struct marjoram_placed_attempt *next_attempt;
  struct marjoram_endpoint *endpoint;
  struct marjoram_endpoint *next_endpoint;
  struct marjoram_service_stats *stats;
  struct marjoram_service_stats *next_stats;

  if (!placement)
    return;
  HASH_ITER (hh, placement->attempts, attempt, next_attempt)
  {
    destroy_attempt (placement, attempt);
  }
  marjoram_placement_clear_placed (placement);
  while (!TAILQ_EMPTY (&placement->reporters_by_age))
    /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
    marjoram_reporter_destroy (placement,
                               TAILQ_FIRST (&placement->reporters_by_age));
  HASH_ITER (hh, placement->endpoints, endpoint, next_endpoint)
  {
    destroy_endpoint (placement, endpoint);
  }
  HASH_ITER (hh, placement->service_stats, stats, next_stats)
  {
    /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
    HASH_DELETE (hh, placement->service_stats, stats);
    free (stats->service);
    free (stats);
  }
  free (placement->host);
  free (placement->region);
  free (placement->zone);
  free (placement);
}

struct marjoram_service_stats *
marjoram_placement_service_stats (marjoram_placement *placement,
                                  const char *service)
{
  struct marjoram_service_stats *stats;

  HASH_FIND_STR (placement->service_stats, service, stats);
  if (stats)
    return stats;
  stats = marjoram_alloc (sizeof *stats);
  stats->service = marjoram_strdup (service);
  stats->tokens_per_ms = INITIAL_TOKENS_PER_MS;
  stats->request_ms = INITIAL_REQUEST_MS;
  stats->refusals_tolerated = -1;
  HASH_ADD_KEYPTR (hh, placement->service_stats, stats->service,
                   strlen (stats->service), stats);
  return stats;
}

/* Discards the state of an earlier instance of the same upstream.  */
static void
check_restart (struct marjoram_endpoint *endpoint,
               const struct marjoram_registered *upstream)
{
  if (endpoint->instance_started_at == upstream->heartbeat.started_at)
    return;
  /* Other hosts' reports may have filled the cache model before the upstream's
     first heartbeat.  */
  if (endpoint->instance_started_at != MARJORAM_START_UNKNOWN)
    marjoram_engine_cache_clear (endpoint->cache);
  endpoint->instance_started_at = upstream->heartbeat.started_at;
  endpoint->paused_until = 0;
  endpoint->connect_failures = 0;
  endpoint->broken_responses = 0;
  endpoint->room.is_known = false;
  marjoram_endpoint_clear_retry (endpoint);
  if (endpoint->rate)
    marjoram_upstream_rate_reset (endpoint->rate);
}

struct marjoram_endpoint *
marjoram_endpoint_of (marjoram_placement *placement,
                      const struct marjoram_registered *upstream)
{
  struct marjoram_endpoint *endpoint
      = marjoram_endpoint_find_or_add (placement, upstream->heartbeat.id);

  check_restart (endpoint, upstream);
  return endpoint;
}

struct marjoram_endpoint_load
marjoram_endpoint_total_load (const struct marjoram_endpoint *endpoint,
                              int64_t now)
{
  struct marjoram_endpoint_load sum = endpoint->own;
  const struct marjoram_endpoint_load collected
      = marjoram_endpoint_collected_load (endpoint, now);

  marjoram_load_add (&sum, &endpoint->others, 1);
  marjoram_load_add (&sum, &collected, 1);
  return sum;
}

int64_t
marjoram_endpoint_cached_tokens (const struct marjoram_endpoint *endpoint,
                                 const struct marjoram_call_metadata *metadata)
{
  int64_t cached = marjoram_engine_cache_hit_tokens (
      endpoint->cache, metadata->parts, metadata->part_count);

  return cached < metadata->prompt_tokens ? cached : metadata->prompt_tokens;
}

int64_t
marjoram_load_queued_tokens (const struct marjoram_endpoint_load *load,
                             int priority)
{
  if (priority > 0)
    return load->prefill_tokens;
  return load->urgent
         + (int64_t)(LOWER_PRIORITY_SHARE
                     * (double)(load->prefill_tokens - load->urgent));
}

double
marjoram_answer_tokens (const struct marjoram_call_metadata *metadata)
{
  return (double)(metadata->answer_tokens_hint > 0
                      ? metadata->answer_tokens_hint
                      : metadata->answer_tokens_max);
}

/* ---- Attempt lifecycle.  ---- */

static void
record_part (marjoram_placement *placement, struct marjoram_endpoint *endpoint,
             const struct marjoram_prompt_part *part, int64_t capacity)
{
  struct marjoram_placed_item *placed = marjoram_alloc (sizeof *placed);

  marjoram_engine_cache_use (endpoint->cache, part->id, part->tokens,
                             capacity);
  placed->endpoint = endpoint;
  placed->part = *part;
  STAILQ_INSERT_TAIL (&placement->placed, placed, link);
}

/* Earlier parts are needed for later ones to be usable, so they are recorded
   as most recently used.  */
static void
record_parts (marjoram_placement *placement,
              struct marjoram_endpoint *endpoint,
              const struct marjoram_place_query *query, int64_t now)
{
  struct marjoram_endpoint_load load
      = marjoram_endpoint_total_load (endpoint, now);
  int64_t capacity = query->service->engine.kv_capacity - load.held;

  for (size_t i = query->metadata->part_count; i > 0; i--)
    record_part (placement, endpoint, &query->metadata->parts[i - 1],
                 capacity > 0 ? capacity : 0);
}

static void
pause_endpoint (struct marjoram_endpoint *endpoint, int64_t until)
{
  if (until > endpoint->paused_until)
    endpoint->paused_until = until;
}

int64_t
marjoram_placement_paused_ms (marjoram_placement *placement, int64_t now,
                              const char *upstream)
{
  const struct marjoram_endpoint *endpoint;
  int64_t paused_ms;
  int64_t retry_ms;

  HASH_FIND_STR (placement->endpoints, upstream, endpoint);
  if (!endpoint)
    return 0;
  paused_ms = now < endpoint->paused_until ? endpoint->paused_until - now : 0;
  retry_ms = marjoram_endpoint_retry_wait_ms (endpoint, now);
  return paused_ms > retry_ms ? paused_ms : retry_ms;
}

void
marjoram_placement_attempt_started (marjoram_placement *placement, int64_t now,
                                    uint64_t number, const char *upstream,
                                    const struct marjoram_place_query *query)
{
  struct marjoram_endpoint *endpoint
      = marjoram_endpoint_find_or_add (placement, upstream);
  struct marjoram_placed_attempt *attempt = marjoram_alloc (sizeof *attempt);
  struct marjoram_endpoint_load load;

  marjoram_placement_expire_reports (placement, now);
  load = marjoram_endpoint_total_load (endpoint, now);
  attempt->number = number;
  attempt->endpoint = endpoint;
  attempt->service = marjoram_strdup (query->service->name);
  attempt->started_at = now;
  attempt->instance_started_at = endpoint->instance_started_at;
  attempt->urgent = query->priority == 0;
  attempt->expected_ms = query->expected_ms;
  TAILQ_INSERT_TAIL (&endpoint->unanswered, attempt, link);
  if (query->service->has_engine)
    {
      attempt->prefill_tokens
          = query->metadata->prompt_tokens
            - marjoram_endpoint_cached_tokens (endpoint, query->metadata)
            - query->copied_tokens;
      attempt->queued = marjoram_load_queued_tokens (&load, query->priority);
      attempt->answer = (int64_t)marjoram_answer_tokens (query->metadata);
      attempt->held = attempt->prefill_tokens + attempt->answer;
      record_parts (placement, endpoint, query, now);
    }
  marjoram_endpoint_set_active (placement, endpoint);
  endpoint->own.running++;
  endpoint->own.prefill_tokens += attempt->prefill_tokens;
  endpoint->own.urgent += attempt->urgent ? attempt->prefill_tokens : 0;
  endpoint->own.held += attempt->held;
  endpoint->own.answer += attempt->answer;
  endpoint->cold_sent_at = now;
  endpoint->retry.tried_at = now;
  if (endpoint->connect_failures > 0)
    pause_endpoint (endpoint, now + TRIAL_MS);
  marjoram_upstream_room_take (&endpoint->room, now, endpoint->own.running);
  if (endpoint->rate)
    marjoram_upstream_rate_take (endpoint->rate, now);
  HASH_ADD (hh, placement->attempts, number, sizeof attempt->number, attempt);
}

struct marjoram_placed_attempt *
marjoram_placement_find_attempt (marjoram_placement *placement,
                                 uint64_t number)
{
  struct marjoram_placed_attempt *attempt;

  HASH_FIND (hh, placement->attempts, &number, sizeof number, attempt);
  return attempt;
}

static void
clear_prefill (struct marjoram_placed_attempt *attempt)
{
  attempt->endpoint->own.prefill_tokens -= attempt->prefill_tokens;
  attempt->endpoint->own.urgent
      -= attempt->urgent ? attempt->prefill_tokens : 0;
  attempt->prefill_tokens = 0;
}

static void
update_mean (double *mean, double value)
{
  *mean += SMOOTHING * (value - *mean);
}

/* Tracks engines that are slower than the load model predicts.  */
static void
record_delay (struct marjoram_placed_attempt *attempt, int64_t now)
{
  double late = (double)(now - attempt->started_at - attempt->expected_ms);

  attempt->endpoint->delay_ms
      += DELAY_SMOOTHING
         * ((late > 0 ? late : 0) - attempt->endpoint->delay_ms);
}

void
marjoram_placement_response_started (marjoram_placement *placement,
                                     int64_t now, uint64_t number)
{
  struct marjoram_placed_attempt *attempt
      = marjoram_placement_find_attempt (placement, number);
  struct marjoram_service_stats *stats;
  int64_t tokens;

  if (!attempt || attempt->responding)
    return;
  attempt->responding = true;
  TAILQ_REMOVE (&attempt->endpoint->unanswered, attempt, link);
  record_delay (attempt, now);
  stats = marjoram_placement_service_stats (placement, attempt->service);
  tokens = attempt->prefill_tokens + attempt->queued;
  if (tokens >= SPEED_TOKENS_MIN && now > attempt->started_at)
    update_mean (&stats->tokens_per_ms,
                 (double)tokens / (double)(now - attempt->started_at));
  clear_prefill (attempt);
}

void
marjoram_placement_data_received (marjoram_placement *placement, int64_t now,
                                  uint64_t number)
{
  struct marjoram_placed_attempt *attempt
      = marjoram_placement_find_attempt (placement, number);

  if (!attempt)
    return;
  attempt->endpoint->last_received_at = now;
  marjoram_attempt_end_trial (attempt);
}

int64_t
marjoram_placement_last_received_at (marjoram_placement *placement,
                                     uint64_t number)
{
  const struct marjoram_placed_attempt *attempt
      = marjoram_placement_find_attempt (placement, number);

  return attempt ? attempt->endpoint->last_received_at : 0;
}

static void
record_failure (struct marjoram_endpoint *endpoint, int64_t now,
                enum marjoram_attempt_end outcome)
{
  switch (outcome)
    {
    case MARJORAM_ATTEMPT_REFUSED:
      pause_endpoint (endpoint, now + CAPACITY_BACKOFF_MS);
      break;
    case MARJORAM_ATTEMPT_WRONG_UPSTREAM:
      endpoint->address_conflict_at = now;
      break;
    case MARJORAM_ATTEMPT_UNREACHED:
      pause_endpoint (
          endpoint, now + (CONNECT_BACKOFF_MS << endpoint->connect_failures));
      if (endpoint->connect_failures < CONNECT_BACKOFF_DOUBLINGS)
        endpoint->connect_failures++;
      break;
    case MARJORAM_ATTEMPT_BROKEN:
    case MARJORAM_ATTEMPT_TIMED_OUT:
      if (++endpoint->broken_responses >= BROKEN_RESPONSES_MAX)
        endpoint->suspected_until = now + SUSPECT_MS;
      break;
    default:
      break;
    }
}

void
marjoram_placement_attempt_ended (marjoram_placement *placement, int64_t now,
                                  uint64_t number,
                                  enum marjoram_attempt_end outcome)
{
  struct marjoram_placed_attempt *attempt
      = marjoram_placement_find_attempt (placement, number);
  struct marjoram_endpoint *endpoint;

  if (!attempt)
    return;
  endpoint = attempt->endpoint;
  if (!attempt->responding)
    TAILQ_REMOVE (&endpoint->unanswered, attempt, link);
  clear_prefill (attempt);
  endpoint->own.running--;
  endpoint->own.held -= attempt->held;
  endpoint->own.answer -= attempt->answer;
  if (outcome == MARJORAM_ATTEMPT_SERVED || outcome == MARJORAM_ATTEMPT_FAILED)
    marjoram_attempt_end_trial (attempt);
  if (outcome == MARJORAM_ATTEMPT_SERVED)
    {
      if (endpoint->connect_failures > 0)
        endpoint->paused_until = now;
      endpoint->connect_failures = 0;
      endpoint->broken_responses = 0;
      update_mean (
          &marjoram_placement_service_stats (placement, attempt->service)
               ->request_ms,
          (double)(now - attempt->started_at));
    }
  else
    record_failure (endpoint, now, outcome);
  if (outcome == MARJORAM_ATTEMPT_REFUSED)
    marjoram_upstream_room_refused (&endpoint->room, now,
                                    endpoint->own.running);
  /* What a verdict ended must not count against the upstream once it is
     back.  */
  if (outcome != MARJORAM_ATTEMPT_CANCELLED
      && outcome != MARJORAM_ATTEMPT_REFUSED
      && endpoint->silence != MARJORAM_SILENCE_DARK)
    update_mean (&endpoint->failure_share,
                 outcome == MARJORAM_ATTEMPT_SERVED ? 0 : 1);
  destroy_attempt (placement, attempt);
}

void
marjoram_placement_connection_lost (marjoram_placement *placement, int64_t now,
                                    const char *address, bool was_open)
{
  struct marjoram_registered_list *upstreams
      = marjoram_registry_of_address (placement->options.registry, address);
  struct marjoram_registered *upstream;

  if (!upstreams)
    return;
  TAILQ_FOREACH (upstream, upstreams, address_link)
  if (upstream->heartbeat.state == MARJORAM_UPSTREAM_READY)
    {
      struct marjoram_endpoint *endpoint
          = marjoram_endpoint_find_or_add (placement, upstream->heartbeat.id);

      endpoint->disconnected_at = now;
      if (!was_open)
        continue;
      endpoint->report_disconnect = true;
      marjoram_endpoint_set_active (placement, endpoint);
    }
}

void
marjoram_placement_set_cold (marjoram_placement *placement, int64_t now,
                             const char *upstream, int64_t cold_ms)
{
  marjoram_endpoint_find_or_add (placement, upstream)->cold_until
      = now + cold_ms;
}

bool
marjoram_placement_set_rate_limit (marjoram_placement *placement, int64_t now,
                                   uint64_t number, double rate_limit)
{
  const struct marjoram_placed_attempt *attempt
      = marjoram_placement_find_attempt (placement, number);
  struct marjoram_endpoint *endpoint = attempt ? attempt->endpoint : NULL;

  if (!endpoint || (!endpoint->rate && rate_limit < 0))
    return false;
  if (!endpoint->rate)
    endpoint->rate = marjoram_upstream_rate_create ();
  if (!marjoram_upstream_rate_state (endpoint->rate, now, attempt->started_at,
                                     rate_limit))
    return false;
  endpoint->report_rate = true;
  marjoram_endpoint_set_active (placement, endpoint);
  return true;
}

/* Whether A and B, negative if nothing is stated, state the same.  */
static bool
is_same_statement (double a, double b)
{
  return a < 0 ? b < 0 : !(a < b || b < a);
}

bool
marjoram_placement_set_refusals_tolerated (marjoram_placement *placement,
                                           int64_t now, uint64_t number,
                                           double per_s)
{
  const struct marjoram_placed_attempt *attempt
      = marjoram_placement_find_attempt (placement, number);
  struct marjoram_service_stats *stats;

  if (!attempt)
    return false;
  stats = marjoram_placement_service_stats (placement, attempt->service);
  if (is_same_statement (per_s, stats->refusals_tolerated))
    return false;
  /* A late response to an older request does not end the statement.  */
  if (per_s < 0 && attempt->started_at <= stats->tolerance_stated_at)
    return false;
  stats->refusals_tolerated = per_s;
  stats->tolerance_stated_at = now;
  return true;
}

bool
marjoram_placement_set_leaving (marjoram_placement *placement, int64_t now,
                                uint64_t number)
{
  const struct marjoram_placed_attempt *attempt
      = marjoram_placement_find_attempt (placement, number);

  if (!attempt
      || !marjoram_registry_set_leaving (placement->options.registry, now,
                                         attempt->endpoint->id,
                                         attempt->instance_started_at))
    return false;
  attempt->endpoint->report_leaving = true;
  marjoram_endpoint_set_active (placement, attempt->endpoint);
  return true;
}

int64_t
marjoram_endpoint_reported_lost_at (const struct marjoram_endpoint *endpoint)
{
  return endpoint->last_received_at > endpoint->reported_lost_at
             ? 0
             : endpoint->reported_lost_at;
}

/* Marks the zone's upstreams as disconnected, so that they count as cold only
   until their next heartbeat.  */
void
marjoram_placement_zone_restored (marjoram_placement *placement, int64_t now,
                                  const char *zone)
{
  struct marjoram_registered *upstream;

  TAILQ_FOREACH (upstream, marjoram_registry_all (placement->options.registry),
                 link)
  if (strcmp (upstream->heartbeat.zone, zone) == 0)
    marjoram_endpoint_find_or_add (placement, upstream->heartbeat.id)
        ->disconnected_at
        = now;
}

void
marjoram_placement_add_cached (marjoram_placement *placement,
                               const char *upstream,
                               const struct marjoram_prompt_part *parts,
                               size_t count)
{
  struct marjoram_endpoint *endpoint
      = marjoram_endpoint_find_or_add (placement, upstream);

  for (size_t i = 0; i < count; i++)
    marjoram_engine_cache_use (endpoint->cache, parts[i].id, parts[i].tokens,
                               INT64_MAX);
}

static bool
is_in_use (const struct marjoram_placement *placement,
           const struct marjoram_endpoint *endpoint, int64_t now)
{
  return endpoint->own.running > 0 || endpoint->reporter_count > 0
         || now < endpoint->retry.at
         || marjoram_registry_find (placement->options.registry, endpoint->id);
}

/* Drops endpoints that are no longer registered, once nothing runs there and
   no placed part is waiting to be reported.  */
void
marjoram_placement_tick (marjoram_placement *placement, int64_t now)
{
  size_t checks = HASH_COUNT (placement->endpoints);

  marjoram_placement_expire_reports (placement, now);
  if (!STAILQ_EMPTY (&placement->placed))
    return;
  if (checks > CHECKS_PER_TICK)
    checks = CHECKS_PER_TICK;
  for (; checks > 0; checks--)
    {
      struct marjoram_endpoint *endpoint = TAILQ_FIRST (&placement->checked);

      TAILQ_REMOVE (&placement->checked, endpoint, checked_link);
      TAILQ_INSERT_TAIL (&placement->checked, endpoint, checked_link);
      if (!is_in_use (placement, endpoint, now))
        destroy_endpoint (placement, endpoint);
    }
}
