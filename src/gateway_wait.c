#include "gateway_private.h"

enum
{
  /* Maximum number of queued requests; limits their memory to some MB of
     prompts, and more could not be served in time.  */
  QUEUE_MAX = 400,
  /* Maximum number of queued requests for which placement is retried per tick,
     since each is compared with all upstreams; those further back have more
     time.  */
  RETRIES_PER_TICK_MAX = 16,
  /* Period in which an interrupted stream precedes other requests.  After it,
     the stream is ordered by its deadline, so that it cannot starve them.  */
  RESUME_FIRST_MS = 800,
  /* Allowance for one engine batch and the response path, in addition to the
     time to process the prompt.  */
  RESPONSE_OVERHEAD_MS = 60
};

static int64_t
prompt_ms (const struct marjoram_place *place, double tokens_per_ms)
{
  return tokens_per_ms > 0
             ? (int64_t)((double)place->prefill_tokens / tokens_per_ms)
             : 0;
}

int64_t
marjoram_gateway_wait_ms (const marjoram_gateway *gateway, const char *service,
                          int64_t sort_key, const struct marjoram_place *place)
{
  int64_t tokens_ahead
      = marjoram_wait_queue_tokens_before (gateway->queue, service, sort_key);

  if (place->tokens_per_ms <= 0)
    return place->excess_ms;
  return place->excess_ms
         + (int64_t)((double)tokens_ahead / place->tokens_per_ms);
}

static bool
is_interrupted (const struct marjoram_exchange *exchange)
{
  return exchange->state == MARJORAM_EXCHANGE_STREAMING;
}

/* Latest time at which the request can be started.  An interrupted stream may
   wait up to its deadline instead of the latency target, since cutting it
   would lose it.  */
static int64_t
latest_start (const struct marjoram_exchange *exchange,
              const struct marjoram_place *chosen)
{
  const int64_t answer_by = is_interrupted (exchange) ? exchange->deadline_at
                                                      : exchange->target_at;

  return answer_by - RESPONSE_OVERHEAD_MS
         - prompt_ms (chosen, chosen->engine_tokens_per_ms);
}

static int64_t
sort_key_of (const marjoram_gateway *gateway,
             const struct marjoram_exchange *exchange, int64_t now,
             const struct marjoram_place *chosen)
{
  return marjoram_wait_queue_sort_key (exchange->priority,
                                       is_interrupted (exchange)
                                           ? exchange->last_event_at
                                                 + RESUME_FIRST_MS
                                           : latest_start (exchange, chosen))
         + marjoram_exchange_room_key (exchange)
         - marjoram_exchange_precedence_ms (gateway, exchange, now);
}

bool
marjoram_exchange_is_next (const marjoram_gateway *gateway,
                           const struct marjoram_exchange *exchange,
                           int64_t now, const struct marjoram_place *chosen)
{
  int64_t sort_key;

  if (exchange->waiter.queued || chosen->tokens_per_ms <= 0)
    return true;
  sort_key = sort_key_of (gateway, exchange, now, chosen);
  return marjoram_wait_queue_tokens_before (gateway->queue, exchange->service,
                                            sort_key)
         == 0;
}

/* Whether all upstreams have stated, by Retry-After, that they take requests
   only after LATEST.  */
static bool
is_known_too_late (const struct marjoram_place *chosen, int64_t now,
                   int64_t latest)
{
  return chosen->excluded[MARJORAM_EXCLUDED_RETRY_AFTER] == chosen->candidates
         && now + chosen->retry_wait_ms >= latest;
}

static bool
keep_waiting (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
              int64_t now, const struct marjoram_place *chosen)
{
  struct marjoram_waiter *waiter = &exchange->waiter;
  const int64_t deadline_key
      = marjoram_wait_queue_sort_key (exchange->priority, waiter->start_by);
  int64_t latest;

  if (is_interrupted (exchange) && waiter->sort_key < deadline_key
      && now >= exchange->queued_since + RESUME_FIRST_MS)
    {
      marjoram_wait_queue_remove (gateway->queue, waiter);
      waiter->sort_key = deadline_key;
      marjoram_wait_queue_add (gateway->queue, waiter);
    }
  latest = marjoram_exchange_latest_start (gateway, exchange, now,
                                           waiter->start_by);
  /* Paused upstreams become usable again; a service without any does not get
     one in time.  */
  return now < latest && chosen->candidates > 0
         && !is_known_too_late (chosen, now, latest);
}

/* Whether CHOSEN leaves a chance that a place becomes free.  If all upstreams
   are paused their speed is unknown; only interrupted streams wait for
   them.  */
static bool
may_get_place (const struct marjoram_exchange *exchange,
               const struct marjoram_place *chosen)
{
  if (is_interrupted (exchange) && chosen->outcome == MARJORAM_PLACE_NONE)
    return chosen->candidates > 0;
  return chosen->outcome != MARJORAM_PLACE_NONE && chosen->tokens_per_ms > 0;
}

/* Queues requests instead of refusing them, since in a burst the backlog of an
   engine lasts only some hundred ms.  */
bool
marjoram_exchange_wait (marjoram_gateway *gateway,
                        struct marjoram_exchange *exchange, int64_t now,
                        const struct marjoram_place *chosen)
{
  struct marjoram_waiter *waiter = &exchange->waiter;
  bool may_join;

  marjoram_exchange_record_short (gateway, exchange, now, chosen);
  if (waiter->queued)
    return keep_waiting (gateway, exchange, now, chosen);
  waiter->owner = exchange;
  waiter->service = exchange->service;
  waiter->start_by = latest_start (exchange, chosen);
  waiter->sort_key = sort_key_of (gateway, exchange, now, chosen);
  waiter->tokens = marjoram_exchange_work (gateway, chosen);
  if (!may_get_place (exchange, chosen)
      || is_known_too_late (chosen, now, waiter->start_by)
      || marjoram_wait_queue_count (gateway->queue)
             >= marjoram_exchange_queue_max (exchange, QUEUE_MAX))
    return false;
  exchange->queued_since = now;
  if (!is_interrupted (exchange)
      && marjoram_exchange_check_join (gateway, exchange, now, &may_join))
    {
      if (may_join)
        marjoram_wait_queue_add (gateway->queue, waiter);
      return may_join;
    }
  if (now
          + marjoram_gateway_wait_ms (gateway, exchange->service,
                                      waiter->sort_key, chosen)
      >= waiter->start_by)
    return false;
  marjoram_wait_queue_add (gateway->queue, waiter);
  return true;
}

void
marjoram_gateway_retry_queued (marjoram_gateway *gateway, int64_t now)
{
  struct marjoram_waiter *waiter;

  marjoram_gateway_sort_queue (gateway, now);
  waiter = marjoram_wait_queue_first (gateway->queue);
  for (int i = 0; waiter && i < RETRIES_PER_TICK_MAX; i++)
    {
      struct marjoram_waiter *next = marjoram_wait_queue_next (waiter);

      marjoram_exchange_send (gateway, waiter->owner, now);
      waiter = next;
    }
  marjoram_gateway_refuse_too_late (gateway, now);
}
