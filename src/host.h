/* One entry host as pure decisions: events and the time go in, actions come
   out through the operations.  No sockets, no clock, no randomness of its own.
   An operation must not call back into the host.  */
#ifndef MARJORAM_HOST_H
#define MARJORAM_HOST_H

#include "claim.h"
#include "counter.h"
#include "frame.h"
#include "keeper.h"
#include "member.h"
#include "place.h"
#include "random.h"
#include "route.h"
#include "settings.h"

typedef struct marjoram_host marjoram_host;

/* A request as the callers' task took it in.  */
struct marjoram_call
{
  uint64_t number; /* unique for this process */
  char *token;
  char *work;
  char *method;
  char *path;
  struct marjoram_array headers; /* of struct marjoram_header, to pass on */
  marjoram_bytes *body;
  char *key; /* null if none */
  bool idempotent;
  bool first_sending; /* the caller says that it never sent this key before */
  bool stream;
  enum marjoram_class class;
  int64_t deadline_ms; /* 0: the configuration's */
  uint64_t prompt_tokens;
  uint64_t answer_tokens;
  uint64_t prefix_hash;
};

void marjoram_call_destroy (struct marjoram_call *call);

/* What stands in the headers of an answer.  */
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
  int64_t retry_ms; /* 0: no Retry-After */
};

/* A request as it goes to an upstream.  */
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
  bool fresh; /* on a connection of its own: no reuse of an idle one */
};

/* Why a run failed, as far as the connection shows.  */
enum marjoram_run_failure
{
  MARJORAM_RUN_UNSENT,      /* no byte of the request was sent */
  MARJORAM_RUN_BROKEN,      /* sent, and the connection broke */
  MARJORAM_RUN_REFUSED,     /* the upstream says that it did not run it */
  MARJORAM_RUN_UNAVAILABLE, /* it can't serve it now; it may have run */
  MARJORAM_RUN_UNFRAMED,    /* an answer whose end can't be told */
  MARJORAM_RUN_NO_RESUME,   /* the upstream can't tell about the request */
  MARJORAM_RUN_NEVER        /* the upstream never started it and never will */
};

struct marjoram_host_ops
{
  /* Callers, by call number.  Head first, then data, then one of end (whole)
     or cut; or a refusal alone.  LENGTH is -1 if not known yet.  */
  void (*reply_head) (void *context, uint64_t call,
                      const struct marjoram_head *head,
                      const struct marjoram_answer_info *info, int64_t length);
  void (*reply_data) (void *context, uint64_t call, marjoram_bytes *bytes);
  void (*reply_end) (void *context, uint64_t call);
  void (*reply_abort) (void *context, uint64_t call);
  void (*reply_refusal) (void *context, uint64_t call,
                         const struct marjoram_refusal *refusal);
  /* Upstreams, by attempt number.  Resume asks on a new connection for the
     answer of the same attempt from OFFSET on.  */
  void (*run) (void *context, uint64_t attempt,
               const struct marjoram_run *run);
  void (*resume) (void *context, uint64_t attempt, const char *address,
                  const char *id, uint64_t offset);
  void (*cancel) (void *context, uint64_t attempt);
  /* An order to an engine; answered by marjoram_host_ordered.  */
  void (*order) (void *context, const struct marjoram_order *order);
  /* Answered by marjoram_host_probed.  */
  void (*probe) (void *context, const char *upstream, const char *address);
  /* Other hosts.  Connect keeps a session to SLOT open, or no longer.  Send
     goes over this host's own session to SLOT and is dropped if there is
     none; reply goes back over the session that SLOT opened.  */
  void (*connect) (void *context, const char *slot, const char *address,
                   bool wanted);
  void (*send) (void *context, const char *slot, enum marjoram_frame_type type,
                const void *message);
  void (*reply) (void *context, const char *slot, uint64_t session,
                 enum marjoram_frame_type type, const void *message);
  void (*hang_up) (void *context, const char *slot);
  /* A keeper's disk; takes RECORD; answered by marjoram_host_persisted.  */
  void (*persist) (void *context, uint64_t ticket, marjoram_bytes *record);
  /* Operators: answers one apply or replacement.  */
  void (*applied) (void *context, uint64_t request,
                   const struct marjoram_apply_answer *answer);
  /* Draining is complete.  */
  void (*drained) (void *context);
};

struct marjoram_host_options
{
  const struct marjoram_settings *settings;
  uint64_t incarnation; /* of this process, growing with each start */
  marjoram_counters *counters;
  marjoram_random *random;
  /* For a keeper, from its store.  */
  const char *store_id;
  uint64_t store_incarnation;
  marjoram_bytes *record;
};

/* Null with ERR set if the keeper's record can't be read.  */
marjoram_host *
marjoram_host_create (const struct marjoram_host_options *options,
                      const struct marjoram_host_ops *ops, void *context,
                      int64_t now, int64_t wall, struct marjoram_error *err);
void marjoram_host_destroy (marjoram_host *host);

/* Events of callers.  Takes what CALL owns.  */
void marjoram_host_call (marjoram_host *host, int64_t now,
                         struct marjoram_call *call);
void marjoram_host_caller_gone (marjoram_host *host, int64_t now,
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
/* The whole answer has come.  */
void marjoram_host_run_end (marjoram_host *host, int64_t now,
                            uint64_t attempt);
void marjoram_host_run_failed (marjoram_host *host, int64_t now,
                               uint64_t attempt,
                               enum marjoram_run_failure failure);
/* STATUS is the HTTP status, 0 if there was no answer; RETRY_MS is what its
   Retry-After says, or 0.  */
void marjoram_host_ordered (marjoram_host *host, int64_t now, uint64_t number,
                            int status, int64_t retry_ms);
void marjoram_host_probed (marjoram_host *host, int64_t now,
                           const char *upstream, bool alive);

/* Events of other hosts.  Up and down are of this host's own session to
   SLOT; closed is of a session that SLOT opened.  */
void marjoram_host_link_up (marjoram_host *host, int64_t now, const char *slot,
                            uint64_t incarnation);
void marjoram_host_link_down (marjoram_host *host, int64_t now,
                              const char *slot);
/* Something has come on this host's own session to SLOT, if only a part of a
   frame.  */
void marjoram_host_link_heard (marjoram_host *host, int64_t now,
                               const char *slot);
void marjoram_host_session_closed (marjoram_host *host, int64_t now,
                                   const char *slot, uint64_t session);
/* SESSION is 0 for answers over this host's own session.  INCARNATION is the
   sender's, as proved when the session was opened.  */
void marjoram_host_frame (marjoram_host *host, int64_t now, const char *slot,
                          uint64_t session, uint64_t incarnation,
                          enum marjoram_frame_type type, const void *message);

void marjoram_host_persisted (marjoram_host *host, int64_t now,
                              uint64_t ticket, bool ok);
/* At least every 100 ms.  */
void marjoram_host_tick (marjoram_host *host, int64_t now, int64_t wall);

/* Operators.  */
void marjoram_host_apply (marjoram_host *host, int64_t now, uint64_t request,
                          const char *change_id,
                          const struct marjoram_file *file);
void marjoram_host_replace (marjoram_host *host, int64_t now, uint64_t request,
                            const char *change_id, const char *old,
                            const char *new);
/* Takes no new requests; drained is called once all have ended, or once the
   limit of the settings has passed.  */
void marjoram_host_drain (marjoram_host *host, int64_t now);

/* Queries.  */
bool marjoram_host_ready (const marjoram_host *host);
bool marjoram_host_draining (const marjoram_host *host);
const char *marjoram_host_zone (const marjoram_host *host);
/* The configuration in force; null if none.  */
marjoram_config *marjoram_host_config (const marjoram_host *host);
const struct marjoram_state *marjoram_host_state (const marjoram_host *host);
const marjoram_members *marjoram_host_members (const marjoram_host *host);
size_t marjoram_host_request_count (const marjoram_host *host);
/* What is known of the host in SLOT.  */
struct marjoram_host_view
{
  bool alive;
  bool draining;
  uint64_t incarnation;
  uint64_t config_number;
  int64_t round_trip_ms;
};
void marjoram_host_view (const marjoram_host *host, int64_t now,
                         const char *slot, struct marjoram_host_view *view);
/* Why a request would go where; malloc'd text.  */
char *marjoram_host_explain (marjoram_host *host, int64_t now,
                             struct marjoram_query *query,
                             struct marjoram_choice *choice);

#endif
