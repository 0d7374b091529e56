/* Distributes the replicated state to all hosts by gossip.  Heartbeats carry
   the number of the sender's state, and a host with a lower number fetches the
   state from its peer (see state_fetch.h).  The number of a host never
   decreases.  Does no I/O.  */
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
  /* STATE is in effect; its number is higher than that of any before.  */
  void (*adopted) (void *context, const struct marjoram_state *state);
};

struct marjoram_spread_options
{
  /* Slots from the settings, used until a state lists the keepers.  */
  const char *const *keepers;
  size_t keeper_count;
};

marjoram_spread *
marjoram_spread_create (const struct marjoram_spread_options *options,
                        const struct marjoram_spread_ops *ops, void *context,
                        int64_t now);
void marjoram_spread_destroy (marjoram_spread *spread);

/* The host in SLOT announced the number of its state, 0 for none.  */
void marjoram_spread_announced (marjoram_spread *spread, int64_t now,
                                const char *slot, uint64_t number);
void marjoram_spread_receive_ask (marjoram_spread *spread, int64_t now,
                                  const char *slot,
                                  const struct marjoram_state_ask *ask);
void marjoram_spread_receive_piece (marjoram_spread *spread, int64_t now,
                                    const char *slot,
                                    const struct marjoram_state_piece *piece);
/* The session with the host in SLOT ended, and messages in flight are lost. */
void marjoram_spread_disconnected (marjoram_spread *spread, int64_t now,
                                   const char *slot);
/* The keeper on this host learned that STATE was chosen.  */
void marjoram_spread_set_local (marjoram_spread *spread, int64_t now,
                                const struct marjoram_state *state);
/* To be called at least every 50 ms.  */
void marjoram_spread_tick (marjoram_spread *spread, int64_t now);

/* Returns whether this host may serve requests with its state.  It needs
   announcements from a majority of the keepers, and the newest state that was
   announced; a timeout applies to each condition.  Stays true once it is.  */
bool marjoram_spread_ready (const marjoram_spread *spread);
/* Returns null if there is none yet.  */
const struct marjoram_state *
marjoram_spread_state (const marjoram_spread *spread);

#endif
