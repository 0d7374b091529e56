/* Orders to begin or to finish the evacuation of a zone.  The replicated list
   of evacuated zones also holds, for each zone, the number of the order
   decided last.  An order changes a zone only if it builds on that number, so
   that it can't take effect once a later order was acknowledged.  */
#ifndef MARJORAM_EVACUATION_H
#define MARJORAM_EVACUATION_H

#include "change.h"
#include "ini_key.h"
#include "state.h"

#include <stdbool.h>

#define MARJORAM_FILE_EVACUATIONS "evacuations"

/* The base of an order that may not change its zone.  */
#define MARJORAM_ORDER_NO_BASE UINT64_MAX

struct marjoram_evacuation_order
{
  char *zone;
  bool begin;    /* or finish */
  uint64_t base; /* number of the order before it */
};

/* Returns the evacuated zones of STATE, which may be null.  The caller frees
   the result with marjoram_names_clear.  */
struct marjoram_names
marjoram_evacuation_zones (const struct marjoram_state *state);
/* The zones that orders were decided for, freed in the same way.  */
struct marjoram_names
marjoram_evacuation_ordered_zones (const struct marjoram_state *state);
bool marjoram_evacuation_lists (const struct marjoram_names *zones,
                                const char *zone);
/* Whether ZONE is evacuated in STATE, which may be null.  */
bool marjoram_evacuation_in_force (const struct marjoram_state *state,
                                   const char *zone);
/* The number of the order for ZONE decided last; 0 if there was none.  */
uint64_t marjoram_evacuation_number (const struct marjoram_state *state,
                                     const char *zone);
/* The names separated by commas, "-" if there are none, malloc'd.  */
char *marjoram_evacuation_join (const struct marjoram_names *zones);
/* Decides ORDER and records the result in STATE, whose number is incremented.
   An order for what is in force is accepted and gets a number too: what builds
   on the number before it is then out of date.  Returns ACCEPTED or STALE; the
   version of the recorded change is the number of the zone after it.  */
enum marjoram_change_result
marjoram_evacuation_decide (struct marjoram_state *state, const char *id,
                            const struct marjoram_evacuation_order *order);

#endif
