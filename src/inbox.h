/* The host's event queue: turns the callbacks of the frontend, the upstream
   client, the peer module and the disk into messages, which the event loop
   delivers to the host.  */
#ifndef MARJORAM_INBOX_H
#define MARJORAM_INBOX_H

#include "clock.h"
#include "disk.h"
#include "frontend.h"
#include "host.h"
#include "peer.h"
#include "upstream.h"

typedef struct marjoram_inbox marjoram_inbox;

marjoram_inbox *marjoram_inbox_create (struct event_base *base,
                                       struct marjoram_clock *clock);
void marjoram_inbox_destroy (marjoram_inbox *inbox);
/* Must be called before the event loop runs.  */
void marjoram_inbox_set_host (marjoram_inbox *inbox, marjoram_host *host);
marjoram_host *marjoram_inbox_host (const marjoram_inbox *inbox);
int64_t marjoram_inbox_now (const marjoram_inbox *inbox);
int64_t marjoram_inbox_wall (const marjoram_inbox *inbox);

/* Callbacks for these modules; their context is the inbox.  */
extern const struct marjoram_frontend_ops marjoram_inbox_frontend_ops;
extern const struct marjoram_upstreams_ops marjoram_inbox_upstreams_ops;
extern const struct marjoram_peer_ops marjoram_inbox_peer_ops;
extern const struct marjoram_disk_ops marjoram_inbox_disk_ops;

#endif
