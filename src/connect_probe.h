/* Opens TCP connections only to find out whether an address answers, and
   closes each at once.  They are reset, so that neither end keeps state.  */
#ifndef MARJORAM_CONNECT_PROBE_H
#define MARJORAM_CONNECT_PROBE_H

#include "clock.h"
#include "upstream_check.h"

#include <event2/event.h>

typedef struct marjoram_connect_probes marjoram_connect_probes;

struct marjoram_connect_probes_ops
{
  /* Called once for each connection, never within
     marjoram_connect_probes_open.  */
  void (*ended) (void *context, uint64_t number,
                 enum marjoram_probe_result result);
};

/* All arguments are borrowed.  */
marjoram_connect_probes *marjoram_connect_probes_create (
    struct event_base *base, struct marjoram_clock *clock,
    const struct marjoram_connect_probes_ops *ops, void *context);
/* Calls no operation.  */
void marjoram_connect_probes_destroy (marjoram_connect_probes *probes);
/* Opens a connection to ADDRESS (IP:port).  NUMBER must not be in use.  */
void marjoram_connect_probes_open (marjoram_connect_probes *probes,
                                   uint64_t number, const char *address,
                                   int64_t timeout_ms);
/* Ends connections that are unanswered for their time; to be called at least
   every 25 ms.  LAG_MS is the delay with which this host processes its own
   network events (own_receive_lag.h).  */
void marjoram_connect_probes_tick (marjoram_connect_probes *probes,
                                   int64_t lag_ms);
size_t marjoram_connect_probes_pending (const marjoram_connect_probes *probes);

#endif
