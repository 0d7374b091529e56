/* A relay stands between two of our processes and carries their TCP
   connections, until a test has it hold them back, refuse them, forget some
   of them or deliver late.  */
#ifndef MARJORAM_TEST_RELAY_H
#define MARJORAM_TEST_RELAY_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

struct relay;

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
/* A full path: no more than BYTES a second pass on each connection, both ways
   together; 0: any number.  */
void relay_set_rate (struct relay *relay, int64_t bytes);
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
