/* A host's side of bringing the agreed state to it.  Keepers, or in a zone any
   host, only say which number they hold.  The host asks one of them, one piece
   after the other, and after each rests for as long as the piece took, so that
   a state of any size leaves half of a slow link to requests, and is never on
   its way twice.  Pure decisions.  */
#ifndef MARJORAM_STATE_FETCH_H
#define MARJORAM_STATE_FETCH_H

#include "frame.h"
#include "gateway_message.h"
#include "state_packed.h"

typedef struct marjoram_state_fetch marjoram_state_fetch;

/* What a fetch cost, for the log.  */
struct marjoram_fetch_facts
{
  const char *keeper;
  uint64_t base; /* 0: whole */
  size_t bytes;  /* that came */
  int pieces;
  int64_t ms;
};

struct marjoram_state_fetch_options
{
  /* A piece that takes longer is asked for anew, of the next one that offers
     the state.  */
  int64_t stalled_ms;
  /* Up to this the wait is doubled each time, and grows with what the pieces
     take, so that on a slow link pieces aren't asked for again while they are
     on their way.  */
  int64_t stalled_max_ms;
};

struct marjoram_state_fetch_ops
{
  void (*ask) (void *context, const char *keeper,
               const struct marjoram_state_ask *ask);
  /* Whether STATE may be taken; else sets ERR, and it counts as one that can't
     be read.  Null: any may.  */
  bool (*valid) (void *context, const struct marjoram_state *state,
                 struct marjoram_error *err);
  /* STATE has come whole; its number is higher than any before.  */
  void (*fetched) (void *context, const struct marjoram_state *state,
                   const struct marjoram_fetch_facts *facts);
  /* What came can't be taken; it is asked for again, whole.  */
  void (*failed) (void *context, const struct marjoram_fetch_facts *facts,
                  const struct marjoram_error *err);
};

marjoram_state_fetch *marjoram_state_fetch_create (
    const struct marjoram_state_fetch_options *options,
    const struct marjoram_state_fetch_ops *ops, void *context);
void marjoram_state_fetch_destroy (marjoram_state_fetch *fetch);
/* KEEPER, NEAR if it is of this host's region, holds the state NUMBER.  */
void marjoram_state_fetch_heard (marjoram_state_fetch *fetch, int64_t now,
                                 const char *keeper, bool near,
                                 uint64_t number);
void marjoram_state_fetch_piece (marjoram_state_fetch *fetch, int64_t now,
                                 const char *keeper,
                                 const struct marjoram_state_piece *piece);
/* This host has STATE from elsewhere; a lower or equal number changes
   nothing.  */
void marjoram_state_fetch_hold (marjoram_state_fetch *fetch, int64_t now,
                                const struct marjoram_state *state);
/* The link to KEEPER broke.  The pieces that have come are kept for the next
   one that offers the state.  */
void marjoram_state_fetch_lost (marjoram_state_fetch *fetch,
                                const char *keeper);
/* At least every 50 ms.  */
void marjoram_state_fetch_tick (marjoram_state_fetch *fetch, int64_t now);

#endif
