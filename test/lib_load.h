/* Simulates a load of long prompts on engines, with requests distributed by
   hosts that exchange load reports or by a simple policy, and counts the
   results.  A seed reproduces the same load for each policy.  */
#ifndef MARJORAM_TEST_LIB_LOAD_H
#define MARJORAM_TEST_LIB_LOAD_H

#include <stdbool.h>
#include <stdint.h>

enum load_policy
{
  LOAD_ROUND_ROBIN,
  LOAD_LEAST_IN_FLIGHT,
  LOAD_PLACED,         /* by the placement module, without copies */
  LOAD_PLACED_COPYING, /* with copies of prompts cached by other engines */
  LOAD_POLICY_COUNT
};

struct load_terms
{
  enum load_policy policy;
  uint64_t seed;
  int engines;
  int hosts;
  double reviews_per_s; /* 9,190 tokens, 6,300 of them shared */
  double
      chats_per_s; /* 826 tokens, 198 of them shared, urgent, long responses */
  int sessions;    /* sessions that share most of a review's prompt */
  int64_t span_ms;
};

struct load_result
{
  int64_t asked;
  int64_t in_time;
  int64_t late;
  int64_t refused;
  int64_t prefilled;       /* tokens */
  int64_t prefilled_again; /* of these, read before by some engine */
  int64_t copied;          /* tokens */
};

const char *load_policy_name (enum load_policy policy);
void load_run (const struct load_terms *terms, struct load_result *result);

#endif
