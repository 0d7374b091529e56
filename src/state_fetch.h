/* The receiving side of the state transfer.  Keepers, or the other hosts of a
   zone, announce the number of the state that they have.  The host requests it
   from one of them, one piece at a time.  It pauses after each piece for as
   long as that piece took, so that a transfer uses at most half of a slow
   link.  Does no I/O: operations are callbacks, the time is a parameter.  */
#ifndef MARJORAM_STATE_FETCH_H
#define MARJORAM_STATE_FETCH_H

#include "frame.h"
#include "gateway_message.h"
#include "state_packed.h"

typedef struct marjoram_state_fetch marjoram_state_fetch;

struct marjoram_fetch_stats
{
  const char *keeper;
  uint64_t base; /* number of the base state; 0: a full transfer */
  size_t bytes;  /* compressed */
  int pieces;
  int64_t ms;
};

struct marjoram_state_fetch_options
{
  /* Initial timeout for a piece, after which it is requested from the next
     peer that announces the state.  */
  int64_t piece_timeout_ms;
  /* Upper limit of the timeout, which adapts to the time that pieces take and
     doubles when none arrives.  */
  int64_t piece_timeout_max_ms;
};

struct marjoram_state_fetch_ops
{
  void (*ask) (void *context, const char *keeper,
               const struct marjoram_state_ask *ask);
  /* Returns whether STATE is acceptable; if not, sets ERR, and the transfer
     fails.  May be null, which accepts any state.  */
  bool (*valid) (void *context, const struct marjoram_state *state,
                 struct marjoram_error *err);
  /* STATE is complete; its number is higher than that of any before.  */
  void (*fetched) (void *context, const struct marjoram_state *state,
                   const struct marjoram_fetch_stats *stats);
  /* The received state is unreadable or was rejected; the next request is for
     a full transfer.  */
  void (*failed) (void *context, const struct marjoram_fetch_stats *stats,
                  const struct marjoram_error *err);
};

marjoram_state_fetch *marjoram_state_fetch_create (
    const struct marjoram_state_fetch_options *options,
    const struct marjoram_state_fetch_ops *ops, void *context);
void marjoram_state_fetch_destroy (marjoram_state_fetch *fetch);
/* KEEPER has the state NUMBER.  SAME_REGION: it is in the region of
   this host.  */
void marjoram_state_fetch_announced (marjoram_state_fetch *fetch, int64_t now,
                                     const char *keeper, bool same_region,
                                     uint64_t number);
void
marjoram_state_fetch_receive_piece (marjoram_state_fetch *fetch, int64_t now,
                                    const char *keeper,
                                    const struct marjoram_state_piece *piece);
/* This host obtained STATE by other means.  Ignored unless its number is
   higher than that of the current state.  */
void marjoram_state_fetch_set_current (marjoram_state_fetch *fetch,
                                       int64_t now,
                                       const struct marjoram_state *state);
/* The connection to KEEPER was lost.  Received pieces are kept, and the
   transfer resumes with the next peer that announces the state.  */
void marjoram_state_fetch_disconnected (marjoram_state_fetch *fetch,
                                        const char *keeper);
/* To be called at least every 50 ms.  */
void marjoram_state_fetch_tick (marjoram_state_fetch *fetch, int64_t now);

#endif
