/* Callers that keep connections open and send on them all the time, until
   their host refuses connections: each sends a request after a short pause,
   waits for the whole answer and goes on, on the same connection if it may.
   Counts what became of the requests.  */
#ifndef MARJORAM_TEST_STEADY_H
#define MARJORAM_TEST_STEADY_H

#include "random.h"

#include <event2/event.h>
#include <stdint.h>

struct steady;

struct steady_terms
{
  const char *address; /* IP:port */
  const char *start;   /* of each request, up to its last header's end */
  const char *number;  /* the header that gets the request's number */
  int callers;
  int64_t pause_ms; /* the longest before a request */
};

struct steady_counts
{
  int64_t served;  /* 200 */
  int64_t refused; /* any other answer */
  int64_t lost;    /* sent, and its connection ended without a whole answer */
  int64_t idle;    /* connections that the host closed without a request */
  int64_t away;    /* callers that found nobody listening any more */
};

struct steady *steady_start (struct event_base *base, marjoram_random *random,
                             const struct steady_terms *terms);
void steady_destroy (struct steady *steady);
const struct steady_counts *steady_counts (const struct steady *steady);

#endif
