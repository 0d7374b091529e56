/* A relay stands between two of our processes and carries their TCP
   connections, until a test has it hold them back, refuse them, forget some
   of them or deliver late.  */
#ifndef MARJORAM_TEST_RELAY_H
#define MARJORAM_TEST_RELAY_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

struct relay;
/* The link of one host, which carries so many bytes a second in each
   direction; relays that share it stand for the host's connections.  */
struct relay_link;

enum relay_mode
{
  RELAY_PASS,
  RELAY_HOLD,  /* as a partition does: bytes wait, nobody is told */
  RELAY_REFUSE /* as a dead machine's system does: connections are refused */
};

/* Listens on ADDRESS and connects to TARGET, each IP:port; null if it can't
   listen.  */
struct relay *relay_create (struct event_base *base, const char *address,
                            const char *target);
void relay_destroy (struct relay *relay);
/* Listens again as soon as the system lets go of the port.  */
void relay_set_mode (struct relay *relay, enum relay_mode mode);
/* What passes from now on arrives MS later.  */
void relay_set_delay (struct relay *relay, int64_t ms);
struct relay_link *relay_link_create (int64_t bytes_per_second);
/* Once no relay uses it.  */
void relay_link_destroy (struct relay_link *link);
/* What passes from now on goes through LINK, whose host is the target, or else
   the one that connects.  */
void relay_set_link (struct relay *relay, struct relay_link *link,
                     bool at_target);
/* The present connections stay open and carry nothing, for good.  */
void relay_silence (struct relay *relay);
/* The present connections carry nothing until they are released; then they
   deliver late what was sent meanwhile.  */
void relay_stall (struct relay *relay);
void relay_release (struct relay *relay);
/* The present connections are closed.  */
void relay_drop (struct relay *relay);
/* Connections that were ever made, and bytes carried.  */
uint64_t relay_connections (const struct relay *relay);
uint64_t relay_bytes (const struct relay *relay);

#endif
