/* Scope-based cleanup and allocation.  When a variable declared with
   marjoram_auto (FN) goes out of scope, FN is called with its address.  */
#ifndef MARJORAM_CLEANUP_H
#define MARJORAM_CLEANUP_H

#include <stdlib.h>

#define marjoram_auto(fn) __attribute__ ((cleanup (fn)))

/* For malloc'd memory: "marjoram_auto_free char *text = ...".  */
#define marjoram_auto_free marjoram_auto (marjoram_cleanup_free)

static inline void
marjoram_cleanup_free (void *address)
{
  free (*(void **)address);
}

/* Allocate zeroed memory and copy a string; abort if out of memory.  */
void *marjoram_alloc (size_t size);
char *marjoram_strdup (const char *text);

#endif
