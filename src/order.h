/* Orders to model engines (load a model, change a role): one lease for each
   zone, granted by a majority of its hosts, whose number is the fence.  For
   engines that ignore the number, a new holder first waits out the old lease
   and the longest order in flight, and hosts refuse to relay older numbers.
   Pure decisions.  */
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
  /* This host became holder with FENCE, or lost the lease (FENCE 0).  */
  void (*lease) (void *context, uint64_t fence);
};

struct marjoram_orders_options
{
  int slot_count;
  int self;
  uint64_t incarnation; /* wall clock of the start, in milliseconds: fences
                           grow from it, also if all hosts restart */
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
/* Fence to put on an order sent now, 0 if this host may not give any.
   HONOURED says whether the engine refuses old numbers by itself.  */
uint64_t marjoram_orders_fence (const marjoram_orders *orders, int64_t now,
                                bool honoured);
/* Whether an order with FENCE may be relayed by this host.  */
bool marjoram_orders_may_relay (marjoram_orders *orders, int64_t now,
                                uint64_t fence);

#endif
