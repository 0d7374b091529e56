#include "upstream_rate.h"

#include "cleanup.h"

#include <stdlib.h>

/* Lowest limit that is kept, in requests per second.  Only responses show that
   a limit has ended, so some request has to be sent now and then.  */
#define LIMIT_MIN 0.2
/* Time of which a part's unused requests may be saved up for a burst.  */
#define BURST_SECONDS 0.25

enum
{
  MSEC_PER_SEC = 1000,
  LIMIT_SCALE = 1000 /* of limits, to requests per second */
};

struct marjoram_upstream_rate
{
  struct marjoram_rate_fact fact;
  int64_t known_since;
  size_t sharers;
  bool is_sharer;
  double units; /* requests that may be sent now */
  int64_t units_at;
};

marjoram_upstream_rate *
marjoram_upstream_rate_create (void)
{
  marjoram_upstream_rate *rate = marjoram_alloc (sizeof *rate);

  rate->fact.limit = -1;
  rate->sharers = 1;
  return rate;
}

void
marjoram_upstream_rate_destroy (marjoram_upstream_rate *rate)
{
  free (rate);
}

bool
marjoram_upstream_rate_is_limited (const marjoram_upstream_rate *rate)
{
  return rate->fact.limit >= 0;
}

struct marjoram_rate_fact
marjoram_upstream_rate_fact (const marjoram_upstream_rate *rate)
{
  return rate->fact;
}

/* ---- Units.  ---- */

/* In requests per second.  */
static double
effective_limit (const marjoram_upstream_rate *rate)
{
  const double per_s = (double)rate->fact.limit / LIMIT_SCALE;

  return per_s > LIMIT_MIN ? per_s : LIMIT_MIN;
}

static double
part_per_s (const marjoram_upstream_rate *rate)
{
  return rate->is_sharer ? effective_limit (rate) / (double)rate->sharers : 0;
}

static double
units_max (double per_s)
{
  return per_s * BURST_SECONDS > 1 ? per_s * BURST_SECONDS : 1;
}

static void
add_units (marjoram_upstream_rate *rate, int64_t now)
{
  const double per_s = part_per_s (rate);

  if (now > rate->units_at)
    rate->units += per_s * (double)(now - rate->units_at) / MSEC_PER_SEC;
  if (rate->units > units_max (per_s))
    rate->units = units_max (per_s);
  rate->units_at = now;
}

/* ---- What is known.  ---- */

static void
set_fact (marjoram_upstream_rate *rate, int64_t now,
          const struct marjoram_rate_fact *fact)
{
  const bool was_limited = marjoram_upstream_rate_is_limited (rate);

  add_units (rate, now);
  if (!was_limited)
    rate->units = 0;
  rate->fact = *fact;
  rate->known_since = now;
}

bool
marjoram_upstream_rate_state (marjoram_upstream_rate *rate, int64_t now,
                              int64_t sent_at, double limit_per_s)
{
  const struct marjoram_rate_fact fact
      = { rate->fact.number + 1,
          limit_per_s < 0 ? -1 : (int64_t)(limit_per_s * LIMIT_SCALE + 0.5) };

  if (fact.limit == rate->fact.limit
      || (fact.limit < 0 && sent_at <= rate->known_since))
    return false;
  set_fact (rate, now, &fact);
  return true;
}

static bool
is_lower_limit (int64_t a, int64_t b)
{
  return a >= 0 && (b < 0 || a < b);
}

/* Whether A supersedes B.  */
static bool
supersedes (const struct marjoram_rate_fact *a,
            const struct marjoram_rate_fact *b)
{
  return a->number > b->number
         || (a->number == b->number && is_lower_limit (a->limit, b->limit));
}

bool
marjoram_upstream_rate_learn (marjoram_upstream_rate *rate, int64_t now,
                              const struct marjoram_rate_fact *fact)
{
  if (supersedes (fact, &rate->fact))
    set_fact (rate, now, fact);
  return supersedes (&rate->fact, fact);
}

void
marjoram_upstream_rate_reset (marjoram_upstream_rate *rate)
{
  if (!marjoram_upstream_rate_is_limited (rate))
    return;
  rate->fact.number++;
  rate->fact.limit = -1;
}

/* ---- This host's part.  ---- */

size_t
marjoram_upstream_rate_sharers (const marjoram_upstream_rate *rate,
                                size_t hosts)
{
  const double limit = effective_limit (rate);

  if (limit >= (double)hosts)
    return hosts;
  return limit > 1 ? (size_t)limit : 1;
}

void
marjoram_upstream_rate_set_sharers (marjoram_upstream_rate *rate, int64_t now,
                                    size_t sharers, bool is_sharer)
{
  if (sharers == rate->sharers && is_sharer == rate->is_sharer)
    return;
  add_units (rate, now);
  rate->sharers = sharers;
  rate->is_sharer = is_sharer;
}

int64_t
marjoram_upstream_rate_wait_ms (marjoram_upstream_rate *rate, int64_t now)
{
  if (!marjoram_upstream_rate_is_limited (rate))
    return 0;
  if (!rate->is_sharer)
    return (int64_t)(MSEC_PER_SEC / effective_limit (rate)) + 1;
  add_units (rate, now);
  if (rate->units >= 1)
    return 0;
  return (int64_t)((1 - rate->units) * MSEC_PER_SEC / part_per_s (rate)) + 1;
}

void
marjoram_upstream_rate_take (marjoram_upstream_rate *rate, int64_t now)
{
  if (!marjoram_upstream_rate_is_limited (rate))
    return;
  add_units (rate, now);
  rate->units--;
}
