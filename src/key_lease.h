/* Lease on the customers' keys of this host's configuration.  A host accepts
   keys only while it knows that its configuration was the newest a short while
   ago, so that a key that was taken away is refused everywhere once the lease
   period has passed since the change was acknowledged, also by hosts that are
   cut off, suspended or late.

   A lease starts when the host asks for it: the answer states the newest
   configuration that was chosen at some time after that.  The clock must
   include time in which the machine is suspended.  Pure decision logic.  */
#ifndef MARJORAM_KEY_LEASE_H
#define MARJORAM_KEY_LEASE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct marjoram_key_lease marjoram_key_lease;

/* With a LEASE_MS of 0 there is no lease, and keys are always accepted.  */
marjoram_key_lease *marjoram_key_lease_create (int64_t lease_ms);
void marjoram_key_lease_destroy (marjoram_key_lease *lease);
void marjoram_key_lease_set_period (marjoram_key_lease *lease,
                                    int64_t lease_ms);
/* Whether to ask a keeper now; records that this host asks at NOW.  */
bool marjoram_key_lease_ask (marjoram_key_lease *lease, int64_t now);
/* Number of asks since the last answer; 0 if none is outstanding.  */
int marjoram_key_lease_unanswered (const marjoram_key_lease *lease);
/* A keeper has confirmed, after ASKED_AT, that no state after NUMBER had been
   chosen then.  */
void marjoram_key_lease_confirmed (marjoram_key_lease *lease, int64_t now,
                                   int64_t asked_at, uint64_t number);
/* This host's configuration is that of state NUMBER.  */
void marjoram_key_lease_set_number (marjoram_key_lease *lease,
                                    uint64_t number);
/* Whether keys may be accepted.  */
bool marjoram_key_lease_is_valid (const marjoram_key_lease *lease,
                                  int64_t now);
/* Whether, in addition, no newer configuration is known.  Only then is an
   unknown key known to be invalid.  */
bool marjoram_key_lease_is_current (const marjoram_key_lease *lease,
                                    int64_t now);
/* Remaining time in ms; negative if the lease has ended, INT64_MAX if there is
   no lease.  */
int64_t marjoram_key_lease_left_ms (const marjoram_key_lease *lease,
                                    int64_t now);

#endif
