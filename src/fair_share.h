/* Fair sharing between callers under overload: the ratio of a caller's usage
   of this host to its weighted share.  Performs no I/O.  */
#ifndef MARJORAM_FAIR_SHARE_H
#define MARJORAM_FAIR_SHARE_H

#include "config.h"

typedef struct marjoram_fair_share marjoram_fair_share;

marjoram_fair_share *marjoram_fair_share_create (void);
void marjoram_fair_share_destroy (marjoram_fair_share *fair);
/* Retains CONFIG; recent usage is carried over by caller name.  */
void marjoram_fair_share_configure (marjoram_fair_share *fair,
                                    marjoram_config *config);
/* Adds WORK_MS, the estimated time of an admitted request, to the usage of
   CALLER.  */
void marjoram_fair_share_record (marjoram_fair_share *fair, int64_t now,
                                 int caller, double work_ms);
/* Usage of CALLER relative to its fair share, at least 1.  */
double marjoram_fair_share_excess (marjoram_fair_share *fair, int64_t now,
                                   int caller);

#endif
