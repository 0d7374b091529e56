/* How long a service has had no place for requests, and so when it is worth to
   come again.  Pure decisions.  */
#ifndef MARJORAM_SHORTAGE_H
#define MARJORAM_SHORTAGE_H

#include <stdint.h>

typedef struct marjoram_shortages marjoram_shortages;

marjoram_shortages *marjoram_shortages_create (void);
void marjoram_shortages_destroy (marjoram_shortages *shortages);
/* A request for SERVICE is refused at NOW, where AT_LEAST_MS is when a place
   is expected at the earliest: when its caller should come again.  */
int64_t marjoram_shortages_refuse (marjoram_shortages *shortages, int64_t now,
                                   const char *service, int64_t at_least_ms);

#endif
