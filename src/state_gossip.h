/* Distributes the replicated state to all hosts by gossip.  Heartbeats carry
   the number of the sender's state, and a host with a lower number fetches the
   state from its peer (see state_fetch.h).  The number of a host never
   decreases.  Does no I/O.  */
#ifndef MARJORAM_STATE_GOSSIP_H
#define MARJORAM_STATE_GOSSIP_H

#include "gateway_message.h"
#include "state.h"

typedef struct marjoram_state_gossip marjoram_state_gossip;

struct marjoram_state_gossip_ops
{
  void (*send_ask) (void *context, const char *slot,
                    const struct marjoram_state_ask *ask);
  void (*send_piece) (void *context, const char *slot,
                      const struct marjoram_state_piece *piece);
  /* STATE is in effect; its number is higher than that of any before.  */
  void (*adopted) (void *context, const struct marjoram_state *state);
};

struct marjoram_state_gossip_options
{
  /* Slots from the settings, used until a state lists the keepers.  */
  const char *const *keepers;
  size_t keeper_count;
};

marjoram_state_gossip *marjoram_state_gossip_create (
    const struct marjoram_state_gossip_options *options,
    const struct marjoram_state_gossip_ops *ops, void *context, int64_t now);
void marjoram_state_gossip_destroy (marjoram_state_gossip *gossip);

/* The host in SLOT announced the number of its state, 0 for none.  */
void marjoram_state_gossip_announced (marjoram_state_gossip *gossip,
                                      int64_t now, const char *slot,
                                      uint64_t number);
void marjoram_state_gossip_receive_ask (marjoram_state_gossip *gossip,
                                        int64_t now, const char *slot,
                                        const struct marjoram_state_ask *ask);
void
marjoram_state_gossip_receive_piece (marjoram_state_gossip *gossip,
                                     int64_t now, const char *slot,
                                     const struct marjoram_state_piece *piece);
/* The session with the host in SLOT ended, and messages in flight are lost. */
void marjoram_state_gossip_disconnected (marjoram_state_gossip *gossip,
                                         int64_t now, const char *slot);
/* The keeper on this host learned that STATE was chosen.  */
void marjoram_state_gossip_set_local (marjoram_state_gossip *gossip,
                                      int64_t now,
                                      const struct marjoram_state *state);
/* To be called at least every 50 ms.  */
void marjoram_state_gossip_tick (marjoram_state_gossip *gossip, int64_t now);

/* Returns whether this host may serve requests with its state.  It needs
   announcements from a majority of the keepers, and the newest state that was
   announced; a timeout applies to each condition.  Stays true once it is.  */
bool marjoram_state_gossip_ready (const marjoram_state_gossip *gossip);
/* Returns null if there is none yet.  */
const struct marjoram_state *
marjoram_state_gossip_state (const marjoram_state_gossip *gossip);

#endif
