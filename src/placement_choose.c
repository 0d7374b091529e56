#include "build_set.h"
#include "placement_copy.h"
#include "placement_private.h"

#include <string.h>
#include <xxhash.h>

/* Weight of prefill tokens relative to queued ones: prefill also evicts other
   cached parts.  */
#define PREFILL_WEIGHT 2.0
/* Weight of a new sample in the mean backlog.  */
#define BACKLOG_SMOOTHING 0.1
/* Relative increase in cost at a mean failure share of 1.  */
#define FAILURE_WEIGHT 4.0
/* Weight of the delay that chunked prefill causes to running responses,
   relative to the request's own wait.  */
#define INTERFERENCE_WEIGHT 0.1
/* Expected response tokens of an engine at which INTERFERENCE_WEIGHT
   applies in full.  */
#define INTERFERENCE_ANSWER_TOKENS 300.0

/* Makes the sample independent of the tie-breaker.  */
#define SAMPLE_SEED UINT64_C (0x9e3779b97f4a7c15)

enum
{
  /* Range of the deterministic tie-breaker that sends a shared prompt part to
     the same upstream from all hosts.  */
  TIE_BREAKER_MS = 20,
  /* A heartbeat received at least this long after a connection broke was sent
     after it and shows whether the upstream is cold.  */
  HEARTBEAT_DELAY_MS = 300,
  /* Time in which an upstream that has not ended is heard again: the interval
     of its heartbeats, and of the batches in which keepers pass them on.  */
  HEARD_AGAIN_MS = 2500,
  /* Safety margin added to the cold period that a heartbeat reports: once it
     ends, all waiting requests are sent at once.  */
  COLD_MARGIN_MS = 100,
  /* Wait at a warm upstream above which a cold one is preferred.  */
  COLD_COST_MS = 100,
  /* For an upstream with several broken responses in a row.  High enough that
     any other is preferred; it is still better than none.  */
  SUSPECT_COST_MS = 1000,
  /* For one that told another host to wait: it may refuse this one as well. */
  OTHERS_RETRY_COST_MS = 200,
  /* For one not heard since all hosts of its zone were dead.  Higher than the
     cost of any other that is usable; it becomes silent only seconds later. */
  DARK_ZONE_COST_MS = 10000,
  ZONES_MAX = 16, /* of a region; those beyond are looked up each time */
  /* Maximum prefill backlog ahead of a request; longer queues stall running
     responses.  */
  BACKLOG_MAX_MS = 100,
  /* Maximum wait for a slot of an engine if waits are measured: the time in
     which hosts learn from each other that slots have become free, so that
     none is idle.  */
  QUEUE_MAX_MS = 100,
  /* Extra cost accepted for an upstream that meets the deadline.  A higher one
     would repeat prefill and evict other cached parts.  */
  DEADLINE_COST_MS = 100,
  /* Hosts per region above which each request considers only a sample of the
     upstreams: more would all send to the least loaded one before they hear of
     each other's requests.  */
  SAMPLE_HOSTS = 8,
  /* Minimum mean number of upstreams in a sample.  */
  SAMPLE_MIN = 4,
  RETRY_MIN_MS = 250,
  /* Longest time over which the return of refused callers is spread.  */
  RETURN_SPREAD_MS = 1000,
  MSEC_PER_SEC = 1000
};

/* Whether UPSTREAM has not been heard since LOST_AT, when a connection to it
   broke; 0: none did.  */
static bool
is_unheard_since (const marjoram_placement *placement,
                  const struct marjoram_registered *upstream, int64_t lost_at)
{
  return lost_at != 0
         && marjoram_registry_heard_at (placement->options.registry, upstream)
                <= lost_at + HEARTBEAT_DELAY_MS;
}

bool
marjoram_placement_is_confirmed (marjoram_placement *placement,
                                 const struct marjoram_registered *upstream)
{
  const struct marjoram_endpoint *endpoint
      = marjoram_endpoint_of (placement, upstream);

  return !is_unheard_since (placement, upstream, endpoint->disconnected_at)
         && !is_unheard_since (placement, upstream,
                               marjoram_endpoint_reported_lost_at (endpoint));
}

static bool
has_required_build (marjoram_placement *placement,
                    const struct marjoram_registered *upstream,
                    const struct marjoram_place_query *query)
{
  return !query->build
         || (strcmp (upstream->heartbeat.build, query->build) == 0
             && marjoram_placement_is_confirmed (placement, upstream));
}

/* Whether UPSTREAM, which lacks the required build, may be shown to have it by
   a heartbeat that is due.  */
static bool
may_be_confirmed (marjoram_placement *placement,
                  const struct marjoram_registered *upstream,
                  const struct marjoram_place_query *query, int64_t now)
{
  const struct marjoram_endpoint *endpoint
      = marjoram_endpoint_of (placement, upstream);
  const int64_t reported_at = marjoram_endpoint_reported_lost_at (endpoint);
  const int64_t lost_at = endpoint->disconnected_at > reported_at
                              ? endpoint->disconnected_at
                              : reported_at;

  return strcmp (upstream->heartbeat.build, query->build) == 0
         && now < lost_at + HEARD_AGAIN_MS;
}

/* Broken connections may mean that the upstream restarted cold under the same
   id; the full request rate could crash it, so it counts as cold until a later
   heartbeat arrives.  */
static enum marjoram_place_exclusion
coldness (const marjoram_placement *placement,
          const struct marjoram_endpoint *endpoint,
          const struct marjoram_registered *upstream,
          const struct marjoram_service_rule *service, int64_t now)
{
  if (service->cold_per_s <= 0)
    return MARJORAM_EXCLUDED_NOT;
  if ((upstream->cold_until > 0 && now < upstream->cold_until + COLD_MARGIN_MS)
      || now < endpoint->cold_until
      || is_unheard_since (placement, upstream, endpoint->disconnected_at))
    return MARJORAM_EXCLUDED_COLD;
  return is_unheard_since (placement, upstream,
                           marjoram_endpoint_reported_lost_at (endpoint))
             ? MARJORAM_EXCLUDED_REPORTED_LOST
             : MARJORAM_EXCLUDED_NOT;
}

static bool
is_cold (const marjoram_placement *placement,
         const struct marjoram_endpoint *endpoint,
         const struct marjoram_registered *upstream,
         const struct marjoram_service_rule *service, int64_t now)
{
  return coldness (placement, endpoint, upstream, service, now)
         != MARJORAM_EXCLUDED_NOT;
}

/* A cold upstream accepts a limited total request rate, so only the host that
   owns it by rendezvous hashing sends to it.  While two hosts disagree on the
   owner, the rate stays at most twice as high, which is still allowed.  */
static bool
may_send_to_cold (marjoram_placement *placement,
                  const struct marjoram_endpoint *endpoint,
                  const struct marjoram_service_rule *service, int64_t now)
{
  const char *owner = marjoram_host_list_owner (
      placement->options.hosts, now, placement->region, endpoint->id);
  int64_t pause = (int64_t)(MSEC_PER_SEC / service->cold_per_s) + 1;

  return owner && strcmp (owner, placement->host) == 0
         && (endpoint->cold_sent_at == 0
             || now - endpoint->cold_sent_at >= pause);
}

static bool
was_tried (const struct marjoram_place_query *query, const char *id)
{
  for (size_t i = 0; i < query->tried_count; i++)
    if (strcmp (query->tried[i], id) == 0)
      return true;
  return false;
}

bool
marjoram_placement_is_candidate (marjoram_placement *placement,
                                 const struct marjoram_registered *upstream,
                                 const struct marjoram_place_query *query,
                                 int64_t now)
{
  const struct marjoram_placement_options *options = &placement->options;
  const char *region;

  if (!marjoram_registry_usable (options->registry, upstream, now)
      && !(query->last_resort && query->build
           && marjoram_registry_still_serves (options->registry, upstream,
                                              now)))
    return false;
  region = options->region_of (options->context, upstream->heartbeat.zone);
  if (!region || strcmp (region, placement->region) != 0)
    return false;
  return !options->is_evacuated (options->context, upstream->heartbeat.zone)
         || (query->last_resort
             && options->is_leaving (options->context,
                                     upstream->heartbeat.zone));
}

/* The last part of the prompt that requests share, or the request's id if it
   has no parts.  */
static uint64_t
shared_key (const struct marjoram_call_metadata *metadata)
{
  const size_t index = metadata->part_count > 1 ? metadata->part_count - 2 : 0;

  return metadata->part_count > 0
             ? metadata->parts[index].id
             : XXH3_64bits (metadata->id, strlen (metadata->id));
}

/* Tie-breaker that is the same on all hosts.  */
static int64_t
tie_breaker_ms (const struct marjoram_endpoint *endpoint,
                const struct marjoram_call_metadata *metadata)
{
  return (int64_t)(XXH3_64bits_withSeed (endpoint->id, strlen (endpoint->id),
                                         shared_key (metadata))
                   % TIE_BREAKER_MS);
}

struct estimate
{
  double wait_ms;         /* until the first event or the response */
  double cost_ms;         /* WAIT_MS plus the cost to other requests */
  double backlog_ms;      /* prefill time of queued prompts */
  double queue_ms;        /* until an engine has a free slot */
  int64_t prefill_tokens; /* prompt tokens to prefill */
  bool idle;              /* no known request is running there */
};

/* Once all slots are taken, a request is admitted for each one that
   completes.  */
static double
queue_ms (const struct marjoram_endpoint_load *load, int64_t slots,
          double request_ms)
{
  if (slots <= 0 || load->running < slots)
    return 0;
  return (double)(load->running - slots + 1) * request_ms / (double)slots;
}

/* Cost of a prefill of UNREAD_MS to the responses running on an engine with
   LOAD.  */
static double
interference_ms (const struct marjoram_endpoint_load *load, double prefill_ms)
{
  return INTERFERENCE_WEIGHT * prefill_ms * (double)load->answer
         / INTERFERENCE_ANSWER_TOKENS;
}

/* Current delay beyond the estimate: the recent mean, or the overdue time of
   the oldest unanswered attempt if that is longer.  */
static double
delay_ms (const struct marjoram_endpoint *endpoint, int64_t now)
{
  const struct marjoram_placed_attempt *oldest
      = TAILQ_FIRST (&endpoint->unanswered);
  double overdue
      = oldest ? (double)(now - oldest->started_at - oldest->expected_ms) : 0;

  return overdue > endpoint->delay_ms ? overdue : endpoint->delay_ms;
}

static struct estimate
estimate_engine (marjoram_placement *placement,
                 struct marjoram_endpoint *endpoint,
                 const struct marjoram_place_query *query,
                 const struct marjoram_copy *copy, int64_t now)
{
  struct marjoram_service_stats *stats
      = marjoram_placement_service_stats (placement, query->service->name);
  struct marjoram_endpoint_load load
      = marjoram_endpoint_total_load (endpoint, now);
  int64_t prefill_tokens
      = query->metadata->prompt_tokens - copy->cached - copy->tokens;
  double prefill_ms = (double)prefill_tokens / stats->tokens_per_ms;
  double ahead_ms
      = (double)marjoram_load_queued_tokens (&load, query->priority)
        / stats->tokens_per_ms;
  struct estimate estimate;

  estimate.queue_ms
      = queue_ms (&load, query->service->engine.slots, stats->request_ms);
  endpoint->capacity = query->service->engine.kv_capacity;
  estimate.backlog_ms = ahead_ms;
  estimate.prefill_tokens = prefill_tokens;
  estimate.idle = load.running == 0;
  estimate.wait_ms = ahead_ms + prefill_ms + copy->ms
                     + delay_ms (endpoint, now) + estimate.queue_ms;
  estimate.cost_ms = estimate.wait_ms + (PREFILL_WEIGHT - 1) * prefill_ms
                     + interference_ms (&load, prefill_ms);
  return estimate;
}

static struct estimate
estimate_plain (marjoram_placement *placement,
                struct marjoram_endpoint *endpoint,
                const struct marjoram_registered *upstream,
                const struct marjoram_place_query *query, int64_t now)
{
  struct marjoram_service_stats *stats
      = marjoram_placement_service_stats (placement, query->service->name);
  struct marjoram_endpoint_load load
      = marjoram_endpoint_total_load (endpoint, now);
  int64_t slots
      = upstream->heartbeat.slots > 0 ? upstream->heartbeat.slots : 1;
  struct estimate estimate = { 0 };

  estimate.idle = load.running == 0;
  estimate.wait_ms
      = queue_ms (&load, slots, stats->request_ms) + stats->request_ms;
  estimate.cost_ms
      = estimate.wait_ms
        + (double)load.running * stats->request_ms / (double)slots;
  return estimate;
}

static struct estimate
estimate_endpoint (marjoram_placement *placement,
                   struct marjoram_endpoint *endpoint,
                   const struct marjoram_registered *upstream,
                   const struct marjoram_place_query *query,
                   const struct marjoram_copy *copy, int64_t now)
{
  struct estimate estimate
      = query->service->has_engine
            ? estimate_engine (placement, endpoint, query, copy, now)
            : estimate_plain (placement, endpoint, upstream, query, now);

  estimate.cost_ms *= 1 + FAILURE_WEIGHT * endpoint->failure_share;
  estimate.cost_ms += (double)tie_breaker_ms (endpoint, query->metadata);
  if (is_cold (placement, endpoint, upstream, query->service, now))
    estimate.cost_ms += COLD_COST_MS;
  if (now < endpoint->suspected_until
      || endpoint->silence == MARJORAM_SILENCE_SUSPECTED)
    estimate.cost_ms += SUSPECT_COST_MS;
  if (now < endpoint->retry.others_at)
    estimate.cost_ms += OTHERS_RETRY_COST_MS;
  return estimate;
}

/* False if ENDPOINT is likely to refuse a request and tolerates few refusals.
 */
static bool
has_room (marjoram_placement *placement,
          const struct marjoram_endpoint *endpoint,
          const struct marjoram_place_query *query, int64_t now)
{
  const double tolerated
      = marjoram_placement_service_stats (placement, query->service->name)
            ->refusals_tolerated;

  return tolerated < 0
         || marjoram_upstream_room_has (
             &endpoint->room, now, endpoint->own.running,
             marjoram_upstream_room_interval_ms (
                 marjoram_host_list_serving_count_with (
                     placement->options.hosts, now, placement->region,
                     placement->host),
                 tolerated));
}

/* Whether and why ENDPOINT may not be sent a request now.  */
static enum marjoram_place_exclusion
find_exclusion (marjoram_placement *placement,
                struct marjoram_endpoint *endpoint,
                const struct marjoram_registered *upstream,
                const struct marjoram_place_query *query, int64_t now)
{
  enum marjoram_place_exclusion cold;

  if (endpoint->silence == MARJORAM_SILENCE_DARK)
    return MARJORAM_EXCLUDED_DARK;
  if (marjoram_endpoint_retry_wait_ms (endpoint, now) > 0)
    return MARJORAM_EXCLUDED_RETRY_AFTER;
  if (now < endpoint->paused_until)
    return endpoint->connect_failures > 0 ? MARJORAM_EXCLUDED_UNREACHABLE
                                          : MARJORAM_EXCLUDED_PAUSED;
  if (endpoint->address_conflict_at != 0
      && marjoram_registry_heard_at (placement->options.registry, upstream)
             <= endpoint->address_conflict_at)
    return MARJORAM_EXCLUDED_REPLACED;
  if (was_tried (query, endpoint->id) && !query->allow_tried)
    return MARJORAM_EXCLUDED_TRIED;
  cold = coldness (placement, endpoint, upstream, query->service, now);
  if (cold != MARJORAM_EXCLUDED_NOT
      && !may_send_to_cold (placement, endpoint, query->service, now))
    return cold;
  if (!has_room (placement, endpoint, query, now))
    return MARJORAM_EXCLUDED_ROOM;
  return marjoram_endpoint_rate_wait_ms (placement, endpoint, now) > 0
             ? MARJORAM_EXCLUDED_RATE
             : MARJORAM_EXCLUDED_NOT;
}

/* KEPT is 0 if there is none yet.  */
static void
keep_shorter (int64_t *kept, int64_t wait_ms)
{
  if (*kept == 0 || wait_ms < *kept)
    *kept = wait_ms;
}

/* Whether ENDPOINT may be sent a request now; if not, PLACE notes why.  */
static bool
is_usable (marjoram_placement *placement, struct marjoram_endpoint *endpoint,
           const struct marjoram_registered *upstream,
           const struct marjoram_place_query *query, int64_t now,
           struct marjoram_place *place)
{
  const enum marjoram_place_exclusion why
      = find_exclusion (placement, endpoint, upstream, query, now);

  if (why == MARJORAM_EXCLUDED_NOT)
    return true;
  place->excluded[why]++;
  if (why == MARJORAM_EXCLUDED_RATE)
    keep_shorter (&place->rate_wait_ms,
                  marjoram_endpoint_rate_wait_ms (placement, endpoint, now));
  if (why == MARJORAM_EXCLUDED_RETRY_AFTER)
    keep_shorter (&place->retry_wait_ms,
                  marjoram_endpoint_retry_wait_ms (endpoint, now));
  return false;
}

/* Whether requests should rather wait at this host, which starts them in order
   of urgency and knows how long that takes, than for a slot of the engine.  */
static bool
is_queue_long (const marjoram_placement *placement,
               const struct estimate *estimate,
               const struct marjoram_place_query *query)
{
  return placement->features.measured_waits && !query->allow_engine_queue
         && estimate->queue_ms > QUEUE_MAX_MS;
}

/* The limit that rules out an upstream for QUERY.  Idle upstreams are never
   ruled out: the estimates of a formerly slow one improve only through new
   requests.  */
static enum marjoram_place_limit
limit_of (const marjoram_placement *placement, const struct estimate *estimate,
          const struct marjoram_place_query *query)
{
  if (estimate->idle)
    return MARJORAM_PLACE_LIMIT_NONE;
  if (estimate->wait_ms > (double)query->time_left_ms)
    return MARJORAM_PLACE_LIMIT_DEADLINE;
  if (estimate->backlog_ms > BACKLOG_MAX_MS
      || is_queue_long (placement, estimate, query))
    return MARJORAM_PLACE_LIMIT_BACKLOG;
  return MARJORAM_PLACE_LIMIT_NONE;
}

static bool
meets_deadline (const marjoram_placement *placement,
                const struct estimate *estimate,
                const struct marjoram_place_query *query)
{
  return limit_of (placement, estimate, query) == MARJORAM_PLACE_LIMIT_NONE;
}

const char *
marjoram_place_limit_name (enum marjoram_place_limit limit)
{
  static const char *const names[]
      = { "none", "objective", "backlog", "rate", "retry-after" };

  return names[limit];
}

struct choice
{
  const struct marjoram_registered *upstream; /* NULL if none */
  struct estimate estimate;
  struct marjoram_copy copy;
};

static void
keep_cheaper (struct choice *choice,
              const struct marjoram_registered *upstream,
              const struct estimate *estimate,
              const struct marjoram_copy *copy)
{
  if (choice->upstream && estimate->cost_ms >= choice->estimate.cost_ms)
    return;
  choice->upstream = upstream;
  choice->estimate = *estimate;
  choice->copy = *copy;
}

/* Pseudo-random subset of upstreams, the same on all hosts for requests that
   share a part of their prompts: these meet at the same upstream without being
   told where the part is cached.  */
struct sample
{
  uint64_t seed;
  uint64_t below; /* upper bound of upstream hashes */
};

static const struct sample all_upstreams = { 0, UINT64_MAX };

static struct sample
select_sample (marjoram_placement *placement, int64_t now,
               const struct marjoram_place_query *query)
{
  const double hosts = (double)marjoram_host_list_serving_count (
      placement->options.hosts, now, placement->region);
  const double upstreams = (double)marjoram_registry_service_count (
      placement->options.registry, query->service->name);
  double share = hosts > SAMPLE_HOSTS ? SAMPLE_HOSTS / hosts : 1;

  if (share * upstreams < SAMPLE_MIN)
    share = upstreams > SAMPLE_MIN ? SAMPLE_MIN / upstreams : 1;
  if (share >= 1)
    return all_upstreams;
  return (struct sample){ shared_key (query->metadata) ^ SAMPLE_SEED,
                          (uint64_t)(share * (double)UINT64_MAX) };
}

/* Upstreams that cache more than half of the prompt are always considered.  */
static bool
is_in_sample (const struct sample *sample,
              const struct marjoram_endpoint *endpoint,
              const struct marjoram_place_query *query, int64_t cached)
{
  return sample->below == UINT64_MAX
         || 2 * cached > query->metadata->prompt_tokens
         || XXH3_64bits_withSeed (endpoint->id, strlen (endpoint->id),
                                  sample->seed)
                < sample->below;
}

/* When the region's zones were last dark; INT64_MIN if never.  */
struct dark_zones
{
  const char *names[ZONES_MAX];
  int64_t dark_at[ZONES_MAX];
  size_t count;
};

static int64_t
zone_dark_at (struct dark_zones *zones, const marjoram_placement *placement,
              const char *zone, int64_t now)
{
  int64_t dark_at = INT64_MIN;

  for (size_t i = 0; i < zones->count; i++)
    if (strcmp (zones->names[i], zone) == 0)
      return zones->dark_at[i];
  if (!placement->zone || strcmp (zone, placement->zone) != 0)
    dark_at = marjoram_host_list_zone_dark_at (placement->options.hosts, now,
                                               zone);
  if (zones->count < ZONES_MAX)
    {
      zones->names[zones->count] = zone;
      zones->dark_at[zones->count++] = dark_at;
    }
  return dark_at;
}

/* Whether UPSTREAM has not been heard since its zone was dark: it may have
   died with the zone, and another one may have its address.  */
static bool
is_dark (struct dark_zones *zones, const marjoram_placement *placement,
         const struct marjoram_registered *upstream, int64_t now)
{
  return marjoram_registry_heard_at (placement->options.registry, upstream)
         <= zone_dark_at (zones, placement, upstream->heartbeat.zone, now);
}

/* Finds the upstream of least cost and the one of least cost that meets the
   deadline.  */
static void
find_choices (marjoram_placement *placement, int64_t now,
              const struct marjoram_place_query *query,
              const struct sample *sample, struct marjoram_place *place,
              struct choice *cheapest, struct choice *in_time)
{
  struct marjoram_registered_list *upstreams = marjoram_registry_of_service (
      placement->options.registry, query->service->name);
  struct marjoram_copy_sources sources;
  struct marjoram_registered *upstream;
  struct dark_zones zones = { .count = 0 };

  if (!upstreams)
    return;
  marjoram_placement_expire_reports (placement, now);
  marjoram_copy_sources_find (&sources, placement, query, now);
  TAILQ_FOREACH (upstream, upstreams, service_link)
  {
    struct marjoram_endpoint *endpoint;
    struct estimate estimate;
    struct marjoram_copy copy;
    int64_t heard_at;

    if (!marjoram_placement_is_candidate (placement, upstream, query, now))
      continue;
    if (!has_required_build (placement, upstream, query))
      {
        place->excluded[MARJORAM_EXCLUDED_BUILD]++;
        place->unconfirmed
            += may_be_confirmed (placement, upstream, query, now);
        continue;
      }
    place->candidates++;
    heard_at
        = marjoram_registry_heard_at (placement->options.registry, upstream);
    if (now - heard_at > place->heartbeat_age_ms)
      place->heartbeat_age_ms = now - heard_at;
    endpoint = marjoram_endpoint_of (placement, upstream);
    if (!is_usable (placement, endpoint, upstream, query, now, place))
      continue;
    place->usable++;
    marjoram_copy_sources_best (&sources, endpoint, upstream, query, &copy);
    if (!is_in_sample (sample, endpoint, query, copy.cached))
      continue;
    estimate
        = estimate_endpoint (placement, endpoint, upstream, query, &copy, now);
    if (was_tried (query, endpoint->id))
      estimate.cost_ms += (double)query->time_left_ms;
    if (is_dark (&zones, placement, upstream, now))
      {
        estimate.cost_ms += DARK_ZONE_COST_MS;
        keep_cheaper (cheapest, upstream, &estimate, &copy);
        continue;
      }
    keep_cheaper (cheapest, upstream, &estimate, &copy);
    if (meets_deadline (placement, &estimate, query))
      keep_cheaper (in_time, upstream, &estimate, &copy);
  }
}

/* Assumes that the hosts of a region share its engines equally.  Hosts without
   connections to them have no share.  Engines of other builds serve the
   requests that are queued with this one.  */
static void
set_throughput (marjoram_placement *placement, int64_t now,
                const struct marjoram_place_query *query,
                struct marjoram_place *place)
{
  size_t hosts = marjoram_host_list_sharing_count_with (
      placement->options.hosts, now, placement->region, placement->host);

  place->engine_tokens_per_ms
      = marjoram_placement_service_stats (placement, query->service->name)
            ->tokens_per_ms;
  place->tokens_per_ms
      = place->engine_tokens_per_ms
        * (place->usable + place->excluded[MARJORAM_EXCLUDED_BUILD])
        / (double)hosts;
}

/* Time after the end of a Retry-After at which the caller is to come back.
   Callers that were refused in the meantime would all come at its end, and
   have to be refused again.  */
static int64_t
return_spread_ms (const struct marjoram_place_query *query, int64_t wait_ms)
{
  const int64_t spread_ms
      = wait_ms < RETURN_SPREAD_MS ? wait_ms : RETURN_SPREAD_MS;
  const char *id = query->metadata->id;

  return (int64_t)(XXH3_64bits (id, strlen (id)) % (uint64_t)(spread_ms + 1));
}

/* Sets the limit that rules out all upstreams, and the delay before a retry,
   if they have stated any.  */
static void
set_stated_limit (struct marjoram_place *place,
                  const struct marjoram_place_query *query)
{
  int64_t wait_ms = 0;

  if (place->excluded[MARJORAM_EXCLUDED_RATE] > 0)
    {
      place->limit = MARJORAM_PLACE_LIMIT_RATE;
      wait_ms = place->rate_wait_ms;
    }
  if (place->excluded[MARJORAM_EXCLUDED_RETRY_AFTER] > 0
      && (wait_ms == 0 || place->retry_wait_ms < wait_ms))
    {
      place->limit = MARJORAM_PLACE_LIMIT_RETRY_AFTER;
      wait_ms = place->retry_wait_ms
                + return_spread_ms (query, place->retry_wait_ms);
    }
  if (wait_ms > place->retry_ms)
    place->retry_ms = wait_ms;
}

void
marjoram_placement_choose (marjoram_placement *placement, int64_t now,
                           const struct marjoram_place_query *query,
                           struct marjoram_place *place)
{
  struct choice cheapest = { 0 };
  struct choice in_time = { 0 };
  const struct choice *chosen = &cheapest;
  struct sample sample;

  memset (place, 0, sizeof *place);
  if (placement->options.zones)
    placement->options.zones (placement->options.context, now, &place->zones);
  place->outcome = MARJORAM_PLACE_NONE;
  place->retry_ms = RETRY_MIN_MS;
  sample = select_sample (placement, now, query);
  find_choices (placement, now, query, &sample, place, &cheapest, &in_time);
  if (!in_time.upstream && sample.below != UINT64_MAX)
    {
      place->candidates = 0;
      place->usable = 0;
      place->rate_wait_ms = 0;
      place->retry_wait_ms = 0;
      memset (place->excluded, 0, sizeof place->excluded);
      find_choices (placement, now, query, &all_upstreams, place, &cheapest,
                    &in_time);
    }
  if (!cheapest.upstream)
    {
      set_stated_limit (place, query);
      return;
    }
  /* A free slot is used at any cost: other requests wait for one.  */
  if (in_time.upstream
      && (is_queue_long (placement, &cheapest.estimate, query)
          || in_time.estimate.cost_ms
                 <= cheapest.estimate.cost_ms + DEADLINE_COST_MS))
    chosen = &in_time;
  place->upstream = chosen->upstream;
  place->copy_from = chosen->copy.from;
  place->copied_tokens = chosen->copy.tokens;
  place->wait_ms = (int64_t)chosen->estimate.wait_ms;
  place->backlog_ms = (int64_t)chosen->estimate.backlog_ms;
  place->limit = limit_of (placement, &chosen->estimate, query);
  place->outcome = place->limit == MARJORAM_PLACE_LIMIT_NONE
                       ? MARJORAM_PLACE_FOUND
                       : MARJORAM_PLACE_BUSY;
  place->prefill_tokens = chosen->estimate.prefill_tokens;
  if (chosen->estimate.backlog_ms > BACKLOG_MAX_MS)
    place->excess_ms = (int64_t)chosen->estimate.backlog_ms - BACKLOG_MAX_MS;
  if (is_queue_long (placement, &chosen->estimate, query))
    place->excess_ms += (int64_t)chosen->estimate.queue_ms - QUEUE_MAX_MS;
  if (query->service->has_engine)
    set_throughput (placement, now, query, place);
  if (place->outcome == MARJORAM_PLACE_BUSY)
    place->retry_ms = place->wait_ms + RETRY_MIN_MS;
}

double
marjoram_placement_backlog (marjoram_placement *placement, const char *service)
{
  return marjoram_placement_service_stats (placement, service)->backlog_ms;
}

double
marjoram_placement_request_ms (marjoram_placement *placement,
                               const char *service)
{
  return marjoram_placement_service_stats (placement, service)->request_ms;
}

static void
add_to_offer (struct marjoram_host_offer *offer, double wait_ms)
{
  if (offer->upstreams == 0 || (uint64_t)wait_ms < offer->wait_ms)
    offer->wait_ms = (uint64_t)wait_ms;
  offer->upstreams++;
}

void
marjoram_placement_offer (marjoram_placement *placement, int64_t now,
                          const struct marjoram_service_rule *service,
                          struct marjoram_host_offer *offer)
{
  const struct marjoram_call_metadata nothing = { 0 };
  const struct marjoram_place_query query
      = { .service = service, .metadata = &nothing, .priority = 1 };
  const struct marjoram_copy no_copy = { 0 };
  struct marjoram_registered_list *upstreams = marjoram_registry_of_service (
      placement->options.registry, service->name);
  struct marjoram_registered *upstream;
  struct marjoram_service_stats *stats
      = marjoram_placement_service_stats (placement, service->name);
  struct dark_zones zones = { .count = 0 };
  double backlog_ms = 0;

  memset (offer, 0, sizeof *offer);
  offer->service = service->name;
  if (!upstreams)
    return;
  marjoram_placement_expire_reports (placement, now);
  TAILQ_FOREACH (upstream, upstreams, service_link)
  {
    struct marjoram_endpoint *endpoint;
    struct estimate estimate;

    if (!marjoram_placement_is_candidate (placement, upstream, &query, now)
        || is_dark (&zones, placement, upstream, now))
      continue;
    endpoint = marjoram_endpoint_of (placement, upstream);
    if (now < endpoint->paused_until || endpoint->connect_failures > 0
        || endpoint->silence == MARJORAM_SILENCE_DARK
        || marjoram_endpoint_retry_wait_ms (endpoint, now) > 0
        || marjoram_endpoint_is_rate_limited (endpoint)
        || is_cold (placement, endpoint, upstream, service, now))
      continue;
    estimate = estimate_endpoint (placement, endpoint, upstream, &query,
                                  &no_copy, now);
    add_to_offer (offer, estimate.wait_ms);
    offer->builds |= marjoram_build_set_of (upstream->heartbeat.build);
    backlog_ms += estimate.backlog_ms;
  }
  if (offer->upstreams == 0)
    return;
  backlog_ms /= (double)offer->upstreams;
  stats->backlog_ms += BACKLOG_SMOOTHING * (backlog_ms - stats->backlog_ms);
  offer->backlog_ms = (uint64_t)stats->backlog_ms;
}
