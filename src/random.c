#include "random.h"

#include <gsl/gsl_rng.h>

struct marjoram_random
{
  gsl_rng generator;
};

marjoram_random *
marjoram_random_create (uint64_t seed)
{
  gsl_rng *generator = gsl_rng_alloc (gsl_rng_taus2);

  gsl_rng_set (generator, seed);
  return (marjoram_random *)generator;
}

void
marjoram_random_destroy (marjoram_random *random)
{
  if (random)
    gsl_rng_free (&random->generator);
}

uint32_t
marjoram_random_below (marjoram_random *random, uint32_t limit)
{
  return (uint32_t)gsl_rng_uniform_int (&random->generator, limit);
}

double
marjoram_random_unit (marjoram_random *random)
{
  return gsl_rng_uniform (&random->generator);
}
