#include "retry.h"

#define RETRY_RATIO 0.1
/* Maximum number of saved tokens, which limits retry bursts after idle
   periods; also the initial balance.  */
#define TOKENS_MAX 10.0

void
marjoram_retry_budget_init (struct marjoram_retry_budget *budget)
{
  budget->tokens = TOKENS_MAX;
}

void
marjoram_retry_budget_credit (struct marjoram_retry_budget *budget)
{
  budget->tokens += RETRY_RATIO;
  if (budget->tokens > TOKENS_MAX)
    budget->tokens = TOKENS_MAX;
}

bool
marjoram_retry_budget_take (struct marjoram_retry_budget *budget)
{
  if (budget->tokens < 1)
    return false;
  budget->tokens -= 1;
  return true;
}
