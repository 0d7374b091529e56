#include "fair.h"

#include "cleanup.h"

#include <math.h>

#define SPAN_MS 10000.0
/* A caller that used less than this lately doesn't count as active.  */
#define ACTIVE_MS 1.0

enum
{
  SUM_AGE_MS = 500
};

struct use
{
  double work_ms; /* fades over SPAN_MS */
  int64_t at;
};

struct marjoram_fair
{
  marjoram_config *config;
  struct use *uses;
  int count;
  double all_ms; /* of the active callers */
  double all_weight;
  int64_t summed;
};

marjoram_fair *
marjoram_fair_create (void)
{
  return marjoram_alloc (sizeof (struct marjoram_fair));
}

void
marjoram_fair_destroy (marjoram_fair *fair)
{
  if (!fair)
    return;
  marjoram_config_release (fair->config);
  free (fair->uses);
  free (fair);
}

void
marjoram_fair_configure (marjoram_fair *fair, marjoram_config *config)
{
  int count = marjoram_config_caller_count (config);
  struct use *uses = marjoram_alloc (((size_t)count + 1) * sizeof *uses);

  for (int i = 0; i < count; i++)
    {
      const char *name = marjoram_config_caller (config, i)->name;
      int old = fair->config
                    ? marjoram_config_find_caller_name (fair->config, name)
                    : -1;

      if (old >= 0)
        uses[i] = fair->uses[old];
    }
  free (fair->uses);
  fair->uses = uses;
  fair->count = count;
  marjoram_config_retain (config);
  marjoram_config_release (fair->config);
  fair->config = config;
}

static double
faded (const struct use *use, int64_t now)
{
  if (use->work_ms <= 0 || now <= use->at)
    return use->work_ms;
  return use->work_ms * exp ((double)(use->at - now) / SPAN_MS);
}

/* Goes over all callers, so only now and then.  */
static void
sum (marjoram_fair *fair, int64_t now)
{
  if (now < fair->summed + SUM_AGE_MS && fair->all_weight > 0)
    return;
  fair->summed = now;
  fair->all_ms = 0;
  fair->all_weight = 0;
  for (int i = 0; i < fair->count; i++)
    {
      double work_ms = faded (&fair->uses[i], now);

      if (work_ms < ACTIVE_MS)
        continue;
      fair->all_ms += work_ms;
      fair->all_weight += marjoram_config_caller (fair->config, i)->weight;
    }
}

/* The sums follow at once: were they as old as the last sum, a lone caller
   would count as far over its share after a few requests.  */
void
marjoram_fair_used (marjoram_fair *fair, int64_t now, int caller,
                    double work_ms)
{
  struct use *use = &fair->uses[caller];
  double before = faded (use, now);

  use->work_ms = before + work_ms;
  use->at = now;
  fair->all_ms += work_ms;
  if (before < ACTIVE_MS)
    fair->all_weight += marjoram_config_caller (fair->config, caller)->weight;
}

double
marjoram_fair_excess (marjoram_fair *fair, int64_t now, int caller)
{
  double weight = marjoram_config_caller (fair->config, caller)->weight;
  double own = faded (&fair->uses[caller], now);

  sum (fair, now);
  if (fair->all_weight <= 0 || fair->all_ms <= 0)
    return 1;
  return fmax (1, own / weight / (fair->all_ms / fair->all_weight));
}
