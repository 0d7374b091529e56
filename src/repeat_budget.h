/* How many requests may be sent to a second upstream: a share of all requests
   and a fixed allowance, over a sliding window, summed over all hosts.  Each
   host spends only its own part, so that the sum holds without agreement, also
   between hosts that are out of touch.

   Load that moves from some hosts to others leaves the former with shares of
   requests that are older than the latter's, and both may be spent in one
   window.  So a host that spends much asks keepers for the sums over all hosts
   and stops where the bound as a whole is nearly reached.  */
#ifndef MARJORAM_REPEAT_BUDGET_H
#define MARJORAM_REPEAT_BUDGET_H

#include "gateway_message.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct marjoram_repeat_budget marjoram_repeat_budget;

struct marjoram_repeat_terms
{
  double ratio;     /* of the requests in the window */
  double allowance; /* repeats in the window, of all hosts together */
  int64_t window_ms;
};

marjoram_repeat_budget *
marjoram_repeat_budget_create (const struct marjoram_repeat_terms *terms);
void marjoram_repeat_budget_destroy (marjoram_repeat_budget *budget);
void marjoram_repeat_budget_set (marjoram_repeat_budget *budget,
                                 const struct marjoram_repeat_terms *terms);
/* A caller's request for SERVICE came.  */
void marjoram_repeat_budget_request (marjoram_repeat_budget *budget,
                                     int64_t now, const char *service);
/* Whether one may be sent again to SERVICE, by one of HOSTS hosts; if so, it
   is counted.  */
bool marjoram_repeat_budget_take (marjoram_repeat_budget *budget, int64_t now,
                                  const char *service, size_t hosts);
/* What this host did, for its keepers, at most MAX services into ITEMS, which
   borrow their texts; returns how many.  */
size_t marjoram_repeat_budget_uses (marjoram_repeat_budget *budget,
                                    int64_t now,
                                    struct marjoram_repeat_use *items,
                                    size_t max);
/* A keeper's answer.  */
void marjoram_repeat_budget_hear (marjoram_repeat_budget *budget, int64_t now,
                                  const struct marjoram_repeat_sums *sums);

#endif
