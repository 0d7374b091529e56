#include "queue_rate.h"

#include "cleanup.h"

#include <math.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

/* Weight of a new sample in the lead of a class.  */
#define LEAD_SMOOTHING 0.1

enum
{
  MSEC_PER_SEC = 1000,
  WINDOW_MS = 2000,
  BUCKET_MS = 100,
  BUCKETS = WINDOW_MS / BUCKET_MS,
  PRIORITIES = 10,
  CLASSES = 2 * PRIORITIES,
  /* Longest time between two reports of a shortage that counts as one; a
     loaded host ticks late.  */
  GAP_MS = 200,
  /* Below these a rate is noise.  */
  MEASURED_MIN_MS = 300,
  STARTS_MIN = 8,
  /* Just below what a step of priority is worth (wait_queue.h).  */
  PRECEDENCE_MAX_MS = 1000,
  /* A priority is starved if its started share is below this part of that of
     all work.  */
  STARVED_PART = 4,
  /* Callers that state their time after some transit have not tried yet.  */
  TRIED_MIN_MS = 50,
  /* A caller retries earlier than after this part of its time.  */
  TIME_LEFT_PART = 3,
  /* Part of a delay over which callers are spread, and its maximum.  */
  SPREAD_PART = 4,
  SPREAD_MAX_MS = 1000
};

struct bucket
{
  int64_t number;      /* start time / BUCKET_MS */
  int64_t measured_ms; /* of shortage */
  double upstream_ms;  /* the same, times the upstreams */
  int64_t starts;
  int64_t tokens[CLASSES]; /* started */
  int64_t wanted[CLASSES]; /* arrived */
};

/* Sums over the window.  */
struct sums
{
  int64_t measured_ms;
  double upstream_ms;
  int64_t starts;
  double tokens[CLASSES]; /* started */
  double all_tokens;
  double wanted[CLASSES]; /* arrived */
  double all_wanted;
};

struct service
{
  char *name;
  int upstreams;
  int64_t short_at;      /* last report; INT64_MIN if none */
  bool measuring;        /* the shortage has had its first start */
  int64_t silent_ms;     /* of the shortage, before that */
  double silent_work_ms; /* the same, times the upstreams */
  /* Since the last report.  */
  int64_t starts;
  int64_t tokens[CLASSES];
  int64_t wanted[CLASSES];
  double lead_ms[CLASSES];
  bool has_lead[CLASSES];
  /* When the callers refused so far will have been served, by priority.  */
  int64_t promised_until[PRIORITIES];
  struct bucket buckets[BUCKETS];
  struct sums sums;
  int64_t summed_at; /* INT64_MIN if SUMS are out of date */
  UT_hash_handle hh;
};

struct marjoram_queue_rates
{
  struct service *services;
};

marjoram_queue_rates *
marjoram_queue_rates_create (void)
{
  return marjoram_alloc (sizeof (marjoram_queue_rates));
}

void
marjoram_queue_rates_destroy (marjoram_queue_rates *rates)
{
  struct service *service;
  struct service *next;

  if (!rates)
    return;
  HASH_ITER (hh, rates->services, service, next)
  {
    /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
    HASH_DELETE (hh, rates->services, service);
    free (service->name);
    free (service);
  }
  free (rates);
}

static struct service *
find (const marjoram_queue_rates *rates, const char *name)
{
  struct service *service;

  HASH_FIND_STR (rates->services, name, service);
  return service;
}

static struct service *
find_or_add (marjoram_queue_rates *rates, const char *name)
{
  struct service *service = find (rates, name);

  if (service)
    return service;
  service = marjoram_alloc (sizeof *service);
  service->name = marjoram_strdup (name);
  service->short_at = INT64_MIN;
  service->summed_at = INT64_MIN;
  for (int i = 0; i < BUCKETS; i++)
    service->buckets[i].number = INT64_MIN;
  HASH_ADD_KEYPTR (hh, rates->services, service->name, strlen (service->name),
                   service);
  return service;
}

static int
limit_priority (int priority)
{
  if (priority < 0)
    return 0;
  return priority < PRIORITIES ? priority : PRIORITIES - 1;
}

static int
index_of (const struct marjoram_queue_class *class)
{
  return 2 * limit_priority (class->priority) + (class->is_return ? 0 : 1);
}

/* ---- Measurement. ---- */

static struct bucket *
bucket_at (struct service *service, int64_t now)
{
  const int64_t number = now / BUCKET_MS;
  struct bucket *bucket = &service->buckets[number % BUCKETS];

  service->summed_at = INT64_MIN;
  if (bucket->number != number)
    *bucket = (struct bucket){ .number = number };
  return bucket;
}

static void
forget_pending (struct service *service)
{
  service->starts = 0;
  memset (service->tokens, 0, sizeof service->tokens);
  memset (service->wanted, 0, sizeof service->wanted);
}

static void
commit_pending (struct service *service, int64_t now, int64_t elapsed_ms)
{
  struct bucket *bucket = bucket_at (service, now);

  bucket->measured_ms += elapsed_ms;
  bucket->upstream_ms += (double)elapsed_ms * service->upstreams;
  bucket->starts += service->starts;
  for (int i = 0; i < CLASSES; i++)
    {
      bucket->tokens[i] += service->tokens[i];
      bucket->wanted[i] += service->wanted[i];
    }
}

/* The time until the first start belongs to the requests that ran before the
   shortage.  If nothing starts for the whole window, the rate is zero.  */
static void
await_first_start (struct service *service, int64_t now, int64_t elapsed_ms)
{
  struct bucket *bucket;

  service->measuring = service->starts > 0;
  service->silent_ms += elapsed_ms;
  service->silent_work_ms += (double)elapsed_ms * service->upstreams;
  if (service->measuring || service->silent_ms < WINDOW_MS)
    return;
  service->measuring = true;
  bucket = bucket_at (service, now);
  bucket->measured_ms += service->silent_ms;
  bucket->upstream_ms += service->silent_work_ms;
}

void
marjoram_queue_rates_short (marjoram_queue_rates *rates, int64_t now,
                            const char *name, int upstreams)
{
  struct service *service = find_or_add (rates, name);
  const bool goes_on
      = service->short_at != INT64_MIN && now - service->short_at <= GAP_MS;

  if (goes_on && service->measuring)
    commit_pending (service, now, now - service->short_at);
  else if (goes_on)
    await_first_start (service, now, now - service->short_at);
  else
    {
      service->measuring = false;
      service->silent_ms = 0;
      service->silent_work_ms = 0;
    }
  forget_pending (service);
  service->short_at = now;
  service->upstreams = upstreams;
}

int
marjoram_queue_rates_upstreams (const marjoram_queue_rates *rates,
                                const char *name)
{
  const struct service *service = find (rates, name);

  return service ? service->upstreams : 0;
}

void
marjoram_queue_rates_started (marjoram_queue_rates *rates, const char *name,
                              const struct marjoram_queue_class *class,
                              int64_t tokens)
{
  struct service *service = find_or_add (rates, name);

  service->starts += tokens < 0 ? -1 : 1;
  service->tokens[index_of (class)] += tokens;
}

void
marjoram_queue_rates_arrived (marjoram_queue_rates *rates, const char *name,
                              const struct marjoram_queue_class *class,
                              int64_t tokens, int64_t lead_ms)
{
  struct service *service = find_or_add (rates, name);
  const int index = index_of (class);
  double *lead = &service->lead_ms[index];

  service->wanted[index] += tokens;
  if (service->has_lead[index])
    *lead += LEAD_SMOOTHING * ((double)lead_ms - *lead);
  else
    *lead = (double)lead_ms;
  service->has_lead[index] = true;
}

static const struct sums *
sum_window (struct service *service, int64_t now)
{
  const int64_t oldest = now / BUCKET_MS - BUCKETS;
  struct sums *sums = &service->sums;

  if (service->summed_at == now)
    return sums;
  service->summed_at = now;
  memset (sums, 0, sizeof *sums);
  for (int i = 0; i < BUCKETS; i++)
    {
      const struct bucket *bucket = &service->buckets[i];

      if (bucket->number <= oldest)
        continue;
      sums->measured_ms += bucket->measured_ms;
      sums->upstream_ms += bucket->upstream_ms;
      sums->starts += bucket->starts;
      for (int j = 0; j < CLASSES; j++)
        {
          sums->tokens[j] += (double)bucket->tokens[j];
          sums->wanted[j] += (double)bucket->wanted[j];
        }
    }
  /* Starts that upstreams refused are taken back, also those from before the
     window.  */
  if (sums->starts < 0)
    sums->starts = 0;
  for (int j = 0; j < CLASSES; j++)
    {
      if (sums->tokens[j] < 0)
        sums->tokens[j] = 0;
      sums->all_tokens += sums->tokens[j];
      sums->all_wanted += sums->wanted[j];
    }
  return sums;
}

static bool
is_known (const struct sums *sums)
{
  return sums->upstream_ms > 0
         && (sums->measured_ms >= WINDOW_MS / 2
             || (sums->measured_ms >= MEASURED_MIN_MS
                 && sums->starts >= STARTS_MIN));
}

/* Factor from tokens in the window to tokens per ms.  The upstreams of now
   count, so that the rate follows at once when some are lost.  */
static double
scale (const struct service *service, const struct sums *sums)
{
  return service->upstreams / sums->upstream_ms;
}

double
marjoram_queue_rates_per_s (const marjoram_queue_rates *rates, int64_t now,
                            const char *name)
{
  struct service *service = find (rates, name);
  const struct sums *sums;

  if (!service)
    return -1;
  sums = sum_window (service, now);
  return is_known (sums)
             ? sums->all_tokens * scale (service, sums) * MSEC_PER_SEC
             : -1;
}

/* ---- Expected start. ---- */

/* Relative standard error of a rate, by which it may be higher.  */
static double
benefit_of_doubt (const struct sums *sums)
{
  return sums->starts > 0 ? 1 + 1 / sqrt ((double)sums->starts) : 1;
}

/* Time during which arrivals of class INDEX overtake the request of QUERY.  */
static double
overtaking_ms (const struct service *service, int64_t now,
               const struct marjoram_queue_query *query, int index)
{
  const double lead_ms = (double)(query->sort_key - now);

  if (!service->has_lead[index] || index == index_of (&query->class))
    return 0;
  return lead_ms > service->lead_ms[index] ? lead_ms - service->lead_ms[index]
                                           : 0;
}

/* Solves PER_MS * wait = tokens ahead + those of arrivals that overtake until
   then.  Each pass takes out the classes that stop overtaking before.  */
static double
solve_wait (const struct service *service, int64_t now,
            const struct marjoram_queue_query *query, const struct sums *sums,
            double per_ms)
{
  double ahead = (double)query->tokens_ahead;
  double overtaking = 0;
  double until[CLASSES];
  bool counted[CLASSES] = { false };

  for (int i = 0; i < CLASSES; i++)
    {
      until[i] = overtaking_ms (service, now, query, i);
      counted[i] = until[i] > 0 && sums->tokens[i] > 0;
      if (counted[i])
        overtaking += sums->tokens[i];
    }
  for (;;)
    {
      const double left = per_ms * (1 - overtaking / sums->all_tokens);
      const double wait_ms = left > per_ms / MSEC_PER_SEC
                                 ? ahead / left
                                 : MARJORAM_QUEUE_WAIT_MAX_MS;
      int first = -1;

      for (int i = 0; i < CLASSES; i++)
        if (counted[i] && (first < 0 || until[i] < until[first]))
          first = i;
      if (first < 0 || until[first] >= wait_ms)
        return wait_ms;
      counted[first] = false;
      overtaking -= sums->tokens[first];
      ahead += per_ms * until[first] * sums->tokens[first] / sums->all_tokens;
    }
}

int64_t
marjoram_queue_rates_wait_ms (const marjoram_queue_rates *rates, int64_t now,
                              const struct marjoram_queue_query *query)
{
  struct service *service = find (rates, query->service);
  const struct sums *sums;
  double per_ms;
  double wait_ms;

  if (!service)
    return -1;
  sums = sum_window (service, now);
  if (!is_known (sums))
    return -1;
  per_ms = sums->all_tokens * scale (service, sums);
  if (query->is_lenient || sums->measured_ms < WINDOW_MS / 2)
    per_ms *= benefit_of_doubt (sums);
  if (per_ms <= 0)
    return MARJORAM_QUEUE_WAIT_MAX_MS;
  wait_ms = solve_wait (service, now, query, sums, per_ms);
  return wait_ms < MARJORAM_QUEUE_WAIT_MAX_MS ? (int64_t)wait_ms
                                              : MARJORAM_QUEUE_WAIT_MAX_MS;
}

/* ---- Order. ---- */

static bool
is_starved (const struct sums *sums, int priority)
{
  const int index = 2 * priority;
  const double tokens = sums->tokens[index] + sums->tokens[index + 1];
  const double wanted = sums->wanted[index] + sums->wanted[index + 1];

  return is_known (sums)
         && STARVED_PART * tokens * sums->all_wanted
                < wanted * sums->all_tokens;
}

int64_t
marjoram_queue_rates_precedence_ms (const marjoram_queue_rates *rates,
                                    int64_t now, const char *name,
                                    int priority, int64_t tried_ms)
{
  struct service *service = find (rates, name);

  if (tried_ms < MARJORAM_QUEUE_RETRY_MIN_MS)
    return 0;
  if (service
      && is_starved (sum_window (service, now), limit_priority (priority)))
    return tried_ms;
  return PRECEDENCE_MAX_MS * tried_ms / (tried_ms + PRECEDENCE_MAX_MS);
}

/* ---- Retries. ---- */

/* Tokens per ms that more urgent requests leave; 0 if not known.  */
static double
rate_left (struct service *service, int64_t now, int priority)
{
  const struct sums *sums = sum_window (service, now);
  double tokens = 0;

  if (!is_known (sums))
    return 0;
  for (int i = 2 * priority; i < CLASSES; i++)
    tokens += sums->tokens[i];
  return tokens * scale (service, sums);
}

/* When QUERY's caller can be served after those that were refused before it,
   not before AT.  Callers that have been refused before don't retry again.  */
static int64_t
promise (struct service *service, int64_t now, int64_t at, int64_t latest,
         const struct marjoram_retry_query *query)
{
  const int priority = limit_priority (query->class.priority);
  const double left = rate_left (service, now, priority);
  int64_t *until = &service->promised_until[priority];

  if (query->class.is_return || left <= 0)
    return at;
  if (*until > at)
    at = *until;
  if (at <= latest)
    *until = at + (int64_t)((double)query->tokens / left);
  return at;
}

/* Spreads callers after MSEC or, if that exceeds MAX, before MAX.  */
static int64_t
spread (const char *id, int64_t msec, int64_t max)
{
  const int64_t base = msec < max ? msec : max;
  const int64_t range = base / SPREAD_PART < SPREAD_MAX_MS ? base / SPREAD_PART
                                                           : SPREAD_MAX_MS;
  const int64_t offset
      = (int64_t)(XXH3_64bits (id, strlen (id)) % (uint64_t)(range + 1));

  if (base + range <= max)
    return base + offset;
  return max - offset > MARJORAM_QUEUE_RETRY_MIN_MS ? max - offset : base;
}

int64_t
marjoram_queue_rates_retry_ms (marjoram_queue_rates *rates, int64_t now,
                               const struct marjoram_retry_query *query)
{
  struct service *service = find_or_add (rates, query->service);
  /* A request that is refused just after its deadline has less than no time
     left.  */
  const int64_t max
      = query->time_left_ms > 0 ? query->time_left_ms / TIME_LEFT_PART : 0;
  int64_t msec = MARJORAM_QUEUE_RETRY_MIN_MS;

  if (query->at_least_ms > msec)
    msec = query->at_least_ms;
  if (query->excess_ms > msec)
    msec = query->excess_ms;
  msec = promise (service, now, now + msec, now + max, query) - now;
  msec = spread (query->id, msec, max);
  return msec > 0 ? msec : 1;
}

int64_t
marjoram_queue_tried_ms (int64_t route_ms, int64_t time_left_ms)
{
  const int64_t tried_ms = route_ms - time_left_ms;

  return time_left_ms > 0 && tried_ms >= TRIED_MIN_MS ? tried_ms : 0;
}
