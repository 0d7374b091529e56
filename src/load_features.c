#include "load_features.h"

enum
{
  /* Longest interval between events for which a stream cannot tolerate an
     engine that stops answering until TCP notices.  */
  SMOOTH_GAP_MS = 500
};

void
marjoram_load_features_add (struct marjoram_load_features *features,
                            const struct marjoram_load_features *more)
{
  features->share_room |= more->share_room;
  features->check_upstreams |= more->check_upstreams;
  features->measured_waits |= more->measured_waits;
  features->balance_regions |= more->balance_regions;
}

static bool
has_smooth_streams (const struct marjoram_route_table *table)
{
  const struct marjoram_route_rule *routes = table->routes.items;

  for (size_t i = 0; i < table->routes.count; i++)
    if (routes[i].stream && routes[i].gap_ms > 0
        && routes[i].gap_ms <= SMOOTH_GAP_MS)
      return true;
  return false;
}

struct marjoram_load_features
marjoram_load_features_of_table (const struct marjoram_route_table *table)
{
  return (struct marjoram_load_features){ .check_upstreams
                                          = has_smooth_streams (table) };
}
