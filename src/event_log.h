/* Structured event log on standard output: one event per line as key=value
   pairs in a fixed order.  Each kind of event is rate limited.  Writes never
   block.  Dropped lines are counted and reported in the log.  */
#ifndef MARJORAM_EVENT_LOG_H
#define MARJORAM_EVENT_LOG_H

#include "clock.h"

#include <stdbool.h>

enum marjoram_event_kind
{
  MARJORAM_EVENT_PROCESS,  /* start, stop, reload */
  MARJORAM_EVENT_LINK,     /* a link to a host went up or down */
  MARJORAM_EVENT_HOST,     /* the state of a host changed */
  MARJORAM_EVENT_UPSTREAM, /* the state of an upstream changed */
  MARJORAM_EVENT_CONFIG,   /* a configuration or evacuation changed */
  MARJORAM_EVENT_KEEPER,   /* the keeper membership changed */
  MARJORAM_EVENT_REQUEST,  /* a request ended */
  MARJORAM_EVENT_ATTEMPT,  /* a request was retried or redirected */
  MARJORAM_EVENT_REJECT,   /* malformed input was rejected */
  MARJORAM_EVENT_COUNT
};

/* NAME is the name of this host.  CLOCK must remain valid.  */
void marjoram_event_log_open (const char *name, struct marjoram_clock *clock);
void marjoram_event (enum marjoram_event_kind kind, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Writes the buffered lines.  Must be called several times per second.  */
void marjoram_event_log_flush (void);

#endif
