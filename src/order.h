/* Lease for orders to model engines (load a model, change a role).  A majority
   of a zone's hosts grants one lease at a time, whose number is the fencing
   token.  For engines that do not check the token, a new holder waits for the
   old lease and the longest order in flight to end, and hosts refuse to relay
   orders with older tokens.  Performs no I/O.  */
#ifndef MARJORAM_ORDER_H
#define MARJORAM_ORDER_H

#include "wire.h"

#include <stdbool.h>

typedef struct marjoram_orders marjoram_orders;

struct marjoram_order_message; /* defined in order.c */
extern const struct marjoram_layout marjoram_order_layout;

struct marjoram_orders_ops
{
  void (*send) (void *context, int ordinal,
                const struct marjoram_order_message *message);
  /* This host acquired the lease with FENCE, or lost it (FENCE 0).  */
  void (*lease) (void *context, uint64_t fence);
};

struct marjoram_orders_options
{
  int slot_count;
  int self;
  uint64_t incarnation; /* wall clock at start in ms; lower bound of fences, so
                           that they increase even if all hosts restart */
  int64_t lease_ms;
  int64_t longest_order_ms;
};

marjoram_orders *
marjoram_orders_create (const struct marjoram_orders_options *options,
                        const struct marjoram_orders_ops *ops, void *context);
void marjoram_orders_destroy (marjoram_orders *orders);
void marjoram_orders_receive (marjoram_orders *orders, int64_t now, int from,
                              const struct marjoram_order_message *message);
void marjoram_orders_tick (marjoram_orders *orders, int64_t now);
/* Returns the fence for an order sent now, or 0 if this host may not send
   one.  An order to an engine that does not check fences must wait longer
   after a change of holder.  */
uint64_t marjoram_orders_fence (const marjoram_orders *orders, int64_t now,
                                bool engine_checks_fence);
/* Whether this host may relay an order with FENCE.  */
bool marjoram_orders_may_relay (marjoram_orders *orders, int64_t now,
                                uint64_t fence);

#endif
