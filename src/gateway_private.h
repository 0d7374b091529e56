/* Internal interface of the gateway modules: gateway.c (admission, completion
   and timeouts), gateway_send.c (placement and sending), gateway_forward.c
   (forwarding to other regions), gateway_wait.c (queueing), gateway_repeat.c
   (repeat budget), gateway_customer.c (keys of customers), gateway_room.c
   (capacity shared between customers), gateway_rate.c (measured waits),
   gateway_build.c (builds of streams), gateway_origin.c (streams that are
   taken up again), gateway_crash.c (requests that crash upstreams),
   gateway_check.c (upstreams that stop answering) and gateway_answer.c
   (answers and retries).  */
#ifndef MARJORAM_GATEWAY_PRIVATE_H
#define MARJORAM_GATEWAY_PRIVATE_H

#include "crash_list.h"
#include "customer_index.h"
#include "digest.h"
#include "event_stream.h"
#include "forward_window.h"
#include "gateway.h"
#include "queue_rate.h"
#include "room_share.h"
#include "run_proof.h"
#include "shortage.h"
#include "stream_origin.h"
#include "wait_queue.h"

#include <sys/queue.h>
#include <uthash.h>

enum
{
  MARJORAM_HOST_NAME_MAX = 64,
  /* Upstreams that are watched after a crash; the oldest yields, and counts as
     crashed.  */
  MARJORAM_BROKEN_MAX = 256
};

/* An upstream whose connections broke.  */
struct marjoram_broken_upstream
{
  char id[MARJORAM_ID_MAX]; /* "" for an unused slot */
  int64_t started_at;
  int64_t at;
};

enum marjoram_exchange_state
{
  MARJORAM_EXCHANGE_WAITING,   /* waiting for a configuration or an upstream */
  MARJORAM_EXCHANGE_OPEN,      /* nothing sent to the caller yet */
  MARJORAM_EXCHANGE_HEAD,      /* stream head received, no event yet */
  MARJORAM_EXCHANGE_STREAMING, /* head and events are relayed */
};

/* What shows that the body of an upstream's answer is complete.  */
enum marjoram_framing
{
  MARJORAM_FRAMING_NONE, /* no answer of an upstream yet */
  MARJORAM_FRAMING_LENGTH,
  MARJORAM_FRAMING_CHUNKS,
  MARJORAM_FRAMING_CLOSE /* nothing but the end of the connection */
};

/* At which upstreams a stream may go on.  */
enum marjoram_build_rule
{
  MARJORAM_BUILD_ANY,  /* all: the caller has no event yet */
  MARJORAM_BUILD_SAME, /* those of the build that began it */
  MARJORAM_BUILD_NONE  /* none: the build that began it is not known */
};

/* Whether a customer uses more than its share of the region's capacity.  */
enum marjoram_room_verdict
{
  MARJORAM_ROOM_UNKNOWN, /* not determined, or capacity is not shared */
  MARJORAM_ROOM_WITHIN,
  MARJORAM_ROOM_LIMITED, /* within its share, and wants more than that */
  MARJORAM_ROOM_OVER
};

/* What a request takes of its customer's share.  */
struct marjoram_room_claim
{
  int64_t work; /* 0 until it was counted as wanted */
  enum marjoram_room_verdict verdict;
  int part;             /* per cent of the share in use; -1: unknown */
  int64_t sort_key;     /* part of the waiter's */
  uint64_t sort_number; /* of the last sorting of the queue that met it */
};

/* What measured waits need to know about a request.  */
struct marjoram_wait_record
{
  int64_t tried_ms;       /* by the caller, before this try */
  int64_t response_ms;    /* from a start to the first event, as of the last
                             placement */
  int64_t started_tokens; /* recorded for the current attempt */
  int64_t retry_ms;       /* Retry-After given */
  bool arrived;           /* its arrival was recorded */
  bool too_late;          /* queued, and to be refused */
  bool refused_early;     /* by the measured rate, instead of waiting */
};

/* One request and the state of its answer.  */
struct marjoram_exchange
{
  uint64_t call;
  struct marjoram_http_request *request;
  struct marjoram_call_metadata metadata;
  bool forwarded;       /* received from another region */
  bool forward_limited; /* by a window, at least once */
  enum marjoram_exchange_state state;
  int64_t received_at;
  int64_t deadline_at;         /* route timeout or caller's deadline */
  int64_t target_at;           /* latency target for the first event */
  int64_t forwarded_target_at; /* set by the forwarding host; 0 if none */
  struct marjoram_waiter waiter;
  /* With balance_regions: while forwarded to another region and not begun.  */
  struct marjoram_forwarded_request forward;
  int64_t queued_since;
  struct marjoram_wait_record wait;
  int64_t first_event_at; /* or answer head; 0: none yet */
  int64_t last_event_at;  /* sent to the caller; 0: none */
  int64_t longest_gap_ms; /* between events */
  int events_sent;
  bool is_caller_deadline;   /* caller's deadline precedes the route timeout */
  int64_t estimated_wait_ms; /* of the last attempt */
  struct marjoram_place place; /* last choice; upstream pointers are cleared */
  char digest[MARJORAM_DIGEST_HEX_LENGTH + 1]; /* "" until computed */
  bool has_key;
  struct marjoram_key_digest key;
  struct marjoram_quota_claim quota; /* what it takes of its customer's */
  char customer[MARJORAM_ID_MAX];    /* name; "" if none or not known yet */
  struct marjoram_room_claim room;

  /* Route parameters as of the last attempt.  */
  bool stream;
  bool repeatable;
  int priority;
  int max_upstreams;
  enum marjoram_build_rule build_rule;
  int64_t objective_ms;
  char route[MARJORAM_ID_MAX];
  char service[MARJORAM_ID_MAX];
  uint64_t config;

  char required_build[MARJORAM_ID_MAX];   /* MARJORAM_BUILD_SAME */
  char required_service[MARJORAM_ID_MAX]; /* "": that of the route */
  int64_t origin_asked_at;
  size_t origins_awaited; /* keepers that have not answered */
  /* For callers that name no attempt.  */
  char only_build[MARJORAM_ID_MAX]; /* of the service, as far as known here */
  size_t only_said;                 /* keepers that said the same */
  uint64_t only_needed;             /* keepers that must */

  /* The current attempt.  */
  uint64_t attempt; /* 0 if none */
  /* All 0 if forwarded.  */
  struct marjoram_http_connection_info connection;
  int attempt_events; /* received */
  bool attempt_begun; /* the upstream has begun to answer */
  int64_t attempt_sent_at;
  char upstream[MARJORAM_ID_MAX];
  int64_t upstream_started_at;
  /* Of UPSTREAM when it was sent, or as told by HOST.  */
  char build[MARJORAM_ID_MAX];
  char host[MARJORAM_HOST_NAME_MAX]; /* "" if not forwarded */
  /* The region that refused it, with balance_regions; "" if none.  */
  char refused_region[MARJORAM_HOST_NAME_MAX];
  int64_t idle_deadline; /* compared with input_time; INT64_MAX: none */
  /* Until then the attempt waits for its own answer, after one that names no
     request; 0: none came.  */
  int64_t unnamed_until;
  int status;
  struct marjoram_header_list headers; /* of the answer */
  enum marjoram_framing framing;       /* as received from the upstream */
  bool is_signed;
  bool refused; /* reported as not run */
  bool wrong_upstream;
  bool has_retry_after;   /* the answer has the header */
  int64_t retry_after_ms; /* -1 if it cannot be read */
  bool has_events;        /* the answer is a stream of events */
  bool forward_has_build; /* HOST told the build */
  struct evbuffer *body;  /* answer body or complete events */
  marjoram_event_stream *events;
  size_t answer_held;   /* bytes in BODY and EVENTS */
  size_t refusal_bytes; /* of the body of a refusal */
  size_t stream_passed; /* bytes of events, over all attempts */

  /* Totals over all attempts.  */
  struct marjoram_run_record runs;
  char tried[MARJORAM_TRIED_MAX][MARJORAM_ID_MAX];
  size_t tried_count;
  int attempts_sent; /* attempts that may have reached an upstream */
  int failed_connections;
  int hosts_leaving;  /* that refused it, as they are stopping */
  bool forwarded_out; /* to another region */
  bool relayed;       /* to another host of this region */
  bool repeat_taken;  /* from the budget, for the next or current attempt */
  bool origin_asked;  /* of keepers */
  UT_hash_handle by_call;
  UT_hash_handle by_attempt;
};

struct marjoram_gateway
{
  struct marjoram_gateway_options options;
  char *region; /* copied, since settings may be reloaded */
  char *host;   /* likewise */
  const struct marjoram_gateway_ops *ops;
  void *context;
  const struct marjoram_route_table *table;
  const struct marjoram_route_table *previous_table; /* null if none */
  int64_t previous_set_at;
  struct marjoram_load_features features;
  size_t answer_bytes; /* held for all exchanges */
  int64_t table_set_at;
  int64_t created_at;
  struct marjoram_drain_window drain;
  marjoram_placement *placement;
  marjoram_repeat_budget *budget;
  marjoram_crash_list *crashes;
  uint64_t convictions_seen; /* of parts */
  struct marjoram_broken_upstream broken[MARJORAM_BROKEN_MAX];
  size_t next_broken;
  bool has_broken;
  marjoram_wait_queue *queue;
  marjoram_queue_rates *queue_rates;
  marjoram_shortages *shortages;
  marjoram_forward_windows *windows;
  marjoram_room_share *room;
  uint64_t room_sorts; /* of the queue, by the customers' shares */
  marjoram_key_lease *lease;
  marjoram_quota_pool *quotas;
  marjoram_stream_origins *origins;   /* of streams of this host's callers */
  marjoram_customer_index *customers; /* of TABLE; null until needed */
  struct marjoram_exchange *by_call;
  struct marjoram_exchange *by_attempt;
  uint64_t next_attempt;
  marjoram_upstream_checks *checks;      /* null until upstreams are checked */
  struct marjoram_dark_report dark;      /* verdicts of this tick */
  struct marjoram_dark_report dark_news; /* those that no host has told */
  uint64_t compared; /* checks for which another upstream was named */
};

/* gateway.c */
/* Why a request gets no answer of an upstream, and what its caller is told if
   it did not run.  */
struct marjoram_refusal
{
  enum marjoram_reason reason;
  int status;       /* HTTP status */
  int64_t retry_ms; /* Retry-After; 0: omitted */
};

/* Ends the exchange with an error: as REFUSAL has it if it certainly did not
   run, otherwise with a status that promises nothing.  */
void marjoram_exchange_refuse (marjoram_gateway *gateway,
                               struct marjoram_exchange *exchange, int64_t now,
                               const struct marjoram_refusal *refusal);
/* The same for an exchange that this host cannot serve before it ends.  */
void marjoram_exchange_refuse_draining (marjoram_gateway *gateway,
                                        struct marjoram_exchange *exchange,
                                        int64_t now);
/* Whether an attempt may have run or may still run.  */
bool marjoram_exchange_may_have_run (const struct marjoram_exchange *exchange);
/* Ends the exchange after its answer was sent to the caller, completely if
   WHOLE.  */
void marjoram_exchange_finish (marjoram_gateway *gateway,
                               struct marjoram_exchange *exchange, int64_t now,
                               bool whole);

const char *marjoram_framing_name (enum marjoram_framing framing);
/* Bytes of an event whose end has not been received.  */
size_t marjoram_exchange_unfinished (const struct marjoram_exchange *exchange);

/* Digest of the request; equal for identical requests.  */
const char *marjoram_exchange_digest (struct marjoram_exchange *exchange);

/* Whether a request that cannot be placed yet may wait in state
   MARJORAM_EXCHANGE_WAITING; it is then retried on each tick.  */
bool marjoram_exchange_may_wait (const marjoram_gateway *gateway,
                                 const struct marjoram_exchange *exchange,
                                 int64_t now);

/* gateway_send.c */
/* Sends the exchange to an upstream or to another region, queues it or refuses
   it.  */
void marjoram_exchange_send (marjoram_gateway *gateway,
                             struct marjoram_exchange *exchange, int64_t now);
/* Whether an upstream that was not tried yet would accept the exchange now or,
   unless the exchange is in state MARJORAM_EXCHANGE_STREAMING, another
   region.  */
bool
marjoram_exchange_has_other_place (marjoram_gateway *gateway,
                                   const struct marjoram_exchange *exchange,
                                   int64_t now);
/* Delay in ms before the caller of an exchange that is refused now should
   retry.  */
int64_t marjoram_exchange_retry_ms (marjoram_gateway *gateway,
                                    const struct marjoram_exchange *exchange,
                                    int64_t now);
/* The route of the exchange's request; null if there is none.  */
const struct marjoram_route_rule *
marjoram_exchange_route (const marjoram_gateway *gateway,
                         const struct marjoram_exchange *exchange);
/* Whether the route's residency rules allow this host's region.  */
bool marjoram_exchange_may_run_here (const marjoram_gateway *gateway,
                                     const struct marjoram_exchange *exchange);
/* Cancels the current attempt, if any, and reports HOW to the placement.  */
void marjoram_exchange_drop_attempt (marjoram_gateway *gateway,
                                     struct marjoram_exchange *exchange,
                                     int64_t now,
                                     enum marjoram_attempt_end how);
/* Unregisters the current attempt after it ended.  */
void marjoram_exchange_end_attempt (marjoram_gateway *gateway,
                                    struct marjoram_exchange *exchange,
                                    int64_t now,
                                    enum marjoram_attempt_end how);

void marjoram_exchange_start_attempt (marjoram_gateway *gateway,
                                      struct marjoram_exchange *exchange,
                                      int64_t now);
/* Time until the exchange's deadline, in ms.  */
int64_t marjoram_exchange_time_left (const struct marjoram_exchange *exchange,
                                     int64_t now);
/* Time in which an attempt can still be answered here, in ms: until the
   exchange's deadline or, if that is earlier, its end in a drain.  */
int64_t
marjoram_exchange_answer_time (const marjoram_gateway *gateway,
                               const struct marjoram_exchange *exchange,
                               int64_t now);
/* Last-Event-Id with which a stream is resumed; null: as sent by the
   caller.  */
const char *
marjoram_exchange_last_event (const struct marjoram_exchange *exchange);

/* gateway_forward.c */
/* Whether a host of another region would answer within MAX_WAIT_MS.  */
bool marjoram_exchange_may_forward (marjoram_gateway *gateway,
                                    const struct marjoram_exchange *exchange,
                                    const struct marjoram_route_rule *route,
                                    int64_t now, int64_t max_wait_ms);
/* Forwards the exchange to another region that would answer within
   MAX_WAIT_MS.  Returns whether it was forwarded.  */
bool marjoram_exchange_forward (marjoram_gateway *gateway,
                                struct marjoram_exchange *exchange,
                                const struct marjoram_route_rule *route,
                                int64_t now, int64_t max_wait_ms);
/* With balance_regions: forwards an exchange that would be refused otherwise.
   Returns whether it was forwarded.  */
bool marjoram_exchange_forward_instead (
    marjoram_gateway *gateway, struct marjoram_exchange *exchange,
    const struct marjoram_route_rule *route, int64_t now, int64_t max_wait_ms);
/* To be called as the region that the exchange was forwarded to refuses it,
   which states that it has not run.  */
void marjoram_exchange_forward_refused (marjoram_gateway *gateway,
                                        struct marjoram_exchange *exchange,
                                        int64_t now,
                                        enum marjoram_reason reason);
/* To be called as an attempt ends.  */
void marjoram_exchange_forward_ended (struct marjoram_exchange *exchange,
                                      int64_t now,
                                      enum marjoram_attempt_end how);
/* To be called as the exchange is refused: counts refusals although another
   region has capacity and the exchange may be sent there.  */
void marjoram_exchange_count_refusal (marjoram_gateway *gateway,
                                      const struct marjoram_exchange *exchange,
                                      int64_t now,
                                      enum marjoram_reason reason);
/* Whether another host of this region would serve the exchange.  */
bool marjoram_exchange_may_relay (marjoram_gateway *gateway,
                                  const struct marjoram_exchange *exchange,
                                  int64_t now);
/* Forwards the exchange to a host of this region that reaches upstreams of its
   service, for a host that does not.  Returns whether it was forwarded.  */
bool marjoram_exchange_relay (marjoram_gateway *gateway,
                              struct marjoram_exchange *exchange, int64_t now);
/* Forwards the exchange to its session's home region, although CHOSEN is a
   place in this region, where that is better.  Returns whether it was
   forwarded.  */
bool marjoram_exchange_follow_session (marjoram_gateway *gateway,
                                       struct marjoram_exchange *exchange,
                                       const struct marjoram_route_rule *route,
                                       int64_t now,
                                       const struct marjoram_place *chosen,
                                       int64_t time_left_ms);
/* Forwards the exchange, although CHOSEN is a place in this region, if another
   region is less loaded.  Returns whether it was forwarded.  */
bool marjoram_exchange_spill (marjoram_gateway *gateway,
                              struct marjoram_exchange *exchange,
                              const struct marjoram_route_rule *route,
                              int64_t now, const struct marjoram_place *chosen,
                              int64_t time_left_ms);

/* gateway_build.c */
/* The service that runs the exchange on ROUTE.  */
const char *
marjoram_exchange_service (const struct marjoram_exchange *exchange,
                           const struct marjoram_route_rule *route);
/* The build of the upstreams at which the exchange may go on; null: not
   bound to one.  */
const char *
marjoram_exchange_required_build (const struct marjoram_exchange *exchange);
/* Binds the exchange to BUILD, or to no upstream if it is null.  */
void marjoram_exchange_require_build (struct marjoram_exchange *exchange,
                                      const char *build);
/* The same for the service too, if ORIGIN names it.  */
void
marjoram_exchange_require_origin (struct marjoram_exchange *exchange,
                                  const struct marjoram_stream_origin *origin);
/* To be called when events of the current attempt go to the caller: binds the
   exchange to the build that sent them.  */
void marjoram_exchange_keep_build (marjoram_gateway *gateway,
                                   struct marjoram_exchange *exchange,
                                   int64_t now);
/* Whether OFFER may be of upstreams at which the exchange may go on.  */
bool marjoram_exchange_accepts_offer (const struct marjoram_exchange *exchange,
                                      const struct marjoram_host_offer *offer);

/* gateway_origin.c */
/* Records and tells keepers which build began the exchange's stream, to which
   the exchange has just been bound.  */
void marjoram_exchange_record_origin (marjoram_gateway *gateway,
                                      const struct marjoram_exchange *exchange,
                                      int64_t now);
/* Binds a stream that its caller takes up again to the build that began it.
   Returns false if the request was refused or has to wait for keepers.  */
bool marjoram_exchange_find_origin (marjoram_gateway *gateway,
                                    struct marjoram_exchange *exchange,
                                    const struct marjoram_route_rule *route,
                                    int64_t now);

/* gateway_crash.c */
/* Counts the loss of the connection to the upstream that runs this request as
   a crash of the upstream.  */
void marjoram_exchange_record_crash (marjoram_gateway *gateway,
                                     struct marjoram_exchange *exchange,
                                     int64_t now);
/* To be called as events of the current attempt arrive, and at the end of an
   answer (WHOLE).  Once the answer has begun, its prompt crashes nothing.  */
void marjoram_exchange_record_begin (marjoram_gateway *gateway,
                                     struct marjoram_exchange *exchange,
                                     int64_t now, bool whole);
/* Refuses a request that crashed several upstreams, or that has a part in its
   prompt that did.  Returns whether it was refused.  */
bool marjoram_exchange_refuse_crashing (marjoram_gateway *gateway,
                                        struct marjoram_exchange *exchange,
                                        int64_t now);
/* To be called before each attempt at an upstream.  Returns false if the
   request was refused, as a part of its prompt is convicted.  */
bool marjoram_exchange_take_trial (marjoram_gateway *gateway,
                                   struct marjoram_exchange *exchange,
                                   int64_t now);
/* To be called as an upstream begins to answer: if the exchange was sent after
   the upstream's other connections broke, it has not crashed.  */
void marjoram_exchange_check_alive (marjoram_gateway *gateway,
                                    const struct marjoram_exchange *exchange,
                                    int64_t now);
void marjoram_gateway_tick_crashes (marjoram_gateway *gateway, int64_t now);

/* gateway_check.c */
/* Checks upstreams that are silent, if that is enabled, and ends the attempts
   at those that are dark.  */
void marjoram_gateway_check_upstreams (marjoram_gateway *gateway, int64_t now);
void marjoram_gateway_destroy_checks (marjoram_gateway *gateway);

/* gateway_wait.c */
/* Queues the exchange, or keeps it queued, until an upstream has room for it.
   Returns false if that would be too late for it.  */
bool marjoram_exchange_wait (marjoram_gateway *gateway,
                             struct marjoram_exchange *exchange, int64_t now,
                             const struct marjoram_place *chosen);
/* Whether no queued request for the same service precedes it.  */
bool marjoram_exchange_is_next (const marjoram_gateway *gateway,
                                const struct marjoram_exchange *exchange,
                                int64_t now,
                                const struct marjoram_place *chosen);
/* Estimated wait in ms of a request with SORT_KEY for a place at an upstream
   of SERVICE.  */
int64_t marjoram_gateway_wait_ms (const marjoram_gateway *gateway,
                                  const char *service, int64_t sort_key,
                                  const struct marjoram_place *place);
void marjoram_gateway_retry_queued (marjoram_gateway *gateway, int64_t now);

/* gateway_room.c */
/* Counts the exchange as wanted, once, and determines whether its customer is
   over its share.  */
void marjoram_exchange_judge_room (marjoram_gateway *gateway,
                                   struct marjoram_exchange *exchange,
                                   int64_t now,
                                   const struct marjoram_service_rule *service,
                                   const struct marjoram_place *chosen);
/* Whether the exchange has to leave the place CHOSEN to requests of customers
   that are not over.  */
bool marjoram_exchange_yields_room (marjoram_gateway *gateway,
                                    const struct marjoram_exchange *exchange,
                                    int64_t now,
                                    const struct marjoram_place *chosen);
/* To be called as the exchange is sent to an upstream, and as the attempt
   ended.  */
void marjoram_exchange_use_room (marjoram_gateway *gateway,
                                 const struct marjoram_exchange *exchange,
                                 int64_t now);
void marjoram_exchange_return_room (marjoram_gateway *gateway,
                                    const struct marjoram_exchange *exchange,
                                    int64_t now,
                                    enum marjoram_attempt_end how);
/* Added to the queue's sort key: puts requests of customers that are over
   behind all others.  */
int64_t marjoram_exchange_room_key (const struct marjoram_exchange *exchange);
/* Queued requests with which the exchange may still be queued, of at most
   LIMIT in all.  */
int64_t marjoram_exchange_queue_max (const struct marjoram_exchange *exchange,
                                     int64_t limit);
/* Retry-After of an exchange that is refused for lack of capacity, USUAL_MS if
   its customer doesn't matter.  Counts the refusal.  */
int64_t
marjoram_exchange_room_retry_ms (marjoram_gateway *gateway,
                                 const struct marjoram_exchange *exchange,
                                 int64_t now, int64_t usual_ms);
/* "within", "over" or "-", for the log.  */
const char *
marjoram_exchange_room_name (const struct marjoram_exchange *exchange);
/* Sorts the queue anew by which customers are over, and counts the requests
   that wait of those that are not.  */
void marjoram_gateway_sort_queue (marjoram_gateway *gateway, int64_t now);

/* gateway_rate.c.  Unless measured waits are enabled, these do nothing,
   return false, or the value passed in.  */
bool marjoram_gateway_measures_waits (const marjoram_gateway *gateway);
/* To be called when the exchange cannot be placed.  */
void marjoram_exchange_record_short (marjoram_gateway *gateway,
                                     struct marjoram_exchange *exchange,
                                     int64_t now,
                                     const struct marjoram_place *chosen);
/* What the exchange counts in the queue, in tokens.  */
int64_t marjoram_exchange_work (const marjoram_gateway *gateway,
                                const struct marjoram_place *chosen);
/* To be called before the exchange is sent to an upstream, and if the upstream
   did not run it.  */
void marjoram_exchange_record_start (marjoram_gateway *gateway,
                                     struct marjoram_exchange *exchange,
                                     int64_t now,
                                     const struct marjoram_place *chosen);
void marjoram_exchange_record_not_started (marjoram_gateway *gateway,
                                           struct marjoram_exchange *exchange);
/* To be called at the end of an exchange.  */
void
marjoram_exchange_record_wait_end (marjoram_gateway *gateway,
                                   const struct marjoram_exchange *exchange,
                                   int64_t now);
/* Time by which a request that its caller has tried before precedes others of
   its priority.  */
int64_t
marjoram_exchange_precedence_ms (const marjoram_gateway *gateway,
                                 const struct marjoram_exchange *exchange,
                                 int64_t now);
/* Expected time until the exchange starts with SORT_KEY; negative: no rate is
   known.  */
int64_t
marjoram_exchange_measured_wait_ms (const marjoram_gateway *gateway,
                                    const struct marjoram_exchange *exchange,
                                    int64_t now, int64_t sort_key);
/* Whether the rate is known, and then in MAY_JOIN whether the exchange, of
   which WAITER is complete, will start early enough to be queued.  */
bool marjoram_exchange_check_join (marjoram_gateway *gateway,
                                   struct marjoram_exchange *exchange,
                                   int64_t now, bool *may_join);
/* Latest start of a queued exchange; LATEST if no rate is known.  */
int64_t
marjoram_exchange_latest_start (const marjoram_gateway *gateway,
                                const struct marjoram_exchange *exchange,
                                int64_t now, int64_t latest);
/* Time left for the first event; longer than TIME_LEFT_MS for a queued
   exchange that may be late.  */
int64_t
marjoram_exchange_place_time_ms (const marjoram_gateway *gateway,
                                 const struct marjoram_exchange *exchange,
                                 int64_t now, int64_t time_left_ms);
/* Refuses or forwards queued requests that cannot start early enough any more,
   the last in order first.  */
void marjoram_gateway_refuse_too_late (marjoram_gateway *gateway, int64_t now);
/* Retry-After in ms of an exchange that is refused for want of capacity, at
   least AT_LEAST_MS if the caller's time allows.  */
int64_t marjoram_exchange_return_ms (marjoram_gateway *gateway,
                                     const struct marjoram_exchange *exchange,
                                     int64_t now, int64_t at_least_ms);
/* Fields of a request's log line, with a leading space; "" if disabled.  */
void marjoram_exchange_write_wait (const marjoram_gateway *gateway,
                                   const struct marjoram_exchange *exchange,
                                   int64_t now, char *text, size_t size);

/* gateway_repeat.c */
/* Tells the repeat budget and the list of crashes how many entry hosts are
   known now.  */
void marjoram_gateway_update_hosts (marjoram_gateway *gateway, int64_t now);
/* Whether the repeat budget has room for sending the exchange once more.  */
bool marjoram_exchange_may_repeat (marjoram_gateway *gateway,
                                   const struct marjoram_exchange *exchange,
                                   int64_t now);
/* To be called before each attempt.  If the exchange was sent before, takes a
   repeat from the budget, unless one is already taken for this attempt.
   Returns false if the budget is exhausted.  */
bool marjoram_exchange_take_repeat (marjoram_gateway *gateway,
                                    struct marjoram_exchange *exchange,
                                    int64_t now);

/* gateway.c */
/* Sends a request that was received, or continues to wait.  */
void marjoram_exchange_admit (marjoram_gateway *gateway,
                              struct marjoram_exchange *exchange, int64_t now);

/* gateway_customer.c */
extern const struct marjoram_quota_pool_ops marjoram_gateway_quota_ops;
/* Takes the cost of the exchange from its customer's quota, once.  Returns
   false if the request was refused or has to wait.  */
bool marjoram_exchange_pay (marjoram_gateway *gateway,
                            struct marjoram_exchange *exchange, int64_t now);
/* Keeps a digest of the caller's key, if the request has one.  */
void marjoram_exchange_read_key (marjoram_gateway *gateway,
                                 struct marjoram_exchange *exchange);
/* Determines the customer if the configuration has customers.  Returns false
   if the request was refused or has to wait.  */
bool marjoram_exchange_identify (marjoram_gateway *gateway,
                                 struct marjoram_exchange *exchange,
                                 const struct marjoram_route_rule *route,
                                 int64_t now);
/* Null if there is none, or if this host's configuration has no such
   customer.  */
const struct marjoram_customer_rule *
marjoram_exchange_customer (const marjoram_gateway *gateway,
                            const struct marjoram_exchange *exchange);
/* To be called before each attempt: refuses the exchange and returns false if
   its key has been taken away since it was admitted.  */
bool marjoram_exchange_check_key (marjoram_gateway *gateway,
                                  struct marjoram_exchange *exchange,
                                  int64_t now);
/* Whether the residency rules of ROUTE and of the customer both allow
   REGION.  */
bool marjoram_exchange_allows_region (const marjoram_gateway *gateway,
                                      const struct marjoram_exchange *exchange,
                                      const struct marjoram_route_rule *route,
                                      const char *region);

/* gateway_answer.c */
/* Which id the last attempt's answer has, for logs: "own", "none", or "-" if
   no answer came.  */
const char *
marjoram_exchange_answer_id (const struct marjoram_exchange *exchange);
/* Ends an attempt that got no answer of its own, only others.  */
void marjoram_exchange_end_foreign (marjoram_gateway *gateway,
                                    struct marjoram_exchange *exchange,
                                    int64_t now);
/* To be called on each tick while an attempt is in progress: ends one that got
   an answer without an id, and none of its own in time.  */
void marjoram_exchange_check_unnamed (marjoram_gateway *gateway,
                                      struct marjoram_exchange *exchange,
                                      int64_t now);
/* Whether a request that may have run may be sent to another upstream.  */
bool marjoram_exchange_may_retry (marjoram_gateway *gateway,
                                  const struct marjoram_exchange *exchange,
                                  int64_t now);
/* Handles a failed attempt: retries where that is allowed, otherwise ends the
   exchange with REASON.  */
void marjoram_exchange_retry (marjoram_gateway *gateway,
                              struct marjoram_exchange *exchange, int64_t now,
                              enum marjoram_reason reason);

#endif
