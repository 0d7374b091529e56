/* Estimates the receive lag of this host in ms.  A saturated network link or a
   stalled event loop delays all connections, whereas a dead or slow peer
   delays only its own; the host's lag is therefore the minimum over its
   connections.  Pure decision logic.  Heartbeats are acknowledged at once and
   in order on each connection, so that acknowledgements need not identify the
   heartbeat.  */
#ifndef MARJORAM_OWN_RECEIVE_LAG_H
#define MARJORAM_OWN_RECEIVE_LAG_H

#include <stdbool.h>
#include <stdint.h>

/* State of one connection; at most one heartbeat is timed at once.  */
struct marjoram_link_lag
{
  uint64_t sent; /* heartbeats sent */
  uint64_t answered;
  uint64_t timed;        /* number of the timed heartbeat; 0 if none */
  int64_t timed_at;      /* send time of the timed heartbeat */
  int64_t round_trip_ms; /* last measured round trip; -1 if none */
};

/* The connection has been established.  */
void marjoram_link_lag_start (struct marjoram_link_lag *lag);
void marjoram_link_lag_sent (struct marjoram_link_lag *lag, int64_t now);
void marjoram_link_lag_answered (struct marjoram_link_lag *lag, int64_t now);

struct marjoram_own_lag
{
  /* Of the measurement in progress.  */
  int links;
  int64_t min_ms;
  int64_t received_at; /* last data received on any connection */

  int64_t measured_at; /* end of the last measurement; 0 if none */
  int64_t ms;          /* current lag; initially 0 */
  int64_t ms_at;
};

/* One measurement: begin, then add for each open connection with the time when
   data was last received on it, then end.  */
void marjoram_own_lag_begin (struct marjoram_own_lag *own);
void marjoram_own_lag_add (struct marjoram_own_lag *own, int64_t now,
                           const struct marjoram_link_lag *lag,
                           int64_t received_at);
void marjoram_own_lag_end (struct marjoram_own_lag *own, int64_t now);

#endif
