/* A budget for retries: a fixed part of the requests, so that retries can't
   multiply the load of a system that fails because it is overloaded.  */
#ifndef MARJORAM_RETRY_H
#define MARJORAM_RETRY_H

#include <stdbool.h>

struct marjoram_retry_budget
{
  double tokens;
};

void marjoram_retry_budget_init (struct marjoram_retry_budget *budget);
/* A caller's request came in.  */
void marjoram_retry_budget_earn (struct marjoram_retry_budget *budget);
/* Whether one more retry is allowed; counts it if so.  */
bool marjoram_retry_budget_spend (struct marjoram_retry_budget *budget);

#endif
