/* Registrar of a keeper: processes upstream heartbeats, operator commands and
   callers' lookups.  Pure decision logic.  */
#ifndef MARJORAM_REGISTRAR_H
#define MARJORAM_REGISTRAR_H

#include "api_server.h"
#include "evacuation.h"
#include "state_files.h"
#include "host_list.h"
#include "keeper.h"
#include "metrics.h"
#include "registry.h"

typedef struct marjoram_registrar marjoram_registrar;

struct marjoram_registrar_ops
{
  /* Sends the response to REQUEST_ID, exactly once.  BODY may be NULL.  */
  void (*respond) (void *context, uint64_t request_id, int status,
                   const char *body, size_t size);
  /* Sends BATCH to all connected hosts; returns their number.  */
  size_t (*broadcast) (void *context, const struct marjoram_news_batch *batch);
  /* Sends BATCH of changes that another keeper has sent to the hosts that hear
     of changes from this keeper alone.  */
  void (*relay) (void *context, const struct marjoram_news_batch *batch);
  /* Sends BATCH of liveness-only updates to the hosts that use these
     upstreams.  */
  void (*renew) (void *context, const struct marjoram_news_batch *batch);
  /* Write a file to the replicated register, or confirm the latest state.
     Completed by marjoram_registrar_request_completed with REQUEST.  */
  void (*apply) (void *context, uint64_t request, const char *change_id,
                 const struct marjoram_file *file);
  void (*read) (void *context, uint64_t request);
  /* The same for an order on a zone.  */
  void (*order) (void *context, uint64_t request, const char *change_id,
                 const struct marjoram_evacuation_order *order);
  /* Sends the caller of REQUEST_ID to TARGET (path and query) of this keeper,
     with the same method.  */
  void (*redirect) (void *context, uint64_t request_id, const char *target);
  /* The latest state known to be committed; NULL if none.  */
  const struct marjoram_state *(*state) (void *context);
  /* How REQUEST_ID arrived; false if its caller is gone.  */
  bool (*arrival) (void *context, uint64_t request_id,
                   struct marjoram_api_arrival *arrival);
  /* How much longer than usual a decision may take, as disks are slow, in
     ms.  */
  int64_t (*decision_ms) (void *context);
};

struct marjoram_registrar_options
{
  const struct marjoram_dialect *dialect;
  marjoram_registry *registry; /* borrowed */
  marjoram_host_list *hosts;   /* borrowed */
  marjoram_metrics *metrics;   /* borrowed */
  int64_t lookup_valid_s;
  /* This keeper, and the port at which each keeper takes heartbeats.  */
  const char *host; /* IP */
  const char *zone;
  uint16_t heartbeat_port;
  uint64_t nonce; /* distinguishes orders across restarts and keepers */
  bool (*knows_zone) (void *context, const char *zone);
  void *context;
};

marjoram_registrar *
marjoram_registrar_create (const struct marjoram_registrar_options *options,
                           const struct marjoram_registrar_ops *ops,
                           void *context);
void marjoram_registrar_destroy (marjoram_registrar *registrar);

/* Processes one HTTP request, to be answered as REQUEST_ID.  */
void marjoram_registrar_receive (marjoram_registrar *registrar, int64_t now,
                                 uint64_t request_id, const char *method,
                                 const char *target, const char *body,
                                 size_t size);
/* A host acknowledged the batch TICKET.  */
void marjoram_registrar_acknowledged (marjoram_registrar *registrar,
                                      uint64_t ticket);
void marjoram_registrar_request_completed (
    marjoram_registrar *registrar, int64_t now, uint64_t request,
    const struct marjoram_apply_answer *answer);
/* Whether the order with REQUEST may still be proposed: its caller waits for
   it, or did until its time was over.  */
bool marjoram_registrar_wants (marjoram_registrar *registrar,
                               uint64_t request);
/* A newer state is known to be committed.  */
void marjoram_registrar_state_learnt (marjoram_registrar *registrar,
                                      int64_t now);
/* Applies a batch from KEEPER, another one.  */
void marjoram_registrar_apply_batch (marjoram_registrar *registrar,
                                     int64_t now, const char *keeper,
                                     const struct marjoram_news_batch *batch);
/* Sends the changes that wait for others.  */
void marjoram_registrar_send_changes (marjoram_registrar *registrar,
                                      int64_t now);
/* Builds a batch of all upstreams, for a newly connected host.  The caller
   releases it with free (items); the items borrow their strings.  */
void marjoram_registrar_snapshot (marjoram_registrar *registrar, int64_t now,
                                  struct marjoram_news_batch *batch);
/* The routes of the latest committed state; NULL if there are none.  Valid
   until the next call with REGISTRAR.  */
const struct marjoram_route_table *
marjoram_registrar_table (marjoram_registrar *registrar);
/* To be called at least every 50 ms.  */
void marjoram_registrar_tick (marjoram_registrar *registrar, int64_t now);

#endif
