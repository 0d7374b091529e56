/* A keeper: one of the few hosts with a disk that agree on the state.  It is
   both acceptor and proposer of a replicated register (compare-and-set by
   ballots on a majority); nobody is in charge.  Pure decisions: messages, the
   time and finished writes go in; messages, writes and results come out.  */
#ifndef MARJORAM_KEEPER_H
#define MARJORAM_KEEPER_H

#include "random.h"
#include "state.h"

typedef struct marjoram_keeper marjoram_keeper;

struct marjoram_keeper_message; /* defined in keeper_message.h */
extern const struct marjoram_layout marjoram_keeper_layout;

/* How an apply ended.  NOT_RUN: nothing was changed and nothing will be.
   UNKNOWN: it may yet take effect; send the same change id again.  */
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
  uint64_t number;  /* of the state that holds the change */
  uint64_t version; /* of the file, as it holds */
  const char *digest;
  const char *message; /* what happened and what to do */
};

struct marjoram_keeper_ops
{
  /* To be packed with marjoram_keeper_layout; may be lost.  */
  void (*send) (void *context, const char *slot,
                const struct marjoram_keeper_message *message);
  /* Write RECORD durably in place of the earlier one, then call
     marjoram_keeper_persisted with TICKET.  Writes finish in order.  */
  void (*persist) (void *context, uint64_t ticket, marjoram_bytes *record);
  /* STATE is known to be chosen; numbers grow from call to call.  */
  void (*chosen) (void *context, const struct marjoram_state *state);
  /* Answers one apply or one change of members, once.  */
  void (*answered) (void *context, uint64_t request,
                    const struct marjoram_apply_answer *answer);
  /* Whether STATE would be a valid configuration.  */
  bool (*valid) (void *context, const struct marjoram_state *state,
                 struct marjoram_error *err);
};

struct marjoram_keeper_options
{
  const char *slot;
  const char *store_id;     /* made once, when the store was created */
  const char *const *first; /* slots of the first keepers */
  size_t first_count;
  uint64_t incarnation;   /* keeps ballots of two lives apart */
  marjoram_bytes *record; /* what the store holds; null if new */
};

/* Null with ERR set if the stored record can't be read.  */
marjoram_keeper *
marjoram_keeper_create (const struct marjoram_keeper_options *options,
                        const struct marjoram_keeper_ops *ops, void *context,
                        marjoram_random *random, struct marjoram_error *err);
void marjoram_keeper_destroy (marjoram_keeper *keeper);

/* Applies one file.  CHANGE_ID is the operator's, the same on a resend.  */
void marjoram_keeper_apply (marjoram_keeper *keeper, int64_t now,
                            uint64_t request, const char *change_id,
                            const struct marjoram_file *file);
/* Replaces keeper OLD (slot) by NEW, or admits the new store of the same slot
   after its disk was lost (OLD and NEW equal).  Answered when the next loss is
   survived: a majority of the new members holds the state on disk.  */
void marjoram_keeper_replace (marjoram_keeper *keeper, int64_t now,
                              uint64_t request, const char *change_id,
                              const char *old, const char *new);
/* Admits a further keeper; answered as a replacement is.  */
void marjoram_keeper_admit (marjoram_keeper *keeper, int64_t now,
                            uint64_t request, const char *change_id,
                            const char *new);
/* Greets the keeper in SLOT, that neither the state nor the settings name.  */
void marjoram_keeper_meet (marjoram_keeper *keeper, int64_t now,
                           const char *slot);
/* Answered DECIDED once a majority has confirmed, after this call, that
   marjoram_keeper_chosen is the newest state; NOT_RUN if none did in time.  */
void marjoram_keeper_read (marjoram_keeper *keeper, int64_t now,
                           uint64_t request);
void marjoram_keeper_receive (marjoram_keeper *keeper, int64_t now,
                              const char *from,
                              const struct marjoram_keeper_message *message);
void marjoram_keeper_persisted (marjoram_keeper *keeper, int64_t now,
                                uint64_t ticket, bool ok);
/* A host told of a configuration with this number: a keeper with an empty disk
   then never takes part in forming a first state.  */
void marjoram_keeper_heard (marjoram_keeper *keeper, uint64_t number);
/* At least every 100 ms.  */
void marjoram_keeper_tick (marjoram_keeper *keeper, int64_t now);
/* The highest state known to be chosen and on this disk; null before any.  */
const struct marjoram_state *
marjoram_keeper_state (const marjoram_keeper *keeper);
/* The highest state known to be chosen, on this disk or not; null before
   any.  */
const struct marjoram_state *
marjoram_keeper_chosen (const marjoram_keeper *keeper);
/* The id of the store that was heard in SLOT in the last AGE_MS; null if none
   was.  */
const char *marjoram_keeper_heard_store (const marjoram_keeper *keeper,
                                         const char *slot, int64_t age_ms);
/* Whether this keeper's store is a member with a vote, for status.  */
bool marjoram_keeper_votes (const marjoram_keeper *keeper);
/* Why it has no vote, and the remedy, for status; null if it has one.  */
const char *marjoram_keeper_trouble (const marjoram_keeper *keeper);

#endif
