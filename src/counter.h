/* Counters of a zone host: events, and refusals and retries by reason.  Their
   exported names are in counter.c.  */
#ifndef MARJORAM_COUNTER_H
#define MARJORAM_COUNTER_H

#include "reason.h"

#include <stddef.h>
#include <stdint.h>

enum marjoram_counter
{
  MARJORAM_COUNTER_REQUESTS,
  MARJORAM_COUNTER_DONE,
  MARJORAM_COUNTER_NOT_RUN,
  MARJORAM_COUNTER_UNKNOWN,
  MARJORAM_COUNTER_FORWARDED_OUT,
  MARJORAM_COUNTER_FORWARDED_IN,
  MARJORAM_COUNTER_REPLAYED,
  MARJORAM_COUNTER_CANCELLED,
  MARJORAM_COUNTER_PEER_CONNECTS,
  MARJORAM_COUNTER_PEER_LOSSES,
  MARJORAM_COUNTER_PEER_BYTES_IN,
  MARJORAM_COUNTER_PEER_BYTES_OUT,
  MARJORAM_COUNTER_BAD_FRAMES,
  MARJORAM_COUNTER_BAD_SECRET,
  MARJORAM_COUNTER_BAD_HTTP,
  MARJORAM_COUNTER_ANNOUNCES,
  MARJORAM_COUNTER_UPSTREAMS_EXPIRED,
  MARJORAM_COUNTER_CONFIG_APPLIED,
  MARJORAM_COUNTER_CONFIG_REFUSED,
  MARJORAM_COUNTER_COUNT
};

typedef struct marjoram_counters marjoram_counters;

marjoram_counters *marjoram_counters_create (void);
void marjoram_counters_destroy (marjoram_counters *counters);
void marjoram_counters_add (marjoram_counters *counters,
                            enum marjoram_counter which, uint64_t amount);
void marjoram_counters_add_refusal (marjoram_counters *counters,
                                    enum marjoram_reason reason);
void marjoram_counters_add_retry (marjoram_counters *counters,
                                  enum marjoram_reason reason);
uint64_t marjoram_counters_get (const marjoram_counters *counters,
                                enum marjoram_counter which);
/* Returns the counters in the Prometheus text format, malloc'd.  */
char *marjoram_counters_text (const marjoram_counters *counters);

#endif
