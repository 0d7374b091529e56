/* Internal interface between host_links.c (link selection and sending) and
   host_heartbeats.c (heartbeats and host lists).  */
#ifndef MARJORAM_HOST_LINKS_PRIVATE_H
#define MARJORAM_HOST_LINKS_PRIVATE_H

#include "host_links.h"
#include "link_traffic.h"
#include "own_receive_lag.h"

#include <sys/queue.h>
#include <uthash.h>

/* A host that this one connects to.  */
struct marjoram_host_link
{
  TAILQ_ENTRY (marjoram_host_link) next;
  char *host;
  bool up;
  bool seed;
  bool wanted;
  bool is_home;    /* to the keeper that this host follows */
  bool is_witness; /* to a second keeper that watches this host */
  int64_t received_at;
  int64_t sent_at;
  int64_t stated_ms; /* interval that the last heartbeat stated; 0 if none */
  struct marjoram_link_lag lag;
  UT_hash_handle hh;
};

/* A host that connected to this one.  */
struct marjoram_host_session
{
  TAILQ_ENTRY (marjoram_host_session) next;
  char *host;
  uint64_t number;
  enum marjoram_follow follow; /* as stated in its last heartbeat */
  UT_hash_handle hh;
};

struct marjoram_host_links
{
  const struct marjoram_gateway_settings *settings;
  struct marjoram_settings peer_settings;
  struct marjoram_clock *clock;
  marjoram_counters *counters;
  marjoram_peer *peer;
  marjoram_host_list *hosts;
  const struct marjoram_host_links_ops *ops;
  void *context;
  uint64_t incarnation;
  uint64_t sequence;
  uint16_t port;
  TAILQ_HEAD (, marjoram_host_link) links;
  struct marjoram_host_link *by_host;
  TAILQ_HEAD (, marjoram_host_session) sessions;
  struct marjoram_host_session *sessions_by_host;
  struct marjoram_own_lag own_lag;
  int64_t local_interval_ms;   /* of heartbeats in the own region */
  int64_t watcher_interval_ms; /* to keepers that watch this host */
  int64_t keeper_interval_ms;  /* to others */
  int64_t home_chosen_at;
  bool has_list; /* a keeper has sent a list of hosts */
  int64_t list_received_at;
  bool is_settled; /* the home was chosen among all keepers */
  int64_t planned_at;
  int64_t list_sent_at;
  int64_t list_broadcast_at;
  int64_t events_taken_at;
  struct marjoram_link_traffic traffic;
  int64_t traffic_logged_at;
};

/* The link to HOST or the session from it; NULL if there is none.  */
struct marjoram_host_link *
marjoram_host_links_find (marjoram_host_links *links, const char *host);
struct marjoram_host_session *
marjoram_host_links_session (marjoram_host_links *links, const char *host);
struct marjoram_host_session *
marjoram_host_links_add_session (marjoram_host_links *links, const char *host);
/* Returns null, and logs why, if MESSAGE exceeds a limit of its layout.  */
marjoram_bytes *marjoram_host_links_pack (enum marjoram_frame_type type,
                                          const void *message);
/* Sends a packed frame over the session NUMBER from HOST, or over the link to
   HOST if NUMBER is 0.  Does nothing if FRAME is null.  */
void marjoram_host_links_write (marjoram_host_links *links, const char *host,
                                uint64_t number, const marjoram_bytes *frame);
int64_t marjoram_host_links_now (const marjoram_host_links *links);

/* keeper_home.c */
/* Selects the keeper that this entry host follows.  */
void marjoram_host_links_choose_home (marjoram_host_links *links, int64_t now);
/* The same, unless it was done a short time ago.  */
void marjoram_host_links_choose_home_if_due (marjoram_host_links *links,
                                             int64_t now);
/* From which keepers this host takes lists and changes, as stated to the
   keeper at the other end of LINK.  */
enum marjoram_follow
marjoram_host_links_follow (const marjoram_host_links *links,
                            const struct marjoram_host_link *link);
/* Whether lists of hosts and changes are sent to the host of SESSION.  */
bool
marjoram_host_session_follows (const struct marjoram_host_session *session);

/* host_heartbeats.c */
/* Sets the heartbeat interval within the own region by its host count.  */
void marjoram_host_links_update_interval (marjoram_host_links *links,
                                          int64_t now);
int64_t
marjoram_host_links_heartbeat_interval (const marjoram_host_links *links,
                                        const struct marjoram_host_link *link);
/* Sends heartbeats on links where they are due, or on ALL links.  */
void marjoram_host_links_send_heartbeats (marjoram_host_links *links,
                                          int64_t now, bool all);
/* Processes a heartbeat received on HOST's session NUMBER, or one received as
   a reply on this host's own link.  */
void
marjoram_host_links_process_heartbeat (marjoram_host_links *links,
                                       const char *host, uint64_t number,
                                       struct marjoram_host_beat *heartbeat);
void marjoram_host_links_process_reply (marjoram_host_links *links,
                                        const char *host,
                                        struct marjoram_host_beat *heartbeat);
void marjoram_host_links_process_list (marjoram_host_links *links,
                                       const struct marjoram_host_beats *list);
/* Tells other keepers and the hosts that follow this keeper which hosts of its
   region have died, and the latter which are alive again.  */
void marjoram_host_links_publish_events (marjoram_host_links *links,
                                         int64_t now);
void marjoram_host_links_process_lost (marjoram_host_links *links,
                                       const char *keeper,
                                       const struct marjoram_lost_hosts *lost);
/* Sends a keeper's host list to the recipients to whom it is due.  */
void marjoram_host_links_publish_list (marjoram_host_links *links,
                                       int64_t now);

#endif
