/* Filtering and size limits of forwarded HTTP headers, and values that state
   the length of a body.  */
#ifndef MARJORAM_HEADER_H
#define MARJORAM_HEADER_H

#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <stddef.h>

/* Whether header NAME is forwarded.  False for headers of the connection,
   Authorization, and headers that the hosts set or read themselves.  */
bool marjoram_header_is_forwarded (const char *name);
/* Counts the headers called NAME.  VALUE, unless null, receives the value of
   the last one, if any.  */
size_t marjoram_header_count (const struct evkeyvalq *headers,
                              const char *name, const char **value);
/* Whether VALUE, of a Content-Length, is a number and nothing else.  */
bool marjoram_header_is_length (const char *value);
/* Whether VALUE, of a Transfer-Encoding, is the chunked coding alone.  */
bool marjoram_header_is_chunked (const char *value);
/* Whether the forwarded headers are within the limits of a frame.  */
bool marjoram_headers_fit_frame (const struct evkeyvalq *headers);

#endif
