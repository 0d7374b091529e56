/* What a host that is stopping still does, by the time that it has until it
   must have ended.  Pure decision logic.  */
#ifndef MARJORAM_DRAIN_WINDOW_H
#define MARJORAM_DRAIN_WINDOW_H

#include <stdint.h>

/* Times in ms, each not before the one above it; INT64_MAX in a host that is
   not stopping.  */
struct marjoram_drain_window
{
  int64_t accept_until; /* new requests are accepted */
  int64_t start_until;  /* requests that did not run yet are started */
  int64_t answer_by;    /* requests without an answer get their final one */
  int64_t exit_at;      /* the process ends, whatever is in progress */
};

/* Of a host that is not stopping.  */
struct marjoram_drain_window marjoram_drain_window_none (void);
/* Of a host that was told at STOPPED_AT to end within LIMIT_MS.  */
struct marjoram_drain_window marjoram_drain_window_create (int64_t stopped_at,
                                                           int64_t limit_ms);

#endif
