/* Request handling of an entry host: routes each request from a caller, or
   from a host of another region, to an upstream of this region or to a host of
   another region, and relays the answer.  A pure state machine: events and the
   time are passed in, operations are called back.

   A request is retried only if it certainly did not run or its route allows
   repeats.  It is forwarded to another region at most once; the host there
   serves or refuses it.  */
#ifndef MARJORAM_GATEWAY_H
#define MARJORAM_GATEWAY_H

#include "crash_list.h"
#include "drain_window.h"
#include "forward_window.h"
#include "host_list.h"
#include "http_client.h"
#include "http_server.h"
#include "key_lease.h"
#include "load_features.h"
#include "metrics.h"
#include "placement.h"
#include "quota_pool.h"
#include "reason.h"
#include "repeat_budget.h"
#include "room_share.h"
#include "stream_origin.h"
#include "upstream_check.h"

typedef struct marjoram_gateway marjoram_gateway;

/* Error returned instead of an upstream's answer.  */
struct marjoram_request_failure
{
  enum marjoram_outcome outcome;
  enum marjoram_reason reason;
  int status;       /* HTTP status for the caller */
  int64_t retry_ms; /* Retry-After; 0: omitted */
  bool unreached;   /* no upstream received the request; set by the gateway */
};

struct marjoram_gateway_ops
{
  void (*reply_head) (void *context, uint64_t call, int status,
                      const struct marjoram_header_list *headers,
                      int64_t length);
  void (*reply_data) (void *context, uint64_t call, const void *data,
                      size_t size);
  void (*reply_end) (void *context, uint64_t call);
  void (*reply_abort) (void *context, uint64_t call);
  void (*reply_failure) (void *context, uint64_t call,
                         const struct marjoram_request_failure *why);
  /* Sends to an upstream; INFO receives the connection used.  */
  void (*send) (void *context, const struct marjoram_http_send *send,
                struct marjoram_http_connection_info *info);
  void (*cancel) (void *context, uint64_t attempt);
  /* Whether HOST can be reached now.  */
  bool (*reaches) (void *context, const char *host);
  /* Returns false if HOST cannot be reached.  */
  bool (*forward) (void *context, const char *host,
                   const struct marjoram_forward *forward);
  void (*cancel_forward) (void *context, const char *host, uint64_t attempt);
  /* Processing delay of this host (own_receive_lag.h): answers that upstreams
     sent within this time may not have been read yet.  */
  int64_t (*lag_ms) (void *context);
  /* As in struct marjoram_quota_pool_ops; only used for customers with a
     quota.  */
  size_t (*keepers) (void *context,
                     const char *names[MARJORAM_QUOTA_KEEPERS_MAX]);
  void (*ask_quota) (void *context, const char *keeper,
                     const struct marjoram_quota_ask *ask);
  /* Has keepers record that ORIGIN began the stream of caller's attempt ID,
     for KEEP_MS.  */
  void (*tell_origin) (void *context, const char *id,
                       const struct marjoram_stream_origin *origin,
                       int64_t keep_ms);
  /* Asks the keepers that would have a record of ID, for CALL; returns how
     many.  Each answer is passed to marjoram_gateway_origin_answered.  */
  size_t (*ask_origin) (void *context, uint64_t call, const char *id);
  /* Asks all keepers that can be reached for the one build that SERVICE has
     had for FOR_MS; returns how many.  Each answer is passed to
     marjoram_gateway_only_build_answered.  */
  size_t (*ask_only_build) (void *context, uint64_t call, const char *service,
                            int64_t for_ms);
  /* As in struct marjoram_upstream_checks_ops; the result is passed to
     marjoram_gateway_probed.  Like REPORT_DARK, only used if upstreams are
     checked.  */
  void (*open_probe) (void *context, uint64_t probe, const char *address,
                      int64_t timeout_ms);
  /* Notifies the hosts of the region of upstreams that have stopped
     answering.  */
  void (*report_dark) (void *context,
                       const struct marjoram_dark_report *report);
};

/* Sizes in bytes; all 0: the defaults.  */
struct marjoram_answer_limits
{
  size_t answer_bytes; /* of one answer, streams included */
  size_t total_bytes;  /* of all answers that this host holds */
};

struct marjoram_gateway_options
{
  const struct marjoram_dialect *dialect;
  struct marjoram_placement_options place;
  struct marjoram_repeat_limits repeats;
  int64_t key_lease_ms; /* see key_lease.h; 0: keys need no lease */
  struct marjoram_load_features load; /* enabled by the settings */
  struct marjoram_answer_limits answers;
  marjoram_metrics *metrics;
};

marjoram_gateway *
marjoram_gateway_create (const struct marjoram_gateway_options *options,
                         const struct marjoram_gateway_ops *ops, void *context,
                         int64_t now);
void marjoram_gateway_destroy (marjoram_gateway *gateway);
marjoram_placement *marjoram_gateway_placement (marjoram_gateway *gateway);
marjoram_repeat_budget *marjoram_gateway_budget (marjoram_gateway *gateway);
marjoram_crash_list *marjoram_gateway_crash_list (marjoram_gateway *gateway);
marjoram_key_lease *marjoram_gateway_key_lease (marjoram_gateway *gateway);
marjoram_quota_pool *marjoram_gateway_quota_pool (marjoram_gateway *gateway);
const marjoram_forward_windows *
marjoram_gateway_forward_windows (const marjoram_gateway *gateway);
/* Use of the region's capacity by customer.  */
marjoram_room_share *marjoram_gateway_room_share (marjoram_gateway *gateway);
/* Replace the limits and features that the settings state, after a reload.  */
void marjoram_gateway_set_answer_limits (
    marjoram_gateway *gateway, const struct marjoram_answer_limits *limits);
void marjoram_gateway_set_load (marjoram_gateway *gateway,
                                const struct marjoram_load_features *load);
/* Those that the settings or the configuration in force enable.  */
const struct marjoram_load_features *
marjoram_gateway_features (const marjoram_gateway *gateway);
/* Activates TABLE.  The caller keeps ownership; TABLE must stay valid until
   two later tables have been set.  */
void marjoram_gateway_set_table (marjoram_gateway *gateway, int64_t now,
                                 const struct marjoram_route_table *table);

/* The host is stopping; WINDOW replaces a former one.  */
void marjoram_gateway_set_drain (marjoram_gateway *gateway,
                                 const struct marjoram_drain_window *window);

/* Sent along by the host that forwarded a request.  */
struct marjoram_forwarded
{
  int64_t caller_timeout_ms; /* until the caller's deadline */
  int64_t time_left_ms;      /* until the first event is due; 0: unknown */
  const char *customer;      /* null if none */
  const char *build;         /* at which the stream goes on; null: any */
  const char *service;       /* the same; null: that of its route */
};

/* Takes ownership of REQUEST.  FORWARDED is null for a caller's request and
   set for one forwarded by another region.  */
void marjoram_gateway_receive (marjoram_gateway *gateway, int64_t now,
                               uint64_t call,
                               struct marjoram_http_request *request,
                               const struct marjoram_forwarded *forwarded);
void marjoram_gateway_caller_disconnected (marjoram_gateway *gateway,
                                           int64_t now, uint64_t call);

/* Events of attempts, whether sent to an upstream or forwarded.
   marjoram_gateway_head returns false if the answer does not belong to the
   attempt.  */
bool marjoram_gateway_head (marjoram_gateway *gateway, int64_t now,
                            uint64_t attempt, int status,
                            struct marjoram_header_list *headers);
void marjoram_gateway_data (marjoram_gateway *gateway, int64_t now,
                            uint64_t attempt, const void *data, size_t size);
void marjoram_gateway_end (marjoram_gateway *gateway, int64_t now,
                           uint64_t attempt, enum marjoram_http_outcome how);
/* The head of an answer from the host to which ATTEMPT was forwarded, whose
   upstream has BUILD; null if that host doesn't know.  */
bool marjoram_gateway_forward_head (marjoram_gateway *gateway, int64_t now,
                                    uint64_t attempt, int status,
                                    struct marjoram_header_list *headers,
                                    const char *build);
/* A keeper's answer for CALL: what began the stream of caller's attempt ID;
   null if that keeper doesn't know.  CALL is 0 if the keeper doesn't tell.  */
void
marjoram_gateway_origin_answered (marjoram_gateway *gateway, int64_t now,
                                  uint64_t call, const char *id,
                                  const struct marjoram_stream_origin *origin);
/* A keeper's answer for CALL: the one build that the service has had, which
   KEEPERS keepers must say; null if that keeper doesn't know.  */
void marjoram_gateway_only_build_answered (marjoram_gateway *gateway,
                                           int64_t now, uint64_t call,
                                           const char *build,
                                           uint64_t keepers);
/* The build that sent the events of CALL's stream; null if it has none or the
   build is not known.  */
const char *marjoram_gateway_build_of (const marjoram_gateway *gateway,
                                       uint64_t call);
/* Whether ATTEMPT was forwarded to HOST, which alone may answer it.  */
bool marjoram_gateway_is_forwarded_to (const marjoram_gateway *gateway,
                                       uint64_t attempt, const char *host);
/* The other host returned an error instead of an answer.  */
void
marjoram_gateway_forward_refused (marjoram_gateway *gateway, int64_t now,
                                  uint64_t attempt,
                                  const struct marjoram_request_failure *why);
/* The link to HOST was lost: requests forwarded there may have run.  */
void marjoram_gateway_link_lost (marjoram_gateway *gateway, int64_t now,
                                 const char *host);

/* ---- Upstreams that stop answering (upstream_check.h).  ---- */

void marjoram_gateway_probed (marjoram_gateway *gateway, int64_t now,
                              uint64_t probe,
                              enum marjoram_probe_result result);
/* A host of this region sent REPORT.  */
void
marjoram_gateway_dark_reported (marjoram_gateway *gateway, int64_t now,
                                const struct marjoram_dark_report *report);
/* Calls VISIT for each upstream that counts as dark, SILENT_MS since its
   verdict.  */
void marjoram_gateway_visit_dark (
    marjoram_gateway *gateway, int64_t now,
    void (*visit) (void *context,
                   const struct marjoram_checked_upstream *upstream),
    void *context);

/* Enforces deadlines and timeouts; to be called at least every 25 ms.  */
void marjoram_gateway_tick (marjoram_gateway *gateway, int64_t now);
/* Whether a request that was forwarded to HOST is in progress.  */
bool marjoram_gateway_forwards_to (const marjoram_gateway *gateway,
                                   const char *host);
size_t marjoram_gateway_request_count (const marjoram_gateway *gateway);
/* Like marjoram_placement_offer, with the wait in this host's queue if waits
   are measured.  */
void marjoram_gateway_offer (marjoram_gateway *gateway, int64_t now,
                             const struct marjoram_service_rule *service,
                             struct marjoram_host_offer *offer);

#endif
