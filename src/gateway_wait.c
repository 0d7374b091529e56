#include "gateway_private.h"

enum
{
  /* Most requests that wait at once, some MB of prompts: more could not be
     served in time.  */
  WAITERS_MAX = 400,
  /* Most waiting requests that are tried for a place at once: each is compared
     with all upstreams, and those further back have more time.  */
  TRIES_MAX = 16,
  /* A stream that broke off goes before others for this long, as its caller
     already reads; then it waits among them by the time that it has left, so
     that streams without a place keep nobody else from one.  */
  RESUME_FIRST_MS = 800,
  /* Until an upstream's first event is with the caller, beside the reading of
     the prompt: a batch, and the way back.  */
  ANSWER_MS = 60
};

static int64_t
read_ms (const struct marjoram_place *place, double tokens_per_ms)
{
  return tokens_per_ms > 0
             ? (int64_t)((double)place->unread_tokens / tokens_per_ms)
             : 0;
}

int64_t
marjoram_gateway_wait_ms (const marjoram_gateway *gateway, const char *service,
                          int64_t turn, const struct marjoram_place *place)
{
  int64_t ahead = marjoram_wait_queue_ahead (gateway->queue, service, turn);

  if (place->tokens_per_ms <= 0)
    return place->over_ms;
  return place->over_ms + (int64_t)((double)ahead / place->tokens_per_ms);
}

static bool
is_broken_off (const struct marjoram_exchange *exchange)
{
  return exchange->state == MARJORAM_EXCHANGE_STREAMS;
}

/* A stream that is cut is lost for sure, while one that pauses may go on: its
   caller waits for events as long as for the whole.  */
static int64_t
last_start (const struct marjoram_exchange *exchange,
            const struct marjoram_place *chosen)
{
  const int64_t answer_by
      = is_broken_off (exchange) ? exchange->due_at : exchange->useful_by;

  return answer_by - ANSWER_MS
         - read_ms (chosen, chosen->engine_tokens_per_ms);
}

static int64_t
turn_of (const struct marjoram_exchange *exchange,
         const struct marjoram_place *chosen)
{
  return marjoram_wait_queue_turn (exchange->priority,
                                   is_broken_off (exchange)
                                       ? exchange->last_at + RESUME_FIRST_MS
                                       : last_start (exchange, chosen));
}

bool
marjoram_exchange_is_its_turn (const marjoram_gateway *gateway,
                               const struct marjoram_exchange *exchange,
                               const struct marjoram_place *chosen)
{
  int64_t turn;

  if (exchange->waiter.waits || chosen->tokens_per_ms <= 0)
    return true;
  turn = turn_of (exchange, chosen);
  return marjoram_wait_queue_ahead (gateway->queue, exchange->service, turn)
         == 0;
}

/* Whether the exchange, which waits, may go on to do so.  */
static bool
wait_on (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
         int64_t now, const struct marjoram_place *chosen)
{
  struct marjoram_waiter *waiter = &exchange->waiter;
  const int64_t later
      = marjoram_wait_queue_turn (exchange->priority, waiter->start_by);

  if (is_broken_off (exchange) && waiter->turn < later
      && now >= exchange->waits_since + RESUME_FIRST_MS)
    {
      marjoram_wait_queue_remove (gateway->queue, waiter);
      waiter->turn = later;
      marjoram_wait_queue_add (gateway->queue, waiter);
    }
  /* All upstreams may be paused for a moment; none at all won't come back.  */
  return now < waiter->start_by && chosen->candidates > 0;
}

/* Whether a place may come at all, as far as CHOSEN tells.  Where all
   upstreams are paused, nothing is known of their speed; a stream waits for
   them all the same.  */
static bool
may_come (const struct marjoram_exchange *exchange,
          const struct marjoram_place *chosen)
{
  if (is_broken_off (exchange) && chosen->outcome == MARJORAM_PLACE_NONE)
    return chosen->candidates > 0;
  return chosen->outcome != MARJORAM_PLACE_NONE && chosen->tokens_per_ms > 0;
}

/* Under bursts, a request that is refused the moment it comes is a lottery: an
   engine has too many prompts ahead for some hundred ms, while the answer
   would be of use a second later.  */
bool
marjoram_exchange_wait (marjoram_gateway *gateway,
                        struct marjoram_exchange *exchange, int64_t now,
                        const struct marjoram_place *chosen)
{
  struct marjoram_waiter *waiter = &exchange->waiter;

  if (waiter->waits)
    return wait_on (gateway, exchange, now, chosen);
  if (!may_come (exchange, chosen)
      || marjoram_wait_queue_count (gateway->queue) >= WAITERS_MAX)
    return false;
  waiter->owner = exchange;
  waiter->service = exchange->service;
  waiter->start_by = last_start (exchange, chosen);
  waiter->turn = turn_of (exchange, chosen);
  exchange->waits_since = now;
  waiter->tokens = chosen->unread_tokens;
  if (now
          + marjoram_gateway_wait_ms (gateway, exchange->service, waiter->turn,
                                      chosen)
      >= waiter->start_by)
    return false;
  marjoram_wait_queue_add (gateway->queue, waiter);
  return true;
}

void
marjoram_gateway_try_waiting (marjoram_gateway *gateway, int64_t now)
{
  struct marjoram_waiter *waiter = marjoram_wait_queue_first (gateway->queue);

  for (int i = 0; waiter && i < TRIES_MAX; i++)
    {
      struct marjoram_waiter *next = marjoram_wait_queue_next (waiter);

      marjoram_exchange_send (gateway, waiter->owner, now);
      waiter = next;
    }
}
