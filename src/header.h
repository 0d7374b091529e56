/* Headers of HTTP messages: which are passed on, and how large they may be. */
#ifndef MARJORAM_HEADER_H
#define MARJORAM_HEADER_H

#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <stddef.h>

/* Whether a header is the message's own, to be passed on; not the
   connection's, the hosts' or a secret of the caller.  */
bool marjoram_header_is_passed_on (const char *name);
/* How many headers of NAME there are; VALUE, unless null, gets the last one's
   value if there is any.  */
size_t marjoram_header_count (const struct evkeyvalq *headers,
                              const char *name, const char **value);
/* Whether those to be passed on are few and short enough to cross to another
   host.  */
bool marjoram_header_fits (const struct evkeyvalq *headers);

#endif
