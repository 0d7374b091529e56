/* Plays a load of long prompts on simulated engines, placed by hosts that tell
   one another what they sent, or by a simple rule, and counts what callers
   get.  The same seed plays the same load for each way.  */
#ifndef MARJORAM_TEST_LIB_LOAD_H
#define MARJORAM_TEST_LIB_LOAD_H

#include <stdbool.h>
#include <stdint.h>

enum load_way
{
  LOAD_ROUND_ROBIN,
  LOAD_LEAST_IN_FLIGHT,
  LOAD_PLACED,         /* by the placement, without copies */
  LOAD_PLACED_COPYING, /* with copies of what other engines keep */
  LOAD_WAY_COUNT
};

struct load_terms
{
  enum load_way way;
  uint64_t seed;
  int engines;
  int hosts;
  double reviews_per_s; /* 9,190 tokens, of which 6,300 are shared */
  double asks_per_s;    /* 826 tokens, 198 shared, urgent, long answers */
  int sessions;         /* that share the larger part of a review's prompt */
  int64_t span_ms;
};

struct load_result
{
  int64_t asked;
  int64_t in_time;
  int64_t late;
  int64_t refused;
  int64_t read;       /* tokens */
  int64_t read_again; /* of these, shared ones that some engine had read */
  int64_t copied;     /* tokens */
};

const char *load_way_name (enum load_way way);
void load_play (const struct load_terms *terms, struct load_result *result);

#endif
