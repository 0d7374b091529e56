/* Optional decisions under load.  Each is enabled by the settings of a host or
   because the configuration needs it; hosts without them decide, and exchange
   messages, as if they did not exist.  */
#ifndef MARJORAM_LOAD_FEATURES_H
#define MARJORAM_LOAD_FEATURES_H

#include "route_table.h"

struct marjoram_load_features
{
  bool share_room;      /* divide a region's capacity between customers */
  bool check_upstreams; /* detect upstreams that stop answering */
  bool measured_waits;  /* queue requests by the measured drain rate */
  bool balance_regions; /* limit forwarding by what other regions accept */
};

/* Enables in FEATURES all that are enabled in MORE.  */
void marjoram_load_features_add (struct marjoram_load_features *features,
                                 const struct marjoram_load_features *more);
/* The features that TABLE needs.  */
struct marjoram_load_features
marjoram_load_features_of_table (const struct marjoram_route_table *table);

#endif
