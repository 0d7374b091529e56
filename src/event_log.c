#include "event_log.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum
{
  TEXT_MAX_BYTES = 1024,
  BUFFER_BYTES = 64 * 1024,
  /* Rate limit of each kind of event.  A host with a quarter of a core serves
     at most some hundred requests per second, each with a line.  */
  RATE_PER_S = 200,
  BURST = 400,
  MSEC_PER_SEC = 1000
};

struct token_bucket
{
  double tokens;
  int64_t at;
  uint64_t dropped;
};

static const char *const kind_names[MARJORAM_EVENT_COUNT]
    = { "process", "link",    "host",    "upstream", "config",
        "keeper",  "request", "attempt", "reject" };

/* Global, since a process has only one standard output.  */
static struct
{
  char host[64];
  struct marjoram_clock *clock;
  char buffer[BUFFER_BYTES];
  size_t size;
  struct token_bucket buckets[MARJORAM_EVENT_COUNT];
} event_log;

void
marjoram_event_log_open (const char *name, struct marjoram_clock *clock)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  snprintf (event_log.host, sizeof event_log.host, "%s", name);
  event_log.clock = clock;
  for (int i = 0; i < MARJORAM_EVENT_COUNT; i++)
    event_log.buckets[i].tokens = BURST;
  /* A stalled reader must not block the daemon.  */
  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

static bool
take_token (enum marjoram_event_kind kind, int64_t now)
{
  struct token_bucket *bucket = &event_log.buckets[kind];

  bucket->tokens += (double)(now - bucket->at) * RATE_PER_S / MSEC_PER_SEC;
  bucket->at = now;
  if (bucket->tokens > BURST)
    bucket->tokens = BURST;
  if (bucket->tokens < 1)
    {
      bucket->dropped++;
      return false;
    }
  bucket->tokens--;
  return true;
}

static void
append_line (enum marjoram_event_kind kind, const char *text)
{
  int64_t wall = marjoram_clock_wall (event_log.clock);
  size_t available = BUFFER_BYTES - event_log.size;
  int size = snprintf (event_log.buffer + event_log.size, available,
                       "t=%" PRId64 ".%03d host=%s event=%s %s\n",
                       wall / MSEC_PER_SEC, (int)(wall % MSEC_PER_SEC),
                       event_log.host, kind_names[kind], text);

  if (size > 0 && (size_t)size < available)
    event_log.size += (size_t)size;
  else
    event_log.buckets[kind].dropped++;
}

static void
report_dropped (enum marjoram_event_kind kind)
{
  struct token_bucket *bucket = &event_log.buckets[kind];
  char text[64];

  if (bucket->dropped == 0)
    return;
  snprintf (text, sizeof text, "lines_dropped=%" PRIu64, bucket->dropped);
  bucket->dropped = 0;
  append_line (kind, text);
}

void
marjoram_event (enum marjoram_event_kind kind, const char *format, ...)
{
  char text[TEXT_MAX_BYTES];
  va_list args;

  if (!event_log.clock
      || !take_token (kind, marjoram_clock_now (event_log.clock)))
    return;
  report_dropped (kind);
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  append_line (kind, text);
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
      /* The output would block; lines are dropped once the buffer is full.  */
      return;
    }
  memmove (event_log.buffer, event_log.buffer + written,
           event_log.size - (size_t)written);
  event_log.size -= (size_t)written;
}
