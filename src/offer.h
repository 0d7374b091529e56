/* Capacity offers between zones.  A zone offers each other zone a number of
   requests; the offers add up to no more than its free capacity and expire
   after a few seconds, so that stale offers cannot cause overload.  Performs
   no I/O.  */
#ifndef MARJORAM_OFFER_H
#define MARJORAM_OFFER_H

#include "chooser.h"
#include "config.h"
#include "query.h"
#include "random.h"

typedef struct marjoram_offer_table marjoram_offer_table;

enum
{
  MARJORAM_OFFER_LIFE_MS = 3000,
  /* Concurrent requests to a zone after its offers had expired.  */
  MARJORAM_OFFER_RAMP_START = 2,
  MARJORAM_OFFERS_MAX = 1024
};

/* Capacity for one model or service that a zone offers to the receiving host
   until the offer expires.  */
struct marjoram_offer
{
  char *work;
  uint64_t room;   /* number of requests offered */
  int64_t wait_ms; /* estimated; 0 if the zone has a free slot */
  uint64_t upstreams;
};
extern const struct marjoram_layout marjoram_offer_layout;

/* The best zone to forward to.  */
struct marjoram_zone_estimate
{
  int zone; /* -1 if there is none */
  double total_ms;
};

marjoram_offer_table *marjoram_offer_table_create (marjoram_random *random);
void marjoram_offer_table_destroy (marjoram_offer_table *table);
/* ZONE is that of this host.  Retains CONFIG.  */
void marjoram_offer_table_configure (marjoram_offer_table *table,
                                     marjoram_config *config, int zone);
/* LINK_MS is the one-way latency to ZONE.  */
void marjoram_offer_table_update (marjoram_offer_table *table, int64_t now,
                                  int zone,
                                  const struct marjoram_array *offers,
                                  int64_t link_ms);
/* Finds the best zone in the bit mask REGIONS for a request that takes
   UNLOADED_MS at an idle upstream.  A request that no upstream in this zone
   can run may queue there beyond the offered capacity.  */
void marjoram_offer_table_find_best (marjoram_offer_table *table, int64_t now,
                                     const struct marjoram_query *query,
                                     uint64_t regions, double unloaded_ms,
                                     bool no_local_upstream,
                                     struct marjoram_zone_estimate *best);
/* Whether any zone in REGIONS has upstreams for WORK, or offers capacity for
   it.  */
bool marjoram_offer_table_has_upstreams (const marjoram_offer_table *table,
                                         int64_t now, int work,
                                         uint64_t regions);
bool marjoram_offer_table_has_capacity (const marjoram_offer_table *table,
                                        int64_t now, int work,
                                        uint64_t regions);
void marjoram_offer_table_request_sent (marjoram_offer_table *table,
                                        int64_t now, int zone, int work);
void marjoram_offer_table_request_ended (marjoram_offer_table *table,
                                         int64_t now, int zone, int work,
                                         bool failed);
/* The part of FREE_CAPACITY to offer to one host of ZONE.  */
uint64_t marjoram_offer_table_allocate (marjoram_offer_table *table,
                                        int64_t now, int zone, int work,
                                        double free_capacity);

#endif
