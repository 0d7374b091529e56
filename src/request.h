/* Request state machine of a host: a request arrives from a caller or from a
   host of another zone, is claimed if it isn't idempotent, is routed, and is
   attempted until it has exactly one answer.  Internal to the host module.  */
#ifndef MARJORAM_REQUEST_H
#define MARJORAM_REQUEST_H

#include "host.h"

#include <sys/queue.h>
#include <uthash.h>

enum marjoram_request_state
{
  MARJORAM_REQUEST_CLAIMING,  /* waiting for the claim's verdict */
  MARJORAM_REQUEST_WAITING,   /* suspect, no upstream free of other suspects */
  MARJORAM_REQUEST_RESERVING, /* suspect, reserving its upstream */
  MARJORAM_REQUEST_LOCAL,     /* running at an upstream of this zone */
  MARJORAM_REQUEST_REMOTE,    /* forwarded to a host of another zone */
  MARJORAM_REQUEST_PROBING    /* upstream connection lost, probe pending */
};

/* A buffered part of an answer's body.  */
struct marjoram_chunk
{
  marjoram_bytes *bytes;
  STAILQ_ENTRY (marjoram_chunk) next;
};
STAILQ_HEAD (marjoram_chunk_list, marjoram_chunk);

struct marjoram_request;

/* Delivers the answer to the caller or host that sent the request.  */
struct marjoram_origin_ops
{
  void (*head) (marjoram_host *host, struct marjoram_request *request,
                const struct marjoram_head *head, int64_t length);
  void (*data) (marjoram_host *host, struct marjoram_request *request,
                marjoram_bytes *bytes);
  void (*end) (marjoram_host *host, struct marjoram_request *request);
  /* The request ended without a complete answer; see its outcome and
     reason.  */
  void (*fail) (marjoram_host *host, struct marjoram_request *request,
                int64_t retry_ms);
};

struct marjoram_request
{
  const struct marjoram_origin_ops *origin;
  struct marjoram_call *call;
  char id[MARJORAM_KEY_MAX + 1];
  char digest[33];
  char *caller; /* name */

  /* Set for a request forwarded by another host.  */
  char *peer;
  uint64_t peer_incarnation;
  uint64_t peer_session; /* 0 while its link is down */
  uint64_t peer_number;  /* the peer's attempt number */
  int64_t orphaned_at;   /* when the link was lost or the request settled */

  uint64_t claim; /* attempt number of the claim; 0 if none */

  /* Attempts.  */
  enum marjoram_request_state state;
  uint64_t attempt; /* number of the one in progress; 0 if none */
  char upstream[MARJORAM_NAME_MAX + 1];
  char address[MARJORAM_NAME_MAX + 1]; /* of the upstream */
  /* The upstream is an engine, which can resume an answer by request id.  A
     plain service would handle the resume as a new request, and its response
     would be taken for the caller's answer.  */
  bool can_resume;
  uint64_t upstream_incarnation; /* when the attempt began */
  char *remote_slot;
  uint64_t remote_incarnation;
  uint64_t remote_session; /* of the link when the request was sent */
  int remote_zone;         /* index when the request was sent */
  char remote_name[MARJORAM_NAME_MAX + 1]; /* of the zone */
  int work; /* index when the attempt was routed */
  int tried_count;
  char tried[MARJORAM_TRIED_MAX][MARJORAM_NAME_MAX + 1];
  int zones_tried_count;
  int zones_tried[MARJORAM_TRIED_MAX];
  enum marjoram_outcome outcome;
  enum marjoram_reason reason; /* of the last failed attempt */
  uint64_t crashes;

  /* Times on this host's clock.  */
  int64_t arrived;
  int64_t deadline;
  int64_t attempt_started;
  int64_t first_byte;
  int64_t progress;       /* last byte, state change or resume */
  int64_t resume_timeout; /* silence after which the answer is resumed */

  /* Answer.  */
  struct marjoram_head head;
  uint64_t received;  /* body bytes received */
  uint64_t delivered; /* body bytes delivered to the origin */
  struct marjoram_chunk_list chunks;
  size_t chunks_size;
  size_t *held; /* the owner's sum of all CHUNKS_SIZE */

  bool abandoned;  /* the caller no longer waits for the answer */
  bool answered;   /* settled: the outcome is final and has been delivered */
  bool claim_here; /* this zone owns the claim on its key */
  bool no_local_upstream; /* the zone it arrived in has no upstream for it */
  bool granted;           /* the claim */
  bool may_have_run;
  bool resuming;       /* at the upstream, over a new connection */
  bool revoke_pending; /* to be revoked at the other host over a new link */
  bool has_head;
  bool head_delivered;

  TAILQ_ENTRY (marjoram_request) all;
  UT_hash_handle by_call;
  UT_hash_handle by_attempt;
  UT_hash_handle by_claim;
};
TAILQ_HEAD (marjoram_request_list, marjoram_request);

struct marjoram_requests
{
  struct marjoram_request_list all;
  size_t count;
  struct marjoram_request *by_call;
  struct marjoram_request *by_attempt;
  struct marjoram_request *by_claim;
  uint64_t next_attempt;
  size_t answer_bytes; /* held for all requests */
};

struct marjoram_requests *marjoram_requests_create (void);
void marjoram_requests_destroy (marjoram_host *host);

/* Creates a request and adds it to the list.  Takes ownership of CALL.  */
struct marjoram_request *
marjoram_request_create (marjoram_host *host, int64_t now,
                         const struct marjoram_origin_ops *origin,
                         struct marjoram_call *call);
/* Claims the request if it isn't idempotent, then dispatches it.  */
void marjoram_request_start (marjoram_host *host, int64_t now,
                             struct marjoram_request *request);
/* Ends the request without an answer.  */
void marjoram_request_refuse (marjoram_host *host, int64_t now,
                              struct marjoram_request *request,
                              enum marjoram_outcome outcome,
                              enum marjoram_reason reason, int64_t retry_ms);
/* The caller no longer waits for the answer.  An idempotent request is
   cancelled; another one runs on, so that its answer can be replayed.  */
void marjoram_request_abandon (marjoram_host *host, int64_t now,
                               struct marjoram_request *request);
void
marjoram_request_claim_decided (marjoram_host *host, int64_t now,
                                uint64_t claim,
                                enum marjoram_claim_verdict verdict,
                                const struct marjoram_stored_answer *kept);
void marjoram_request_count_outcome (marjoram_host *host,
                                     const struct marjoram_request *request,
                                     enum marjoram_outcome outcome);
/* Destroys a request whose outcome has been delivered.  A forwarded one is
   retained for MARJORAM_ORPHAN_MS, so that its sender can fetch the answer
   over a new link.  */
void marjoram_request_settle (marjoram_host *host, int64_t now,
                              struct marjoram_request *request);

/* attempt.c: starting, retrying and ending attempts.  */
void marjoram_attempt_query (const marjoram_host *host,
                             const struct marjoram_request *request,
                             struct marjoram_query *query);
/* Assigns a new attempt number and discards the answer of any earlier
   attempt.  */
void marjoram_attempt_begin (marjoram_host *host, int64_t now,
                             struct marjoram_request *request);
/* Routes the request by the current configuration, which may be newer than the
   one at its arrival: changed residency rules apply to each attempt.  */
void marjoram_attempt_dispatch (marjoram_host *host, int64_t now,
                                struct marjoram_request *request);
/* Ends the attempt in progress, if any, and its accounting.  */
void marjoram_attempt_release (marjoram_host *host, int64_t now,
                               struct marjoram_request *request, bool failed);
/* The reservation period of a suspect is over: runs it at the reserved
   upstream, or routes it again after a random delay if another suspect
   conflicts.  */
void marjoram_attempt_finish_reservation (marjoram_host *host, int64_t now,
                                          struct marjoram_request *request);
void marjoram_attempt_cancel (marjoram_host *host, int64_t now,
                              struct marjoram_request *request);

/* answer.c, attempt.c and request.c: events of the attempt in progress.  */
void marjoram_answer_clear (struct marjoram_request *request);
void marjoram_request_head (marjoram_host *host, int64_t now,
                            struct marjoram_request *request,
                            const struct marjoram_head *head);
void marjoram_request_data (marjoram_host *host, int64_t now,
                            struct marjoram_request *request,
                            marjoram_bytes *bytes);
void marjoram_request_done (marjoram_host *host, int64_t now,
                            struct marjoram_request *request);
/* The attempt ended without a complete answer.  Retries if that is safe and
   FINAL is false.  */
void marjoram_request_failed (marjoram_host *host, int64_t now,
                              struct marjoram_request *request,
                              enum marjoram_outcome outcome,
                              enum marjoram_reason reason, int64_t retry_ms,
                              bool final);
void marjoram_requests_tick (marjoram_host *host, int64_t now);
/* Tells all callers whose answers have not begun how their requests end, as
   this host ends.  */
void marjoram_requests_give_up (marjoram_host *host, int64_t now);
struct marjoram_request *
marjoram_request_by_attempt (const marjoram_host *host, uint64_t attempt);
void marjoram_request_copy_head (struct marjoram_head *copy,
                                 const struct marjoram_head *head);

/* forward.c: attempts at another zone.  */
void marjoram_forward_send (marjoram_host *host, int64_t now,
                            struct marjoram_request *request, int zone,
                            bool claim_at_zone);
void marjoram_forward_cancel (marjoram_host *host,
                              struct marjoram_request *request);
void marjoram_forward_link_up (marjoram_host *host, int64_t now,
                               const char *slot);
/* Handles HEAD, DATA, END and REVOKED frames.  */
void marjoram_forward_handle_frame (marjoram_host *host, int64_t now,
                                    const char *slot,
                                    enum marjoram_frame_type type,
                                    const void *message);
void marjoram_forward_tick (marjoram_host *host, int64_t now,
                            struct marjoram_request *request);

/* relay.c: requests forwarded by hosts of other zones.  */
void marjoram_relay_accept (marjoram_host *host, int64_t now, const char *slot,
                            uint64_t session, uint64_t incarnation,
                            const struct marjoram_forward *forward);
void marjoram_relay_revoke (marjoram_host *host, const char *slot,
                            uint64_t session, uint64_t incarnation,
                            const struct marjoram_revoke *revoke);
void marjoram_relay_cancel (marjoram_host *host, int64_t now, const char *slot,
                            uint64_t incarnation,
                            const struct marjoram_cancel *cancel);
void marjoram_relay_session_closed (marjoram_host *host, int64_t now,
                                    const char *slot, uint64_t session);

#endif
