/* How a stand-in makes itself known to the entry hosts of its availability
   zone, as docs/UPSTREAMS.md says: renewals at a third of the lease, the next
   host when one does not answer, one word when it leaves.  */
#ifndef MARJORAM_TEST_ANNOUNCE_H
#define MARJORAM_TEST_ANNOUNCE_H

#include <event2/event.h>
#include <jansson.h>
#include <stdbool.h>

typedef struct announcer announcer;

/* ENTRIES is a list of IP:port separated by commas.  DESCRIBE makes the body
   of one announcement but for its sequence.  */
announcer *announcer_create (struct event_base *base, const char *entries,
                             int64_t lease_ms,
                             json_t *(*describe) (void *context),
                             void *context);

/* No more renewals; tells an entry host so, the next one if need be.  */
void announcer_leave (announcer *announcer);
/* Whether the leave was heard, or every host was tried.  */
bool announcer_left (const announcer *announcer);

/* Sends BODY, whose reference is taken, to PATH of the present entry host; it
   may be lost.  */
void announcer_post (announcer *announcer, const char *path, json_t *body);

#endif
