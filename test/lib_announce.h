/* Registers a fake upstream with the entry hosts of its availability zone, as
   docs/UPSTREAMS.md specifies: renews at a third of the lease, fails over to
   the next host on error, and deregisters on leaving.  */
#ifndef MARJORAM_TEST_ANNOUNCE_H
#define MARJORAM_TEST_ANNOUNCE_H

#include <event2/event.h>
#include <jansson.h>
#include <stdbool.h>

typedef struct announcer announcer;

/* ENTRIES is a comma-separated list of IP:port.  DESCRIBE returns the body of
   an announcement without its sequence number.  */
announcer *announcer_create (struct event_base *base, const char *entries,
                             int64_t lease_ms,
                             json_t *(*describe) (void *context),
                             void *context);

/* Stops renewing and sends a leave message, trying each entry host in
   turn.  */
void announcer_leave (announcer *announcer);
/* True once the leave was acknowledged or every host has been tried
   twice.  */
bool announcer_left (const announcer *announcer);

/* Posts BODY to PATH on the current entry host, without retry.  Steals the
   reference to BODY.  */
void announcer_post (announcer *announcer, const char *path, json_t *body);

#endif
