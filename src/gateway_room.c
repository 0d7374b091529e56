#include "gateway_private.h"

#include <stdio.h>
#include <string.h>

enum
{
  /* Work of a generated token, in prompt tokens to be processed: an engine
     generates about a fifth as many tokens per ms.  */
  ANSWER_TOKEN_WORK = 5,
  PLAIN_REQUEST_WORK = 1000, /* at a service without engines */
  RETRY_MIN_MS = 250,
  /* Customers that are not over soon get what the others leave to them.  */
  WITHIN_RETRY_MAX_MS = 1000
};

/* Added to sort keys, which are times: later than any of the others.  */
#define OVER_SORT_KEY (INT64_C (1) << 50)
/* Requests of customers that want more than their share go behind those of the
   same priority of customers that do not, as those of the next lower priority
   do.  */
#define LIMITED_SORT_KEY marjoram_wait_queue_sort_key (1, 0)

static bool
is_enabled (const marjoram_gateway *gateway)
{
  return gateway->features.share_room && gateway->table
         && gateway->table->customers.count > 0;
}

static int64_t
work_of (const struct marjoram_exchange *exchange,
         const struct marjoram_service_rule *service,
         const struct marjoram_place *chosen)
{
  const struct marjoram_call_metadata *metadata = &exchange->metadata;

  if (!service->has_engine)
    return PLAIN_REQUEST_WORK;
  /* Without a usable engine it is not known what of the prompt is cached.  */
  return 1 + ANSWER_TOKEN_WORK * metadata->answer_tokens_max
         + (chosen->usable > 0 ? chosen->prefill_tokens
                               : metadata->prompt_tokens);
}

/* Streams that were interrupted go on, whoever their customer is: cutting one
   would lose work that was done.  */
static bool
is_exempt (const struct marjoram_exchange *exchange)
{
  return exchange->state == MARJORAM_EXCHANGE_STREAMING;
}

static int64_t
sort_key_of (const struct marjoram_exchange *exchange)
{
  switch (exchange->room.verdict)
    {
    case MARJORAM_ROOM_OVER:
      return OVER_SORT_KEY;
    case MARJORAM_ROOM_LIMITED:
      return LIMITED_SORT_KEY;
    default:
      return 0;
    }
}

static enum marjoram_room_verdict
find_verdict (marjoram_gateway *gateway,
              const struct marjoram_exchange *exchange, int64_t now)
{
  if (is_exempt (exchange))
    return MARJORAM_ROOM_WITHIN;
  if (marjoram_room_share_is_over (gateway->room, now, exchange->service,
                                   exchange->customer))
    return MARJORAM_ROOM_OVER;
  return marjoram_room_share_is_limited (gateway->room, exchange->service,
                                         exchange->customer)
             ? MARJORAM_ROOM_LIMITED
             : MARJORAM_ROOM_WITHIN;
}

/* Moves the exchange in the queue, if it is there, by the change of its part
   of the sort key.  */
static void
set_key (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
         int64_t sort_key)
{
  struct marjoram_waiter *waiter = &exchange->waiter;
  const int64_t change = sort_key - exchange->room.sort_key;

  exchange->room.sort_key = sort_key;
  if (!waiter->queued || change == 0)
    return;
  marjoram_wait_queue_remove (gateway->queue, waiter);
  waiter->sort_key += change;
  marjoram_wait_queue_add (gateway->queue, waiter);
}

static void
update_verdict (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
                int64_t now)
{
  exchange->room.verdict = find_verdict (gateway, exchange, now);
  set_key (gateway, exchange, sort_key_of (exchange));
}

void
marjoram_exchange_judge_room (marjoram_gateway *gateway,
                              struct marjoram_exchange *exchange, int64_t now,
                              const struct marjoram_service_rule *service,
                              const struct marjoram_place *chosen)
{
  struct marjoram_room_claim *room = &exchange->room;

  if (!is_enabled (gateway))
    {
      room->verdict = MARJORAM_ROOM_UNKNOWN;
      set_key (gateway, exchange, 0);
      return;
    }
  if (room->work == 0)
    {
      room->work = work_of (exchange, service, chosen);
      marjoram_room_share_add_wanted (gateway->room, now, exchange->service,
                                      exchange->customer, room->work);
    }
  /* The verdict on queued requests is that of the last sort.  */
  if (!exchange->waiter.queued)
    update_verdict (gateway, exchange, now);
  room->part = marjoram_room_share_part (gateway->room, now, exchange->service,
                                         exchange->customer);
}

/* For how long the upstream of CHOSEN is busy with other requests.  */
static int64_t
busy_ms (const struct marjoram_place *chosen)
{
  if (chosen->engine_tokens_per_ms <= 0)
    return 0;
  return chosen->wait_ms
         - (int64_t)((double)chosen->prefill_tokens
                     / chosen->engine_tokens_per_ms);
}

bool
marjoram_exchange_yields_room (marjoram_gateway *gateway,
                               const struct marjoram_exchange *exchange,
                               int64_t now,
                               const struct marjoram_place *chosen)
{
  if (exchange->room.verdict != MARJORAM_ROOM_OVER)
    return false;
  if (chosen->outcome == MARJORAM_PLACE_FOUND)
    return marjoram_room_share_holds (gateway->room, now, exchange->service,
                                      exchange->customer, busy_ms (chosen));
  marjoram_room_share_found_none (gateway->room, exchange->service);
  return false;
}

void
marjoram_exchange_use_room (marjoram_gateway *gateway,
                            const struct marjoram_exchange *exchange,
                            int64_t now)
{
  if (is_enabled (gateway) && exchange->room.work > 0)
    marjoram_room_share_add_used (gateway->room, now, exchange->service,
                                  exchange->customer, exchange->room.work);
}

void
marjoram_exchange_return_room (marjoram_gateway *gateway,
                               const struct marjoram_exchange *exchange,
                               int64_t now, enum marjoram_attempt_end how)
{
  if (is_enabled (gateway) && exchange->room.work > 0 && !*exchange->host
      && (how == MARJORAM_ATTEMPT_REFUSED
          || how == MARJORAM_ATTEMPT_UNREACHED))
    marjoram_room_share_return_used (gateway->room, now, exchange->service,
                                     exchange->customer, exchange->room.work);
}

int64_t
marjoram_exchange_room_key (const struct marjoram_exchange *exchange)
{
  return exchange->room.sort_key;
}

/* Leaves part of the queue to customers that are not over.  */
int64_t
marjoram_exchange_queue_max (const struct marjoram_exchange *exchange,
                             int64_t limit)
{
  return exchange->room.verdict == MARJORAM_ROOM_OVER ? limit / 2 : limit;
}

static int64_t
longer (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

int64_t
marjoram_exchange_room_retry_ms (marjoram_gateway *gateway,
                                 const struct marjoram_exchange *exchange,
                                 int64_t now, int64_t usual_ms)
{
  int64_t retry_ms;

  if (exchange->room.verdict == MARJORAM_ROOM_UNKNOWN)
    return usual_ms;
  if (exchange->room.verdict == MARJORAM_ROOM_OVER)
    {
      marjoram_metrics_add (gateway->options.metrics,
                            MARJORAM_METRIC_OVER_SHARE_REFUSED, 1);
      retry_ms = marjoram_room_share_retry_ms (
          gateway->room, now, exchange->service, exchange->customer);
      return longer (longer (retry_ms, usual_ms), RETRY_MIN_MS);
    }
  marjoram_room_share_add_refused (gateway->room, now, exchange->service,
                                   exchange->customer);
  /* A measured rate tells better when capacity is expected.  */
  if (usual_ms > WITHIN_RETRY_MAX_MS
      && !marjoram_gateway_measures_waits (gateway))
    return WITHIN_RETRY_MAX_MS;
  return longer (usual_ms, RETRY_MIN_MS);
}

const char *
marjoram_exchange_room_name (const struct marjoram_exchange *exchange)
{
  static const char *const names[] = { [MARJORAM_ROOM_UNKNOWN] = "-",
                                       [MARJORAM_ROOM_WITHIN] = "within",
                                       [MARJORAM_ROOM_LIMITED] = "within",
                                       [MARJORAM_ROOM_OVER] = "over" };

  return names[exchange->room.verdict];
}

/* ---- The queue.  ---- */

/* Moves a queued request to its place among the others if it has come over its
   customer's share, or is no longer.  */
static void
update_order (marjoram_gateway *gateway, struct marjoram_waiter *waiter,
              int64_t now)
{
  struct marjoram_exchange *exchange = waiter->owner;
  update_verdict (gateway, exchange, now);
  if (exchange->room.verdict != MARJORAM_ROOM_OVER)
    marjoram_room_share_add_waiting (gateway->room, now, exchange->service,
                                     exchange->customer, exchange->room.work);
}

void
marjoram_gateway_sort_queue (marjoram_gateway *gateway, int64_t now)
{
  const uint64_t number = ++gateway->room_sorts;
  struct marjoram_waiter *waiter = marjoram_wait_queue_first (gateway->queue);

  if (!is_enabled (gateway))
    return;
  marjoram_room_share_clear_waiting (gateway->room);
  while (waiter)
    {
      struct marjoram_waiter *next = marjoram_wait_queue_next (waiter);
      struct marjoram_exchange *exchange = waiter->owner;

      /* Those that move back are met again.  */
      if (exchange->room.sort_number != number)
        update_order (gateway, waiter, now);
      exchange->room.sort_number = number;
      waiter = next;
    }
}
