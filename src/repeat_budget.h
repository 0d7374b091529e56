/* Budget of repeats, that is of requests sent to a second upstream: a ratio of
   all requests plus a fixed allowance, over a sliding window, summed over all
   hosts.  Each host spends only its own share, so the bound holds without
   coordination, also during a network partition.

   The total bound admits the requests of the window itself or of the one
   before it.  Each host counts half of both.  All hosts apply the same weights
   to the same window, so their shares add up to less than the bound, even if
   load moves between hosts or ends.

   The allowance is divided by the number of hosts.  A host that is cut off
   from others keeps its share after it has dropped them from its list, since
   they may still spend theirs.

   A host that has just started does not know what it spent before.  Until no
   window includes that, it has no part of the allowance, only a ratio of the
   requests received since.  */
#ifndef MARJORAM_REPEAT_BUDGET_H
#define MARJORAM_REPEAT_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct marjoram_repeat_budget marjoram_repeat_budget;

struct marjoram_repeat_limits
{
  double ratio;     /* of requests in the window */
  double allowance; /* repeats per window, over all hosts */
  int64_t window_ms;
};

marjoram_repeat_budget *
marjoram_repeat_budget_create (const struct marjoram_repeat_limits *terms,
                               int64_t now);
void marjoram_repeat_budget_destroy (marjoram_repeat_budget *budget);
/* A new window length starts the counts anew.  */
void marjoram_repeat_budget_set (marjoram_repeat_budget *budget, int64_t now,
                                 const struct marjoram_repeat_limits *terms);
/* Records a caller's request for SERVICE.  */
void marjoram_repeat_budget_add_request (marjoram_repeat_budget *budget,
                                         int64_t now, const char *service);
/* Sets the number of known hosts, this one included.  A lower number takes
   effect after an hour.  To be called regularly.  */
void marjoram_repeat_budget_set_hosts (marjoram_repeat_budget *budget,
                                       int64_t now, size_t hosts);
/* Whether the budget of this host permits a repeat for SERVICE.  */
bool marjoram_repeat_budget_allows (marjoram_repeat_budget *budget,
                                    int64_t now, const char *service);
/* Records a repeat and returns true if the budget permits one.  */
bool marjoram_repeat_budget_take (marjoram_repeat_budget *budget, int64_t now,
                                  const char *service);
/* Usage of a service as of the last call of marjoram_repeat_budget_allows, for
   the interval with the least room.  */
struct marjoram_repeat_usage
{
  uint64_t repeats; /* of this host */
  double allowed;   /* for this host */
};

/* Zero for a service without repeats.  */
void marjoram_repeat_budget_get_usage (const marjoram_repeat_budget *budget,
                                       const char *service,
                                       struct marjoram_repeat_usage *usage);

#endif
