/* Frames between hosts: four bytes of length, big-endian, then one type byte,
   then the message packed by that type's layout.  */
#ifndef MARJORAM_FRAME_H
#define MARJORAM_FRAME_H

#include "wire.h"

enum marjoram_frame_type
{
  MARJORAM_FRAME_HELLO,
  MARJORAM_FRAME_PROOF,
  MARJORAM_FRAME_HEARTBEAT,
  MARJORAM_FRAME_UPSTREAM, /* struct marjoram_announcement */
  MARJORAM_FRAME_FORWARD,
  MARJORAM_FRAME_HEAD,
  MARJORAM_FRAME_DATA,
  MARJORAM_FRAME_END,
  MARJORAM_FRAME_CANCEL,
  MARJORAM_FRAME_REVOKE,
  MARJORAM_FRAME_REVOKED,
  MARJORAM_FRAME_CLAIM,
  MARJORAM_FRAME_KEEPER,
  MARJORAM_FRAME_ORDER,
  MARJORAM_FRAME_SUSPECT,
  MARJORAM_FRAME_OFFERS,
  /* Not sent, and passed over: types are numbers on the wire, and hosts of
     different releases may meet.  */
  MARJORAM_FRAME_RESERVED_ASK,
  MARJORAM_FRAME_RESERVED_GIVE,
  MARJORAM_FRAME_APPLY,
  MARJORAM_FRAME_APPLIED,
  MARJORAM_FRAME_RENEWALS,
  MARJORAM_FRAME_HOST_BEAT,   /* struct marjoram_host_beat */
  MARJORAM_FRAME_HOST_LIST,   /* struct marjoram_host_beats */
  MARJORAM_FRAME_NEWS,        /* struct marjoram_news_batch */
  MARJORAM_FRAME_NEWS_SEEN,   /* struct marjoram_news_seen */
  MARJORAM_FRAME_LOADS,       /* struct marjoram_load_report */
  MARJORAM_FRAME_CRASHES,     /* struct marjoram_crash_report */
  MARJORAM_FRAME_STATE_NEWS,  /* struct marjoram_state_news */
  MARJORAM_FRAME_STATE_ASK,   /* struct marjoram_state_ask */
  MARJORAM_FRAME_STATE_PIECE, /* struct marjoram_state_piece */
  MARJORAM_FRAME_REPEAT_SUMS, /* struct marjoram_repeat_sums */
  /* Struct marjoram_load_report: a host's changes to a collector, and a
     collector's sums to all hosts.  */
  MARJORAM_FRAME_LOAD_CHANGES,
  MARJORAM_FRAME_LOAD_SUMS,
  MARJORAM_FRAME_COUNT
};

enum
{
  MARJORAM_FRAME_HEADER = 5,
  MARJORAM_FRAME_MAX = 24 * 1024 * 1024,
  MARJORAM_BODY_MAX = 16 * 1024 * 1024,
  MARJORAM_RENEWALS_MAX = 1024,
  MARJORAM_HEADERS_MAX = 64,
  MARJORAM_HEADER_VALUE_MAX = 8192, /* bytes */
  /* Of the operators' files together, as a state is taken from one frame.  */
  MARJORAM_STATE_MAX = 16 * 1024 * 1024
};

struct marjoram_hello
{
  uint64_t release;
  char *cluster;
  char *slot;
  char *zone;
  uint64_t incarnation;
  marjoram_bytes *nonce;
};

/* Proves the owner's secret: a keyed hash over both hellos.  */
struct marjoram_proof
{
  marjoram_bytes *code;
};

struct marjoram_heartbeat
{
  uint64_t sequence;
  uint64_t incarnation;
  uint64_t config_number;
  bool draining;
  uint64_t echo;    /* the other side's last sequence, for round trips */
  uint64_t held_ms; /* since it came */
};

struct marjoram_header
{
  char *name;
  char *value;
};

/* Of an upstream that the receiver knows: all that changes from announcement
   to announcement.  */
struct marjoram_renewal
{
  char *name;
  uint64_t incarnation;
  uint64_t sequence;
  uint64_t lease_ms; /* what is left of it */
  uint64_t running;
  uint64_t waiting;
};

struct marjoram_renewals
{
  struct marjoram_array items; /* of struct marjoram_renewal */
};

/* A request that crosses to another zone, or to another host of this one; the
   receiver runs it or refuses it, and may not send it on.  */
struct marjoram_forward
{
  uint64_t request; /* number on this link's session */
  char *id;         /* for log lines */
  char *caller;
  char *work;
  char *method;
  char *path;
  struct marjoram_array headers; /* of struct marjoram_header */
  marjoram_bytes *body;
  char *digest;
  char *key;         /* null for idempotent work */
  int64_t budget_ms; /* until the deadline */
  uint64_t class;    /* enum marjoram_class */
  uint64_t prompt_tokens;
  uint64_t answer_tokens;
  uint64_t prefix_hash;
  uint64_t config_number;
  uint64_t suspicion; /* enum marjoram_suspicion */
  bool stream;
  bool claim_here;        /* the receiver's zone guards the key */
  bool no_local_upstream; /* the sender's zone has no upstream for it */
  /* Left until a first event is late; 0 if this is not known.  */
  int64_t useful_ms;
};

struct marjoram_head
{
  uint64_t request;
  uint64_t status;
  struct marjoram_array headers;
  char *upstream;
};

struct marjoram_data
{
  uint64_t request;
  uint64_t offset; /* of the first byte, counted from the body's start */
  marjoram_bytes *bytes;
};

/* The end of an answer, or of a request that has none.  */
struct marjoram_end
{
  uint64_t request;
  uint64_t outcome; /* enum marjoram_outcome */
  uint64_t reason;  /* enum marjoram_reason */
  uint64_t length;  /* of the whole body, if done */
  int64_t retry_ms;
  uint64_t deaths; /* upstreams that died while running it */
};

/* CANCEL: the first host no longer wants it.  */
struct marjoram_cancel
{
  uint64_t request;
};

/* Sent over a new session after the one that carried a FORWARD broke: bars the
   request if it never started, else asks for the rest of its answer.  */
struct marjoram_revoke
{
  uint64_t request;
  uint64_t offset; /* body bytes that have come */
};

struct marjoram_revoked
{
  uint64_t request;
  bool never_started; /* and barred from now on */
  bool known;         /* started, and the rest of its answer follows */
};

/* Of a reserved type; its fields are not read.  */
struct marjoram_reserved
{
  uint64_t none;
};

struct marjoram_apply
{
  uint64_t request;
  char *change_id;
  marjoram_bytes *file; /* marjoram_file_layout; null to replace a keeper */
  char *old_keeper;
  char *new_keeper;
};

struct marjoram_applied
{
  uint64_t request;
  uint64_t outcome; /* enum marjoram_apply_outcome */
  uint64_t result;  /* enum marjoram_change_result */
  uint64_t number;
  uint64_t version;
  char *digest;
  char *message;
};

/* The layout of a type's message.  */
const struct marjoram_layout *
marjoram_frame_layout (enum marjoram_frame_type type);
/* A whole frame, header included.  */
marjoram_bytes *marjoram_frame_pack (enum marjoram_frame_type type,
                                     const void *message);

#endif
