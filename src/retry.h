/* Token bucket that limits retries to a fixed ratio of the requests, so that
   retries cannot amplify an overload.  */
#ifndef MARJORAM_RETRY_H
#define MARJORAM_RETRY_H

#include <stdbool.h>

struct marjoram_retry_budget
{
  double tokens;
};

void marjoram_retry_budget_init (struct marjoram_retry_budget *budget);
/* Credits a caller's request.  */
void marjoram_retry_budget_credit (struct marjoram_retry_budget *budget);
/* Takes a token for a retry; returns false if none is left.  */
bool marjoram_retry_budget_take (struct marjoram_retry_budget *budget);

#endif
