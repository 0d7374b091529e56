/* An entry host's course of requests: from a caller, or from a host of another
   region, to an upstream of this region or to a host of another one, and back.
   Pure decisions: events and the time go in, operations come out.

   A request is sent again only if it surely has not run, or may run twice.  It
   crosses to another region at most once: the host there serves or refuses. */
#ifndef MARJORAM_GATEWAY_H
#define MARJORAM_GATEWAY_H

#include "crash_list.h"
#include "host_list.h"
#include "http_client.h"
#include "http_server.h"
#include "metrics.h"
#include "placement.h"
#include "reason.h"
#include "repeat_budget.h"

typedef struct marjoram_gateway marjoram_gateway;

/* Why a request gets no upstream's answer.  */
struct marjoram_no_answer
{
  enum marjoram_outcome outcome;
  enum marjoram_reason reason;
  int status;       /* for a caller */
  int64_t retry_ms; /* when to come again; 0: not told */
};

struct marjoram_gateway_ops
{
  void (*reply_head) (void *context, uint64_t call, int status,
                      const struct marjoram_header_list *headers,
                      int64_t length);
  void (*reply_data) (void *context, uint64_t call, const void *data,
                      size_t size);
  void (*reply_end) (void *context, uint64_t call);
  void (*reply_cut) (void *context, uint64_t call);
  void (*reply_none) (void *context, uint64_t call,
                      const struct marjoram_no_answer *why);
  void (*send) (void *context, const struct marjoram_http_send *send);
  void (*cancel) (void *context, uint64_t attempt);
  /* Whether a request could be forwarded to HOST now.  */
  bool (*reaches) (void *context, const char *host);
  /* False if HOST can't be reached now.  */
  bool (*forward) (void *context, const char *host,
                   const struct marjoram_forward *forward);
  void (*cancel_forward) (void *context, const char *host, uint64_t attempt);
  /* How far behind this host's own hearing is (own_lag.h): upstreams may have
     answered all that long ago.  */
  int64_t (*lag_ms) (void *context);
};

struct marjoram_gateway_options
{
  const struct marjoram_dialect *dialect;
  struct marjoram_placement_options place;
  struct marjoram_repeat_terms repeats;
  marjoram_metrics *metrics;
};

marjoram_gateway *
marjoram_gateway_create (const struct marjoram_gateway_options *options,
                         const struct marjoram_gateway_ops *ops, void *context,
                         int64_t now);
void marjoram_gateway_destroy (marjoram_gateway *gateway);
marjoram_placement *marjoram_gateway_placement (marjoram_gateway *gateway);
marjoram_repeat_budget *marjoram_gateway_budget (marjoram_gateway *gateway);
marjoram_crash_list *marjoram_gateway_crashes (marjoram_gateway *gateway);
/* Puts TABLE in force, which stays the caller's until another one is, and as
   the former one until the one after that.  */
void marjoram_gateway_set_table (marjoram_gateway *gateway, int64_t now,
                                 const struct marjoram_route_table *table);

/* What the host that forwarded a request says of it.  */
struct marjoram_forwarded
{
  int64_t patience_ms; /* left of its caller's */
  int64_t useful_ms;   /* left until a first event is late; 0: not known */
};

/* Takes REQUEST.  FORWARDED is null unless it comes from a host of another
   region.  */
void marjoram_gateway_receive (marjoram_gateway *gateway, int64_t now,
                               uint64_t call,
                               struct marjoram_http_request *request,
                               const struct marjoram_forwarded *forwarded);
void marjoram_gateway_gone (marjoram_gateway *gateway, int64_t now,
                            uint64_t call);

/* Events of attempts, sent or forwarded.  */
bool marjoram_gateway_head (marjoram_gateway *gateway, int64_t now,
                            uint64_t attempt, int status,
                            struct marjoram_header_list *headers);
void marjoram_gateway_data (marjoram_gateway *gateway, int64_t now,
                            uint64_t attempt, const void *data, size_t size);
void marjoram_gateway_end (marjoram_gateway *gateway, int64_t now,
                           uint64_t attempt, enum marjoram_http_end how);
/* The other host gave no answer.  */
void marjoram_gateway_forward_refused (marjoram_gateway *gateway, int64_t now,
                                       uint64_t attempt,
                                       const struct marjoram_no_answer *why);
/* The link to HOST broke: what was forwarded there may have run.  */
void marjoram_gateway_link_lost (marjoram_gateway *gateway, int64_t now,
                                 const char *host);

/* Ends what is out of time; at least every 25 ms.  */
void marjoram_gateway_tick (marjoram_gateway *gateway, int64_t now);
size_t marjoram_gateway_open (const marjoram_gateway *gateway);

#endif
