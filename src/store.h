/* The data folder of a keeper: one record, replaced whole, durable once
   written.  Calls block; the disk task makes them in a thread of its own.  */
#ifndef MARJORAM_STORE_H
#define MARJORAM_STORE_H

#include "bytes.h"
#include "error.h"

#include <stdbool.h>

typedef struct marjoram_store marjoram_store;

/* Opens FOLDER, made if missing, with a new store id if it is empty.  Fails
   with MARJORAM_ERROR_CORRUPT if it holds a damaged record, never starting as
   if empty, and if another process uses it.  */
marjoram_store *marjoram_store_open (const char *folder,
                                     struct marjoram_error *err);
void marjoram_store_close (marjoram_store *store);
const char *marjoram_store_id (const marjoram_store *store);
/* Grows with each opening, synced before open returns.  */
uint64_t marjoram_store_incarnation (const marjoram_store *store);
/* The record as last written, null if none; the caller releases it.  */
marjoram_bytes *marjoram_store_read (marjoram_store *store,
                                     struct marjoram_error *err);
/* Written to a new file, synced, renamed, folder synced.  */
bool marjoram_store_write (marjoram_store *store, const marjoram_bytes *record,
                           struct marjoram_error *err);

#endif
