/* Derives the retry delay of rejected requests from how long a service has
   been at capacity.  Pure decision logic.  */
#ifndef MARJORAM_SHORTAGE_H
#define MARJORAM_SHORTAGE_H

#include <stdint.h>

typedef struct marjoram_shortages marjoram_shortages;

marjoram_shortages *marjoram_shortages_create (void);
void marjoram_shortages_destroy (marjoram_shortages *shortages);
/* Records a rejection of a request for SERVICE at NOW.  Returns the delay in
   ms after which the caller should retry, at least AT_LEAST_MS.  */
int64_t marjoram_shortages_retry_ms (marjoram_shortages *shortages,
                                     int64_t now, const char *service,
                                     int64_t at_least_ms);

#endif
