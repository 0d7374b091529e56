/* What hosts and keepers read from the agreed state: the routes and the
   evacuated zones, each one file of the register.  */
#ifndef MARJORAM_AGREED_H
#define MARJORAM_AGREED_H

#include "dialect.h"
#include "ini_key.h"
#include "state.h"

#define MARJORAM_FILE_ROUTES "routes"
#define MARJORAM_FILE_EVACUATIONS "evacuations"

/* The evacuated zones of STATE, which may be null; to be cleared.  */
struct marjoram_names
marjoram_agreed_evacuations (const struct marjoram_state *state);
bool marjoram_agreed_is_evacuated (const struct marjoram_names *zones,
                                   const char *zone);
/* The file that adds ZONE to the evacuated ones of STATE, or takes it off; its
   version is one higher.  To be cleared with marjoram_file_layout.  */
void marjoram_agreed_evacuate (const struct marjoram_state *state,
                               const char *zone, bool evacuated,
                               struct marjoram_file *file);
/* The routes in STATE; null if there are none, or with ERR set if they can't
   be read.  */
struct marjoram_route_table *
marjoram_agreed_routes (const struct marjoram_state *state,
                        const struct marjoram_dialect *dialect,
                        struct marjoram_error *err);

#endif
