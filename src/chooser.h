/* Upstream selection within the zone.  The estimated completion time is the
   queueing delay, the prefill time less the cached prefix, and the decode
   time.  Hosts select concurrently from stale load reports, so only a small
   random sample of candidates is compared.  Performs no I/O.  */
#ifndef MARJORAM_CHOOSER_H
#define MARJORAM_CHOOSER_H

#include "config.h"
#include "member.h"
#include "pool.h"
#include "query.h"
#include "random.h"
#include "suspect.h"

typedef struct marjoram_chooser marjoram_chooser;

/* The selected upstream and its estimates.  */
struct marjoram_pick
{
  const struct marjoram_upstream *upstream; /* NULL if none is usable */
  double wait_ms;
  double total_ms;    /* including wait_ms */
  double cost;        /* total_ms plus the delay imposed on other requests */
  bool cached;        /* the prompt prefix is expected to be cached */
  bool has_free_slot; /* has a free slot */
};

marjoram_chooser *marjoram_chooser_create (marjoram_members *members,
                                           marjoram_suspects *suspects,
                                           marjoram_random *random);
void marjoram_chooser_destroy (marjoram_chooser *chooser);
void marjoram_chooser_configure (marjoram_chooser *chooser,
                                 marjoram_config *config);
void marjoram_chooser_pick (marjoram_chooser *chooser, int64_t now,
                            const struct marjoram_query *query,
                            struct marjoram_pick *pick);
/* The result may be up to 50 ms old.  */
const struct marjoram_pool_capacity *
marjoram_chooser_capacity (marjoram_chooser *chooser, int64_t now, int work);
/* Estimated time of QUERY at an idle upstream with a cold cache.  */
double marjoram_chooser_unloaded_ms (const marjoram_chooser *chooser,
                                     const struct marjoram_query *query);
void marjoram_chooser_record_latency (marjoram_chooser *chooser, int64_t now,
                                      const char *upstream,
                                      const struct marjoram_query *query,
                                      int64_t first_ms, int64_t whole_ms,
                                      uint64_t tokens);
/* Calls VISIT with the estimate of each upstream that runs QUERY's work.  */
void marjoram_chooser_visit (marjoram_chooser *chooser, int64_t now,
                             const struct marjoram_query *query,
                             void (*visit) (void *context,
                                            const struct marjoram_pick *pick,
                                            bool usable),
                             void *context);

#endif
