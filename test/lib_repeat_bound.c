#include "lib_repeat_bound.h"

#include "cleanup.h"

#include <stdlib.h>

struct repeat_bound
{
  struct marjoram_repeat_limits limits;
  int64_t run_ms;
  int *requests; /* per ms */
  int *repeats;
};

struct repeat_bound *
repeat_bound_create (const struct marjoram_repeat_limits *limits,
                     int64_t run_ms)
{
  struct repeat_bound *bound = marjoram_alloc (sizeof *bound);

  bound->limits = *limits;
  bound->run_ms = run_ms;
  bound->requests = marjoram_alloc ((size_t)run_ms * sizeof (int));
  bound->repeats = marjoram_alloc ((size_t)run_ms * sizeof (int));
  return bound;
}

void
repeat_bound_destroy (struct repeat_bound *bound)
{
  free (bound->requests);
  free (bound->repeats);
  free (bound);
}

void
repeat_bound_add_request (struct repeat_bound *bound, int64_t at_ms)
{
  bound->requests[at_ms]++;
}

void
repeat_bound_add_repeat (struct repeat_bound *bound, int64_t at_ms)
{
  if (at_ms < bound->run_ms)
    bound->repeats[at_ms]++;
}

static int
sum (const struct repeat_bound *bound, const int *counts, int64_t from_ms,
     int64_t until_ms)
{
  int total = 0;

  for (int64_t at = from_ms < 0 ? 0 : from_ms;
       at < until_ms && at < bound->run_ms; at++)
    total += counts[at];
  return total;
}

int
repeat_bound_count (const struct repeat_bound *bound, int64_t from_ms,
                    int64_t until_ms)
{
  return sum (bound, bound->repeats, from_ms, until_ms);
}

/* Largest number of requests in the windows that count for one that starts at
   FROM_MS.  */
static int
max_requests (const struct repeat_bound *bound, int64_t from_ms)
{
  const int64_t window_ms = bound->limits.window_ms;
  int max = 0;

  for (int64_t back_ms = 0; back_ms <= window_ms; back_ms += window_ms / 2)
    {
      int requests = sum (bound, bound->requests, from_ms - back_ms,
                          from_ms - back_ms + window_ms);

      if (requests > max)
        max = requests;
    }
  return max;
}

double
repeat_bound_excess (const struct repeat_bound *bound, int64_t *from_ms)
{
  double most = -bound->limits.allowance;

  *from_ms = 0;
  for (int64_t from = 0; from < bound->run_ms; from++)
    {
      double excess;

      if (bound->repeats[from] == 0)
        continue;
      excess
          = sum (bound, bound->repeats, from, from + bound->limits.window_ms)
            - bound->limits.ratio * max_requests (bound, from)
            - bound->limits.allowance;
      if (excess > most)
        {
          most = excess;
          *from_ms = from;
        }
    }
  return most;
}
