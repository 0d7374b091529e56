/* TCP proxy between two processes that injects network faults: partitions,
   refused connections, stalled connections, delay and limited bandwidth.  */
#ifndef MARJORAM_TEST_RELAY_H
#define MARJORAM_TEST_RELAY_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

struct relay;
/* Bandwidth-limited network link of one host, shared by the relays of its
   connections.  */
struct relay_link;

enum relay_mode
{
  RELAY_PASS,
  RELAY_HOLD, /* partition: data is buffered, neither side is notified */
  /* The same only for data from the target: a link that is cut one way.  */
  RELAY_HOLD_ANSWERS,
  RELAY_REFUSE /* machine down: connections are refused */
};

/* Listens on ADDRESS and forwards to TARGET, both IP:port.  Returns NULL if it
   cannot listen.  */
struct relay *relay_create (struct event_base *base, const char *address,
                            const char *target);
void relay_destroy (struct relay *relay);
/* Leaving RELAY_REFUSE retries listening until the port is free.  */
void relay_set_mode (struct relay *relay, enum relay_mode mode);
/* Delays subsequent data by MS milliseconds.  */
void relay_set_delay (struct relay *relay, int64_t ms);
/* Loses PER_MILLE of the subsequent pieces of data and of the packets that
   open a connection.  As TCP repeats them, data arrives 250 ms later and
   delays what follows it, and a connection carries data 1 s later.  */
void relay_set_loss (struct relay *relay, int per_mille, uint64_t seed);
struct relay_link *relay_link_create (int64_t bytes_per_second);
/* Must not be called while a relay uses LINK.  */
void relay_link_destroy (struct relay_link *link);
/* Sends subsequent data over LINK, which belongs to the target if AT_TARGET,
   otherwise to the connecting host.  */
void relay_set_link (struct relay *relay, struct relay_link *link,
                     bool at_target);
/* Rewrites requests to HTTP/1.0, whose answers of unknown length end with
   their connection.  A request line must arrive in one piece.  */
void relay_downgrade (struct relay *relay);
/* Refusals of the target, answers 503 and 429 that arrive in one piece, come
   once more some time later, on the same connection.  */
void relay_copy_refusals (struct relay *relay);
/* Keeps existing connections open but delivers no further data on them.  */
void relay_silence (struct relay *relay);
/* Buffers data on existing connections until relay_release.  */
void relay_stall (struct relay *relay);
void relay_release (struct relay *relay);
/* Closes all existing connections.  */
void relay_drop (struct relay *relay);
/* Total connections accepted and bytes forwarded.  */
uint64_t relay_connections (const struct relay *relay);
uint64_t relay_bytes (const struct relay *relay);

#endif
