/* How the agreed state reaches every host: hosts compare numbers with each
   heartbeat, and one that has the lower number asks one of the others for what
   it lacks, piece by piece (see state_fetch.h).  A number never goes down.
   Pure decisions.  */
#ifndef MARJORAM_SPREAD_H
#define MARJORAM_SPREAD_H

#include "gateway_message.h"
#include "state.h"

typedef struct marjoram_spread marjoram_spread;

struct marjoram_spread_ops
{
  void (*send_ask) (void *context, const char *slot,
                    const struct marjoram_state_ask *ask);
  void (*send_piece) (void *context, const char *slot,
                      const struct marjoram_state_piece *piece);
  /* STATE is taken; its number is higher than that of any before.  */
  void (*adopted) (void *context, const struct marjoram_state *state);
};

struct marjoram_spread_options
{
  const char *const *
      keepers; /* slots, as the settings name them: until a state names them */
  size_t keeper_count;
};

marjoram_spread *
marjoram_spread_create (const struct marjoram_spread_options *options,
                        const struct marjoram_spread_ops *ops, void *context,
                        int64_t now);
void marjoram_spread_destroy (marjoram_spread *spread);

/* The host in SLOT said that it has NUMBER in force, 0 for none.  */
void marjoram_spread_heard (marjoram_spread *spread, int64_t now,
                            const char *slot, uint64_t number);
void marjoram_spread_receive_ask (marjoram_spread *spread, int64_t now,
                                  const char *slot,
                                  const struct marjoram_state_ask *ask);
void marjoram_spread_receive_piece (marjoram_spread *spread, int64_t now,
                                    const char *slot,
                                    const struct marjoram_state_piece *piece);
/* A session with the host in SLOT broke, and what was under way over it is
   lost.  */
void marjoram_spread_lost (marjoram_spread *spread, int64_t now,
                           const char *slot);
/* The keeper on this host knows STATE to be chosen.  */
void marjoram_spread_local (marjoram_spread *spread, int64_t now,
                            const struct marjoram_state *state);
/* At least every 50 ms.  */
void marjoram_spread_tick (marjoram_spread *spread, int64_t now);

/* Whether this host may serve by what it has: it has heard a majority of the
   keepers, or it has waited for them long enough to count itself as cut off;
   and it lacks nothing that it has heard of, unless nobody gave that for a
   longer while.  Stays true once it is.  */
bool marjoram_spread_ready (const marjoram_spread *spread);
/* Null before any.  */
const struct marjoram_state *
marjoram_spread_state (const marjoram_spread *spread);

#endif
