#include "leaving_zones.h"

#include <stdio.h>
#include <string.h>

enum
{
  /* Evacuations must take effect within five seconds of their acknowledgement;
     hosts learn of them within one.  */
  LEAVING_PERIOD_MS = 2000
};

static bool
has_left (const struct marjoram_leaving_zone *zone, int64_t now)
{
  return !zone->name[0] || now >= zone->since + LEAVING_PERIOD_MS;
}

void
marjoram_leaving_zones_add (struct marjoram_leaving_zones *leaving,
                            int64_t now, const char *zone)
{
  for (size_t i = 0; i < MARJORAM_LEAVING_ZONES_MAX; i++)
    if (has_left (&leaving->zones[i], now))
      {
        leaving->zones[i].since = now;
        snprintf (leaving->zones[i].name, sizeof leaving->zones[i].name, "%s",
                  zone);
        return;
      }
}

bool
marjoram_leaving_zones_has (const struct marjoram_leaving_zones *leaving,
                            int64_t now, const char *zone)
{
  for (size_t i = 0; i < MARJORAM_LEAVING_ZONES_MAX; i++)
    if (!has_left (&leaving->zones[i], now)
        && strcmp (leaving->zones[i].name, zone) == 0)
      return true;
  return false;
}
