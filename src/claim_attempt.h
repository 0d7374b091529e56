/* The inside of the claims module, shared by its two parts: claim_attempt.c,
   an attempt's life on the host that owns it, and claim.c, messages and time.
   Private to them.  */
#ifndef MARJORAM_CLAIM_ATTEMPT_H
#define MARJORAM_CLAIM_ATTEMPT_H

#include "claim_record.h"
#include "claim_recovery.h"

enum
{
  /* How far ahead of this host's clock a key may be issued.  */
  LEAD_MS = 10 * 1000,
  /* How far a slot's clock may go back over a restart, and how far the clocks
     of a zone's hosts may differ.  */
  STEP_BACK_MS = 1000,
  HELD_MAX = 8, /* attempts of one key told in an answer */
  FINISH_TRIES = 8,
  FINISH_RESEND_MS = 200,
  STATE_BYTES = 256 * 1024 /* of kept answers in one message */
};

enum marjoram_attempt_phase
{
  MARJORAM_ATTEMPT_WAITING, /* another attempt is known here: no vote was asked
                               for */
  MARJORAM_ATTEMPT_ASKING,
  MARJORAM_ATTEMPT_GRANTED,
  MARJORAM_ATTEMPT_FINISHING /* tells the peers how it ended */
};

/* What the hosts last answered, a bit for each slot.  */
struct marjoram_claim_answers
{
  uint64_t heard;
  uint64_t yes;
  uint64_t blocked; /* by its horizon */
  uint64_t unsure;  /* likewise, but it is still recovering */
  uint64_t held;    /* by an attempt that may be alive */
  uint64_t rival;   /* by a living attempt of its own */
  uint64_t lost;    /* by one whose owner has restarted */
  uint64_t done;    /* by one that ran, its answer no longer kept */
};

struct marjoram_attempt
{
  struct marjoram_claim_entry entry;
  enum marjoram_attempt_phase phase;
  bool decided;
  int64_t deadline;
  struct marjoram_claim_answers answers;
  uint64_t *voters; /* incarnation of each slot's vote */
  uint64_t told;    /* FINISH: peers that know */
  int tries;
  int64_t resend;
  UT_hash_handle hh;
  UT_hash_handle hh_key;
  TAILQ_ENTRY (marjoram_attempt) link;
};

struct marjoram_claim_decision
{
  uint64_t attempt;
  enum marjoram_claim_verdict verdict;
  struct marjoram_kept_answer kept;
  STAILQ_ENTRY (marjoram_claim_decision) link;
};

struct marjoram_claims
{
  struct marjoram_claims_options options;
  struct marjoram_claims_ops ops;
  void *context;
  marjoram_claim_records *records;
  struct marjoram_claim_recovery recovery;
  struct marjoram_claim_incarnation known[MARJORAM_ZONE_SLOTS_MAX];
  bool started;
  int64_t started_at;
  int64_t now;
  int64_t wall_offset; /* wall clock less NOW */
  int64_t wall_max;    /* highest wall clock seen */
  int64_t horizon;     /* keys issued before it are refused */
  int64_t own_horizon; /* the one set when this host started */
  int64_t issue_floor; /* highest horizon heard of in the zone */
  struct marjoram_attempt *by_number;
  struct marjoram_attempt *by_key;
  TAILQ_HEAD (marjoram_attempt_list, marjoram_attempt) attempts;
  STAILQ_HEAD (, marjoram_claim_decision) decisions;
};

uint64_t marjoram_claims_bit (int ordinal);
bool marjoram_claims_owns (const marjoram_claims *claims,
                           const struct marjoram_claim_entry *entry);
struct marjoram_attempt *marjoram_claims_find (const marjoram_claims *claims,
                                               uint64_t number);
struct marjoram_attempt *
marjoram_claims_find_key (const marjoram_claims *claims,
                          struct marjoram_hash128 key);
void marjoram_claims_release_key (marjoram_claims *claims,
                                  struct marjoram_attempt *attempt);
void marjoram_claims_forget (marjoram_claims *claims,
                             struct marjoram_attempt *attempt);
struct marjoram_claim_message marjoram_claims_message (
    const marjoram_claims *claims, enum marjoram_claim_kind kind,
    const struct marjoram_claim_entry *entries, size_t count);
void marjoram_claims_send (marjoram_claims *claims, int to,
                           enum marjoram_claim_kind kind,
                           const struct marjoram_claim_entry *entry);
void marjoram_claims_send_all (marjoram_claims *claims,
                               enum marjoram_claim_kind kind,
                               const struct marjoram_claim_entry *entry,
                               uint64_t except);
void marjoram_claims_bar (marjoram_claims *claims,
                          struct marjoram_attempt *attempt);
void marjoram_claims_queue (marjoram_claims *claims, uint64_t attempt,
                            enum marjoram_claim_verdict verdict,
                            const struct marjoram_kept_answer *kept);
void marjoram_claims_unqueue (marjoram_claims *claims, uint64_t attempt);
void marjoram_claims_hand_out (marjoram_claims *claims);
void marjoram_claims_weigh (marjoram_claims *claims,
                            struct marjoram_attempt *attempt, int from,
                            uint64_t incarnation,
                            const struct marjoram_claim_entry *entry);
void marjoram_claims_evaluate (marjoram_claims *claims,
                               struct marjoram_attempt *attempt);
void marjoram_claims_give_up (marjoram_claims *claims,
                              struct marjoram_attempt *attempt);
bool marjoram_claims_key_expired (const marjoram_claims *claims,
                                  int64_t issued);
void marjoram_claims_remember (marjoram_claims *claims,
                               const struct marjoram_claim_entry *entry);
enum marjoram_claim_vote
marjoram_claims_vote (marjoram_claims *claims,
                      const struct marjoram_claim_entry *entry);
size_t marjoram_claims_list (const marjoram_claims *claims,
                             struct marjoram_hash128 key,
                             struct marjoram_claim_entry *held);
void marjoram_claims_check_owners (marjoram_claims *claims,
                                   const struct marjoram_claim_entry *entry,
                                   const struct marjoram_claim_entry *held,
                                   size_t count);
void marjoram_claims_note_blocked (struct marjoram_claim_answers *answers,
                                   int from, bool recovered);
void marjoram_claims_consult (marjoram_claims *claims,
                              struct marjoram_attempt *attempt);
void marjoram_claims_ask (marjoram_claims *claims,
                          const struct marjoram_attempt *attempt);
void marjoram_claims_clean_up (marjoram_claims *claims,
                               struct marjoram_attempt *attempt);
struct marjoram_attempt *
marjoram_claims_attempt (marjoram_claims *claims,
                         const struct marjoram_claim_entry *entry);

#endif
