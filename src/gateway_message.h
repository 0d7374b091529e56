/* Messages between hosts in the roles entry and keeper.  */
#ifndef MARJORAM_GATEWAY_MESSAGE_H
#define MARJORAM_GATEWAY_MESSAGE_H

#include "build_set.h"
#include "wire.h"

enum
{
  MARJORAM_HOST_BEATS_MAX = 1024,
  MARJORAM_HOST_OFFERS_MAX = 64,
  MARJORAM_NEWS_MAX = 4096,
  /* Items that a sender puts into one message.  Bounds the time for which
     other messages on the link wait behind it.  */
  MARJORAM_NEWS_PAGE = 512,
  MARJORAM_SILENT_MAX = 4096,
  MARJORAM_LOADS_MAX = 4096,
  MARJORAM_PLACED_MAX = 4096,
  MARJORAM_ROOM_ITEMS_MAX = 4096,
  MARJORAM_DARK_MAX = 1024,
  MARJORAM_CRASHES_MAX = 4096,
  /* Bytes of an upstream id with its start time, including the NUL.  */
  MARJORAM_INSTANCE_MAX = 128,
  /* Bytes of the replicated state in one message.  Bounds the time for which
     other messages on the link wait behind it.  */
  MARJORAM_STATE_PIECE_MAX = 16 * 1024
};

/* Capacity that a host's region offers to requests of other regions.  */
struct marjoram_host_offer
{
  char *service;
  uint64_t upstreams; /* warm upstreams */
  uint64_t wait_ms;   /* at the least loaded, excluding the request's own
                         prompt */
  /* Mean time to process queued prompts, averaged over all warm upstreams and
     over time.  */
  uint64_t backlog_ms;
  marjoram_build_set builds; /* of the warm upstreams */
};

/* From which keepers a host takes lists of hosts and changes of upstreams.  A
   keeper notifies the hosts that follow it.  */
enum marjoram_follow
{
  MARJORAM_FOLLOW_ALL,     /* all keepers, the receiver among them */
  MARJORAM_FOLLOW_ONLY,    /* the receiver alone */
  MARJORAM_FOLLOW_ANOTHER, /* another keeper alone */
  MARJORAM_FOLLOW_WATCHED  /* another keeper alone; the receiver watches the
                              host for the others as well */
};

/* A host's heartbeat, sent by itself or relayed by other hosts.  */
struct marjoram_host_beat
{
  char *name; /* IP address */
  char *zone;
  char *region;
  char *entry; /* IP:port for callers; "" if the host has no entry role */
  bool keeper;
  bool ready; /* accepts callers' requests */
  bool leaving;
  uint64_t incarnation; /* increases with each start */
  uint64_t sequence;
  uint64_t config_number;       /* of the state in force */
  uint64_t age_ms;              /* since the sender received it; 0 if its
                                   own */
  struct marjoram_array offers; /* struct marjoram_host_offer */
  uint64_t follow;              /* enum marjoram_follow; 0 if relayed */
  uint64_t interval_ms;         /* between heartbeats to the receiver; 0 if
                                   relayed or not stated */
  /* It reaches no warm upstream.  Stated to hosts of its own region, too,
     which are not told its offers.  */
  bool offers_nothing;
};

struct marjoram_host_beats
{
  struct marjoram_array items; /* struct marjoram_host_beat */
};

/* A host that a keeper has found dead.  */
struct marjoram_lost_host
{
  char *name;
  uint64_t incarnation;
};

struct marjoram_lost_hosts
{
  struct marjoram_array items; /* struct marjoram_lost_host */
};

/* State of one upstream as received by a keeper.  Times are relative, since
   the clocks of two hosts may differ.  */
struct marjoram_news_item
{
  char *id;
  char *service;
  char *address;
  char *zone;
  uint64_t state; /* enum marjoram_upstream_state */
  int64_t started_at;
  int64_t sequence;
  int64_t cold_ms; /* remaining when sent */
  int64_t ends_ms; /* remaining when sent; -1: no known end */
  int64_t age_ms;  /* since a keeper received it */
  int64_t slots;
  char *build;
};

struct marjoram_news_batch
{
  uint64_t ticket;             /* acknowledged by NEWS_SEEN; 0: none */
  struct marjoram_array items; /* struct marjoram_news_item */
  int64_t asked_at;            /* of the NEWS_ASK that it answers; else 0 */
  bool is_last;                /* of the batches of an answer */
  /* After all upstreams that the sender knows: for how long it knows all that
     there were; see marjoram_registry_known_ms.  */
  bool has_known;
  int64_t known_ms;
};

/* Asks a keeper for all upstreams of the sender's region.  */
struct marjoram_news_ask
{
  int64_t asked_at; /* the sender's clock in ms; echoed */
};

/* An upstream that has just become silent.  */
struct marjoram_silent_item
{
  char *id;
  int64_t age_ms; /* of its last heartbeat */
};

/* Renews all upstreams of the receiver's region that are not silent.  */
struct marjoram_liveness
{
  int64_t within_ms;            /* all were heard within this time */
  uint64_t count;               /* of the upstreams that are renewed */
  uint64_t digest;              /* of these upstreams and their state */
  struct marjoram_array silent; /* struct marjoram_silent_item; those since the
                                   last summary */
};

struct marjoram_news_seen
{
  uint64_t ticket;
};

/* Load that one host has placed at one upstream.  */
struct marjoram_load_item
{
  char *upstream;
  uint64_t running;
  uint64_t prefill_tokens; /* of prompts not yet processed */
  uint64_t urgent_tokens;  /* those of the most urgent priority */
  uint64_t held_tokens;    /* of running requests, in engine memory */
  uint64_t answer_tokens;  /* upper bound of what is still to be generated */
  bool lost;               /* connections broke; may have restarted */
  bool leaving;            /* its answers say that it leaves */
  /* What is known of the upstream's rate limit (upstream_rate.h).  */
  uint64_t rate_number;
  int64_t rate_limit; /* requests per 1,000 s; negative: none */
  uint64_t retry_ms;  /* left of a Retry-After to the reporting host */
  int64_t started_at; /* of the instance of LEAVING and RETRY_MS, if set */
};

/* A prompt prefix block that was just sent to an upstream.  */
struct marjoram_placed_part
{
  uint64_t part;
  uint64_t tokens;
  uint64_t upstream; /* index into the report's items */
};

struct marjoram_load_report
{
  struct marjoram_array items;  /* struct marjoram_load_item */
  struct marjoram_array placed; /* struct marjoram_placed_part */
  bool whole; /* complete: upstreams not listed have no load; always true in
                 frame LOADS */
};

/* A request that was running at an upstream when that crashed, or that was
   answered since.  */
struct marjoram_crash_item
{
  char *digest;
  char *instance; /* upstream id and start time; "" if answered */
};

enum marjoram_part_item_kind
{
  MARJORAM_PART_CRASHED,  /* was present as an upstream crashed */
  MARJORAM_PART_ANSWERED, /* an answer to a request with it has begun */
  MARJORAM_PART_ALIVE,    /* no part: INSTANCE has not crashed */
  MARJORAM_PART_TRIED     /* a request with it was let through as a trial */
};

/* What is known of a part of prompts; see crash_part.h.  */
struct marjoram_part_item
{
  uint64_t kind; /* enum marjoram_part_item_kind */
  uint64_t id;
  char *service;
  uint64_t instance;
  uint64_t requests; /* more that were present at crashes */
  bool convicted;
  int64_t sent_ago_ms; /* the request that was there */
  int64_t ago_ms;      /* the crash or the answer */
};

struct marjoram_crash_report
{
  struct marjoram_array items; /* struct marjoram_crash_item */
  struct marjoram_array parts; /* struct marjoram_part_item */
};

/* Sent by a keeper to a host that holds an older state.  */
struct marjoram_state_news
{
  uint64_t number; /* of the newest state at the keeper */
};

/* Requests the next piece of a state.  */
struct marjoram_state_ask
{
  uint64_t number;
  uint64_t base;        /* number of the state the host holds; 0: none */
  uint64_t base_digest; /* digest of that state's bytes */
  uint64_t offset;
};

/* One piece of a compressed state.  */
struct marjoram_state_piece
{
  uint64_t number;
  uint64_t base; /* state that the delta is based on; 0: complete */
  uint64_t size; /* total of all pieces */
  uint64_t offset;
  marjoram_bytes *bytes;
};

/* Asks a keeper whether the host's configuration is the newest.  */
struct marjoram_lease_ask
{
  int64_t asked_at; /* the host's clock in ms; echoed */
};

struct marjoram_lease_grant
{
  int64_t asked_at;
  uint64_t number; /* no state after it had been chosen at ASKED_AT */
};

/* Asks a keeper for units of a customer's quota.  */
struct marjoram_quota_ask
{
  char *customer;
  int64_t asked_at;   /* the sender's clock in ms; echoed */
  int64_t units;      /* wanted */
  int64_t given_back; /* units that were granted earlier and not spent */
  bool from_keeper;   /* for its share, not for a request */
};

struct marjoram_quota_grant
{
  char *customer;
  int64_t asked_at;
  int64_t asked_units;
  int64_t units;
  int64_t wait_ms; /* until the rest is available at this keeper; 0 if nothing
                      is missing */
};

/* BUILD sent the first event of the stream of a caller's attempt.  */
struct marjoram_stream_begun
{
  char *id; /* of the attempt */
  char *build;
  int64_t keep_ms;
  char *service; /* null if it is not known */
};

/* Asks a keeper which build began a stream or, with a service, which one build
   that service has had.  */
struct marjoram_stream_ask
{
  char *id;      /* of the attempt that began it; with a service, of the ask */
  char *service; /* null: not asked for */
  int64_t for_ms; /* up to now, for which the service had one build only */
  uint64_t call;  /* that the answer repeats */
};

struct marjoram_stream_answer
{
  char *id;
  char *build;      /* null if the keeper doesn't know */
  uint64_t keepers; /* that must say the same of a service, the sender
                       included; 0 if no service was asked for */
  char *service;    /* that began the stream; null if it is not known */
  uint64_t call;    /* as asked; 0 from a keeper that does not repeat it */
};

/* Use of a region's capacity for a service by one customer: at one host, or
   summed over the region's hosts.  */
struct marjoram_room_item
{
  char *service;
  char *customer;
  uint64_t used;    /* work started, decaying sum; see room_share.h */
  uint64_t wanted;  /* work asked for, likewise */
  uint64_t waiting; /* queued requests that are within the customer's part */
};

struct marjoram_room_report
{
  struct marjoram_array items; /* struct marjoram_room_item */
  uint64_t hosts;              /* number of hosts that the report covers */
};

/* An upstream that stopped answering a host.  */
struct marjoram_dark_item
{
  char *upstream;
  int64_t started_at; /* of the instance */
};

struct marjoram_dark_report
{
  struct marjoram_array items; /* struct marjoram_dark_item */
};

extern const struct marjoram_layout marjoram_room_report_layout;
extern const struct marjoram_layout marjoram_dark_report_layout;
extern const struct marjoram_layout marjoram_stream_begun_layout;
extern const struct marjoram_layout marjoram_stream_ask_layout;
extern const struct marjoram_layout marjoram_stream_answer_layout;
extern const struct marjoram_layout marjoram_lease_ask_layout;
extern const struct marjoram_layout marjoram_lease_grant_layout;
extern const struct marjoram_layout marjoram_quota_ask_layout;
extern const struct marjoram_layout marjoram_quota_grant_layout;
extern const struct marjoram_layout marjoram_host_beat_layout;
extern const struct marjoram_layout marjoram_host_beats_layout;
extern const struct marjoram_layout marjoram_lost_hosts_layout;
extern const struct marjoram_layout marjoram_news_batch_layout;
extern const struct marjoram_layout marjoram_news_seen_layout;
extern const struct marjoram_layout marjoram_news_ask_layout;
extern const struct marjoram_layout marjoram_liveness_layout;
extern const struct marjoram_layout marjoram_load_report_layout;
extern const struct marjoram_layout marjoram_crash_report_layout;
extern const struct marjoram_layout marjoram_state_news_layout;
extern const struct marjoram_layout marjoram_state_ask_layout;
extern const struct marjoram_layout marjoram_state_piece_layout;

#endif
