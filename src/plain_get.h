/* One GET without a proof, for pages that need none: blocks until the answer
   is there or the time is up.  */
#ifndef MARJORAM_PLAIN_GET_H
#define MARJORAM_PLAIN_GET_H

#include <stdbool.h>
#include <stdint.h>

/* False if ADDRESS is no IP:port.  STATUS is 0 if no answer came; BODY is
   malloc'd, null without an answer.  */
bool marjoram_plain_get (const char *address, const char *path,
                         int64_t timeout_ms, int *status, char **body);

#endif
