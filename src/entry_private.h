/* Internals of the entry role: entry_role.c (tasks, configuration,
   life cycle), entry_loads.c (load reports to the hosts of the region),
   entry_answer.c (the gateway's operations on callers, upstreams and other
   hosts), entry_room.c (use of capacity by customer), entry_keepers.c (leases
   and quotas), entry_origin.c (builds that began streams), entry_check.c
   (checks of upstreams) and entry_frame.c
   (frames received from other hosts).  */
#ifndef MARJORAM_ENTRY_PRIVATE_H
#define MARJORAM_ENTRY_PRIVATE_H

#include "address.h"
#include "connect_probe.h"
#include "drain_window.h"
#include "state_files.h"
#include "engine_survey.h"
#include "evacuation.h"
#include "gateway.h"
#include "leaving_zones.h"
#include "liveness.h"
#include "load_collector.h"
#include "role.h"
#include "room_collector.h"
#include "state_fetch.h"

#include <uthash.h>

/* Set in the numbers of calls forwarded by other hosts, to keep them distinct
   from those of local callers.  */
#define MARJORAM_FORWARDED_CALL (UINT64_C (1) << 63)

/* A request that another host forwarded here.  */
struct marjoram_inbound
{
  uint64_t call;
  char *host;
  uint64_t session;
  uint64_t request; /* id assigned by the forwarding host */
  uint64_t offset;  /* response body bytes sent so far */
  size_t size;      /* of the request's body */
  bool overflowed;  /* the link takes no more of its response */
  UT_hash_handle hh;
};

struct marjoram_entry
{
  struct marjoram_role role;
  const struct marjoram_role_context *parts;
  marjoram_registry *registry;
  marjoram_gateway *gateway;
  marjoram_http_server *server;
  marjoram_http_client *client;
  marjoram_engine_survey *survey;
  marjoram_connect_probes *probes;
  marjoram_state_fetch *fetch;
  int64_t created_at;
  struct marjoram_route_table *table;
  struct marjoram_route_table *previous_table; /* still used by the gateway */
  struct marjoram_names evacuated;
  struct marjoram_leaving_zones leaving; /* evacuated most recently */
  bool evacuations_known; /* a state was received since startup */
  uint64_t config_number;
  int64_t config_at; /* when the state of that number came into force */
  struct marjoram_liveness_check liveness;
  struct marjoram_inbound *inbound;
  size_t inbound_bytes;   /* bodies of these requests */
  size_t frame_bytes_max; /* that other hosts have not read, and of INBOUND */
  uint64_t next_call;
  int64_t reported_at;
  /* Load reports through collectors.  */
  marjoram_load_collector *collector;
  bool using_collectors;
  bool has_reported_loads; /* to the hosts of the region, last time */
  /* Addresses to which each group was last reported.  */
  char collectors[MARJORAM_LOAD_GROUPS][MARJORAM_IP_MAX];
  int64_t full_report_at;
  int64_t sums_sent_at;
  /* Use of capacity by customer, through the collector of group 0.  */
  marjoram_room_collector *room_collector;
  int64_t room_reported_at;
  int64_t room_sums_sent_at;
  int64_t client_ticked_at;
  int64_t stopped_at;
  struct marjoram_drain_window drain;
  int64_t forwarded_at; /* the last forward came; 0 if none did */
  bool closed;
  /* Reachable keepers, nearest first.  */
  char keepers[MARJORAM_QUOTA_KEEPERS_MAX][MARJORAM_IP_MAX];
  size_t keeper_count;
  int64_t keepers_updated_at;
  int64_t news_asked_at; /* while a keeper can't be reached */
  int64_t news_pause_ms; /* after it */
  bool lease_is_low;
  struct marjoram_array offers; /* of struct marjoram_host_offer */
  int64_t offers_updated_at;
};

int64_t marjoram_entry_now (const struct marjoram_entry *self);

/* entry_answer.c */
extern const struct marjoram_gateway_ops marjoram_entry_gateway_ops;
void marjoram_entry_remove_inbound (struct marjoram_entry *self,
                                    struct marjoram_inbound *inbound);
/* Ends the requests whose responses their hosts read too slowly.  */
void marjoram_entry_end_overflowed (struct marjoram_entry *self);
/* Tells the host that forwarded INBOUND how it ended, and removes it.  */
void
marjoram_entry_finish_inbound (struct marjoram_entry *self,
                               struct marjoram_inbound *inbound,
                               const struct marjoram_request_failure *how);
/* Sends an error response to a caller; WHY tells whether its request ran.  */
void marjoram_entry_reject_call (struct marjoram_entry *self, uint64_t call,
                                 const struct marjoram_request_failure *why);

/* entry_frame.c */
extern const struct marjoram_state_fetch_options marjoram_entry_fetch_options;
extern const struct marjoram_state_fetch_ops marjoram_entry_fetch_ops;
/* Takes ownership of MESSAGE.  */
void marjoram_entry_handle_frame (struct marjoram_entry *self,
                                  const char *host, uint64_t session,
                                  enum marjoram_frame_type type,
                                  void *message);
/* Cancels HOST's REQUEST, or all of its requests on SESSION if 0.  */
void marjoram_entry_handle_cancel (struct marjoram_entry *self,
                                   const char *host, uint64_t session,
                                   uint64_t request);

/* entry_keepers.c */
/* Operations of the gateway, see there.  */
size_t marjoram_entry_keepers (void *context,
                               const char *names[MARJORAM_QUOTA_KEEPERS_MAX]);
void marjoram_entry_ask_quota (void *context, const char *keeper,
                               const struct marjoram_quota_ask *ask);
/* Whether HOST is a keeper that can be reached and is not leaving.  */
bool marjoram_entry_is_usable_keeper (const struct marjoram_entry *self,
                                      const struct marjoram_listed_host *host);
/* A host that follows all keepers hears of an upstream from the one that it
   reports to.  While a keeper can't be reached, asks another one for all
   upstreams when that is due.  */
void marjoram_entry_ask_news (struct marjoram_entry *self, int64_t now);
/* Asks a keeper for a lease on the customers' keys when that is due.  */
void marjoram_entry_renew_lease (struct marjoram_entry *self, int64_t now);
/* Logs whether keys are accepted, if that has changed.  */
void marjoram_entry_log_lease (struct marjoram_entry *self, int64_t now);

/* entry_origin.c */
/* Operations of the gateway, see there.  */
void marjoram_entry_tell_origin (void *context, const char *id,
                                 const struct marjoram_stream_origin *origin,
                                 int64_t keep_ms);
size_t marjoram_entry_ask_origin (void *context, uint64_t call,
                                  const char *id);
size_t marjoram_entry_ask_only_build (void *context, uint64_t call,
                                      const char *service, int64_t for_ms);

/* entry_room.c */
/* Sends reports and sums of the use of capacity by customer when due.  */
void marjoram_entry_report_room (struct marjoram_entry *self, int64_t now);
/* The host to which this one reports, for display; "" if there is none or
   capacity is not shared.  */
const char *marjoram_entry_room_collector (const struct marjoram_entry *self,
                                           int64_t now);
/* A report from HOST to this collector, and sums from collector HOST.  */
void
marjoram_entry_apply_room_report (struct marjoram_entry *self,
                                  const char *host,
                                  const struct marjoram_room_report *what);
void marjoram_entry_apply_room_sums (struct marjoram_entry *self,
                                     const char *host,
                                     const struct marjoram_room_report *sums);

/* entry_check.c */
/* Operations of the gateway, see there.  */
void marjoram_entry_open_probe (void *context, uint64_t probe,
                                const char *address, int64_t timeout_ms);
void marjoram_entry_report_dark (void *context,
                                 const struct marjoram_dark_report *report);
extern const struct marjoram_connect_probes_ops marjoram_entry_probe_ops;

/* entry_loads.c */
/* The collector of GROUP, by rendezvous hashing over the serving hosts; null
   if there is none.  */
const char *marjoram_entry_find_collector (const struct marjoram_entry *self,
                                           int64_t now, int group);
/* Sends this host's load to the other hosts of the region when due.  */
/* Whether load reports go to or come from HOST, of this region.  */
bool marjoram_entry_shares_loads (const struct marjoram_entry *self,
                                  const char *host);
void marjoram_entry_report_loads (struct marjoram_entry *self, int64_t now);
/* Sends all known crashes to HOST if it is a keeper, which may have restarted,
   and this host is the one of its region that does so.  */
void marjoram_entry_send_crashes (struct marjoram_entry *self,
                                  const char *host);
void marjoram_entry_apply_sums (struct marjoram_entry *self, const char *host,
                                const struct marjoram_load_report *sums);

/* entry_role.c */
/* What a stopping host tells of requests that it does not accept.  */
extern const struct marjoram_request_failure marjoram_entry_draining;
/* Whether this host accepts callers' requests, as announced in heartbeats. */
bool marjoram_entry_is_ready (const struct marjoram_entry *self);
void marjoram_entry_apply_state (struct marjoram_entry *self,
                                 const struct marjoram_state *state);

#endif
