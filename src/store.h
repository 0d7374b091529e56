/* Durable storage of a keeper: a folder with one record, which is replaced
   atomically.  Calls block; the disk task runs them in its own thread.  */
#ifndef MARJORAM_STORE_H
#define MARJORAM_STORE_H

#include "bytes.h"
#include "error.h"

#include <stdbool.h>

typedef struct marjoram_store marjoram_store;

/* Opens the store in FOLDER, creating the folder if missing and a store id if
   it is empty.  Fails with MARJORAM_ERROR_CORRUPT if the record is damaged or
   missing from a used folder, and with MARJORAM_ERROR_REFUSED if another
   process has the folder open.  */
marjoram_store *marjoram_store_open (const char *folder,
                                     struct marjoram_error *err);
void marjoram_store_close (marjoram_store *store);
const char *marjoram_store_id (const marjoram_store *store);
/* Increases with each opening, and is on disk before open returns.  */
uint64_t marjoram_store_incarnation (const marjoram_store *store);
/* Returns the last written record, or null; the caller releases it.  */
marjoram_bytes *marjoram_store_read (marjoram_store *store,
                                     struct marjoram_error *err);
/* Replaces the record; it is durable if this returns true.  */
bool marjoram_store_write (marjoram_store *store, const marjoram_bytes *record,
                           struct marjoram_error *err);

#endif
