/* An entry host's side of bringing the agreed state to it.  Keepers only say
   which number they hold.  The host asks one of them, one piece after the
   other, and after each rests for as long as the piece took, so that a state
   of any size leaves half of a slow link to requests, and is never on its way
   twice.  Pure decisions.  */
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

struct marjoram_state_fetch_ops
{
  void (*ask) (void *context, const char *keeper,
               const struct marjoram_state_ask *ask);
  /* STATE has come whole; its number is higher than any before.  */
  void (*fetched) (void *context, const struct marjoram_state *state,
                   const struct marjoram_fetch_facts *facts);
  /* What came can't be read; it is asked for again, whole.  */
  void (*failed) (void *context, const struct marjoram_fetch_facts *facts,
                  const struct marjoram_error *err);
};

marjoram_state_fetch *
marjoram_state_fetch_create (const struct marjoram_state_fetch_ops *ops,
                             void *context);
void marjoram_state_fetch_destroy (marjoram_state_fetch *fetch);
/* KEEPER, NEAR if it is of this host's region, holds the state NUMBER.  */
void marjoram_state_fetch_heard (marjoram_state_fetch *fetch, int64_t now,
                                 const char *keeper, bool near,
                                 uint64_t number);
void marjoram_state_fetch_piece (marjoram_state_fetch *fetch, int64_t now,
                                 const char *keeper,
                                 const struct marjoram_state_piece *piece);
/* The link to KEEPER broke.  */
void marjoram_state_fetch_lost (marjoram_state_fetch *fetch,
                                const char *keeper);
/* At least every 50 ms.  */
void marjoram_state_fetch_tick (marjoram_state_fetch *fetch, int64_t now);

#endif
