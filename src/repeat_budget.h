/* How many requests may be sent to a second upstream: a share of all requests
   and a fixed allowance, over a sliding window, summed over all hosts.  Each
   host spends only its own part, so that the sum holds without agreement, also
   between hosts that are out of touch.  */
#ifndef MARJORAM_REPEAT_BUDGET_H
#define MARJORAM_REPEAT_BUDGET_H

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

#endif
