/* The host's inbox: what the tasks tell the host, as messages that the event
   loop delivers.  Each task gets operations that post here.  */
#ifndef MARJORAM_INBOX_H
#define MARJORAM_INBOX_H

#include "clock.h"
#include "disk.h"
#include "front.h"
#include "host.h"
#include "peer.h"
#include "upstream.h"

typedef struct marjoram_inbox marjoram_inbox;

marjoram_inbox *marjoram_inbox_create (struct event_base *base,
                                       struct marjoram_clock *clock);
void marjoram_inbox_destroy (marjoram_inbox *inbox);
/* Before the loop runs.  */
void marjoram_inbox_set_host (marjoram_inbox *inbox, marjoram_host *host);
marjoram_host *marjoram_inbox_host (const marjoram_inbox *inbox);
int64_t marjoram_inbox_now (const marjoram_inbox *inbox);
int64_t marjoram_inbox_wall (const marjoram_inbox *inbox);

/* Operations whose context is the inbox.  */
extern const struct marjoram_front_ops marjoram_inbox_front_ops;
extern const struct marjoram_upstreams_ops marjoram_inbox_upstreams_ops;
extern const struct marjoram_peer_ops marjoram_inbox_peer_ops;
extern const struct marjoram_disk_ops marjoram_inbox_disk_ops;

#endif
