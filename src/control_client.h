/* Client of the control interface, used by marjoramctl.  A call blocks until
   an authenticated response arrives or the timeout expires.  */
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
  MARJORAM_CONTROL_UNREACHED, /* the call was not sent */
  MARJORAM_CONTROL_UNKNOWN    /* sent, but no valid response */
};

struct marjoram_control_answer
{
  int status;
  char *slot; /* of the responding host */
  char *body; /* NUL-terminated */
  size_t size;
};

/* PATH may include a query string.  ANSWER must always be cleared by the
   caller.  */
enum marjoram_control_result marjoram_control_request (
    const struct marjoram_control_target *target, const char *method,
    const char *path, const char *body, struct marjoram_control_answer *answer,
    struct marjoram_error *err);
void marjoram_control_answer_clear (struct marjoram_control_answer *answer);

#endif
