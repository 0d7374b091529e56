/* Which engine loads which model: decided by the host that holds its zone's
   order lease, from the announcements and the copies that the operators want.
   Pure decisions.  */
#ifndef MARJORAM_PLACE_H
#define MARJORAM_PLACE_H

#include "config.h"
#include "member.h"
#include "order.h"
#include "random.h"

typedef struct marjoram_place marjoram_place;

enum
{
  /* An order that has no answer by then is given up, so that none is under way
     longer.  */
  MARJORAM_ORDER_MS = 3000
};

/* One order to an engine, as POST /v1/orders takes it.  */
struct marjoram_order
{
  uint64_t number; /* for the answer */
  const char *address;
  uint64_t fence;
  const char *model; /* to be loaded */
};

struct marjoram_place_ops
{
  /* Answered by marjoram_place_answered.  */
  void (*give) (void *context, const struct marjoram_order *order);
};

marjoram_place *marjoram_place_create (const struct marjoram_place_ops *ops,
                                       void *context, marjoram_random *random);
void marjoram_place_destroy (marjoram_place *place);
/* STATUS is the HTTP status, 0 if there was no answer; RETRY_MS what the
   engine's Retry-After says, 0 if nothing.  */
void marjoram_place_answered (marjoram_place *place, int64_t now,
                              uint64_t number, int status, int64_t retry_ms);
/* A few times a second.  ORDERS says whether this host may give orders.  */
void marjoram_place_tick (marjoram_place *place, int64_t now,
                          const marjoram_config *config,
                          const marjoram_members *members,
                          const marjoram_orders *orders);

#endif
