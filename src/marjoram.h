/* Public header of the library, as used by the two programs and their tests.
   All other interfaces are internal and may change in any release.  */
#ifndef MARJORAM_H
#define MARJORAM_H

#include "config.h"
#include "config_file.h"
#include "ctl.h"
#include "error.h"
#include "settings.h"
#include "state.h"

#define MARJORAM_VERSION "0.1.0"

/* Returns the version of the linked library.  */
const char *marjoram_version (void);

#endif
