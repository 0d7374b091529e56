/* The library's one public header: what the two programs and their tests need.
   Everything else is internal and may change with each release.  */
#ifndef MARJORAM_H
#define MARJORAM_H

#include "config.h"
#include "config_file.h"
#include "ctl.h"
#include "error.h"
#include "settings.h"
#include "state.h"

#define MARJORAM_VERSION "0.1.0"

/* The version of the linked library, as MARJORAM_VERSION.  */
const char *marjoram_version (void);

#endif
