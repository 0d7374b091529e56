/* A configuration keeper: a member of the small group of hosts that replicate
   the configuration state on disk.  Each is acceptor and proposer of a
   replicated register, updated by compare-and-set under ballots accepted by a
   majority; there is no leader.  This module does no I/O: messages, the time
   and completed writes go in; messages, writes and results come out.  */
#ifndef MARJORAM_KEEPER_H
#define MARJORAM_KEEPER_H

#include "evacuation.h"
#include "random.h"
#include "state.h"
#include "store_progress.h"

typedef struct marjoram_keeper marjoram_keeper;

struct marjoram_keeper_message; /* defined in keeper_message.h */
extern const struct marjoram_layout marjoram_keeper_message_layout;

/* Outcome of an apply.  NOT_RUN: nothing was changed and nothing will be.
   UNKNOWN: it may still take effect; resend it with the same change id.  */
enum marjoram_apply_outcome
{
  MARJORAM_APPLY_DECIDED, /* the change's result holds */
  MARJORAM_APPLY_NOT_RUN,
  MARJORAM_APPLY_UNKNOWN
};

struct marjoram_apply_answer
{
  enum marjoram_apply_outcome outcome;
  enum marjoram_change_result result;
  uint64_t number;  /* of the state in which the change was decided */
  uint64_t version; /* of the file in force after it */
  const char *digest;
  const char *message; /* text for the operator */
};

/* How an attempt to have a value chosen, or to read the chosen one, ended.  */
enum marjoram_ballot_end
{
  MARJORAM_BALLOT_COMPLETED,
  MARJORAM_BALLOT_OUTDATED, /* a keeper has promised a higher ballot */
  MARJORAM_BALLOT_TIMED_OUT,
  MARJORAM_BALLOT_END_COUNT
};

struct marjoram_ballot_report
{
  enum marjoram_ballot_end end;
  uint64_t round;
  bool accepting;      /* ended in the second phase */
  size_t votes;        /* answers in that phase */
  const char *by;      /* OUTDATED: the keeper that rejected it, or null */
  int64_t age_ms;      /* since the attempt started */
  int64_t deferred_ms; /* before it, for which another's was given time */
};

struct marjoram_keeper_ops
{
  /* Sends MESSAGE, packed with marjoram_keeper_message_layout, to the keeper
     in SLOT.  Delivery is not guaranteed.  */
  void (*send) (void *context, const char *slot,
                const struct marjoram_keeper_message *message);
  /* Takes ownership of RECORD, replaces the stored record by it durably, then
     calls marjoram_keeper_persisted with TICKET.  Writes complete in order. */
  void (*persist) (void *context, uint64_t ticket, marjoram_bytes *record);
  /* STATE is known to be chosen.  Numbers increase from call to call.  */
  void (*chosen) (void *context, const struct marjoram_state *state);
  /* Completes one apply, read or membership change; called once for each.
     May start others.  ANSWER is valid during the call.  */
  void (*answered) (void *context, uint64_t request,
                    const struct marjoram_apply_answer *answer);
  /* Whether an order is still wanted, asked before it is first proposed; if
     not, it is dropped without an answer.  Null: always.  */
  bool (*wants) (void *context, uint64_t request);
  /* Whether STATE is a valid configuration.  */
  bool (*valid) (void *context, const struct marjoram_state *state,
                 struct marjoram_error *err);
  /* Null if marjoram_keeper_confirm is not used.  After STARTED_AT, the time
     of the call of marjoram_keeper_confirm, a majority has confirmed that no
     state after NUMBER had been chosen.  */
  void (*confirmed) (void *context, int64_t started_at, uint64_t number);
  /* Null if not used.  An attempt of this keeper ended.  */
  void (*ballot_ended) (void *context,
                        const struct marjoram_ballot_report *report);
};

struct marjoram_keeper_options
{
  const char *slot;
  const char *store_id;     /* generated when the store is created */
  const char *const *first; /* slots of the initial members */
  size_t first_count;
  uint64_t incarnation; /* distinguishes ballots across restarts */
  int64_t admission_ms; /* how long a new store leaves ballots to the members,
                           which make it one of them; 0: not at all */
  marjoram_bytes *record; /* stored record; null for a new store */
};

/* Returns null with ERR set if the stored record can't be decoded.  */
marjoram_keeper *
marjoram_keeper_create (const struct marjoram_keeper_options *options,
                        const struct marjoram_keeper_ops *ops, void *context,
                        marjoram_random *random, struct marjoram_error *err);
void marjoram_keeper_destroy (marjoram_keeper *keeper);

/* Applies one file.  CHANGE_ID is chosen by the operator and must be the same
   on a resend.  */
void marjoram_keeper_apply (marjoram_keeper *keeper, int64_t now,
                            uint64_t request, const char *change_id,
                            const struct marjoram_file *file);
/* Decides an order for the evacuation of a zone.  CHANGE_ID is unique to this
   copy of the order.  The version in the answer is the number of the zone.  */
void marjoram_keeper_order (marjoram_keeper *keeper, int64_t now,
                            uint64_t request, const char *change_id,
                            const struct marjoram_evacuation_order *order);
/* Replaces the member in slot OLD by the one in slot NEW; with OLD equal to
   NEW, replaces the store of a member whose disk was lost.  Completes when a
   majority of the new members holds the state on disk, so that another loss
   can be tolerated.  */
void marjoram_keeper_replace (marjoram_keeper *keeper, int64_t now,
                              uint64_t request, const char *change_id,
                              const char *old, const char *new);
/* Adds a member while there are fewer than MOST; completes as a replacement
   does.  */
void marjoram_keeper_add (marjoram_keeper *keeper, int64_t now,
                          uint64_t request, const char *change_id,
                          const char *new, size_t most);
/* Sends a heartbeat at once, to a keeper that neither the state nor the
   settings name, or to which a connection has just opened.  */
void marjoram_keeper_probe (marjoram_keeper *keeper, int64_t now,
                            const char *slot);
/* Linearizable read: answered DECIDED once a majority has confirmed, after
   this call, that marjoram_keeper_chosen_state is the latest state; NOT_RUN on
   timeout.  Needs a ballot, and with it disks, only while a newer state is
   accepted somewhere and not known to be chosen.  */
void marjoram_keeper_read (marjoram_keeper *keeper, int64_t now,
                           uint64_t request);
/* Asks the other keepers whether a newer state was chosen.  Replaces the
   previous round, also one of a read, if that is not completed; there is no
   answer without a majority.  */
void marjoram_keeper_confirm (marjoram_keeper *keeper, int64_t now);
void marjoram_keeper_receive (marjoram_keeper *keeper, int64_t now,
                              const char *from,
                              const struct marjoram_keeper_message *message);
void marjoram_keeper_persisted (marjoram_keeper *keeper, int64_t now,
                                uint64_t ticket, bool ok);
/* A host reported a configuration with this number: a keeper with an empty
   disk then never takes part in bootstrapping.  */
void marjoram_keeper_observe_number (marjoram_keeper *keeper, uint64_t number);
/* To be called at least every 100 ms.  */
void marjoram_keeper_tick (marjoram_keeper *keeper, int64_t now);
/* How long the write in progress has taken, in ms; 0 if there is none.  */
int64_t marjoram_keeper_write_age_ms (const marjoram_keeper *keeper,
                                      int64_t now);
/* How long an attempt of one keeper, without others, takes by the round trips
   and writes of late, in ms.  */
int64_t marjoram_keeper_attempt_ms (const marjoram_keeper *keeper);
/* How long the writes of a decision may take now, in ms.  */
int64_t marjoram_keeper_decision_ms (const marjoram_keeper *keeper);
/* The latest chosen state that was delivered: one on this disk or, after a
   failed write, the latest one known; null before any.  */
const struct marjoram_state *
marjoram_keeper_durable_state (const marjoram_keeper *keeper);
/* The latest state known to be chosen, on this disk or not; null before
   any.  */
const struct marjoram_state *
marjoram_keeper_chosen_state (const marjoram_keeper *keeper);
/* The id of the store last heard from in SLOT within AGE_MS; null if none
   was.  */
const char *marjoram_keeper_store_in_slot (const marjoram_keeper *keeper,
                                           const char *slot, int64_t age_ms);
/* The latest step of this keeper's store towards membership.  */
enum marjoram_store_step
marjoram_keeper_store_step (const marjoram_keeper *keeper);
/* Whether this keeper's store is a voting member.  */
bool marjoram_keeper_votes (const marjoram_keeper *keeper);
/* Whether this keeper's store is a member, voting or not.  */
bool marjoram_keeper_is_member (const marjoram_keeper *keeper);
/* Whether a majority of the members was heard from within AGE_MS, this keeper
   included if it is one.  Without it nothing can be changed or confirmed.  */
bool marjoram_keeper_hears_majority (const marjoram_keeper *keeper,
                                     int64_t age_ms);
/* Why this keeper can't vote or can't have anything decided, with the remedy,
   for status output; null if there is no trouble.  */
const char *marjoram_keeper_trouble (const marjoram_keeper *keeper);
/* Why this keeper can't vote, with the remedy, for status output; null if it
   can.  */
const char *marjoram_keeper_no_vote_reason (const marjoram_keeper *keeper);

#endif
