/* Summaries of the liveness of a region's upstreams.  Instead of each renewal,
   a keeper sends the hosts that follow it one message for all upstreams, with
   those that have become silent.  A digest shows a host whether it knows the
   same upstreams; if not, it asks for all of them.  Pure decision logic.  */
#ifndef MARJORAM_LIVENESS_H
#define MARJORAM_LIVENESS_H

#include "host_list.h"
#include "registry.h"

/* The upstreams of one region at a keeper.  */
struct marjoram_liveness_scope
{
  marjoram_registry *registry;
  marjoram_host_list *hosts;
  bool (*includes) (void *context, const char *zone);
  void *context;
};

/* Builds the summary of SCOPE since the last one; the caller releases it with
   marjoram_wire_clear.  */
void marjoram_liveness_build (const struct marjoram_liveness_scope *scope,
                              int64_t now, struct marjoram_liveness *summary);

/* State of a host's comparison with its keeper.  */
struct marjoram_liveness_check
{
  int mismatches;   /* in a row */
  int64_t ask_at;   /* earliest time of the next request for a snapshot */
  int64_t pause_ms; /* after it */
};

/* Applies SUMMARY at a host.  Returns whether the host has to ask for all
   upstreams.  */
bool marjoram_liveness_apply (struct marjoram_liveness_check *check,
                              marjoram_registry *registry, int64_t now,
                              const struct marjoram_liveness *summary);

#endif
