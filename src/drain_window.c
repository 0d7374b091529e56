#include "drain_window.h"

enum
{
  /* The rest of the limit is for what has been started.  */
  START_PART = 2,
  /* How long requests are still accepted after the signal to stop: callers
     cache addresses for two seconds.  At most this part of the limit, so that
     what is accepted completes within it.  */
  ACCEPT_MS = 2000,
  ACCEPT_PART = 4,
  /* Time left before the limit for socket buffers to be written.  */
  EXIT_MARGIN_MS = 400,
  /* Time for the final answers to reach callers, at most this part of the
     limit.  */
  ANSWER_MARGIN_MS = 400,
  ANSWER_MARGIN_PART = 10
};

struct marjoram_drain_window
marjoram_drain_window_none (void)
{
  return (struct marjoram_drain_window){ INT64_MAX, INT64_MAX, INT64_MAX,
                                         INT64_MAX };
}

static int64_t
at_most (int64_t msec, int64_t most)
{
  return msec < most ? msec : most;
}

struct marjoram_drain_window
marjoram_drain_window_create (int64_t stopped_at, int64_t limit_ms)
{
  const int64_t exit_at = stopped_at + limit_ms - EXIT_MARGIN_MS;

  return (struct marjoram_drain_window){
    .accept_until = stopped_at + at_most (limit_ms / ACCEPT_PART, ACCEPT_MS),
    .start_until = stopped_at + limit_ms / START_PART,
    .answer_by
    = exit_at - at_most (limit_ms / ANSWER_MARGIN_PART, ANSWER_MARGIN_MS),
    .exit_at = exit_at,
  };
}
