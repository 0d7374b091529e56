/* The task of the links between hosts: TCP sessions that carry frames.  A host
   opens a session to each slot that it wants to reach and sends over it; the
   other end only answers over it.  Both ends prove the owner's secret before
   any other frame is taken.  */
#ifndef MARJORAM_PEER_H
#define MARJORAM_PEER_H

#include "counter.h"
#include "frame.h"
#include "settings.h"

#include <event2/event.h>

typedef struct marjoram_peer marjoram_peer;

struct marjoram_peer_ops
{
  /* This host's own session to SLOT.  */
  void (*link_up) (void *context, const char *slot, uint64_t incarnation);
  void (*link_down) (void *context, const char *slot);
  /* A part of a frame has come on it: SLOT is there, though the frame may
     take long yet.  Whole frames are told by FRAME alone.  */
  void (*heard) (void *context, const char *slot);
  /* A session that SLOT opened has ended.  */
  void (*closed) (void *context, const char *slot, uint64_t session);
  /* SESSION is 0 for this host's own.  Takes MESSAGE, of the layout of
     TYPE.  */
  void (*frame) (void *context, const char *slot, uint64_t session,
                 uint64_t incarnation, enum marjoram_frame_type type,
                 void *message);
};

/* Listens on the settings' peer address; null with ERR set if it can't.  */
marjoram_peer *marjoram_peer_create (struct event_base *base,
                                     const struct marjoram_settings *settings,
                                     uint64_t incarnation,
                                     marjoram_counters *counters,
                                     const struct marjoram_peer_ops *ops,
                                     void *context,
                                     struct marjoram_error *err);
void marjoram_peer_destroy (marjoram_peer *peer);
/* Keeps a session to SLOT at ADDRESS open, dialling again when it breaks; or,
   if not WANTED, closes it.  */
void marjoram_peer_connect (marjoram_peer *peer, const char *slot,
                            const char *address, bool wanted);
/* Dropped if there is no session.  */
void marjoram_peer_send (marjoram_peer *peer, const char *slot,
                         enum marjoram_frame_type type, const void *message);
void marjoram_peer_reply (marjoram_peer *peer, const char *slot,
                          uint64_t session, enum marjoram_frame_type type,
                          const void *message);
/* The same for a frame that goes to many, packed once by
   marjoram_frame_pack.  */
void marjoram_peer_send_packed (marjoram_peer *peer, const char *slot,
                                const marjoram_bytes *frame);
void marjoram_peer_reply_packed (marjoram_peer *peer, const char *slot,
                                 uint64_t session,
                                 const marjoram_bytes *frame);
/* Closes this host's session to SLOT and dials anew.  */
void marjoram_peer_hang_up (marjoram_peer *peer, const char *slot);

#endif
