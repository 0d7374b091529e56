#include "marjoram.h"

const char *
marjoram_version (void)
{
  return MARJORAM_VERSION;
}
