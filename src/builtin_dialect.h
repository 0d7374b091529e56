/* Built-in operator API under /gateway/, with routes in INI format
   (route_file.h).  Wraps a dialect that handles all other requests.

     GET    /gateway/routes               returns the active routes
     PUT    /gateway/routes               replaces the active routes
     PUT    /gateway/evacuations/ZONE     stops sending requests to ZONE
     DELETE /gateway/evacuations/ZONE     ends the evacuation of ZONE  */
#ifndef MARJORAM_BUILTIN_DIALECT_H
#define MARJORAM_BUILTIN_DIALECT_H

#include "dialect.h"

#define MARJORAM_PATH_ROUTES "/gateway/routes"
#define MARJORAM_PATH_EVACUATIONS "/gateway/evacuations/"

/* Returns a process-wide instance that delegates to FALLBACK, which must
   outlive it.  */
const struct marjoram_dialect *
marjoram_builtin_dialect (const struct marjoram_dialect *fallback);

#endif
