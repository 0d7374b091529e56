/* Closed-loop load generator with persistent connections.  Each caller sends a
   request, waits for the response, pauses and repeats, until its host refuses
   connections.  Counts the outcomes.  */
#ifndef MARJORAM_TEST_STEADY_H
#define MARJORAM_TEST_STEADY_H

#include "random.h"

#include <event2/event.h>
#include <stdint.h>

struct steady;

struct steady_options
{
  const char *address; /* IP:port */
  const char *start;   /* request line and headers */
  const char *number;  /* name of the header with the request number */
  int callers;
  int64_t pause_ms; /* maximum pause before a request */
};

struct steady_counts
{
  int64_t served;  /* status 200 */
  int64_t refused; /* any other status */
  int64_t lost;    /* connection ended before the response was complete */
  int64_t idle;    /* idle connections closed by the host */
  int64_t away;    /* callers stopped by a refused connection */
};

struct steady *steady_start (struct event_base *base, marjoram_random *random,
                             const struct steady_options *options);
void steady_destroy (struct steady *steady);
const struct steady_counts *steady_counts (const struct steady *steady);

#endif
