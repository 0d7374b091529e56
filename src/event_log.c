#include "event_log.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum
{
  LINE_MAX_BYTES = 640,
  BUFFER_BYTES = 64 * 1024,
  /* Lines of one kind in a second, and at once after a quiet time.  A host of
     a quarter of a core serves some hundred requests a second at most, each
     with a line.  */
  RATE_PER_S = 200,
  BURST = 400,
  MSEC_PER_SEC = 1000
};

struct allowance
{
  double lines;
  int64_t at;
  uint64_t dropped;
};

static const char *const names[MARJORAM_EVENT_COUNT]
    = { "process", "link",    "host",    "upstream", "config",
        "keeper",  "request", "attempt", "reject" };

/* One process has one standard output.  */
static struct
{
  char host[64];
  struct marjoram_clock *clock;
  char buffer[BUFFER_BYTES];
  size_t size;
  struct allowance allowances[MARJORAM_EVENT_COUNT];
} event_log;

void
marjoram_event_log_open (const char *name, struct marjoram_clock *clock)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  snprintf (event_log.host, sizeof event_log.host, "%s", name);
  event_log.clock = clock;
  for (int i = 0; i < MARJORAM_EVENT_COUNT; i++)
    event_log.allowances[i].lines = BURST;
  /* A reader that has stopped must not stop this host.  */
  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static bool
allowed (enum marjoram_event_kind kind, int64_t now)
{
  struct allowance *allowance = &event_log.allowances[kind];

  allowance->lines
      += (double)(now - allowance->at) * RATE_PER_S / MSEC_PER_SEC;
  allowance->at = now;
  if (allowance->lines > BURST)
    allowance->lines = BURST;
  if (allowance->lines < 1)
    {
      allowance->dropped++;
      return false;
    }
  allowance->lines--;
  return true;
}

static void
put (enum marjoram_event_kind kind, const char *text)
{
  int64_t wall = marjoram_clock_wall (event_log.clock);
  size_t room = BUFFER_BYTES - event_log.size;
  int size = snprintf (event_log.buffer + event_log.size, room,
                       "t=%" PRId64 ".%03d host=%s event=%s %s\n",
                       wall / MSEC_PER_SEC, (int)(wall % MSEC_PER_SEC),
                       event_log.host, names[kind], text);

  if (size > 0 && (size_t)size < room)
    event_log.size += (size_t)size;
  else
    event_log.allowances[kind].dropped++;
}

static void
put_dropped (enum marjoram_event_kind kind)
{
  struct allowance *allowance = &event_log.allowances[kind];
  char text[64];

  if (allowance->dropped == 0)
    return;
  snprintf (text, sizeof text, "lines_dropped=%" PRIu64, allowance->dropped);
  allowance->dropped = 0;
  put (kind, text);
}

void
marjoram_event (enum marjoram_event_kind kind, const char *format, ...)
{
  char text[LINE_MAX_BYTES];
  va_list args;

  if (!event_log.clock
      || !allowed (kind, marjoram_clock_now (event_log.clock)))
    return;
  put_dropped (kind);
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  put (kind, text);
}

void
marjoram_event_log_flush (void)
{
  ssize_t written;

  if (event_log.size == 0)
    return;
  written = write (STDOUT_FILENO, event_log.buffer, event_log.size);
  if (written <= 0)
    {
      /* The reader is behind: what gathers past the buffer is counted.  */
      return;
    }
  memmove (event_log.buffer, event_log.buffer + written,
           event_log.size - (size_t)written);
  event_log.size -= (size_t)written;
}
