#include "clock.h"

enum
{
  MSEC_PER_SEC = 1000,
  USEC_PER_MSEC = 1000,
  NSEC_PER_MSEC = 1000000
};

static struct timespec
system_monotonic (struct marjoram_clock *clock)
{
  struct timespec ts;

  (void)clock;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  return ts;
}

static struct timespec
boot_monotonic (struct marjoram_clock *clock)
{
  struct timespec ts;

  (void)clock;
  clock_gettime (CLOCK_BOOTTIME, &ts);
  return ts;
}

static struct timespec
system_wall (struct marjoram_clock *clock)
{
  struct timespec ts;

  (void)clock;
  clock_gettime (CLOCK_REALTIME, &ts);
  return ts;
}

static int64_t
to_msec (struct timespec ts)
{
  return (int64_t)ts.tv_sec * MSEC_PER_SEC + ts.tv_nsec / NSEC_PER_MSEC;
}

struct timeval
marjoram_clock_timeval (int64_t msec)
{
  struct timeval tv;

  tv.tv_sec = (time_t)(msec / MSEC_PER_SEC);
  tv.tv_usec = (suseconds_t)(msec % MSEC_PER_SEC) * USEC_PER_MSEC;
  return tv;
}

struct marjoram_clock *
marjoram_clock_system (void)
{
  static const struct marjoram_clock_ops ops
      = { .monotonic = system_monotonic, .wall = system_wall };
  static struct marjoram_clock clock = { &ops };

  return &clock;
}

struct marjoram_clock *
marjoram_clock_boot (void)
{
  static const struct marjoram_clock_ops ops
      = { .monotonic = boot_monotonic, .wall = system_wall };
  static struct marjoram_clock clock = { &ops };

  return &clock;
}

int64_t
marjoram_clock_now (struct marjoram_clock *clock)
{
  return to_msec (clock->ops->monotonic (clock));
}

int64_t
marjoram_clock_wall (struct marjoram_clock *clock)
{
  return to_msec (clock->ops->wall (clock));
}
