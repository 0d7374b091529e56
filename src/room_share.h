/* Divides the capacity of a region between customers.  Answers more demand
   than the region has capacity for, most of it from one customer.

   For each service and customer this host keeps decaying sums (time constant
   1 s) of the work that it started (used) and that it was asked for (wanted),
   and the region's sums as a collector last told them.  The capacity, which is
   what all customers used, is divided by weighted max-min fairness: what one
   customer does not want is available to the others.  A customer is over while
   its use in the region is above its share.  A service is short while requests
   of customers that are not over wait for it at some host; only then are
   requests of customers that are over held back.

   Sums of the region that are more than 2 s old are not used: the host then
   applies its last shares to its own portion of them.  A host that has
   received no sums divides what it started itself into equal shares.  Pure
   decision logic.  */
#ifndef MARJORAM_ROOM_SHARE_H
#define MARJORAM_ROOM_SHARE_H

#include "gateway_message.h"
#include "route_table.h"

typedef struct marjoram_room_share marjoram_room_share;

enum
{
  MARJORAM_ROOM_DECAY_MS = 1000, /* time constant of the sums */
  /* For which the sums of the region, and the report of a host to the
     collector, are valid.  */
  MARJORAM_ROOM_VALID_MS = 2000
};

marjoram_room_share *marjoram_room_share_create (void);
void marjoram_room_share_destroy (marjoram_room_share *share);
/* Takes the customers' weights from TABLE.  */
void marjoram_room_share_set_table (marjoram_room_share *share,
                                    const struct marjoram_route_table *table);
/* What is left after MSEC of a decaying sum of 1.  */
double marjoram_room_decay (int64_t msec);

/* CUSTOMER is "" for requests without a known customer.  */
void marjoram_room_share_add_wanted (marjoram_room_share *share, int64_t now,
                                     const char *service, const char *customer,
                                     int64_t work);
void marjoram_room_share_add_used (marjoram_room_share *share, int64_t now,
                                   const char *service, const char *customer,
                                   int64_t work);
/* The work was not done after all.  */
void marjoram_room_share_return_used (marjoram_room_share *share, int64_t now,
                                      const char *service,
                                      const char *customer, int64_t work);
/* Begins a new count of queued requests that are not over.  */
void marjoram_room_share_clear_waiting (marjoram_room_share *share);
/* A queued request that is not over: others of its customer behind it are over
   if it uses up the share.  */
void marjoram_room_share_add_waiting (marjoram_room_share *share, int64_t now,
                                      const char *service,
                                      const char *customer, int64_t work);
/* A request of a customer that is not over was refused for lack of capacity,
   which shows a shortage as one that waits does.  */
void marjoram_room_share_add_refused (marjoram_room_share *share, int64_t now,
                                      const char *service,
                                      const char *customer);

/* Whether a further request of CUSTOMER is over its share, given what is in
   use and what waits.  */
bool marjoram_room_share_is_over (marjoram_room_share *share, int64_t now,
                                  const char *service, const char *customer);
/* Whether CUSTOMER wanted more than its share as of the last sums.  */
bool marjoram_room_share_is_limited (const marjoram_room_share *share,
                                     const char *service,
                                     const char *customer);
bool marjoram_room_share_is_short (marjoram_room_share *share, int64_t now,
                                   const char *service);
/* Whether any service is short, so that reports are urgent.  */
bool marjoram_room_share_is_urgent (marjoram_room_share *share, int64_t now);
/* Whether a request of a customer that is over, for which there is a place,
   has to leave it to others.  BUSY_MS is for how long the upstream is busy
   with what it has.  A place that stays free after that, although others could
   take it, is given away.  */
bool marjoram_room_share_holds (marjoram_room_share *share, int64_t now,
                                const char *service, const char *customer,
                                int64_t busy_ms);
/* There is no place for a request of a customer that is over.  */
void marjoram_room_share_found_none (marjoram_room_share *share,
                                     const char *service);
/* Per cent of its share that CUSTOMER uses; -1 if nothing is known of it.  */
int marjoram_room_share_part (marjoram_room_share *share, int64_t now,
                              const char *service, const char *customer);
/* Time in ms after which a refused request of CUSTOMER may expect capacity; 0
   if the customer wants no more than its share.  */
int64_t marjoram_room_share_retry_ms (marjoram_room_share *share, int64_t now,
                                      const char *service,
                                      const char *customer);

/* Builds the report of this host for the collector.  The caller clears REPORT.
   Forgets customers that have no requests.  */
void marjoram_room_share_report (marjoram_room_share *share, int64_t now,
                                 struct marjoram_room_report *report);
/* Applies the collector's sums, which include this host's own.  The region has
   HOSTS hosts.  */
void marjoram_room_share_apply (marjoram_room_share *share, int64_t now,
                                const struct marjoram_room_report *sums,
                                size_t hosts);

/* State of one customer in use, for display.  */
struct marjoram_room_state
{
  const char *service;
  const char *customer;
  double weight;
  double used;
  double wanted;
  int part;
  bool is_over;
  bool is_short; /* the service */
};
void marjoram_room_share_visit (
    marjoram_room_share *share, int64_t now,
    void (*visit) (void *context, const struct marjoram_room_state *state),
    void *context);

#endif
