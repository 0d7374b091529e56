/* A keeper's share of the customers' quotas.  Each quota is divided evenly
   among the member keepers.  A keeper refills its share as a token bucket,
   hands out units to hosts, and moves what it does not need to keepers that
   run short.  The sum over all keepers never exceeds the quota, whoever is cut
   off, suspended or restarted, since nobody creates units but the owner of a
   share.

   Hosts may spend units for MARJORAM_QUOTA_VALID_MS after asking for them.
   The burst is raised by a part of the allowance, the units by which the sum
   over a window may exceed the quota, so that an even share of a small quota
   holds a large request; the rest covers the validity.  Pure decision
   logic.  */
#ifndef MARJORAM_QUOTA_SHARE_H
#define MARJORAM_QUOTA_SHARE_H

#include "route_table.h"

typedef struct marjoram_quota_shares marjoram_quota_shares;

enum
{
  /* Units that a host has asked for at a time T may be spent until T plus
     this.  */
  MARJORAM_QUOTA_VALID_MS = 400
};

/* ALLOWANCE is in units of the customers' quotas.  */
marjoram_quota_shares *marjoram_quota_shares_create (double allowance);
void marjoram_quota_shares_destroy (marjoram_quota_shares *shares);
void marjoram_quota_shares_set_allowance (marjoram_quota_shares *shares,
                                          double allowance);
/* Sets the quotas and the number of member keepers.  New shares are empty;
   a share that becomes smaller loses what is over its new limit.  */
void marjoram_quota_shares_configure (marjoram_quota_shares *shares,
                                      int64_t now,
                                      const struct marjoram_route_table *table,
                                      size_t members);
/* Takes up to WANTED units of CUSTOMER's quota for a host.  Returns the number
   taken, 0 if the customer has no quota here.  WAIT_MS is set to the time
   until the rest is available at the current rate; 0 if nothing is missing. */
int64_t marjoram_quota_shares_take (marjoram_quota_shares *shares, int64_t now,
                                    const char *customer, int64_t wanted,
                                    int64_t *wait_ms);
/* The same for another keeper: leaves a part for this keeper's own hosts.  */
int64_t marjoram_quota_shares_lend (marjoram_quota_shares *shares, int64_t now,
                                    const char *customer, int64_t wanted);
/* Adds units that were taken here and not spent, or that another keeper lent.
   What is over the limit is lost.  */
void marjoram_quota_shares_add (marjoram_quota_shares *shares, int64_t now,
                                const char *customer, int64_t units);
/* Calls VISIT for each share: units at the last use, and the limit.  */
void marjoram_quota_shares_visit (const marjoram_quota_shares *shares,
                                  void (*visit) (void *context,
                                                 const char *customer,
                                                 int64_t units, int64_t limit),
                                  void *context);
/* Units of CUSTOMER that are worth borrowing now, 0 if this share does not run
   short.  Records that they are requested.  */
int64_t marjoram_quota_shares_borrow (marjoram_quota_shares *shares,
                                      int64_t now, const char *customer);

#endif
