/* A small configuration for tests and benchmarks, from a few numbers.  */
#ifndef MARJORAM_TEST_CONFIG_SPEC_H
#define MARJORAM_TEST_CONFIG_SPEC_H

#include "config.h"

/* Zones are named r0-z0, r0-z1, ..., r1-z0, their slots by a letter after
   that; regions r0, r1, ...; callers c0, c1, ...; works w0, w1, ...  */
struct config_spec
{
  int regions;
  int zones; /* in each region */
  int slots; /* in each zone */
  int works;
  int services; /* the last so many works are plain services */
  int callers;
  uint64_t allowed; /* regions of each caller; 0 for all */
  double rate;      /* of each caller */
  double burst;
  double prefill_rate;
  double decode_rate;
  uint64_t number;
};

marjoram_config *config_from_spec (const struct config_spec *spec);

#endif
