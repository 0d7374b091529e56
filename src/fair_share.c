#include "fair_share.h"

#include "cleanup.h"

#include <math.h>

#define DECAY_MS 10000.0
/* A caller with less recent usage than this is considered inactive.  */
#define MIN_ACTIVE_USAGE_MS 1.0

enum
{
  TOTALS_CACHE_MS = 500
};

struct usage
{
  double work_ms; /* decays exponentially over DECAY_MS */
  int64_t updated;
};

struct marjoram_fair_share
{
  marjoram_config *config;
  struct usage *usages;
  int count;
  double total_ms; /* totals over active callers */
  double total_weight;
  int64_t totals_updated;
};

marjoram_fair_share *
marjoram_fair_share_create (void)
{
  return marjoram_alloc (sizeof (struct marjoram_fair_share));
}

void
marjoram_fair_share_destroy (marjoram_fair_share *fair)
{
  if (!fair)
    return;
  marjoram_config_release (fair->config);
  free (fair->usages);
  free (fair);
}

void
marjoram_fair_share_configure (marjoram_fair_share *fair,
                               marjoram_config *config)
{
  int count = marjoram_config_caller_count (config);
  struct usage *usages = marjoram_alloc (((size_t)count + 1) * sizeof *usages);

  for (int i = 0; i < count; i++)
    {
      const char *name = marjoram_config_caller (config, i)->name;
      int old = fair->config
                    ? marjoram_config_find_caller_by_name (fair->config, name)
                    : -1;

      if (old >= 0)
        usages[i] = fair->usages[old];
    }
  free (fair->usages);
  fair->usages = usages;
  fair->count = count;
  marjoram_config_retain (config);
  marjoram_config_release (fair->config);
  fair->config = config;
}

static double
decayed_ms (const struct usage *usage, int64_t now)
{
  if (usage->work_ms <= 0 || now <= usage->updated)
    return usage->work_ms;
  return usage->work_ms * exp ((double)(usage->updated - now) / DECAY_MS);
}

/* Cached, since it iterates over all callers.  */
static void
update_totals (marjoram_fair_share *fair, int64_t now)
{
  if (now < fair->totals_updated + TOTALS_CACHE_MS && fair->total_weight > 0)
    return;
  fair->totals_updated = now;
  fair->total_ms = 0;
  fair->total_weight = 0;
  for (int i = 0; i < fair->count; i++)
    {
      double work_ms = decayed_ms (&fair->usages[i], now);

      if (work_ms < MIN_ACTIVE_USAGE_MS)
        continue;
      fair->total_ms += work_ms;
      fair->total_weight += marjoram_config_caller (fair->config, i)->weight;
    }
}

/* Updates the totals too: if they were stale, a lone caller would exceed its
   share after a few requests.  */
void
marjoram_fair_share_record (marjoram_fair_share *fair, int64_t now, int caller,
                            double work_ms)
{
  struct usage *usage = &fair->usages[caller];
  double before = decayed_ms (usage, now);

  usage->work_ms = before + work_ms;
  usage->updated = now;
  fair->total_ms += work_ms;
  if (before < MIN_ACTIVE_USAGE_MS)
    fair->total_weight
        += marjoram_config_caller (fair->config, caller)->weight;
}

double
marjoram_fair_share_excess (marjoram_fair_share *fair, int64_t now, int caller)
{
  double weight = marjoram_config_caller (fair->config, caller)->weight;
  double own = decayed_ms (&fair->usages[caller], now);

  update_totals (fair, now);
  if (fair->total_weight <= 0 || fair->total_ms <= 0)
    return 1;
  return fmax (1, own / weight / (fair->total_ms / fair->total_weight));
}
