/* Structured log lines to standard output: one event a line, key=value in a
   fixed order, to explain a decision afterwards.  Lines of each kind are
   limited in rate; what was left out is counted and said.  Writing never
   waits: what the reader doesn't take is dropped and counted too.  */
#ifndef MARJORAM_EVENT_LOG_H
#define MARJORAM_EVENT_LOG_H

#include "clock.h"

#include <stdbool.h>

enum marjoram_event_kind
{
  MARJORAM_EVENT_PROCESS,  /* start, stop, reload */
  MARJORAM_EVENT_LINK,     /* a host was reached or lost */
  MARJORAM_EVENT_HOST,     /* belief in a host changed */
  MARJORAM_EVENT_UPSTREAM, /* belief in an upstream changed */
  MARJORAM_EVENT_CONFIG,   /* a configuration or evacuation */
  MARJORAM_EVENT_KEEPER,   /* members of the keepers */
  MARJORAM_EVENT_REQUEST,  /* a request ended */
  MARJORAM_EVENT_ATTEMPT,  /* a request was sent again, or elsewhere */
  MARJORAM_EVENT_REJECT,   /* input that could not be read */
  MARJORAM_EVENT_COUNT
};

/* NAME is this host's.  CLOCK stays in use.  */
void marjoram_event_log_open (const char *name, struct marjoram_clock *clock);
void marjoram_event (enum marjoram_event_kind kind, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Writes what has gathered; some times a second.  */
void marjoram_event_log_flush (void);

#endif
