/* Ids of the requests that a connection has carried, up to a limit.  Kept as
   hashes: an id that was not carried may be taken for one that was, but never
   the other way round.  */
#ifndef MARJORAM_CARRIED_IDS_H
#define MARJORAM_CARRIED_IDS_H

#include <stdbool.h>
#include <stddef.h>

enum
{
  MARJORAM_CARRIED_IDS_MAX = 1024
};

typedef struct marjoram_carried_ids marjoram_carried_ids;

marjoram_carried_ids *marjoram_carried_ids_create (void);
void marjoram_carried_ids_destroy (marjoram_carried_ids *ids);
/* Adds ID, which need not be new.  Does nothing if IDS is full.  */
void marjoram_carried_ids_add (marjoram_carried_ids *ids, const char *id);
bool marjoram_carried_ids_contains (const marjoram_carried_ids *ids,
                                    const char *id);
bool marjoram_carried_ids_is_full (const marjoram_carried_ids *ids);

#endif
