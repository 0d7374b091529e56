/* Clock interface.  Decision modules never read the clock: callers pass in the
   time, as int64_t milliseconds.  */
#ifndef MARJORAM_CLOCK_H
#define MARJORAM_CLOCK_H

#include <stdint.h>
#include <sys/time.h>
#include <time.h>

enum
{
  /* An event loop that is not ticked for this long has stalled; ticks are at
     most 100 ms apart.  */
  MARJORAM_STALL_MIN_MS = 300
};

struct marjoram_clock;

struct marjoram_clock_ops
{
  struct timespec (*monotonic) (struct marjoram_clock *clock);
  struct timespec (*wall) (struct marjoram_clock *clock);
};

struct marjoram_clock
{
  const struct marjoram_clock_ops *ops;
};

/* CLOCK_MONOTONIC and CLOCK_REALTIME; must not be freed.  */
struct marjoram_clock *marjoram_clock_system (void);

/* CLOCK_BOOTTIME and CLOCK_REALTIME: monotonic time includes suspension, so
   that cached information expires meanwhile.  Must not be freed.  */
struct marjoram_clock *marjoram_clock_boot (void);

/* Converts milliseconds for libevent timers.  */
struct timeval marjoram_clock_timeval (int64_t msec);
/* Monotonic time in ms, for timeouts and leases.  */
int64_t marjoram_clock_now (struct marjoram_clock *clock);
/* Wall clock time in ms since the epoch, not for timeouts.  */
int64_t marjoram_clock_wall (struct marjoram_clock *clock);

#endif
