/* Records when requests are sent and repeated, and compares the repeats in
   every window with the bound: a ratio of the requests in that window, in the
   window before it or in the one half a window before it, whichever has most,
   plus an allowance.  */
#ifndef MARJORAM_TEST_LIB_REPEAT_BOUND_H
#define MARJORAM_TEST_LIB_REPEAT_BOUND_H

#include "repeat_budget.h"

#include <stdint.h>

struct repeat_bound;

/* Times range from 0 to RUN_MS, exclusive.  */
struct repeat_bound *
repeat_bound_create (const struct marjoram_repeat_limits *limits,
                     int64_t run_ms);
void repeat_bound_destroy (struct repeat_bound *bound);
void repeat_bound_add_request (struct repeat_bound *bound, int64_t at_ms);
void repeat_bound_add_repeat (struct repeat_bound *bound, int64_t at_ms);
/* Number of repeats from FROM_MS to UNTIL_MS, exclusive.  */
int repeat_bound_count (const struct repeat_bound *bound, int64_t from_ms,
                        int64_t until_ms);
/* The largest number of repeats beyond the bound in any window; the window's
   start is stored in FROM_MS.  Negative if the bound holds.  */
double repeat_bound_excess (const struct repeat_bound *bound,
                            int64_t *from_ms);

#endif
