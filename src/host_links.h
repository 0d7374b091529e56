/* Links between entry hosts and keepers: discovers hosts starting from the
   seeds, keeps links to those that this host needs, exchanges heartbeats and
   reconnects links that have gone silent.  */
#ifndef MARJORAM_HOST_LINKS_H
#define MARJORAM_HOST_LINKS_H

#include "clock.h"
#include "gateway_settings.h"
#include "host_list.h"
#include "peer.h"

typedef struct marjoram_host_links marjoram_host_links;

struct marjoram_host_links_ops
{
  /* Receives a message other than a heartbeat or host list; SESSION is 0 on
     this host's own link.  Takes ownership of MESSAGE.  */
  void (*frame) (void *context, const char *host, uint64_t session,
                 enum marjoram_frame_type type, void *message);
  /* Receives a heartbeat on a session that HOST opened; JOINS if it is the
     first one since which HOST follows this host.  */
  void (*heartbeat) (void *context, const char *host, uint64_t session,
                     bool joins, const struct marjoram_host_beat *heartbeat);
  void (*session_closed) (void *context, const char *host, uint64_t session);
  /* This host's own link to HOST is up; HOST may have restarted.  */
  void (*link_up) (void *context, const char *host);
  void (*link_lost) (void *context, const char *host);
  /* Whether this entry host exchanges messages with HOST, an entry host of its
     region.  */
  bool (*needs_link) (void *context, const char *host);
  /* Whether requests that this host forwarded to HOST are in progress.  */
  bool (*uses_link) (void *context, const char *host);
  /* Fills in the variable parts of this host's heartbeat; offers remain owned
     by the callee.  */
  void (*fill_heartbeat) (void *context, struct marjoram_host_beat *heartbeat);
};

marjoram_host_links *marjoram_host_links_create (
    struct event_base *base, struct marjoram_clock *clock,
    const struct marjoram_gateway_settings *settings, uint64_t incarnation,
    marjoram_host_list *hosts, const struct marjoram_host_links_ops *ops,
    void *context, struct marjoram_error *err);
void marjoram_host_links_destroy (marjoram_host_links *links);
/* Replaces the settings, after a reload.  */
void marjoram_host_links_set_settings (
    marjoram_host_links *links,
    const struct marjoram_gateway_settings *settings);

bool marjoram_host_links_is_up (marjoram_host_links *links, const char *host);
/* This host's receive lag at the last tick, in ms; see own_receive_lag.h.
   Subtract it from the age of received data before comparing with a timeout.
 */
int64_t marjoram_host_links_lag (const marjoram_host_links *links);
/* Bytes of frames that were not yet written to a socket.  */
size_t marjoram_host_links_unsent_bytes (const marjoram_host_links *links);
/* Sends over this host's own link to HOST; returns false if it is not up or
   MESSAGE exceeds a limit of its layout.  */
bool marjoram_host_links_send (marjoram_host_links *links, const char *host,
                               enum marjoram_frame_type type,
                               const void *message);
/* Sends over this host's own link to HOST or, while that is not up, over the
   session that HOST opened; returns false if there is neither or MESSAGE
   exceeds a limit of its layout.  Messages may overtake each other when the
   own link comes up.  */
bool marjoram_host_links_send_either (marjoram_host_links *links,
                                      const char *host,
                                      enum marjoram_frame_type type,
                                      const void *message);
/* Sends over SESSION, which HOST opened, or over this host's own link if
   SESSION is 0.  Returns false if MESSAGE exceeds a limit of its layout.  */
bool marjoram_host_links_reply (marjoram_host_links *links, const char *host,
                                uint64_t session,
                                enum marjoram_frame_type type,
                                const void *message);
/* Sends to all hosts that have opened a session to this one.  */
void marjoram_host_links_broadcast (marjoram_host_links *links,
                                    enum marjoram_frame_type type,
                                    const void *message);
/* Recipients among the hosts that have opened a session to this one.  */
enum marjoram_recipients
{
  MARJORAM_TO_ENTRY_HOSTS,
  MARJORAM_TO_KEEPERS,
  MARJORAM_TO_FOLLOWERS,      /* entry hosts that follow this keeper */
  MARJORAM_TO_SOLE_FOLLOWERS, /* those that follow no other keeper */
  MARJORAM_TO_JOINT_FOLLOWERS /* those that follow all keepers */
};

/* Sends to RECIPIENTS in REGION or, if it is NULL, in all regions.  Returns
   their number.  */
size_t marjoram_host_links_multicast (marjoram_host_links *links,
                                      enum marjoram_recipients recipients,
                                      const char *region,
                                      enum marjoram_frame_type type,
                                      const void *message);
bool marjoram_host_links_has_sole_followers (marjoram_host_links *links);
/* Whether this host takes lists and changes from one keeper only.  */
bool marjoram_host_links_follows_one (const marjoram_host_links *links);
/* Send to the entry hosts of this host's region, or to the keepers, over its
   own links.  */
void marjoram_host_links_send_to_region (marjoram_host_links *links,
                                         enum marjoram_frame_type type,
                                         const void *message);
void marjoram_host_links_send_to_keepers (marjoram_host_links *links,
                                          enum marjoram_frame_type type,
                                          const void *message);
/* Sends heartbeats at once, after their contents have changed.  */
void marjoram_host_links_heartbeat_now (marjoram_host_links *links,
                                        int64_t now);
/* Must be called at least every 50 ms.  */
void marjoram_host_links_tick (marjoram_host_links *links, int64_t now);

#endif
