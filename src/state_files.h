/* Accessors for the routes and the evacuated zones, each stored as one file of
   the replicated state.  */
#ifndef MARJORAM_STATE_FILES_H
#define MARJORAM_STATE_FILES_H

#include "dialect.h"
#include "ini_key.h"
#include "state.h"

#define MARJORAM_FILE_ROUTES "routes"
#define MARJORAM_FILE_EVACUATIONS "evacuations"

/* Returns the evacuated zones of STATE, which may be null.  The caller frees
   the result with marjoram_names_clear.  */
struct marjoram_names
marjoram_state_files_evacuations (const struct marjoram_state *state);
bool marjoram_state_files_is_evacuated (const struct marjoram_names *zones,
                                        const char *zone);
/* The names separated by commas, "-" if there are none, malloc'd.  */
char *marjoram_state_files_join (const struct marjoram_names *zones);
/* Fills FILE with the next version of the evacuations file, with ZONE added
   or, if EVACUATED is false, removed.  STATE may be null.  The caller clears
   FILE through marjoram_file_layout.  */
void marjoram_state_files_evacuate (const struct marjoram_state *state,
                                    const char *zone, bool evacuated,
                                    struct marjoram_file *file);
/* Parses the routes in STATE, which may be null.  Returns null if there are
   none, or with ERR set if they are invalid.  */
struct marjoram_route_table *
marjoram_state_files_routes (const struct marjoram_state *state,
                             const struct marjoram_dialect *dialect,
                             struct marjoram_error *err);

#endif
