#include "entry_private.h"

/* ---- Operations of the gateway.  ---- */

void
marjoram_entry_open_probe (void *context, uint64_t probe, const char *address,
                           int64_t timeout_ms)
{
  struct marjoram_entry *self = context;

  marjoram_connect_probes_open (self->probes, probe, address, timeout_ms);
}

void
marjoram_entry_report_dark (void *context,
                            const struct marjoram_dark_report *report)
{
  struct marjoram_entry *self = context;

  marjoram_host_links_send_to_region (self->parts->links,
                                      MARJORAM_FRAME_DARK_UPSTREAMS, report);
}

/* ---- Connections.  ---- */

static void
probe_ended (void *context, uint64_t probe, enum marjoram_probe_result result)
{
  struct marjoram_entry *self = context;

  marjoram_gateway_probed (self->gateway, marjoram_entry_now (self), probe,
                           result);
}

const struct marjoram_connect_probes_ops marjoram_entry_probe_ops
    = { .ended = probe_ended };
