/* Internal state and functions of the claims module, shared by
   claim_attempt.c (attempts, votes and verdicts) and claim.c (public functions
   and message handling).  */
#ifndef MARJORAM_CLAIM_ATTEMPT_H
#define MARJORAM_CLAIM_ATTEMPT_H

#include "claim_record.h"
#include "claim_recovery.h"

enum
{
  /* Maximum time by which a key's issue time may be ahead of the local
     clock.  */
  KEY_LEAD_MAX_MS = 10 * 1000,
  /* Maximum backward step of a slot's clock across a restart, and maximum
     clock skew between hosts of a zone.  */
  CLOCK_STEP_MAX_MS = 1000,
  REPORTED_ATTEMPTS_MAX = 8, /* attempts for one key listed in an ANSWER */
  FINISH_SENDS_MAX = 8,
  FINISH_RESEND_MS = 200,       /* doubled with each resend */
  STATE_BODY_BYTES = 256 * 1024 /* soft limit on answer bodies in a STATE */
};

enum marjoram_claim_attempt_phase
{
  MARJORAM_CLAIM_ATTEMPT_WAITING, /* a conflicting attempt is known locally; no
                               votes have been requested */
  MARJORAM_CLAIM_ATTEMPT_ASKING,
  MARJORAM_CLAIM_ATTEMPT_GRANTED,
  MARJORAM_CLAIM_ATTEMPT_FINISHING /* sending FINISH until peers acknowledge */
};

/* The latest answer of each host, as bit masks indexed by slot.  */
struct marjoram_claim_answers
{
  uint64_t responded;
  uint64_t yes;
  uint64_t blocked;            /* refused: key expired or before its horizon */
  uint64_t blocked_recovering; /* likewise, but the host is still recovering */
  uint64_t held;  /* reports an attempt of another host, maybe pending */
  uint64_t rival; /* reports a pending attempt of its own */
  uint64_t lost;  /* reports an attempt whose owner has restarted */
  uint64_t done;  /* reports a completed attempt with no stored answer */
};

struct marjoram_claim_attempt
{
  struct marjoram_claim_entry entry;
  enum marjoram_claim_attempt_phase phase;
  bool decided;
  int64_t deadline;
  struct marjoram_claim_answers answers;
  uint64_t *vote_incarnations; /* incarnation of each slot when it
                                  answered */
  uint64_t acknowledged;       /* mask of slots that acknowledged FINISH */
  int send_count;
  int64_t resend_at;
  UT_hash_handle hh;
  UT_hash_handle hh_key;
  TAILQ_ENTRY (marjoram_claim_attempt) link;
};

struct marjoram_claim_decision
{
  uint64_t attempt;
  enum marjoram_claim_verdict verdict;
  struct marjoram_stored_answer kept;
  STAILQ_ENTRY (marjoram_claim_decision) link;
};

struct marjoram_claims
{
  struct marjoram_claims_options options;
  struct marjoram_claims_ops ops;
  void *context;
  marjoram_claim_records *records;
  struct marjoram_claim_recovery recovery;
  struct marjoram_claim_incarnation
      known_incarnations[MARJORAM_ZONE_SLOTS_MAX];
  bool started;
  int64_t started_at;
  int64_t now;
  int64_t wall_offset; /* wall clock minus NOW */
  int64_t wall_max;    /* highest wall-clock time seen */
  int64_t horizon;     /* keys issued earlier are refused */
  int64_t own_horizon; /* HORIZON as set when this host started */
  int64_t issue_floor; /* highest horizon reported in the zone */
  struct marjoram_claim_attempt *by_number;
  struct marjoram_claim_attempt *by_key;
  TAILQ_HEAD (marjoram_claim_attempt_list, marjoram_claim_attempt) attempts;
  STAILQ_HEAD (, marjoram_claim_decision) decisions;
};

uint64_t marjoram_claims_slot_bit (int ordinal);
bool marjoram_claims_owns (const marjoram_claims *claims,
                           const struct marjoram_claim_entry *entry);
struct marjoram_claim_attempt *
marjoram_claims_find_attempt (const marjoram_claims *claims, uint64_t number);
struct marjoram_claim_attempt *
marjoram_claims_find_by_key (const marjoram_claims *claims,
                             struct marjoram_hash128 key);
void marjoram_claims_release_key (marjoram_claims *claims,
                                  struct marjoram_claim_attempt *attempt);
void marjoram_claims_remove_attempt (marjoram_claims *claims,
                                     struct marjoram_claim_attempt *attempt);
struct marjoram_claim_message marjoram_claims_make_message (
    const marjoram_claims *claims, enum marjoram_claim_kind kind,
    const struct marjoram_claim_entry *entries, size_t count);
void marjoram_claims_send (marjoram_claims *claims, int to,
                           enum marjoram_claim_kind kind,
                           const struct marjoram_claim_entry *entry);
void marjoram_claims_send_all (marjoram_claims *claims,
                               enum marjoram_claim_kind kind,
                               const struct marjoram_claim_entry *entry,
                               uint64_t except);
void marjoram_claims_abandon (marjoram_claims *claims,
                              struct marjoram_claim_attempt *attempt);
void marjoram_claims_queue_verdict (marjoram_claims *claims, uint64_t attempt,
                                    enum marjoram_claim_verdict verdict,
                                    const struct marjoram_stored_answer *kept);
void marjoram_claims_cancel_verdict (marjoram_claims *claims,
                                     uint64_t attempt);
void marjoram_claims_deliver_verdicts (marjoram_claims *claims);
void marjoram_claims_handle_conflict (
    marjoram_claims *claims, struct marjoram_claim_attempt *attempt, int from,
    uint64_t incarnation, const struct marjoram_claim_entry *entry);
void marjoram_claims_evaluate (marjoram_claims *claims,
                               struct marjoram_claim_attempt *attempt);
void marjoram_claims_time_out (marjoram_claims *claims,
                               struct marjoram_claim_attempt *attempt);
bool marjoram_claims_key_expired (const marjoram_claims *claims,
                                  int64_t issued);
void marjoram_claims_store_record (marjoram_claims *claims,
                                   const struct marjoram_claim_entry *entry);
enum marjoram_claim_vote
marjoram_claims_cast_vote (marjoram_claims *claims,
                           const struct marjoram_claim_entry *entry);
size_t marjoram_claims_list_attempts (const marjoram_claims *claims,
                                      struct marjoram_hash128 key,
                                      struct marjoram_claim_entry *held);
void marjoram_claims_check_owners (marjoram_claims *claims,
                                   const struct marjoram_claim_entry *entry,
                                   const struct marjoram_claim_entry *held,
                                   size_t count);
void marjoram_claims_set_blocked (struct marjoram_claim_answers *answers,
                                  int from, bool recovered);
void marjoram_claims_vote_locally (marjoram_claims *claims,
                                   struct marjoram_claim_attempt *attempt);
void
marjoram_claims_request_votes (marjoram_claims *claims,
                               const struct marjoram_claim_attempt *attempt);
void marjoram_claims_remove_refused (marjoram_claims *claims,
                                     struct marjoram_claim_attempt *attempt);
struct marjoram_claim_attempt *
marjoram_claims_add_attempt (marjoram_claims *claims,
                             const struct marjoram_claim_entry *entry);

#endif
