/* Blocking HTTP call, for endpoints that need no authentication.  */
#ifndef MARJORAM_BLOCKING_CALL_H
#define MARJORAM_BLOCKING_CALL_H

#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>

struct marjoram_blocking_call
{
  const char *address; /* IP:port */
  enum evhttp_cmd_type method;
  const char *path;
  const char *body; /* may be null */
  int64_t timeout_ms;
};

/* Returns false if the address is not IP:port.  STATUS is 0 and BODY null if
   there was no response within the timeout; otherwise BODY is malloc'd.  */
bool marjoram_blocking_call (const struct marjoram_blocking_call *call,
                             int *status, char **body);

#endif
