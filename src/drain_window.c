#include "drain_window.h"

enum
{
  /* The rest of the limit is for what has been started.  */
  START_PART = 2,
  /* How long requests are still accepted after the signal to stop: callers
     cache addresses for two seconds.  */
  ACCEPT_MS = 2000,
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

struct marjoram_drain_window
marjoram_drain_window_create (int64_t stopped_at, int64_t limit_ms)
{
  const int64_t part_ms = limit_ms / ANSWER_MARGIN_PART;
  const int64_t margin_ms
      = part_ms < ANSWER_MARGIN_MS ? part_ms : ANSWER_MARGIN_MS;
  const int64_t exit_at = stopped_at + limit_ms - EXIT_MARGIN_MS;

  return (struct marjoram_drain_window){ stopped_at + ACCEPT_MS,
                                         stopped_at + limit_ms / START_PART,
                                         exit_at - margin_ms, exit_at };
}
