/* The routes, stored as one file of the replicated state.  */
#ifndef MARJORAM_STATE_FILES_H
#define MARJORAM_STATE_FILES_H

#include "dialect.h"
#include "state.h"

#define MARJORAM_FILE_ROUTES "routes"

/* Parses the routes in STATE, which may be null.  Returns null if there are
   none, or with ERR set if they are invalid.  */
struct marjoram_route_table *
marjoram_state_files_routes (const struct marjoram_state *state,
                             const struct marjoram_dialect *dialect,
                             struct marjoram_error *err);

#endif
