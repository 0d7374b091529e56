/* The disk task: a thread that owns a store, so that slow syncs don't block
   the event loop.  Requests are queued, and their completions are reported on
   the event loop in the same order.  */
#ifndef MARJORAM_DISK_H
#define MARJORAM_DISK_H

#include "bytes.h"
#include "error.h"

#include <event2/event.h>

typedef struct marjoram_disk marjoram_disk;

struct marjoram_disk_ops
{
  /* Runs on the event loop.  OK: the record is durable.  */
  void (*written) (void *context, uint64_t ticket, bool ok);
};

/* Opens the store in FOLDER synchronously; fails as marjoram_store_open
   does.  */
marjoram_disk *marjoram_disk_create (struct event_base *base,
                                     const char *folder,
                                     const struct marjoram_disk_ops *ops,
                                     void *context,
                                     struct marjoram_error *err);
/* Completes the queued writes without reporting them.  */
void marjoram_disk_destroy (marjoram_disk *disk);
const char *marjoram_disk_id (const marjoram_disk *disk);
uint64_t marjoram_disk_incarnation (const marjoram_disk *disk);
/* Returns the record at opening, or null; the caller releases it.  */
marjoram_bytes *marjoram_disk_read (const marjoram_disk *disk);
/* Consumes the caller's reference to RECORD.  */
void marjoram_disk_write (marjoram_disk *disk, uint64_t ticket,
                          marjoram_bytes *record);

#endif
