#include "build_set.h"

#include <string.h>
#include <xxhash.h>

enum
{
  BITS = 64
};

marjoram_build_set
marjoram_build_set_of (const char *build)
{
  return UINT64_C (1) << (XXH3_64bits (build, strlen (build)) % BITS);
}

bool
marjoram_build_set_may_have (marjoram_build_set set, const char *build)
{
  return (set & marjoram_build_set_of (build)) != 0;
}
