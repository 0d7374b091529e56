/* Placement of models on engines.  The host that holds the zone's order lease
   derives load orders from the announcements and the configured number of
   replicas.  Performs no I/O.  */
#ifndef MARJORAM_MODEL_PLACEMENT_H
#define MARJORAM_MODEL_PLACEMENT_H

#include "config.h"
#include "member.h"
#include "order.h"
#include "random.h"

typedef struct marjoram_model_placement marjoram_model_placement;

enum
{
  /* Timeout of an order; bounds how long one may be outstanding.  */
  MARJORAM_ORDER_MS = 3000
};

/* An order to an engine, as accepted by POST /v1/orders.  */
struct marjoram_order
{
  uint64_t number; /* matches the reply to the order */
  const char *address;
  uint64_t fence;
  const char *model;
};

struct marjoram_model_placement_ops
{
  /* Sends ORDER.  The reply is passed to marjoram_model_placement_answered. */
  void (*give) (void *context, const struct marjoram_order *order);
};

marjoram_model_placement *marjoram_model_placement_create (
    const struct marjoram_model_placement_ops *ops, void *context,
    marjoram_random *random);
void marjoram_model_placement_destroy (marjoram_model_placement *placement);
/* STATUS is the HTTP status, or 0 if there was no reply.  RETRY_MS is the
   value of Retry-After, or 0 if absent.  */
void marjoram_model_placement_answered (marjoram_model_placement *placement,
                                        int64_t now, uint64_t number,
                                        int status, int64_t retry_ms);
/* Call several times per second.  ORDERS tells whether this host holds the
   order lease.  */
void marjoram_model_placement_tick (marjoram_model_placement *placement,
                                    int64_t now, const marjoram_config *config,
                                    const marjoram_members *members,
                                    const marjoram_orders *orders);

#endif
