/* Internal state and functions shared by the source files that implement
   marjoram_host.  */
#ifndef MARJORAM_HOST_STATE_H
#define MARJORAM_HOST_STATE_H

#include "host.h"
#include "order.h"
#include "model_placement.h"
#include "request.h"
#include "state_gossip.h"
#include "suspect.h"

#include <sys/queue.h>
#include <uthash.h>

enum
{
  /* A link is taken for broken after three missed heartbeats.  */
  MARJORAM_HEARTBEAT_MS = 1000,
  MARJORAM_LINK_SILENT_MS = 3000,
  /* If an upstream sends nothing for this long, the response is resumed over a
     new connection; the attempt fails if that one is silent too.  */
  MARJORAM_UPSTREAM_SILENT_MS = 2000,
  MARJORAM_RESUME_WAIT_MS = 2000,
  /* The silence before each further resume doubles up to this limit.  */
  MARJORAM_RESUME_INTERVAL_MAX_MS = 8000,
  MARJORAM_SERVICE_SILENT_MS = 4000,
  MARJORAM_PROBE_MS = 1000,
  /* How long a suspect request waits between its reservation and its run, for
     the zone's hosts to exchange their reports of suspects.  */
  MARJORAM_RESERVE_MS = 100,
  /* How long an idempotent request waits for a new link to the host that it
     was forwarded to before it is retried elsewhere.  */
  MARJORAM_REVOKE_WAIT_MS = 1000,
  /* How long a forwarded request whose link broke is kept for its sender to
     resume it over a new link.  */
  MARJORAM_ORPHAN_MS = 15000,
  MARJORAM_RETRY_AFTER_MS = 1000,
  MARJORAM_CLAIM_TIMEOUT_MS = 1000,
  MARJORAM_REPLAY_MS = 600000
};

/* A slot that forwards requests to this host.  */
struct marjoram_sender
{
  char *slot;
  uint64_t incarnation;
  uint64_t highest; /* highest FORWARD number that was received or revoked */
  uint64_t session; /* latest session that it opened; 0 if closed */
  UT_hash_handle hh;
};

/* The session that this host opens to another host's slot.  */
struct marjoram_link
{
  char *slot;
  char *address;
  bool wanted;
  bool up;
  uint64_t session;    /* number of sessions opened to the slot so far */
  int64_t received_at; /* last data */
  int64_t heartbeat_sent_at;
  uint64_t sequence;     /* of that heartbeat */
  int64_t round_trip_ms; /* smoothed; -1 before the first sample */
  uint64_t incarnation;
  uint64_t config_number;
  bool draining;
  UT_hash_handle hh;
};

/* The upstream name in the head of a replayed response.  */
#define MARJORAM_REPLAYED "replayed"

/* The verdict on a claim, queued until the current event has been handled: a
   claim may be decided while another request is being processed.  */
struct marjoram_claim_result
{
  uint64_t claim;
  enum marjoram_claim_verdict verdict;
  struct marjoram_stored_answer kept;
  STAILQ_ENTRY (marjoram_claim_result) next;
};
STAILQ_HEAD (marjoram_claim_results, marjoram_claim_result);

struct marjoram_host
{
  const struct marjoram_host_ops *ops;
  void *context;
  const struct marjoram_settings *settings;
  marjoram_counters *counters;
  marjoram_random *random;
  uint64_t incarnation;
  int64_t now;         /* of the event in progress */
  int64_t wall_offset; /* wall clock minus monotonic clock */
  int64_t offers_sent_at;
  int64_t planned_at; /* when links were last planned */
  struct marjoram_claim_results claim_results;

  marjoram_config *config;
  int zone; /* own zone's index in the configuration; -1 if none */
  int self; /* own ordinal in the zone; -1 if none */
  marjoram_members *members;
  marjoram_suspects *suspects;
  marjoram_router *router;
  marjoram_claims *claims;
  marjoram_orders *orders;
  marjoram_model_placement *model_placement;
  marjoram_state_gossip *gossip;
  marjoram_keeper *keeper;

  struct marjoram_link *links;
  struct marjoram_requests *requests;
  struct marjoram_sender *senders;
  struct marjoram_renewed *renewed;
  int64_t noted_at; /* last event; 0 before any */
  int64_t renewals_sent;
  int64_t renewals_due;             /* of the next batch, if RENEWED has any */
  struct marjoram_relayed *relayed; /* apply requests forwarded to a keeper */
  uint64_t next_relayed;

  bool draining;
  bool drained;
  int64_t drain_limit;
};

/* host_zone.c: the other hosts of this host's zone, claims and orders.  */
int64_t marjoram_host_wall_time (const marjoram_host *host, int64_t now);
/* The slot with ORDINAL in this host's zone; NULL if there is none.  */
const struct marjoram_slot *marjoram_host_zone_slot (const marjoram_host *host,
                                                     int ordinal);
/* SLOT's ordinal in this host's zone; -1 if it is not in that zone.  */
int marjoram_host_ordinal (const marjoram_host *host, const char *slot);
void marjoram_host_send_zone (marjoram_host *host,
                              enum marjoram_frame_type type,
                              const void *message);
/* Creates claims, orders and placement.  Requires the host's ordinal in its
   zone.  */
void marjoram_host_create_zone (marjoram_host *host);
/* Processes the queued claim results.  Must be called at the end of each event
   that may decide claims.  */
void marjoram_host_deliver_claim_results (marjoram_host *host, int64_t now);
void marjoram_claim_result_destroy (struct marjoram_claim_result *result);

/* host_consensus.c: the configuration in force, and the keeper.  */
marjoram_state_gossip *marjoram_host_create_gossip (marjoram_host *host,
                                                    int64_t now);
bool marjoram_host_create_keeper (marjoram_host *host,
                                  const struct marjoram_host_options *options,
                                  struct marjoram_error *err);

/* host_upstream.c */
void
marjoram_host_process_suspect (marjoram_host *host, int64_t now,
                               const char *slot,
                               const struct marjoram_suspect_message *message);
void
marjoram_host_report_suspect (void *context,
                              const struct marjoram_suspect_message *message);
/* Marks UPSTREAM as dead and reports the requests that ran there as suspects
   of having crashed it.  */
void marjoram_host_upstream_died (marjoram_host *host, int64_t now,
                                  const char *upstream);
/* Treats an upstream that announces a higher incarnation while requests run on
   it as having died, even if no connection to it was seen to break.  */
void marjoram_host_check_restarted (
    marjoram_host *host, int64_t now,
    const struct marjoram_announcement *announcement);

/* link.c */
struct marjoram_sender *marjoram_sender_get (marjoram_host *host,
                                             const char *slot,
                                             uint64_t incarnation);
struct marjoram_link *marjoram_link_find (const marjoram_host *host,
                                          const char *slot);
/* Opens and closes links as required by the configuration in force, or by the
   settings' seeds if there is none.  */
void marjoram_links_plan (marjoram_host *host);
/* Calls marjoram_links_plan periodically, as hosts go down and come back.  */
void marjoram_links_replan (marjoram_host *host, int64_t now);
void marjoram_links_tick (marjoram_host *host, int64_t now);
void marjoram_links_destroy (marjoram_host *host);
void marjoram_senders_destroy (marjoram_host *host);
void marjoram_link_heartbeat (marjoram_host *host, int64_t now,
                              const char *slot, uint64_t session,
                              const struct marjoram_heartbeat *heartbeat);
/* Sends a heartbeat over each link at once, so that other hosts learn of a new
   configuration without delay.  */
void marjoram_links_send_heartbeats (marjoram_host *host, int64_t now);
/* Sends MESSAGE over each link that is up.  */
void marjoram_links_send (marjoram_host *host, enum marjoram_frame_type type,
                          const void *message);
/* Sends over this host's own session to SLOT, or else over the one that SLOT
   opened last, as this host may have no link to SLOT.  */
void marjoram_link_send_any (marjoram_host *host, const char *slot,
                             enum marjoram_frame_type type,
                             const void *message);
/* Picks a random host of ZONE whose link is up and that is not draining, to
   spread load; NULL if none.  */
struct marjoram_link *marjoram_link_to_zone (marjoram_host *host, int zone);

/* renewals.c: lease renewals of upstreams, sent to the zone once a second, or
   more often for short leases.  */
void marjoram_renewals_add (marjoram_host *host, int64_t now,
                            const char *upstream);
void marjoram_renewals_tick (marjoram_host *host, int64_t now);
void marjoram_renewals_apply (marjoram_host *host, int64_t now,
                              const struct marjoram_renewals *renewals);
void marjoram_renewals_destroy (marjoram_host *host);
/* Whether ANNOUNCEMENT has changes that a renewal can't express.  */
bool marjoram_renewals_need_announcement (
    const marjoram_host *host, int64_t now,
    const struct marjoram_announcement *announcement);

/* apply.c */
void marjoram_apply_frame (marjoram_host *host, int64_t now, const char *slot,
                           uint64_t session,
                           const struct marjoram_apply *apply);
void marjoram_apply_answered (marjoram_host *host, uint64_t request,
                              const struct marjoram_apply_answer *answer);
void marjoram_applied_frame (marjoram_host *host,
                             const struct marjoram_applied *applied);
void marjoram_applies_tick (marjoram_host *host, int64_t now);
void marjoram_applies_destroy (marjoram_host *host);

#endif
