/* Frames between hosts: a 4-byte big-endian length, a type byte, and the
   message packed with the layout of that type.  */
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
  /* Used by earlier releases; ignored on receipt.  Type numbers must not be
     reused.  */
  MARJORAM_FRAME_RESERVED_16,
  MARJORAM_FRAME_RESERVED_17,
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
  MARJORAM_FRAME_RESERVED_30,
  /* struct marjoram_load_report: changes from a host to a collector, and
     totals from a collector to all hosts.  */
  MARJORAM_FRAME_LOAD_CHANGES,
  MARJORAM_FRAME_LOAD_SUMS,
  MARJORAM_FRAME_LEASE_ASK,     /* struct marjoram_lease_ask */
  MARJORAM_FRAME_LEASE_GRANT,   /* struct marjoram_lease_grant */
  MARJORAM_FRAME_QUOTA_ASK,     /* struct marjoram_quota_ask */
  MARJORAM_FRAME_QUOTA_GRANT,   /* struct marjoram_quota_grant */
  MARJORAM_FRAME_NEWS_ASK,      /* struct marjoram_news_ask */
  MARJORAM_FRAME_LIVENESS,      /* struct marjoram_liveness */
  MARJORAM_FRAME_LOST_HOSTS,    /* struct marjoram_lost_hosts */
  MARJORAM_FRAME_STREAM_BEGUN,  /* struct marjoram_stream_begun */
  MARJORAM_FRAME_STREAM_ASK,    /* struct marjoram_stream_ask */
  MARJORAM_FRAME_STREAM_ANSWER, /* struct marjoram_stream_answer */
  /* struct marjoram_room_report: use of a region's capacity by customer, from
     a host to a collector, and sums from the collector to all hosts.  */
  MARJORAM_FRAME_ROOM_REPORT,
  MARJORAM_FRAME_ROOM_SUMS,
  MARJORAM_FRAME_DARK_UPSTREAMS, /* struct marjoram_dark_report */
  MARJORAM_FRAME_COUNT
};

enum
{
  MARJORAM_FRAME_HEADER = 5,
  MARJORAM_FRAME_MAX = 24 * 1024 * 1024,
  MARJORAM_BODY_MAX = 16 * 1024 * 1024,
  MARJORAM_RENEWALS_MAX = 1024,
  /* Header section of a request or response, in bytes.  */
  MARJORAM_HEAD_MAX = 64 * 1024,
  /* More fields than a header section of that size has, at 5 bytes for the
     shortest one.  */
  MARJORAM_HEAD_FIELDS_MAX = MARJORAM_HEAD_MAX / 4,
  /* Requests to zone hosts, and responses to these.  */
  MARJORAM_HEADERS_MAX = 64,
  MARJORAM_HEADER_VALUE_MAX = 8192, /* bytes */
  /* Total size of the operators' files, as a state is sent in one frame.  */
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

/* Proves possession of the shared secret: a keyed hash of both hellos.  */
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
  uint64_t echo;    /* the peer's last sequence, to measure the round trip */
  uint64_t held_ms; /* time since ECHO was received */
};

struct marjoram_header
{
  char *name;
  char *value;
};

/* Renews the announcement of an upstream that the receiver already knows.
   Contains only the fields that change.  */
struct marjoram_renewal
{
  char *name;
  uint64_t incarnation;
  uint64_t sequence;
  uint64_t lease_ms; /* remaining time */
  uint64_t running;
  uint64_t waiting;
};

struct marjoram_renewals
{
  struct marjoram_array items; /* of struct marjoram_renewal */
};

/* A request forwarded to another zone, or to another host of the same zone.
   The receiver processes or refuses it, but must not forward it again.  */
struct marjoram_forward
{
  uint64_t request; /* unique within the link's session */
  char *id;         /* for logging */
  char *caller;
  char *work;
  char *method;
  char *path;
  struct marjoram_array headers; /* of struct marjoram_header */
  marjoram_bytes *body;
  char *digest;
  char *key;         /* idempotency key; null if idempotent */
  int64_t budget_ms; /* until the deadline */
  uint64_t class;    /* enum marjoram_class */
  uint64_t prompt_tokens;
  uint64_t answer_tokens;
  uint64_t prefix_hash;
  uint64_t config_number;
  uint64_t suspicion; /* enum marjoram_suspicion */
  bool stream;
  bool claim_here;        /* the receiver's zone owns the key */
  bool no_local_upstream; /* the sender's zone has no upstream for the request
                           */
  /* Remaining time until the first event is late; 0 if unknown.  */
  int64_t time_left_ms;
  char *build;   /* at whose upstreams the stream goes on; null: any */
  char *service; /* the same; null: that of its route */
};

struct marjoram_head
{
  uint64_t request;
  uint64_t status;
  struct marjoram_array headers;
  char *upstream;
  char *build; /* of the upstream; null if not known */
};

struct marjoram_data
{
  uint64_t request;
  uint64_t offset; /* of the first byte within the body */
  marjoram_bytes *bytes;
};

/* Ends a response, or a request that has no response.  */
struct marjoram_end
{
  uint64_t request;
  uint64_t outcome; /* enum marjoram_outcome */
  uint64_t reason;  /* enum marjoram_reason */
  uint64_t length;  /* of the complete body, if the request succeeded */
  int64_t retry_ms;
  uint64_t crashes; /* upstreams that crashed while processing the request */
  /* No upstream received the request.  Entry hosts of gateway roles only.  */
  bool unreached;
};

/* Cancels a forwarded request.  */
struct marjoram_cancel
{
  uint64_t request;
};

/* Sent after reconnecting when a session with pending FORWARD requests was
   lost.  Revokes the request if it was not started; otherwise requests the
   rest of its response.  */
struct marjoram_revoke
{
  uint64_t request;
  uint64_t offset; /* body bytes received so far */
};

struct marjoram_revoked
{
  uint64_t request;
  bool never_started; /* and will not be started */
  bool known;         /* started; the rest of its response follows */
};

/* Message of a reserved type; its content is ignored.  */
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

const struct marjoram_layout *
marjoram_frame_layout (enum marjoram_frame_type type);
/* The type of a packed frame.  */
enum marjoram_frame_type marjoram_frame_type_of (const marjoram_bytes *frame);
/* Returns a complete frame, header included; null if MESSAGE exceeds a limit
   of its layout or of a frame.  */
marjoram_bytes *marjoram_frame_pack (enum marjoram_frame_type type,
                                     const void *message);

#endif
