/* Fair shares between callers under overload: how far a caller's use of this
   host lies over its weight's part of all use.  Pure decisions.  */
#ifndef MARJORAM_FAIR_H
#define MARJORAM_FAIR_H

#include "config.h"

typedef struct marjoram_fair marjoram_fair;

marjoram_fair *marjoram_fair_create (void);
void marjoram_fair_destroy (marjoram_fair *fair);
/* Retains CONFIG; what callers have used lately is kept by name.  */
void marjoram_fair_configure (marjoram_fair *fair, marjoram_config *config);
/* A request of CALLER was placed that takes WORK_MS.  */
void marjoram_fair_used (marjoram_fair *fair, int64_t now, int caller,
                         double work_ms);
/* 1 for a caller that uses its share or less, 2 for one that uses twice as
   much, and so on.  */
double marjoram_fair_excess (marjoram_fair *fair, int64_t now, int caller);

#endif
