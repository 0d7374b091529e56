/* TCP sessions between hosts that carry frames.  A host opens a session to
   each slot that it needs to reach; the peer only replies on it.  Both ends
   prove knowledge of the owner's secret before any other frame is accepted.
 */
#ifndef MARJORAM_PEER_H
#define MARJORAM_PEER_H

#include "counter.h"
#include "frame.h"
#include "settings.h"

#include <event2/event.h>

typedef struct marjoram_peer marjoram_peer;

struct marjoram_peer_ops
{
  /* The session that this host opened to SLOT is open or has ended.  */
  void (*link_up) (void *context, const char *slot, uint64_t incarnation);
  void (*link_down) (void *context, const char *slot);
  /* Part of a frame was received on that session.  Complete frames are
     reported only by FRAME.  */
  void (*heard) (void *context, const char *slot);
  /* A session that SLOT opened has ended.  */
  void (*closed) (void *context, const char *slot, uint64_t session);
  /* A frame was received; SESSION is 0 if on the session that this host
     opened.  Takes ownership of MESSAGE, which has the layout of TYPE.  */
  void (*frame) (void *context, const char *slot, uint64_t session,
                 uint64_t incarnation, enum marjoram_frame_type type,
                 void *message);
};

/* Listens on the settings' peer address; returns NULL and sets ERR if that
   fails.  */
marjoram_peer *marjoram_peer_create (struct event_base *base,
                                     const struct marjoram_settings *settings,
                                     uint64_t incarnation,
                                     marjoram_counters *counters,
                                     const struct marjoram_peer_ops *ops,
                                     void *context,
                                     struct marjoram_error *err);
void marjoram_peer_destroy (marjoram_peer *peer);
/* If WANTED, keeps a session to SLOT at ADDRESS open, reconnecting when it
   breaks; else closes it.  */
void marjoram_peer_connect (marjoram_peer *peer, const char *slot,
                            const char *address, bool wanted);
/* MESSAGE is dropped if there is no open session.  */
void marjoram_peer_send (marjoram_peer *peer, const char *slot,
                         enum marjoram_frame_type type, const void *message);
void marjoram_peer_reply (marjoram_peer *peer, const char *slot,
                          uint64_t session, enum marjoram_frame_type type,
                          const void *message);
/* The same for a frame packed by marjoram_frame_pack, to send one frame to
   many hosts.  */
void marjoram_peer_send_packed (marjoram_peer *peer, const char *slot,
                                const marjoram_bytes *frame);
void marjoram_peer_reply_packed (marjoram_peer *peer, const char *slot,
                                 uint64_t session,
                                 const marjoram_bytes *frame);
/* Bytes that were passed to this module but not yet written to a socket.  */
size_t marjoram_peer_unsent_bytes (const marjoram_peer *peer);
void marjoram_peer_reconnect (marjoram_peer *peer, const char *slot);

#endif
