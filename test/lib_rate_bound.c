#include "lib_rate_bound.h"

#include "cleanup.h"

#include <float.h>
#include <stdlib.h>

enum
{
  WINDOW_MS = 4000,
  /* From the first response that states a limit until the bound applies.  */
  CONTACT_MS = 5000,
  /* From a response that a host passes on until its requests count.  */
  TOLD_MS = 500,
  ALLOWANCE = 5, /* requests */
  MSEC_PER_SEC = 1000
};

#define OVERAGE 1.5

struct rate_bound
{
  int64_t run_ms;
  int hosts;
  int64_t *told_at; /* by host; INT64_MAX if it was not told */
  double *limits;   /* per ms; negative if there is none */
  int *requests;    /* per ms */
  int *counted;     /* per ms, those of hosts that were told */
};

static void
forget_hosts (struct rate_bound *bound)
{
  for (int i = 0; i < bound->hosts; i++)
    bound->told_at[i] = INT64_MAX;
}

struct rate_bound *
rate_bound_create (int64_t run_ms, int hosts)
{
  struct rate_bound *bound = marjoram_alloc (sizeof *bound);

  bound->run_ms = run_ms;
  bound->hosts = hosts;
  bound->told_at = marjoram_alloc ((size_t)hosts * sizeof *bound->told_at);
  bound->limits = marjoram_alloc ((size_t)run_ms * sizeof *bound->limits);
  bound->requests = marjoram_alloc ((size_t)run_ms * sizeof (int));
  bound->counted = marjoram_alloc ((size_t)run_ms * sizeof (int));
  for (int64_t at = 0; at < run_ms; at++)
    bound->limits[at] = -1;
  forget_hosts (bound);
  return bound;
}

void
rate_bound_destroy (struct rate_bound *bound)
{
  free (bound->told_at);
  free (bound->limits);
  free (bound->requests);
  free (bound->counted);
  free (bound);
}

void
rate_bound_set_limit (struct rate_bound *bound, int64_t at_ms,
                      double rate_limit)
{
  for (int64_t at = at_ms; at < bound->run_ms; at++)
    bound->limits[at] = rate_limit;
  if (rate_limit < 0)
    forget_hosts (bound);
}

void
rate_bound_add_told (struct rate_bound *bound, int64_t at_ms, int host)
{
  if (at_ms < bound->told_at[host])
    bound->told_at[host] = at_ms;
}

void
rate_bound_clear_told (struct rate_bound *bound, int host)
{
  bound->told_at[host] = INT64_MAX;
}

void
rate_bound_add_request (struct rate_bound *bound, int64_t at_ms, int host)
{
  if (at_ms >= bound->run_ms)
    return;
  bound->requests[at_ms]++;
  if (at_ms - TOLD_MS >= bound->told_at[host])
    bound->counted[at_ms]++;
}

int
rate_bound_count (const struct rate_bound *bound, int64_t from_ms,
                  int64_t until_ms)
{
  int total = 0;

  for (int64_t at = from_ms; at < until_ms && at < bound->run_ms; at++)
    total += bound->requests[at];
  return total;
}

/* Excess of the window from FROM_MS; -DBL_MAX if the bound does not apply.  */
static double
window_excess (const struct rate_bound *bound, int64_t from_ms)
{
  double allowed = ALLOWANCE;
  int counted = 0;

  if (from_ms < CONTACT_MS || from_ms + WINDOW_MS > bound->run_ms)
    return -DBL_MAX;
  for (int64_t at = from_ms - CONTACT_MS; at < from_ms + WINDOW_MS; at++)
    if (bound->limits[at] < 0)
      return -DBL_MAX;
  for (int64_t at = from_ms; at < from_ms + WINDOW_MS; at++)
    {
      allowed += OVERAGE * bound->limits[at] / MSEC_PER_SEC;
      counted += bound->counted[at];
    }
  return counted - allowed;
}

double
rate_bound_excess (const struct rate_bound *bound, int64_t *from_ms)
{
  double most = -DBL_MAX;

  *from_ms = 0;
  for (int64_t from = 0; from < bound->run_ms; from++)
    {
      double excess;

      if (bound->counted[from] == 0)
        continue;
      excess = window_excess (bound, from);
      if (excess > most)
        {
          most = excess;
          *from_ms = from;
        }
    }
  return most;
}
