/* One call to a daemon's control address, for the operators' tool: blocks
   until the proved answer is there or the time is up.  */
#ifndef MARJORAM_CONTROL_CLIENT_H
#define MARJORAM_CONTROL_CLIENT_H

#include "error.h"

#include <stddef.h>
#include <stdint.h>

struct marjoram_control_target
{
  const char *address; /* IP:port */
  const char *secret;
  int64_t timeout_ms;
};

enum marjoram_control_result
{
  MARJORAM_CONTROL_ANSWERED,
  MARJORAM_CONTROL_UNREACHED, /* nothing was asked of the host */
  MARJORAM_CONTROL_UNKNOWN    /* asked, but no whole proved answer came */
};

struct marjoram_control_answer
{
  int status;
  char *slot; /* of the host that answered */
  char *body; /* NUL-terminated */
  size_t size;
};

/* PATH may hold a query.  ANSWER is to be cleared in any case.  */
enum marjoram_control_result
marjoram_control_ask (const struct marjoram_control_target *target,
                      const char *method, const char *path, const char *body,
                      struct marjoram_control_answer *answer,
                      struct marjoram_error *err);
void marjoram_control_answer_clear (struct marjoram_control_answer *answer);

#endif
