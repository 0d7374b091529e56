/* Immutable, reference-counted byte strings, shared between tasks without
   copying.  The count is atomic, as the disk task runs in its own thread.  */
#ifndef MARJORAM_BYTES_H
#define MARJORAM_BYTES_H

#include <stddef.h>
#include <stdint.h>

typedef struct marjoram_bytes marjoram_bytes;

/* DATA is copied.  */
marjoram_bytes *marjoram_bytes_create (const void *data, size_t size);
marjoram_bytes *marjoram_bytes_retain (marjoram_bytes *bytes);
/* Drops one reference.  BYTES may be null.  */
void marjoram_bytes_release (marjoram_bytes *bytes);
/* A null pointer is treated as empty.  */
const uint8_t *marjoram_bytes_data (const marjoram_bytes *bytes);
size_t marjoram_bytes_size (const marjoram_bytes *bytes);

/* For use with marjoram_auto ().  */
void marjoram_bytes_cleanup (marjoram_bytes **bytes);

#endif
