/* The clock as an interface.  Decision modules never read it: their callers
   pass the time in, as int64_t milliseconds.  */
#ifndef MARJORAM_CLOCK_H
#define MARJORAM_CLOCK_H

#include <stdint.h>
#include <sys/time.h>
#include <time.h>

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

/* The machine's clock; not to be freed.  */
struct marjoram_clock *marjoram_clock_system (void);

/* The machine's clock, whose monotonic time goes on while the machine is
   suspended, so that what was believed before is known to be old after; not to
   be freed.  */
struct marjoram_clock *marjoram_clock_boot (void);

/* For timers.  */
struct timeval marjoram_clock_timeval (int64_t msec);
/* Milliseconds of the monotonic clock: for timeouts and leases.  */
int64_t marjoram_clock_now (struct marjoram_clock *clock);
/* Milliseconds since the epoch: for the age of request keys only.  */
int64_t marjoram_clock_wall (struct marjoram_clock *clock);

#endif
