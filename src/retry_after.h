/* Parses the Retry-After header of HTTP responses.  */
#ifndef MARJORAM_RETRY_AFTER_H
#define MARJORAM_RETRY_AFTER_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Longest time that is believed, in ms.  A responder that states more by
     mistake is asked again after it.  */
  MARJORAM_RETRY_AFTER_MAX_MS = 3600 * 1000
};

/* Stores the time that TEXT states in MS: a decimal number of seconds,
   possibly with a fraction, rounded up to ms and limited to
   MARJORAM_RETRY_AFTER_MAX_MS.  Returns false and leaves MS unchanged if TEXT
   is null or anything else.  Dates are not supported, since they compare the
   clocks of two machines.  */
bool marjoram_retry_after_parse (const char *text, int64_t *ms);

#endif
