/* Parser of the route configuration that operators write, an INI file.

     [routes]
     version = 12
     [callers]
     head_bytes = 16384
     [service app]
     health_path = /health
     [route status]
     host = boards.example
     prefix = /status/
     kind = idempotent
     services = app
     timeout_ms = 4000  */
#ifndef MARJORAM_ROUTE_FILE_H
#define MARJORAM_ROUTE_FILE_H

#include "route_table.h"

/* Whether TEXT starts like an INI file, with a section or a comment.  */
bool marjoram_route_file_detect (const char *text, size_t size);
/* Returns NULL and sets ERR to the first error, with its line and remedy.  */
struct marjoram_route_table *
marjoram_route_file_read (const char *text, size_t size,
                          struct marjoram_error *err);

#endif
