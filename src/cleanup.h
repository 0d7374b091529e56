/* Clean-up attributes: a variable declared with marjoram_auto (FN) has FN
   called with its address when it goes out of scope.  */
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

/* Allocation that does not return on failure: a gateway that cannot get a few
   bytes is restarted rather than run on with a half-made record.  */
void *marjoram_alloc (size_t size);
char *marjoram_strdup (const char *text);

#endif
