/* The task of the links of a host in the role entry or keeper: finds the other
   hosts from the seeds on, keeps links to those that it needs, sends its own
   beat and gives up links that have fallen silent.  */
#ifndef MARJORAM_HOST_LINKS_H
#define MARJORAM_HOST_LINKS_H

#include "clock.h"
#include "gateway_settings.h"
#include "host_list.h"
#include "peer.h"

typedef struct marjoram_host_links marjoram_host_links;

struct marjoram_host_links_ops
{
  /* A message other than a beat; SESSION is 0 on this host's own link.  Takes
     MESSAGE.  */
  void (*frame) (void *context, const char *host, uint64_t session,
                 enum marjoram_frame_type type, void *message);
  /* HOST has opened a session and sent its first beat, or a later one.  */
  void (*beat) (void *context, const char *host, uint64_t session, bool first,
                const struct marjoram_host_beat *beat);
  void (*session_closed) (void *context, const char *host, uint64_t session);
  void (*link_lost) (void *context, const char *host);
  /* Fills the parts of this host's beat that change; offers are borrowed.  */
  void (*fill_beat) (void *context, struct marjoram_host_beat *beat);
};

marjoram_host_links *marjoram_host_links_create (
    struct event_base *base, struct marjoram_clock *clock,
    const struct marjoram_gateway_settings *settings, uint64_t incarnation,
    marjoram_host_list *hosts, const struct marjoram_host_links_ops *ops,
    void *context, struct marjoram_error *err);
void marjoram_host_links_destroy (marjoram_host_links *links);
/* After a change of the settings.  */
void marjoram_host_links_set_seeds (
    marjoram_host_links *links,
    const struct marjoram_gateway_settings *settings);

/* Whether this host's own link to HOST is up.  */
bool marjoram_host_links_reaches (marjoram_host_links *links,
                                  const char *host);
/* How far behind this host's own hearing was at the last tick, in ms
   (own_lag.h): whoever judges silence takes it off.  */
int64_t marjoram_host_links_lag (const marjoram_host_links *links);
/* False if it is not.  */
bool marjoram_host_links_send (marjoram_host_links *links, const char *host,
                               enum marjoram_frame_type type,
                               const void *message);
/* On the session on which HOST is heard; SESSION 0: on our own link.  */
void marjoram_host_links_reply (marjoram_host_links *links, const char *host,
                                uint64_t session,
                                enum marjoram_frame_type type,
                                const void *message);
/* To all hosts that have a session with this one.  */
void marjoram_host_links_tell (marjoram_host_links *links,
                               enum marjoram_frame_type type,
                               const void *message);
/* The same, to the keepers, or to the entry hosts, of REGION, or of all
   regions if it is null; returns how many.  */
size_t marjoram_host_links_tell_in (marjoram_host_links *links, bool keepers,
                                    const char *region,
                                    enum marjoram_frame_type type,
                                    const void *message);
/* To the entry hosts of this host's region, over its own links.  */
void marjoram_host_links_tell_region (marjoram_host_links *links,
                                      enum marjoram_frame_type type,
                                      const void *message);
/* To the keepers, over its own links.  */
void marjoram_host_links_tell_keepers (marjoram_host_links *links,
                                       enum marjoram_frame_type type,
                                       const void *message);
/* Sends beats now, as what they tell has changed.  */
void marjoram_host_links_beat (marjoram_host_links *links, int64_t now);
/* At least every 50 ms.  */
void marjoram_host_links_tick (marjoram_host_links *links, int64_t now);

#endif
