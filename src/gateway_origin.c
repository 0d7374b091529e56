/* Streams that callers take up again: the build that began one is looked up at
   this host and, if it did not serve the stream, at keepers.  */
#include "gateway_private.h"

#include <stdio.h>
#include <string.h>

enum
{
  STATUS_UNAVAILABLE = 503,
  /* Time for the keepers' answers: a round trip to another region, and the
     time for which a busy keeper may be late.  */
  ANSWER_TIMEOUT_MS = 400,
  /* Time after a stream's deadline for which its build is kept, for callers
     that come back late.  */
  KEEP_AFTER_DEADLINE_MS = 30000,
  RETRY_MS = 250
};

static void
keep_origin (marjoram_gateway *gateway,
             const struct marjoram_exchange *exchange, int64_t now,
             const char *id)
{
  const int64_t keep_ms
      = marjoram_exchange_time_left (exchange, now) + KEEP_AFTER_DEADLINE_MS;

  marjoram_stream_origins_add (gateway->origins, now, id,
                               exchange->required_build, keep_ms);
  gateway->ops->tell_origin (gateway->context, id, exchange->required_build,
                             keep_ms);
}

void
marjoram_exchange_record_origin (marjoram_gateway *gateway,
                                 const struct marjoram_exchange *exchange,
                                 int64_t now)
{
  if (exchange->repeatable && !exchange->forwarded && *exchange->metadata.id)
    keep_origin (gateway, exchange, now, exchange->metadata.id);
}

static void
refuse_unknown (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
                int64_t now)
{
  static const struct marjoram_refusal refusal
      = { MARJORAM_REASON_BUILD_UNKNOWN, STATUS_UNAVAILABLE, RETRY_MS };

  marjoram_exchange_refuse (gateway, exchange, now, &refusal);
}

/* A caller that does not name the attempt that began the stream: its build is
   known only if the service has had a single one since before that.  What this
   host has not heard of may have been there, as it may be cut off or stand
   still, so that keepers are asked too.  Returns how many.  */
static size_t
ask_only_build (const marjoram_gateway *gateway,
                const struct marjoram_route_rule *route,
                struct marjoram_exchange *exchange, int64_t now)
{
  const int64_t for_ms = route->timeout_ms + KEEP_AFTER_DEADLINE_MS;
  const char *service
      = marjoram_route_pick_service (route, exchange->metadata.id);
  const char *build
      = service ? marjoram_registry_only_build (
            gateway->options.place.registry, service, now - for_ms)
                : NULL;

  if (!build)
    return 0;
  snprintf (exchange->only_build, sizeof exchange->only_build, "%s", build);
  return gateway->ops->ask_only_build (gateway->context, exchange->call,
                                       service, for_ms);
}

static bool
is_taken_up (const struct marjoram_exchange *exchange,
             const struct marjoram_route_rule *route)
{
  return route->stream && exchange->build_rule == MARJORAM_BUILD_ANY
         && exchange->attempts_sent == 0
         && (*exchange->metadata.resumes || *exchange->metadata.last_event);
}

static void
ask_keepers (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
             const struct marjoram_route_rule *route, int64_t now)
{
  exchange->origin_asked = true;
  exchange->origin_asked_at = now;
  exchange->origins_awaited
      = *exchange->metadata.resumes
            ? gateway->ops->ask_origin (gateway->context,
                                        exchange->metadata.resumes)
            : ask_only_build (gateway, route, exchange, now);
}

bool
marjoram_exchange_find_origin (marjoram_gateway *gateway,
                               struct marjoram_exchange *exchange,
                               const struct marjoram_route_rule *route,
                               int64_t now)
{
  const char *build;

  if (!is_taken_up (exchange, route))
    return true;
  build = *exchange->metadata.resumes ? marjoram_stream_origins_find (
              gateway->origins, now, exchange->metadata.resumes)
                                      : NULL;
  if (build)
    {
      marjoram_exchange_require_build (exchange, build);
      return true;
    }
  if (!exchange->origin_asked)
    ask_keepers (gateway, exchange, route, now);
  if (exchange->origins_awaited > 0
      && now < exchange->origin_asked_at + ANSWER_TIMEOUT_MS)
    return false;
  refuse_unknown (gateway, exchange, now);
  return false;
}

static void
apply_origin (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
              int64_t now, const char *build)
{
  if (build)
    {
      marjoram_exchange_require_build (exchange, build);
      keep_origin (gateway, exchange, now, exchange->metadata.resumes);
    }
  else
    exchange->origins_awaited--;
  if (build || exchange->origins_awaited == 0)
    marjoram_exchange_admit (gateway, exchange, now);
}

void
marjoram_gateway_origin_answered (marjoram_gateway *gateway, int64_t now,
                                  const char *id, const char *build)
{
  struct marjoram_exchange *exchange;
  struct marjoram_exchange *next;

  HASH_ITER (by_call, gateway->by_call, exchange, next)
  {
    if (exchange->origins_awaited > 0
        && exchange->state == MARJORAM_EXCHANGE_WAITING
        && exchange->build_rule == MARJORAM_BUILD_ANY
        && strcmp (exchange->metadata.resumes, id) == 0)
      apply_origin (gateway, exchange, now, build);
  }
}

static bool
awaits_only_build (const struct marjoram_exchange *exchange)
{
  return exchange->origins_awaited > 0
         && exchange->state == MARJORAM_EXCHANGE_WAITING
         && exchange->build_rule == MARJORAM_BUILD_ANY
         && !*exchange->metadata.resumes;
}

void
marjoram_gateway_only_build_answered (marjoram_gateway *gateway, int64_t now,
                                      uint64_t call, const char *build,
                                      uint64_t keepers)
{
  struct marjoram_exchange *exchange;

  HASH_FIND (by_call, gateway->by_call, &call, sizeof call, exchange);
  if (!exchange || !awaits_only_build (exchange))
    return;
  if (!build || strcmp (build, exchange->only_build) != 0)
    {
      refuse_unknown (gateway, exchange, now);
      return;
    }
  exchange->only_said++;
  if (keepers > exchange->only_needed)
    exchange->only_needed = keepers;
  if (--exchange->origins_awaited > 0)
    return;
  if (exchange->only_said >= exchange->only_needed)
    marjoram_exchange_require_build (exchange, exchange->only_build);
  marjoram_exchange_admit (gateway, exchange, now);
}
