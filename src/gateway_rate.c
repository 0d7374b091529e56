#include "gateway_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum
{
  MSEC_PER_SEC = 1000,
  /* Allowance for one engine batch and the response path.  */
  RESPONSE_OVERHEAD_MS = 60,
  /* Part of its objective for which a request may wait and still be refused:
     its caller has time left to try again.  */
  VAIN_PART = 2,
  /* Time within which the rate of a shortage becomes known; until then no
     request is refused that has waited in vain.  */
  RATE_KNOWN_MS = 2000,
  /* Part of its objective that a returning caller's request may wait less than
     is useful: others come back at the same time.  */
  MARGIN_PART = 2,
  SERVICES_MAX = 16 /* with queued requests; others are not checked */
};

bool
marjoram_gateway_measures_waits (const marjoram_gateway *gateway)
{
  return gateway->features.measured_waits;
}

static bool
is_interrupted (const struct marjoram_exchange *exchange)
{
  return exchange->state == MARJORAM_EXCHANGE_STREAMING;
}

/* A caller that comes back sooner than any refusal says counts as one that
   has not tried.  */
static bool
is_return (const struct marjoram_exchange *exchange)
{
  return exchange->wait.tried_ms >= MARJORAM_QUEUE_RETRY_MIN_MS;
}

static struct marjoram_queue_class
class_of (const struct marjoram_exchange *exchange)
{
  return (struct marjoram_queue_class){ exchange->priority,
                                        is_return (exchange) };
}

static int64_t
objective_of (const struct marjoram_exchange *exchange)
{
  return exchange->objective_ms > 0
             ? exchange->objective_ms
             : exchange->target_at - exchange->received_at;
}

/* ---- Measurement. ---- */

/* Upstreams that start requests of the service, now or once they have room.
   Those of another build than this request's serve others.  */
static int
count_serving (const struct marjoram_place *chosen)
{
  const int *excluded = chosen->excluded;

  return chosen->candidates + excluded[MARJORAM_EXCLUDED_BUILD]
         - excluded[MARJORAM_EXCLUDED_UNREACHABLE]
         - excluded[MARJORAM_EXCLUDED_DARK]
         - excluded[MARJORAM_EXCLUDED_REPLACED]
         - excluded[MARJORAM_EXCLUDED_COLD]
         - excluded[MARJORAM_EXCLUDED_REPORTED_LOST];
}

int64_t
marjoram_exchange_work (const marjoram_gateway *gateway,
                        const struct marjoram_place *chosen)
{
  return marjoram_gateway_measures_waits (gateway)
                 && chosen->prefill_tokens < 1
             ? 1
             : chosen->prefill_tokens;
}

/* The sort key that a request of this kind has when it arrives, less the time
   at which it does.  */
static int64_t
lead_of (const marjoram_gateway *gateway,
         const struct marjoram_exchange *exchange, int64_t now)
{
  return marjoram_wait_queue_sort_key (
             exchange->priority, exchange->target_at - RESPONSE_OVERHEAD_MS)
         - marjoram_exchange_precedence_ms (gateway, exchange, now)
         - exchange->received_at;
}

static void
record_arrival (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
                int64_t now, const struct marjoram_place *chosen)
{
  const struct marjoram_queue_class class = class_of (exchange);

  if (exchange->wait.arrived || is_interrupted (exchange))
    return;
  exchange->wait.arrived = true;
  marjoram_queue_rates_arrived (gateway->queue_rates, exchange->service,
                                &class,
                                marjoram_exchange_work (gateway, chosen),
                                lead_of (gateway, exchange, now));
}

void
marjoram_exchange_record_short (marjoram_gateway *gateway,
                                struct marjoram_exchange *exchange,
                                int64_t now,
                                const struct marjoram_place *chosen)
{
  if (!marjoram_gateway_measures_waits (gateway))
    return;
  exchange->wait.response_ms = chosen->wait_ms - chosen->excess_ms;
  if (!exchange->waiter.queued)
    exchange->wait.too_late = false;
  record_arrival (gateway, exchange, now, chosen);
  marjoram_queue_rates_short (gateway->queue_rates, now, exchange->service,
                              count_serving (chosen));
}

void
marjoram_exchange_record_start (marjoram_gateway *gateway,
                                struct marjoram_exchange *exchange,
                                int64_t now,
                                const struct marjoram_place *chosen)
{
  const struct marjoram_queue_class class = class_of (exchange);
  const int64_t tokens = exchange->waiter.queued
                             ? exchange->waiter.tokens
                             : marjoram_exchange_work (gateway, chosen);

  if (!marjoram_gateway_measures_waits (gateway))
    return;
  exchange->wait.started_tokens = tokens;
  record_arrival (gateway, exchange, now, chosen);
  marjoram_queue_rates_started (gateway->queue_rates, exchange->service,
                                &class, tokens);
}

void
marjoram_exchange_record_not_started (marjoram_gateway *gateway,
                                      struct marjoram_exchange *exchange)
{
  const struct marjoram_queue_class class = class_of (exchange);

  if (!marjoram_gateway_measures_waits (gateway)
      || exchange->wait.started_tokens == 0)
    return;
  marjoram_queue_rates_started (gateway->queue_rates, exchange->service,
                                &class, -exchange->wait.started_tokens);
  exchange->wait.started_tokens = 0;
}

/* ---- Order and expected start. ---- */

int64_t
marjoram_exchange_precedence_ms (const marjoram_gateway *gateway,
                                 const struct marjoram_exchange *exchange,
                                 int64_t now)
{
  if (!marjoram_gateway_measures_waits (gateway) || is_interrupted (exchange))
    return 0;
  return marjoram_queue_rates_precedence_ms (
      gateway->queue_rates, now, exchange->service, exchange->priority,
      exchange->wait.tried_ms);
}

/* Expected wait of the exchange behind TOKENS_AHEAD.  */
static int64_t
wait_behind (const marjoram_gateway *gateway,
             const struct marjoram_exchange *exchange, int64_t now,
             int64_t sort_key, int64_t tokens_ahead)
{
  const int64_t room_key = marjoram_exchange_room_key (exchange);
  /* A queued request is refused only if that is certain.  The key tells how
     long others can still arrive ahead of it, which a customer's share does
     not change.  */
  const struct marjoram_queue_query query
      = { .service = exchange->service,
          .class = class_of (exchange),
          .sort_key = sort_key >= room_key ? sort_key - room_key : sort_key,
          .tokens_ahead = tokens_ahead,
          .is_lenient = exchange->waiter.queued };

  return marjoram_queue_rates_wait_ms (gateway->queue_rates, now, &query);
}

int64_t
marjoram_exchange_measured_wait_ms (const marjoram_gateway *gateway,
                                    const struct marjoram_exchange *exchange,
                                    int64_t now, int64_t sort_key)
{
  if (!marjoram_gateway_measures_waits (gateway))
    return -1;
  return wait_behind (gateway, exchange, now, sort_key,
                      marjoram_wait_queue_tokens_before (
                          gateway->queue, exchange->service, sort_key)
                          + exchange->waiter.tokens);
}

/* Latest start for a first event within the objective.  */
static int64_t
latest_in_time (const struct marjoram_exchange *exchange)
{
  return exchange->target_at - RESPONSE_OVERHEAD_MS
         - exchange->wait.response_ms;
}

/* Latest start for a complete answer before the deadline.  */
static int64_t
latest_late (const marjoram_gateway *gateway,
             const struct marjoram_exchange *exchange)
{
  return exchange->deadline_at - RESPONSE_OVERHEAD_MS
         - exchange->wait.response_ms
         - (int64_t)marjoram_placement_request_ms (gateway->placement,
                                                   exchange->service);
}

static bool
has_waited_long (const struct marjoram_exchange *exchange, int64_t now)
{
  return exchange->waiter.queued
         && VAIN_PART * (now - exchange->queued_since)
                >= objective_of (exchange);
}

/* A caller that has been held for long, or whose request may have run, is
   served late rather than refused.  Others are served in time or told at once
   when to retry: room for a late answer is room that another request could use
   in time.  */
static int64_t
latest_useful (const marjoram_gateway *gateway,
               const struct marjoram_exchange *exchange, int64_t now)
{
  return marjoram_exchange_may_have_run (exchange)
                 || has_waited_long (exchange, now)
             ? latest_late (gateway, exchange)
             : latest_in_time (exchange);
}

bool
marjoram_exchange_check_join (marjoram_gateway *gateway,
                              struct marjoram_exchange *exchange, int64_t now,
                              bool *may_join)
{
  const int64_t wait_ms = marjoram_exchange_measured_wait_ms (
      gateway, exchange, now, exchange->waiter.sort_key);

  if (wait_ms < 0)
    return false;
  *may_join = now + wait_ms < latest_useful (gateway, exchange, now);
  exchange->wait.refused_early = !*may_join;
  return true;
}

static bool
knows_rate (const marjoram_gateway *gateway,
            const struct marjoram_exchange *exchange, int64_t now)
{
  return marjoram_gateway_measures_waits (gateway)
         && marjoram_queue_rates_per_s (gateway->queue_rates, now,
                                        exchange->service)
                >= 0;
}

int64_t
marjoram_exchange_latest_start (const marjoram_gateway *gateway,
                                const struct marjoram_exchange *exchange,
                                int64_t now, int64_t latest)
{
  const int64_t late = latest_late (gateway, exchange);

  if (is_interrupted (exchange) || !marjoram_gateway_measures_waits (gateway))
    return latest;
  if (knows_rate (gateway, exchange, now))
    return exchange->wait.too_late ? now : late;
  if (latest < exchange->queued_since + RATE_KNOWN_MS)
    latest = exchange->queued_since + RATE_KNOWN_MS;
  return latest < late ? latest : late;
}

/* The objective is not shortened by the wait: an engine takes requests whose
   wait there is below it, so that one that has less left would be passed over
   until it is of no use.  */
int64_t
marjoram_exchange_place_time_ms (const marjoram_gateway *gateway,
                                 const struct marjoram_exchange *exchange,
                                 int64_t now, int64_t time_left_ms)
{
  int64_t time_ms;

  if (!exchange->waiter.queued || is_interrupted (exchange)
      || !marjoram_gateway_measures_waits (gateway)
      || !has_waited_long (exchange, now))
    return time_left_ms;
  time_ms = objective_of (exchange);
  if (time_ms > exchange->deadline_at - now)
    time_ms = exchange->deadline_at - now;
  return time_ms > time_left_ms ? time_ms : time_left_ms;
}

/* ---- Queued requests that cannot start early enough. ---- */

/* Tokens of each service counted so far in queue order.  */
struct tokens_ahead
{
  const char *names[SERVICES_MAX];
  int64_t tokens[SERVICES_MAX];
  size_t count;
};

/* Null if there are too many services.  */
static int64_t *
tokens_of (struct tokens_ahead *ahead, const char *service)
{
  for (size_t i = 0; i < ahead->count; i++)
    if (strcmp (ahead->names[i], service) == 0)
      return &ahead->tokens[i];
  if (ahead->count == SERVICES_MAX)
    return NULL;
  ahead->names[ahead->count] = service;
  ahead->tokens[ahead->count] = 0;
  return &ahead->tokens[ahead->count++];
}

static bool
is_too_late (const marjoram_gateway *gateway,
             const struct marjoram_exchange *exchange, int64_t now,
             int64_t tokens_ahead)
{
  int64_t wait_ms;

  if (is_interrupted (exchange))
    return false;
  wait_ms = wait_behind (gateway, exchange, now, exchange->waiter.sort_key,
                         tokens_ahead + exchange->waiter.tokens);
  return wait_ms >= 0
         && now + wait_ms >= latest_useful (gateway, exchange, now);
}

/* Requests that are too late don't count for those behind them.  */
static void
find_too_late (marjoram_gateway *gateway, int64_t now)
{
  struct tokens_ahead ahead = { .count = 0 };
  struct marjoram_waiter *waiter;

  for (waiter = marjoram_wait_queue_first (gateway->queue); waiter;
       waiter = marjoram_wait_queue_next (waiter))
    {
      struct marjoram_exchange *exchange = waiter->owner;
      int64_t *tokens = tokens_of (&ahead, waiter->service);

      exchange->wait.too_late
          = tokens && is_too_late (gateway, exchange, now, *tokens);
      if (tokens && !exchange->wait.too_late)
        *tokens += waiter->tokens;
    }
  for (size_t i = 0; i < ahead.count; i++)
    marjoram_queue_rates_short (
        gateway->queue_rates, now, ahead.names[i],
        marjoram_queue_rates_upstreams (gateway->queue_rates, ahead.names[i]));
}

void
marjoram_gateway_refuse_too_late (marjoram_gateway *gateway, int64_t now)
{
  struct marjoram_waiter *waiter;
  struct marjoram_waiter *previous;

  if (!marjoram_gateway_measures_waits (gateway))
    return;
  find_too_late (gateway, now);
  for (waiter = marjoram_wait_queue_last (gateway->queue); waiter;
       waiter = previous)
    {
      struct marjoram_exchange *exchange = waiter->owner;

      previous = marjoram_wait_queue_previous (waiter);
      if (!exchange->wait.too_late)
        continue;
      exchange->wait.refused_early = !has_waited_long (exchange, now);
      marjoram_exchange_send (gateway, exchange, now);
    }
}

/* ---- Refusals. ---- */

int64_t
marjoram_exchange_return_ms (marjoram_gateway *gateway,
                             const struct marjoram_exchange *exchange,
                             int64_t now, int64_t at_least_ms)
{
  struct marjoram_retry_query query
      = { .service = exchange->service,
          .class = class_of (exchange),
          .id = exchange->metadata.id,
          .tokens = exchange->waiter.tokens > 0 ? exchange->waiter.tokens : 1,
          .at_least_ms = at_least_ms,
          .time_left_ms = marjoram_exchange_time_left (exchange, now) };
  int64_t wait_ms;

  if (!marjoram_gateway_measures_waits (gateway))
    return at_least_ms;
  wait_ms = marjoram_exchange_measured_wait_ms (gateway, exchange, now,
                                                exchange->waiter.sort_key);
  if (wait_ms >= 0)
    query.excess_ms = now + wait_ms - latest_in_time (exchange)
                      + objective_of (exchange) / MARGIN_PART;
  return marjoram_queue_rates_retry_ms (gateway->queue_rates, now, &query);
}

void
marjoram_exchange_record_wait_end (marjoram_gateway *gateway,
                                   const struct marjoram_exchange *exchange,
                                   int64_t now)
{
  if (!marjoram_gateway_measures_waits (gateway))
    return;
  if (exchange->waiter.queued && !is_interrupted (exchange)
      && VAIN_PART * (now - exchange->queued_since) > objective_of (exchange))
    marjoram_metrics_add (gateway->options.metrics,
                          MARJORAM_METRIC_WAITED_IN_VAIN, 1);
  else if (exchange->wait.refused_early && exchange->attempts_sent == 0)
    marjoram_metrics_add (gateway->options.metrics,
                          MARJORAM_METRIC_REFUSED_EARLY, 1);
}

static int64_t
waited_ms (const struct marjoram_exchange *exchange, int64_t now)
{
  if (exchange->queued_since == 0)
    return 0;
  if (exchange->waiter.queued || exchange->attempt_sent_at == 0)
    return now - exchange->queued_since;
  return exchange->attempt_sent_at - exchange->queued_since;
}

void
marjoram_exchange_write_wait (const marjoram_gateway *gateway,
                              const struct marjoram_exchange *exchange,
                              int64_t now, char *text, size_t size)
{
  text[0] = '\0';
  if (!marjoram_gateway_measures_waits (gateway))
    return;
  snprintf (text, size,
            " waited_ms=%" PRId64 " queue_rate=%.0f retry_ms=%" PRId64
            " tried_ms=%" PRId64,
            waited_ms (exchange, now),
            marjoram_queue_rates_per_s (gateway->queue_rates, now,
                                        exchange->service),
            exchange->wait.retry_ms, exchange->wait.tried_ms);
}

/* ---- Offers to other regions. ---- */

void
marjoram_gateway_offer (marjoram_gateway *gateway, int64_t now,
                        const struct marjoram_service_rule *service,
                        struct marjoram_host_offer *offer)
{
  int64_t tokens;
  double per_s;

  marjoram_placement_offer (gateway->placement, now, service, offer);
  if (!marjoram_gateway_measures_waits (gateway))
    return;
  tokens = marjoram_wait_queue_tokens_before (gateway->queue, service->name,
                                              INT64_MAX);
  per_s
      = marjoram_queue_rates_per_s (gateway->queue_rates, now, service->name);
  if (tokens == 0 || per_s < 0)
    return;
  if (per_s * MARJORAM_QUEUE_WAIT_MAX_MS <= (double)tokens * MSEC_PER_SEC)
    offer->wait_ms += MARJORAM_QUEUE_WAIT_MAX_MS;
  else
    offer->wait_ms += (uint64_t)((double)tokens * MSEC_PER_SEC / per_s);
}
