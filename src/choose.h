/* Choice of an upstream inside the zone: expected time to the end is the wait,
   the prefill less the cached prefix, and the decode.  Several hosts choose at
   once on old reports, so only a few candidates are looked at, two of them
   drawn at random.  Pure decisions.  */
#ifndef MARJORAM_CHOOSE_H
#define MARJORAM_CHOOSE_H

#include "config.h"
#include "member.h"
#include "pool.h"
#include "query.h"
#include "random.h"
#include "suspect.h"

typedef struct marjoram_chooser marjoram_chooser;

/* The best upstream that was found.  */
struct marjoram_pick
{
  const struct marjoram_upstream *upstream; /* null if none may be used */
  double wait_ms;
  double total_ms; /* the wait included */
  double cost;     /* to be compared: others' delay included */
  bool cached;     /* the prompt's prefix is thought to be there */
  bool room;       /* it would start at once */
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
/* At most some 100 ms old.  */
const struct marjoram_room *marjoram_chooser_room (marjoram_chooser *chooser,
                                                   int64_t now, int work);
/* Time of QUERY at an upstream without load or cache.  */
double marjoram_chooser_alone_ms (const marjoram_chooser *chooser,
                                  const struct marjoram_query *query);
void marjoram_chooser_measured (marjoram_chooser *chooser, int64_t now,
                                const char *upstream,
                                const struct marjoram_query *query,
                                int64_t first_ms, int64_t whole_ms,
                                uint64_t tokens);
/* Calls VISIT for each upstream that runs QUERY's work, with its estimate.  */
void marjoram_chooser_visit (marjoram_chooser *chooser, int64_t now,
                             const struct marjoram_query *query,
                             void (*visit) (void *context,
                                            const struct marjoram_pick *pick,
                                            bool usable),
                             void *context);

#endif
