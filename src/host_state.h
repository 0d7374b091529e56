/* What the parts of the host share: its state, and the calls between host.c,
   request.c, forward.c and link.c.  Not for others.  */
#ifndef MARJORAM_HOST_STATE_H
#define MARJORAM_HOST_STATE_H

#include "host.h"
#include "order.h"
#include "place.h"
#include "request.h"
#include "spread.h"
#include "suspect.h"

#include <sys/queue.h>
#include <uthash.h>

enum
{
  /* Links: one heartbeat a second; a link is silent after three are missed,
     so that a connection that carries nothing is noticed in seconds.  */
  MARJORAM_HEARTBEAT_MS = 1000,
  MARJORAM_LINK_SILENT_MS = 3000,
  /* An upstream that sent nothing for this long is asked on a new connection
     whether it still has the request, and given up if that is silent too.  */
  MARJORAM_UPSTREAM_SILENT_MS = 2000,
  MARJORAM_RESUME_WAIT_MS = 2000,
  MARJORAM_PATIENCE_MAX_MS = 8000,
  MARJORAM_SERVICE_SILENT_MS = 4000,
  MARJORAM_PROBE_MS = 1000,
  /* Long enough for the zone's hosts to hear of each other's suspects.  */
  MARJORAM_RESERVE_MS = 100,
  /* Idempotent work waits this long for a new link to the host that has it,
     before it goes elsewhere.  */
  MARJORAM_REVOKE_WAIT_MS = 1000,
  /* A forwarded request whose link broke is kept for its sender to ask for it
     again over a new one.  */
  MARJORAM_ORPHAN_MS = 15000,
  MARJORAM_RETRY_AFTER_MS = 1000,
  MARJORAM_CLAIM_TIMEOUT_MS = 1000,
  MARJORAM_REPLAY_MS = 600000
};

/* What is known of a slot that sends here.  */
struct marjoram_sender
{
  char *slot;
  uint64_t incarnation;
  uint64_t highest; /* of its FORWARD numbers that were seen or barred */
  uint64_t session; /* its last one */
  UT_hash_handle hh;
};

/* This host's own session to another host's slot.  */
struct marjoram_link
{
  char *slot;
  char *address;
  bool wanted;
  bool up;
  uint64_t session;      /* counts this host's sessions to the slot */
  int64_t heard;         /* last bytes */
  int64_t sent;          /* last heartbeat */
  uint64_t sequence;     /* of that heartbeat */
  int64_t round_trip_ms; /* smoothed; -1 before the first */
  uint64_t incarnation;
  uint64_t config_number;
  bool draining;
  UT_hash_handle hh;
};

/* What the head of a replayed answer has for an upstream.  */
#define MARJORAM_REPLAYED "replayed"

/* A claim that was decided.  It may be decided while the host is in the middle
   of another request, so it waits for the end of that event.  */
struct marjoram_claim_result
{
  uint64_t claim;
  enum marjoram_claim_verdict verdict;
  struct marjoram_kept_answer kept;
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
  int64_t wall_offset; /* wall clock less monotonic clock */
  int64_t offered;     /* when offers were last sent */
  int64_t planned;     /* when links were last planned */
  struct marjoram_claim_results claim_results; /* see host_zone.c */

  marjoram_config *config;
  int zone; /* own zone's index in the configuration, -1 before one */
  int self; /* own ordinal in the zone */
  marjoram_members *members;
  marjoram_suspects *suspects;
  marjoram_router *router;
  marjoram_claims *claims;
  marjoram_orders *orders;
  marjoram_place *place;
  marjoram_spread *spread;
  marjoram_keeper *keeper;

  struct marjoram_link *links;
  struct marjoram_requests *requests;
  struct marjoram_sender *senders;  /* see relay.c */
  struct marjoram_renewed *renewed; /* see renewals.c */
  int64_t renewals_sent;
  struct marjoram_relayed *relayed; /* applies sent on to a keeper */
  uint64_t next_relayed;

  bool draining;
  bool drained;
  int64_t drain_limit;
};

/* host_zone.c: the other hosts of this host's zone, claims and orders.  */
int64_t marjoram_host_wall_time (const marjoram_host *host, int64_t now);
/* The slot in ORDINAL of this host's zone; null if there is none.  */
const struct marjoram_slot *marjoram_host_zone_slot (const marjoram_host *host,
                                                     int ordinal);
/* SLOT's ordinal in this host's zone, or -1.  */
int marjoram_host_ordinal (const marjoram_host *host, const char *slot);
void marjoram_host_send_zone (marjoram_host *host,
                              enum marjoram_frame_type type,
                              const void *message);
/* Makes claims and orders, once this host has its place in the zone.  */
void marjoram_host_create_zone (marjoram_host *host);
/* Acts on the claims that were decided during the event in progress; to be
   called at the end of each event.  */
void marjoram_host_deliver_claim_results (marjoram_host *host, int64_t now);
void marjoram_claim_result_destroy (struct marjoram_claim_result *result);

/* host_consensus.c: the configuration in force, and the keeper.  */
marjoram_spread *marjoram_host_create_spread (marjoram_host *host,
                                              int64_t now);
bool marjoram_host_create_keeper (marjoram_host *host,
                                  const struct marjoram_host_options *options,
                                  struct marjoram_error *err);

/* host_upstream.c */
void
marjoram_host_learn_suspect (marjoram_host *host, int64_t now,
                             const char *slot,
                             const struct marjoram_suspect_message *message);
void
marjoram_host_report_suspect (void *context,
                              const struct marjoram_suspect_message *message);
/* The upstream was found dead: shares suspicion of what ran there.  */
void marjoram_host_upstream_died (marjoram_host *host, int64_t now,
                                  const char *upstream);
/* An upstream that comes back under a higher incarnation has died in between,
   even if no connection to it was seen to break.  */
void marjoram_host_check_restarted (
    marjoram_host *host, int64_t now,
    const struct marjoram_announcement *announcement);

/* link.c */
struct marjoram_sender *marjoram_sender_of (marjoram_host *host,
                                            const char *slot,
                                            uint64_t incarnation);
struct marjoram_link *marjoram_link_find (const marjoram_host *host,
                                          const char *slot);
/* Wants links to all that this host has to hear of under the configuration
   in force and its settings.  */
void marjoram_links_plan (marjoram_host *host);
/* The same from time to time, as hosts go down and come back.  */
void marjoram_links_replan (marjoram_host *host, int64_t now);
void marjoram_links_tick (marjoram_host *host, int64_t now);
void marjoram_links_destroy (marjoram_host *host);
void marjoram_senders_destroy (marjoram_host *host);
void marjoram_link_heartbeat (marjoram_host *host, int64_t now,
                              const char *slot, uint64_t session,
                              const struct marjoram_heartbeat *heartbeat);
/* A heartbeat over each link now: news of a configuration travels at once.  */
void marjoram_links_tell (marjoram_host *host, int64_t now);
/* To each host that this one has a session to.  */
void marjoram_links_send (marjoram_host *host, enum marjoram_frame_type type,
                          const void *message);
/* Over this host's own session to SLOT, else back over the one that SLOT
   opened last: of two hosts, one may keep no link to the other.  */
void marjoram_link_send_any (marjoram_host *host, const char *slot,
                             enum marjoram_frame_type type,
                             const void *message);
/* A host of ZONE whose link is up and that is not draining; null if none.  */
struct marjoram_link *marjoram_link_to_zone (marjoram_host *host, int zone);

/* renewals.c: renewals of upstreams, told to the zone once a second.  */
void marjoram_renewals_add (marjoram_host *host, const char *upstream);
void marjoram_renewals_tick (marjoram_host *host, int64_t now);
void marjoram_renewals_apply (marjoram_host *host, int64_t now,
                              const struct marjoram_renewals *renewals);
void marjoram_renewals_destroy (marjoram_host *host);
/* Whether ANNOUNCEMENT differs from what is known of the upstream in more than
   a renewal can tell.  */
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
