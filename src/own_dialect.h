/* The product's own way to be asked, beside that of a platform: operators'
   calls under /gateway/, and routes in their INI form (route_file.h).  All
   else is left to the other dialect.

     GET  /gateway/routes                 the routes in force
     PUT  /gateway/routes                 puts routes in force
     PUT  /gateway/evacuations/ZONE       nothing more is sent to ZONE
     DELETE /gateway/evacuations/ZONE     ends that  */
#ifndef MARJORAM_OWN_DIALECT_H
#define MARJORAM_OWN_DIALECT_H

#include "dialect.h"

#define MARJORAM_PATH_ROUTES "/gateway/routes"
#define MARJORAM_PATH_EVACUATIONS "/gateway/evacuations/"

/* There is one in a process; OTHER stays in use.  */
const struct marjoram_dialect *
marjoram_own_dialect (const struct marjoram_dialect *other);

#endif
