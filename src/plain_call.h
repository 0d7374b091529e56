/* One call without a proof, for addresses that need none: blocks until the
   answer is there or the time is up.  */
#ifndef MARJORAM_PLAIN_CALL_H
#define MARJORAM_PLAIN_CALL_H

#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>

struct marjoram_plain_call
{
  const char *address; /* IP:port */
  enum evhttp_cmd_type method;
  const char *path;
  const char *body; /* null: none */
  int64_t timeout_ms;
};

/* False if the address is no IP:port.  STATUS is 0 if no answer came; BODY is
   malloc'd, null without an answer.  */
bool marjoram_plain_call (const struct marjoram_plain_call *call, int *status,
                          char **body);

#endif
