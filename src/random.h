/* A source of random numbers that is passed in, so that a seed repeats a run.
   Not for secrets: those come from libsodium.  */
#ifndef MARJORAM_RANDOM_H
#define MARJORAM_RANDOM_H

#include <stdint.h>

typedef struct marjoram_random marjoram_random;

marjoram_random *marjoram_random_create (uint64_t seed);
void marjoram_random_destroy (marjoram_random *random);
/* A whole number from 0 to LIMIT - 1; LIMIT is at least 1.  */
uint32_t marjoram_random_below (marjoram_random *random, uint32_t limit);
/* From 0 up to, but not including, 1.  */
double marjoram_random_unit (marjoram_random *random);

#endif
