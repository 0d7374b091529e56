/* The state machine of one entry host.  Events and the current time are its
   inputs; its actions are the calls of marjoram_host_ops.  It does no I/O,
   reads no clock and takes randomness from its caller.  An operation must not
   call back into the host.  */
#ifndef MARJORAM_HOST_H
#define MARJORAM_HOST_H

#include "claim.h"
#include "counter.h"
#include "frame.h"
#include "keeper.h"
#include "member.h"
#include "model_placement.h"
#include "random.h"
#include "route.h"
#include "settings.h"

typedef struct marjoram_host marjoram_host;

/* A request as received from a caller.  */
struct marjoram_call
{
  uint64_t number; /* unique within this process */
  char *token;
  char *work;
  char *method;
  char *path;
  struct marjoram_array headers; /* of struct marjoram_header, to forward */
  marjoram_bytes *body;
  char *key; /* idempotency key; NULL if none */
  bool idempotent;
  bool first_sending; /* the caller has not sent this key before */
  bool stream;
  enum marjoram_class class;
  int64_t deadline_ms; /* 0: use the configured default */
  uint64_t prompt_tokens;
  uint64_t answer_tokens;
  uint64_t prefix_hash;
};

void marjoram_call_destroy (struct marjoram_call *call);

/* Values for the headers of a response.  */
struct marjoram_answer_info
{
  const char *id;
  const char *upstream;
  const char *zone;
  bool replayed;
};

struct marjoram_refusal
{
  const char *id;
  enum marjoram_outcome outcome;
  enum marjoram_reason reason;
  int64_t retry_ms; /* 0: no Retry-After header */
};

/* A request as sent to an upstream.  */
struct marjoram_run
{
  const char *address;
  const char *id;
  const char *method;
  const char *path;
  const struct marjoram_array *headers;
  marjoram_bytes *body;
  const char *key;
  enum marjoram_class class;
  bool fresh; /* open a new connection instead of reusing an idle one */
};

/* Why a run failed, as far as the connection can tell.  */
enum marjoram_run_failure
{
  MARJORAM_RUN_UNSENT,      /* no byte of the request was sent */
  MARJORAM_RUN_BROKEN,      /* the connection broke after sending */
  MARJORAM_RUN_REFUSED,     /* the upstream reports that it did not run */
  MARJORAM_RUN_UNAVAILABLE, /* temporarily unavailable; it may have run */
  MARJORAM_RUN_UNFRAMED,    /* the end of the response can't be determined */
  MARJORAM_RUN_NO_RESUME,   /* the upstream can't report on the request */
  MARJORAM_RUN_NOT_STARTED  /* it did not start and will not */
};

struct marjoram_host_ops
{
  /* Responses to callers, by call number: reply_head, any number of
     reply_data, then reply_end (complete) or reply_abort (truncated); or
     reply_refusal alone.  LENGTH is -1 if unknown.  */
  void (*reply_head) (void *context, uint64_t call,
                      const struct marjoram_head *head,
                      const struct marjoram_answer_info *info, int64_t length);
  void (*reply_data) (void *context, uint64_t call, marjoram_bytes *bytes);
  void (*reply_end) (void *context, uint64_t call);
  void (*reply_abort) (void *context, uint64_t call);
  void (*reply_refusal) (void *context, uint64_t call,
                         const struct marjoram_refusal *refusal);
  /* Requests to upstreams, by attempt number.  Resume requests the response of
     the same attempt from OFFSET on over a new connection.  */
  void (*run) (void *context, uint64_t attempt,
               const struct marjoram_run *run);
  void (*resume) (void *context, uint64_t attempt, const char *address,
                  const char *id, uint64_t offset);
  void (*cancel) (void *context, uint64_t attempt);
  /* Sends an order to an engine; completed by marjoram_host_ordered.  */
  void (*order) (void *context, const struct marjoram_order *order);
  /* Checks whether an upstream's process is alive; completed by
     marjoram_host_probed.  */
  void (*probe) (void *context, const char *upstream, uint64_t incarnation,
                 const char *address);
  /* Other hosts.  Connect keeps a session to SLOT open if WANTED, else closes
     it.  Send uses the session that this host opened to SLOT and drops the
     message if there is none; reply uses the session that SLOT opened.
     Hang_up closes the session to SLOT and reconnects.  */
  void (*connect) (void *context, const char *slot, const char *address,
                   bool wanted);
  void (*send) (void *context, const char *slot, enum marjoram_frame_type type,
                const void *message);
  void (*reply) (void *context, const char *slot, uint64_t session,
                 enum marjoram_frame_type type, const void *message);
  void (*reconnect) (void *context, const char *slot);
  /* Writes a keeper's record to disk; takes ownership of RECORD; completed by
     marjoram_host_persisted.  */
  void (*persist) (void *context, uint64_t ticket, marjoram_bytes *record);
  /* Answers an operator's apply or replace request.  */
  void (*applied) (void *context, uint64_t request,
                   const struct marjoram_apply_answer *answer);
  void (*drained) (void *context);
};

struct marjoram_host_options
{
  const struct marjoram_settings *settings;
  uint64_t incarnation; /* of this process; increases with each start */
  marjoram_counters *counters;
  marjoram_random *random;
  /* Only for a keeper: read from its store.  */
  const char *store_id;
  uint64_t store_incarnation;
  marjoram_bytes *record;
};

/* Returns NULL and sets ERR if the keeper's record can't be read.  */
marjoram_host *
marjoram_host_create (const struct marjoram_host_options *options,
                      const struct marjoram_host_ops *ops, void *context,
                      int64_t now, int64_t wall, struct marjoram_error *err);
void marjoram_host_destroy (marjoram_host *host);

/* Events of callers.  marjoram_host_call takes ownership of CALL.  */
void marjoram_host_call (marjoram_host *host, int64_t now,
                         struct marjoram_call *call);
void marjoram_host_caller_disconnected (marjoram_host *host, int64_t now,
                                        uint64_t call);

/* Events of upstreams.  */
enum marjoram_announce_result
marjoram_host_announce (marjoram_host *host, int64_t now,
                        const struct marjoram_announcement *announcement);
void marjoram_host_run_head (marjoram_host *host, int64_t now,
                             uint64_t attempt,
                             const struct marjoram_head *head);
void marjoram_host_run_data (marjoram_host *host, int64_t now,
                             uint64_t attempt, marjoram_bytes *bytes);
void marjoram_host_run_end (marjoram_host *host, int64_t now,
                            uint64_t attempt);
void marjoram_host_run_failed (marjoram_host *host, int64_t now,
                               uint64_t attempt,
                               enum marjoram_run_failure failure);
/* STATUS is the HTTP status, or 0 if there was no response; RETRY_MS is its
   Retry-After, or 0.  */
void marjoram_host_ordered (marjoram_host *host, int64_t now, uint64_t number,
                            int status, int64_t retry_ms);
void marjoram_host_probed (marjoram_host *host, int64_t now,
                           const char *upstream, uint64_t incarnation,
                           bool alive);

/* Events of other hosts.  link_up and link_down refer to the session that this
   host opened to SLOT, session_closed to one that SLOT opened.  */
void marjoram_host_link_up (marjoram_host *host, int64_t now, const char *slot,
                            uint64_t incarnation);
void marjoram_host_link_down (marjoram_host *host, int64_t now,
                              const char *slot);
/* Data, possibly only part of a frame, was received on the session that this
   host opened to SLOT.  */
void marjoram_host_link_heard (marjoram_host *host, int64_t now,
                               const char *slot);
void marjoram_host_session_closed (marjoram_host *host, int64_t now,
                                   const char *slot, uint64_t session);
/* SESSION is 0 for replies on the session that this host opened.  INCARNATION
   is the sender's, authenticated by the handshake.  */
void marjoram_host_frame (marjoram_host *host, int64_t now, const char *slot,
                          uint64_t session, uint64_t incarnation,
                          enum marjoram_frame_type type, const void *message);

void marjoram_host_persisted (marjoram_host *host, int64_t now,
                              uint64_t ticket, bool ok);
/* An event is about to be processed.  Detects a stall of the event loop before
   it.  */
void marjoram_host_note_time (marjoram_host *host, int64_t now);
/* Must be called at least every 100 ms.  */
void marjoram_host_tick (marjoram_host *host, int64_t now, int64_t wall);

/* Operators.  */
void marjoram_host_apply (marjoram_host *host, int64_t now, uint64_t request,
                          const char *change_id,
                          const struct marjoram_file *file);
void marjoram_host_replace (marjoram_host *host, int64_t now, uint64_t request,
                            const char *change_id, const char *old,
                            const char *new);
/* Stops accepting requests.  The drained operation is called once all requests
   have ended or the configured drain limit has passed.  */
void marjoram_host_drain (marjoram_host *host, int64_t now);
/* Tells all callers whose answers have not begun how their requests end.  */
void marjoram_host_give_up (marjoram_host *host, int64_t now);

bool marjoram_host_ready (const marjoram_host *host);
bool marjoram_host_draining (const marjoram_host *host);
const char *marjoram_host_zone (const marjoram_host *host);
/* The configuration in force; NULL if none.  */
marjoram_config *marjoram_host_config (const marjoram_host *host);
const struct marjoram_state *marjoram_host_state (const marjoram_host *host);
const marjoram_members *marjoram_host_members (const marjoram_host *host);
size_t marjoram_host_request_count (const marjoram_host *host);
/* What this host knows of the host in a slot.  */
struct marjoram_host_view
{
  bool alive;
  bool draining;
  uint64_t incarnation;
  uint64_t config_number;
  int64_t round_trip_ms; /* smoothed; -1 if unknown */
};
void marjoram_host_view (const marjoram_host *host, int64_t now,
                         const char *slot, struct marjoram_host_view *view);
/* Explains how a request would be routed.  The caller frees the text.  */
char *marjoram_host_explain (marjoram_host *host, int64_t now,
                             struct marjoram_query *query,
                             struct marjoram_choice *choice);

#endif
