/* A keeper's side of the gateway: hears upstreams, takes operators' orders,
   tells callers where to connect.  Pure decisions.  */
#ifndef MARJORAM_REGISTRAR_H
#define MARJORAM_REGISTRAR_H

#include "agreed.h"
#include "host_list.h"
#include "keeper.h"
#include "metrics.h"
#include "registry.h"

typedef struct marjoram_registrar marjoram_registrar;

struct marjoram_registrar_ops
{
  /* Answers ASK, once.  BODY may be null; RETRY_MS is 0 if not told.  */
  void (*answer) (void *context, uint64_t ask, int status, const char *body,
                  size_t size);
  /* Sends BATCH to all hosts in reach; returns to how many.  */
  size_t (*tell) (void *context, const struct marjoram_news_batch *batch);
  /* Sends BATCH, of upstreams that say nothing new but that they live, to
     those hosts that use them.  */
  void (*renew) (void *context, const struct marjoram_news_batch *batch);
  /* Put a file into the register, or confirm the newest state; answered by
     marjoram_registrar_decided with REQUEST.  */
  void (*apply) (void *context, uint64_t request, const char *change_id,
                 const struct marjoram_file *file);
  void (*read) (void *context, uint64_t request);
  /* The newest state known to be chosen; null before any.  */
  const struct marjoram_state *(*state) (void *context);
};

struct marjoram_registrar_options
{
  const struct marjoram_dialect *dialect;
  marjoram_registry *registry; /* borrowed */
  marjoram_host_list *hosts;   /* borrowed */
  marjoram_metrics *metrics;   /* borrowed */
  int64_t lookup_valid_s;
  bool (*knows_zone) (void *context, const char *zone);
  void *context;
};

marjoram_registrar *
marjoram_registrar_create (const struct marjoram_registrar_options *options,
                           const struct marjoram_registrar_ops *ops,
                           void *context);
void marjoram_registrar_destroy (marjoram_registrar *registrar);

/* One call, to be answered under the number ASK.  */
void marjoram_registrar_receive (marjoram_registrar *registrar, int64_t now,
                                 uint64_t ask, const char *method,
                                 const char *target, const char *body,
                                 size_t size);
/* A host has taken in the batch TICKET.  */
void marjoram_registrar_seen (marjoram_registrar *registrar, uint64_t ticket);
void marjoram_registrar_decided (marjoram_registrar *registrar, int64_t now,
                                 uint64_t request,
                                 const struct marjoram_apply_answer *answer);
/* Another keeper's batch.  */
void marjoram_registrar_hear (marjoram_registrar *registrar, int64_t now,
                              const struct marjoram_news_batch *batch);
/* All that is known, for a host that has just come.  To be cleared by the
   caller with free (items); the items' texts are borrowed.  */
void marjoram_registrar_all (marjoram_registrar *registrar, int64_t now,
                             struct marjoram_news_batch *batch);
/* At least every 50 ms.  */
void marjoram_registrar_tick (marjoram_registrar *registrar, int64_t now);

#endif
