/* Callers of entry hosts that enter what they ask and what they are told into
   a ledger: with kept connections, bodies that come in two parts, short
   deadlines, and some that leave early.  */
#ifndef MARJORAM_TEST_JUDGED_CALLER_H
#define MARJORAM_TEST_JUDGED_CALLER_H

#include "lib_run_ledger.h"
#include "random.h"

#include <event2/event.h>

struct judged_callers;

struct judged_options
{
  const char *entries; /* IP:port,... */
  int callers;
  int64_t pause_ms; /* maximum pause before a request */
  /* Deadlines in ms are drawn from this range.  */
  int64_t deadline_min_ms;
  int64_t deadline_max_ms;
  int leave_percent; /* callers that leave early */
  int again_percent; /* refused requests that are sent again under their id */
};

struct judged_callers *
judged_callers_start (struct event_base *base, marjoram_random *random,
                      struct run_ledger *ledger,
                      const struct judged_options *options);
/* No more requests are sent; those in progress are finished.  */
void judged_callers_stop (struct judged_callers *callers);
void judged_callers_destroy (struct judged_callers *callers);

#endif
