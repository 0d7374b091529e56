/* Records the requests that hosts send to one upstream, and compares them in
   every window with the rate limit that its responses state.  Counts only
   hosts that passed on such a response some time before.  */
#ifndef MARJORAM_TEST_LIB_RATE_BOUND_H
#define MARJORAM_TEST_LIB_RATE_BOUND_H

#include <stdint.h>

struct rate_bound;

/* Times range from 0 to RUN_MS, hosts from 0 to HOSTS, both exclusive.  */
struct rate_bound *rate_bound_create (int64_t run_ms, int hosts);
void rate_bound_destroy (struct rate_bound *bound);
/* Responses state RATE_LIMIT requests per second from AT_MS on; negative: no
   limit.  */
void rate_bound_set_limit (struct rate_bound *bound, int64_t at_ms,
                           double rate_limit);
/* HOST passed on a response that states the limit.  */
void rate_bound_add_told (struct rate_bound *bound, int64_t at_ms, int host);
/* HOST forgot what it was told.  */
void rate_bound_clear_told (struct rate_bound *bound, int host);
void rate_bound_add_request (struct rate_bound *bound, int64_t at_ms,
                             int host);
/* Number of requests from FROM_MS to UNTIL_MS, exclusive.  */
int rate_bound_count (const struct rate_bound *bound, int64_t from_ms,
                      int64_t until_ms);
/* The largest number of requests beyond the bound in any window; the window's
   start is stored in FROM_MS.  Negative if the bound holds.  */
double rate_bound_excess (const struct rate_bound *bound, int64_t *from_ms);

#endif
