/* The parts of a gateway, shared by gateway.c (requests and their ends),
   gateway_send.c (choice and sending), gateway_cross.c (other regions) and
   gateway_answer.c (answers).  */
#ifndef MARJORAM_GATEWAY_PRIVATE_H
#define MARJORAM_GATEWAY_PRIVATE_H

#include "crash_list.h"
#include "digest.h"
#include "event_stream.h"
#include "gateway.h"
#include "shortage.h"
#include "wait_queue.h"

#include <sys/queue.h>
#include <uthash.h>

enum
{
  MARJORAM_HOST_NAME_MAX = 64
};

enum marjoram_exchange_state
{
  MARJORAM_EXCHANGE_WAITS,   /* for a configuration or a first upstream */
  MARJORAM_EXCHANGE_OPEN,    /* nothing was told to the caller yet */
  MARJORAM_EXCHANGE_HEAD,    /* a stream's head has come, no event yet */
  MARJORAM_EXCHANGE_STREAMS, /* head and events go to the caller */
};

/* One request of a caller.  */
struct marjoram_exchange
{
  uint64_t call;
  struct marjoram_http_request *request;
  struct marjoram_call_facts facts;
  bool forwarded;
  enum marjoram_exchange_state state;
  int64_t received_at;
  int64_t due_at;         /* the route's timeout, or the caller's patience */
  int64_t useful_by;      /* for the first event or the answer */
  int64_t told_useful_by; /* by the host that forwarded it; 0 if not */
  struct marjoram_waiter waiter;
  int64_t waits_since;   /* if it does */
  int64_t first_at;      /* 0 until the first event or the answer's head */
  int64_t last_at;       /* when events last went to the caller; 0 if never */
  int64_t pause_ms;      /* the longest between two of them */
  int events_passed;     /* to the caller */
  bool is_due_by_caller; /* its patience ends before the route's timeout */
  int64_t waited_ms;     /* as estimated when it was sent last */
  struct marjoram_place place; /* the last choice, without its upstream */
  char digest[MARJORAM_DIGEST_TEXT + 1]; /* "" until it is asked for */

  /* Of its route, as it was when it was sent last.  */
  bool stream;
  bool repeatable;
  int priority;
  int max_upstreams;
  int64_t objective_ms;
  char route[MARJORAM_ID_MAX];
  char service[MARJORAM_ID_MAX];
  uint64_t config;

  /* The attempt that is under way.  */
  uint64_t attempt; /* 0 if none */
  char upstream[MARJORAM_ID_MAX];
  char host[MARJORAM_HOST_NAME_MAX]; /* forwarded there; "" if not */
  int64_t silent_at; /* when its silence ends it, as heard; INT64_MAX: never */
  int status;
  struct marjoram_header_list headers; /* of the answer */
  bool is_signed;                      /* by the upstream */
  bool refused;                        /* the upstream did not run it */
  bool wrong_upstream;
  struct evbuffer *body; /* of the answer, or whole events */
  marjoram_event_stream *events;

  /* Of all attempts.  */
  char tried[MARJORAM_TRIED_MAX][MARJORAM_ID_MAX];
  size_t tried_count;
  int arrivals;  /* attempts that may have reached an upstream */
  int runs;      /* attempts that may have run, or still run */
  int unreached; /* attempts that reached nobody */
  bool crossed;  /* it was forwarded */
  UT_hash_handle by_call;
  UT_hash_handle by_attempt;
};

struct marjoram_gateway
{
  struct marjoram_gateway_options options;
  char *region; /* outlives the settings that OPTIONS came from */
  const struct marjoram_gateway_ops *ops;
  void *context;
  const struct marjoram_route_table *table;
  const struct marjoram_route_table *former; /* null if none */
  int64_t table_since;
  int64_t created_at;
  marjoram_placement *placement;
  marjoram_repeat_budget *budget;
  marjoram_crash_list *crashes;
  marjoram_wait_queue *queue;
  marjoram_shortages *shortages;
  struct marjoram_exchange *by_call;
  struct marjoram_exchange *by_attempt;
  uint64_t next_attempt;
};

/* gateway.c */
/* Ends the exchange without an answer, truthfully.  */
void marjoram_exchange_refuse (marjoram_gateway *gateway,
                               struct marjoram_exchange *exchange, int64_t now,
                               const struct marjoram_no_answer *why);
/* The answer is whole with the caller (or was cut, WHOLE false).  */
void marjoram_exchange_finish (marjoram_gateway *gateway,
                               struct marjoram_exchange *exchange, int64_t now,
                               bool whole);

/* Of the request, the same when its caller sends it again.  */
const char *marjoram_exchange_digest (struct marjoram_exchange *exchange);

/* Whether a request that has no place yet may wait for one; it is then tried
   again with each tick.  */
bool marjoram_exchange_may_wait (const marjoram_gateway *gateway,
                                 const struct marjoram_exchange *exchange,
                                 int64_t now);

/* gateway_send.c */
/* Sends the exchange to an upstream or another region, or refuses it.  */
void marjoram_exchange_send (marjoram_gateway *gateway,
                             struct marjoram_exchange *exchange, int64_t now);
/* Whether an upstream that was not tried yet would take the exchange now; or
   another region, as long as the caller was told nothing.  */
bool
marjoram_exchange_has_other_place (marjoram_gateway *gateway,
                                   const struct marjoram_exchange *exchange,
                                   int64_t now);
/* Whether its residency allows this host's region.  */
bool marjoram_exchange_may_run_here (const marjoram_gateway *gateway,
                                     const struct marjoram_exchange *exchange);
/* Stops the attempt that is under way; HOW goes to the placement.  */
void marjoram_exchange_drop_attempt (marjoram_gateway *gateway,
                                     struct marjoram_exchange *exchange,
                                     int64_t now,
                                     enum marjoram_attempt_end how);
/* The attempt is over: forgets it.  */
void marjoram_exchange_end_attempt (marjoram_gateway *gateway,
                                    struct marjoram_exchange *exchange,
                                    int64_t now,
                                    enum marjoram_attempt_end how);

/* A new attempt of the exchange, which gets a number.  */
void marjoram_exchange_start_attempt (marjoram_gateway *gateway,
                                      struct marjoram_exchange *exchange);
/* How long its caller still waits, in ms.  */
int64_t marjoram_exchange_patience (const struct marjoram_exchange *exchange,
                                    int64_t now);
/* After which event the next upstream goes on; null: as the caller said.  */
const char *
marjoram_exchange_last_event (const struct marjoram_exchange *exchange);

/* gateway_cross.c: to a host of another region.  */
/* Whether one would answer within MOST_WAIT_MS.  */
bool marjoram_exchange_may_cross (marjoram_gateway *gateway,
                                  const struct marjoram_exchange *exchange,
                                  const struct marjoram_route_rule *route,
                                  int64_t now, int64_t most_wait_ms);
/* Whether it was forwarded to one, as no place here is in time.  */
bool marjoram_exchange_cross (marjoram_gateway *gateway,
                              struct marjoram_exchange *exchange,
                              const struct marjoram_route_rule *route,
                              int64_t now, int64_t most_wait_ms);
/* Whether it was forwarded, though CHOSEN is a place here, as this region is
   busier than another.  */
bool marjoram_exchange_spill (marjoram_gateway *gateway,
                              struct marjoram_exchange *exchange,
                              const struct marjoram_route_rule *route,
                              int64_t now, const struct marjoram_place *chosen,
                              int64_t useful_ms);

/* gateway_wait.c */
/* Whether the exchange waits for a place, which CHOSEN says it lacks now;
   false if one would come too late.  */
bool marjoram_exchange_wait (marjoram_gateway *gateway,
                             struct marjoram_exchange *exchange, int64_t now,
                             const struct marjoram_place *chosen);
/* Whether no request that waits for the same service goes before it.  */
bool marjoram_exchange_is_its_turn (const marjoram_gateway *gateway,
                                    const struct marjoram_exchange *exchange,
                                    const struct marjoram_place *chosen);
/* Time until a place of PLACE's service would come to a request whose turn is
   TURN.  */
int64_t marjoram_gateway_wait_ms (const marjoram_gateway *gateway,
                                  const char *service, int64_t turn,
                                  const struct marjoram_place *place);
/* Tries those that wait, in their order.  */
void marjoram_gateway_try_waiting (marjoram_gateway *gateway, int64_t now);

/* gateway_answer.c */
/* After an attempt that failed: sends again where that is allowed, else ends
   the exchange.  REASON tells what was wrong with the attempt, NOT_RUN that it
   surely did not run.  */
void marjoram_exchange_retry (marjoram_gateway *gateway,
                              struct marjoram_exchange *exchange, int64_t now,
                              enum marjoram_reason reason, bool not_run);

#endif
