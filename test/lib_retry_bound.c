#include "lib_retry_bound.h"

#include "cleanup.h"

#include <stdbool.h>
#include <sys/queue.h>

enum
{
  TOLD_MS = 500 /* for requests that are under way */
};

struct period
{
  TAILQ_ENTRY (period) link;
  int host;
  int upstream;
  int64_t from_ms;
  int64_t until_ms;
  int requests;
};

struct retry_bound
{
  TAILQ_HEAD (, period) open;
  int asked;
  int broken;
  int worst;
};

struct retry_bound *
retry_bound_create (void)
{
  struct retry_bound *bound = marjoram_alloc (sizeof *bound);

  TAILQ_INIT (&bound->open);
  return bound;
}

static void
remove_period (struct retry_bound *bound, struct period *period)
{
  TAILQ_REMOVE (&bound->open, period, link);
  free (period);
}

void
retry_bound_destroy (struct retry_bound *bound)
{
  while (!TAILQ_EMPTY (&bound->open))
    /* False positive on TAILQ.  NOLINTNEXTLINE(clang-analyzer-unix.*) */
    remove_period (bound, TAILQ_FIRST (&bound->open));
  free (bound);
}

void
retry_bound_ask (struct retry_bound *bound, int64_t at_ms, int host,
                 int upstream, int64_t ms)
{
  struct period *period = marjoram_alloc (sizeof *period);

  period->host = host;
  period->upstream = upstream;
  period->from_ms = at_ms + TOLD_MS;
  period->until_ms = at_ms + ms;
  TAILQ_INSERT_TAIL (&bound->open, period, link);
  bound->asked++;
}

static void
count_request (struct retry_bound *bound, struct period *period)
{
  period->requests++;
  if (period->requests == RETRY_BOUND_REQUESTS_MAX + 1)
    bound->broken++;
  if (period->requests > bound->worst)
    bound->worst = period->requests;
}

void
retry_bound_add_request (struct retry_bound *bound, int64_t at_ms, int host,
                         int upstream)
{
  struct period *period;
  struct period *next;

  for (period = TAILQ_FIRST (&bound->open); period; period = next)
    {
      next = TAILQ_NEXT (period, link);
      if (at_ms >= period->until_ms)
        remove_period (bound, period);
      else if (period->host == host && period->upstream == upstream
               && at_ms >= period->from_ms)
        count_request (bound, period);
    }
}

static void
excuse (struct retry_bound *bound, int host, int upstream)
{
  struct period *period;
  struct period *next;

  for (period = TAILQ_FIRST (&bound->open); period; period = next)
    {
      next = TAILQ_NEXT (period, link);
      if (period->host == host || period->upstream == upstream)
        remove_period (bound, period);
    }
}

void
retry_bound_excuse_host (struct retry_bound *bound, int host)
{
  excuse (bound, host, -1);
}

void
retry_bound_excuse_upstream (struct retry_bound *bound, int upstream)
{
  excuse (bound, -1, upstream);
}

int
retry_bound_asked (const struct retry_bound *bound)
{
  return bound->asked;
}

int
retry_bound_broken (const struct retry_bound *bound)
{
  return bound->broken;
}

int
retry_bound_worst (const struct retry_bound *bound)
{
  return bound->worst;
}
