/* How fast the work that waits at this host is started, when a request at a
   given place in the queue will be, and when a refused caller should retry.
   Load: demand above capacity for seconds, with callers that retry.  Pure
   decision logic.

   The speed of engines does not tell the wait when their memory or their slots
   are the limit, so it is measured: work started, by the queue or directly,
   while the service was short, that is while requests were waiting or could
   not be placed.  The measurement begins with the first start of a shortage
   and covers the last 2 s.  Work is counted in tokens.

   Requests of a class have the same priority and have, or have not, been tried
   before.  A class's lead is by how much its sort keys (wait_queue.h) exceed
   the time at which its requests arrive: arrivals of a class overtake a
   waiting request until its sort key is no more than that lead away.  */
#ifndef MARJORAM_QUEUE_RATE_H
#define MARJORAM_QUEUE_RATE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct marjoram_queue_rates marjoram_queue_rates;

struct marjoram_queue_class
{
  int priority;
  bool is_return; /* the caller has tried before */
};

/* Identifies what is asked about; the sums count the service's queue.  */
struct marjoram_queue_query
{
  const char *service;
  struct marjoram_queue_class class;
  int64_t sort_key;
  int64_t tokens_ahead; /* queued before SORT_KEY */
  /* Whether the request gets the benefit of the doubt that few samples
     leave.  */
  bool is_lenient;
};

struct marjoram_retry_query
{
  const char *service;
  struct marjoram_queue_class class;
  const char *id; /* of the request; spreads callers */
  int64_t tokens; /* of the request */
  /* By how much the request's expected start is too late; 0 if unknown.  */
  int64_t excess_ms;
  /* Expected from the age of the shortage and from what upstreams state.  */
  int64_t at_least_ms;
  int64_t time_left_ms; /* of the caller */
};

marjoram_queue_rates *marjoram_queue_rates_create (void);
void marjoram_queue_rates_destroy (marjoram_queue_rates *rates);

/* Records that requests of SERVICE wait or cannot be placed at NOW.  To be
   called on each tick while that is so.  UPSTREAMS serve it now.  */
void marjoram_queue_rates_short (marjoram_queue_rates *rates, int64_t now,
                                 const char *service, int upstreams);
/* The upstreams that serve SERVICE as of the last call of
   marjoram_queue_rates_short; 0 if there was none.  */
int marjoram_queue_rates_upstreams (const marjoram_queue_rates *rates,
                                    const char *service);
/* Records the start of a request of TOKENS; negative: it was refused and is
   not counted after all.  */
void marjoram_queue_rates_started (marjoram_queue_rates *rates,
                                   const char *service,
                                   const struct marjoram_queue_class *class,
                                   int64_t tokens);
/* Records that a request of CLASS and TOKENS arrived with a sort key LEAD_MS
   ahead.  */
void marjoram_queue_rates_arrived (marjoram_queue_rates *rates,
                                   const char *service,
                                   const struct marjoram_queue_class *class,
                                   int64_t tokens, int64_t lead_ms);

/* Tokens started per second, with the upstreams of now; negative: not
   known.  */
double marjoram_queue_rates_per_s (const marjoram_queue_rates *rates,
                                   int64_t now, const char *service);
/* Time in ms until a request is expected to start, at most
   MARJORAM_QUEUE_WAIT_MAX_MS; negative: no rate is known.  */
int64_t
marjoram_queue_rates_wait_ms (const marjoram_queue_rates *rates, int64_t now,
                              const struct marjoram_queue_query *query);
/* Delay in ms after which a refused caller should retry: when the requests
   that were refused before it have been started, as far as that is within a
   third of its time, since callers would retry earlier than a longer delay
   says.  */
int64_t
marjoram_queue_rates_retry_ms (marjoram_queue_rates *rates, int64_t now,
                               const struct marjoram_retry_query *query);

/* Time by which the sort key of a request of PRIORITY is lowered whose caller
   has tried for TRIED_MS: more for a longer time, but too little to outrank a
   higher priority, unless much less of the work of PRIORITY is started than of
   all work; 0 if the caller comes back sooner than any refusal says.  */
int64_t marjoram_queue_rates_precedence_ms (const marjoram_queue_rates *rates,
                                            int64_t now, const char *service,
                                            int priority, int64_t tried_ms);

/* For how long a caller has tried that has TIME_LEFT_MS of ROUTE_MS left; 0 if
   this is its first try or TIME_LEFT_MS is not stated.  */
int64_t marjoram_queue_tried_ms (int64_t route_ms, int64_t time_left_ms);

enum
{
  MARJORAM_QUEUE_WAIT_MAX_MS = 60000,
  MARJORAM_QUEUE_RETRY_MIN_MS = 250
};

#endif
