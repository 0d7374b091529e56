/* Seeded pseudo-random number generator, for reproducible runs.  Not
   cryptographically secure: secrets and nonces use libsodium.  */
#ifndef MARJORAM_RANDOM_H
#define MARJORAM_RANDOM_H

#include <stdint.h>

typedef struct marjoram_random marjoram_random;

marjoram_random *marjoram_random_create (uint64_t seed);
void marjoram_random_destroy (marjoram_random *random);
/* Returns an integer in [0, LIMIT).  LIMIT must be at least 1.  */
uint32_t marjoram_random_below (marjoram_random *random, uint32_t limit);
/* Returns a number in [0, 1).  */
double marjoram_random_unit (marjoram_random *random);

#endif
