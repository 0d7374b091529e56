/* A request's life on one host, from its arrival, from a caller or from
   another zone's host, through claim, choice and attempts to its one answer.
   Used by the host only.  */
#ifndef MARJORAM_REQUEST_H
#define MARJORAM_REQUEST_H

#include "host.h"

#include <sys/queue.h>
#include <uthash.h>

enum marjoram_request_state
{
  MARJORAM_REQUEST_CLAIMING,  /* waits for the claim's verdict */
  MARJORAM_REQUEST_WAITING,   /* a suspect, waits for a place to be free */
  MARJORAM_REQUEST_RESERVING, /* a suspect, waits to be alone at its place */
  MARJORAM_REQUEST_LOCAL,     /* runs at an upstream of this zone */
  MARJORAM_REQUEST_REMOTE,    /* sent to a host of another zone */
  MARJORAM_REQUEST_PROBING    /* its upstream broke off; is it dead?  */
};

/* A piece of an answer, kept until it may be passed on.  */
struct marjoram_piece
{
  marjoram_bytes *bytes;
  STAILQ_ENTRY (marjoram_piece) next;
};
STAILQ_HEAD (marjoram_pieces, marjoram_piece);

struct marjoram_request;

/* Where a request came from and its answer goes.  */
struct marjoram_origin_ops
{
  void (*head) (marjoram_host *host, struct marjoram_request *request,
                const struct marjoram_head *head, int64_t length);
  void (*data) (marjoram_host *host, struct marjoram_request *request,
                marjoram_bytes *bytes);
  void (*end) (marjoram_host *host, struct marjoram_request *request);
  /* Ended without a whole answer: REQUEST's outcome and reason say how.  */
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

  /* For a request of another host.  */
  char *peer;
  uint64_t peer_incarnation;
  uint64_t peer_session; /* 0 while its link is down */
  uint64_t peer_number;
  int64_t orphaned;

  /* Claim.  */
  uint64_t claim; /* attempt number of the claim; 0 if none */

  /* Attempts.  */
  enum marjoram_request_state state;
  uint64_t attempt; /* number of the one in progress; 0 if none */
  char upstream[MARJORAM_NAME_MAX + 1];
  char address[MARJORAM_NAME_MAX + 1]; /* the upstream's */
  /* The upstream is an engine, which can be asked for an answer again.  A
     plain service would take the question for a request of its own, and its
     answer to that would pass for the caller's.  */
  bool can_resume;
  char *remote_slot;
  uint64_t remote_incarnation;
  uint64_t remote_session; /* of the link, as the request was sent */
  int remote_zone; /* index as the request was sent, see also its name */
  char remote_name[MARJORAM_NAME_MAX + 1];
  int work; /* index, as the attempt was chosen */
  int tried_count;
  char tried[MARJORAM_TRIED_MAX][MARJORAM_NAME_MAX + 1];
  int zones_tried_count;
  int zones_tried[MARJORAM_TRIED_MAX];
  enum marjoram_outcome outcome;
  enum marjoram_reason reason; /* of the last failed attempt */
  uint64_t deaths;

  /* Times by this host's clock.  */
  int64_t arrived;
  int64_t deadline;
  int64_t attempt_started;
  int64_t first_byte;
  int64_t progress; /* last byte or attempt */
  int64_t patience; /* without a byte, before the upstream is asked */

  /* Answer.  */
  struct marjoram_head head;
  uint64_t received; /* bytes of the body so far */
  uint64_t passed;   /* bytes passed on to the origin */
  struct marjoram_pieces pieces;
  size_t pieces_size;

  bool gone;              /* nobody waits for the answer any more */
  bool answered;          /* nothing more is due */
  bool claim_here;        /* its key is guarded by this zone */
  bool no_local_upstream; /* its first zone has no upstream for it */
  bool granted;           /* its claim says run */
  bool maybe_ran;         /* an attempt may have run it */
  bool resuming;          /* the upstream was asked for the answer by its id */
  bool revoking;          /* the other host is to be asked over a new link */
  bool has_head;
  bool head_passed;

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
};

struct marjoram_requests *marjoram_requests_create (void);
void marjoram_requests_destroy (marjoram_host *host);

/* A new request in the list; takes CALL.  */
struct marjoram_request *
marjoram_request_create (marjoram_host *host, int64_t now,
                         const struct marjoram_origin_ops *origin,
                         struct marjoram_call *call);
/* Claims it first if it needs that, then runs it.  */
void marjoram_request_start (marjoram_host *host, int64_t now,
                             struct marjoram_request *request);
/* Ends it without an answer.  */
void marjoram_request_refuse (marjoram_host *host, int64_t now,
                              struct marjoram_request *request,
                              enum marjoram_outcome outcome,
                              enum marjoram_reason reason, int64_t retry_ms);
/* Nobody waits for its answer any more.  Idempotent work is cancelled, other
   work goes on, as its answer is kept for replay.  */
void marjoram_request_abandon (marjoram_host *host, int64_t now,
                               struct marjoram_request *request);
void marjoram_request_claimed (marjoram_host *host, int64_t now,
                               uint64_t claim,
                               enum marjoram_claim_verdict verdict,
                               const struct marjoram_kept_answer *kept);
/* Settles what a request's end means for the counters, and for its record: it
   is destroyed, unless its sender may ask for the answer again.  */
void marjoram_request_count_outcome (marjoram_host *host,
                                     const struct marjoram_request *request,
                                     enum marjoram_outcome outcome);
void marjoram_request_settle (marjoram_host *host, int64_t now,
                              struct marjoram_request *request);

/* attempt.c: one try after the other.  */
void marjoram_attempt_query (const marjoram_host *host,
                             const struct marjoram_request *request,
                             struct marjoram_query *query);
/* A new number, and nothing of an earlier attempt's answer.  */
void marjoram_attempt_begin (marjoram_host *host, int64_t now,
                             struct marjoram_request *request);
/* Chooses where the request runs under the configuration in force now, which
   may be newer than the one it came under: the newer residency rule binds at
   each choice.  */
void marjoram_attempt_dispatch (marjoram_host *host, int64_t now,
                                struct marjoram_request *request);
/* The attempt in progress is over, however it ended.  */
void marjoram_attempt_release (marjoram_host *host, int64_t now,
                               struct marjoram_request *request, bool failed);
/* A suspect that has waited long enough at its place: it runs there, or looks
   for another place.  */
void marjoram_attempt_reserved (marjoram_host *host, int64_t now,
                                struct marjoram_request *request);
/* Tells the upstream or the other host that it is no longer wanted.  */
void marjoram_attempt_cancel (marjoram_host *host, int64_t now,
                              struct marjoram_request *request);

/* answer.c: events of the attempt in progress.  */
void marjoram_answer_clear (struct marjoram_request *request);
void marjoram_request_head (marjoram_host *host, int64_t now,
                            struct marjoram_request *request,
                            const struct marjoram_head *head);
void marjoram_request_data (marjoram_host *host, int64_t now,
                            struct marjoram_request *request,
                            marjoram_bytes *bytes);
void marjoram_request_done (marjoram_host *host, int64_t now,
                            struct marjoram_request *request);
/* The attempt ended without a whole answer; retries if that is safe.  FINAL
   forbids it.  */
void marjoram_request_failed (marjoram_host *host, int64_t now,
                              struct marjoram_request *request,
                              enum marjoram_outcome outcome,
                              enum marjoram_reason reason, int64_t retry_ms,
                              bool final);
void marjoram_requests_tick (marjoram_host *host, int64_t now);
struct marjoram_request *
marjoram_request_by_attempt (const marjoram_host *host, uint64_t attempt);
void marjoram_request_copy_head (struct marjoram_head *copy,
                                 const struct marjoram_head *head);

/* forward.c: the attempt at another zone.  */
void marjoram_forward_send (marjoram_host *host, int64_t now,
                            struct marjoram_request *request, int zone,
                            bool claim_there);
void marjoram_forward_cancel (marjoram_host *host,
                              struct marjoram_request *request);
void marjoram_forward_link_up (marjoram_host *host, int64_t now,
                               const char *slot);
/* HEAD, DATA, END and REVOKED.  */
void marjoram_forward_answer (marjoram_host *host, int64_t now,
                              const char *slot, enum marjoram_frame_type type,
                              const void *message);
void marjoram_forward_tick (marjoram_host *host, int64_t now,
                            struct marjoram_request *request);

/* relay.c: requests of other zones' hosts.  */
void marjoram_relay_take (marjoram_host *host, int64_t now, const char *slot,
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
