/* Rate limit that an upstream states in its responses, for all hosts of its
   region together, and the part of it that this host may use.

   The limit is divided equally among a few hosts: as many as it has whole
   requests per second, at least one, the first by rendezvous hashing.  Each
   uses only its part, so the sum holds without a message per request, also
   while a host is cut off.

   Hosts tell each other what they know of a limit.  What is known has a number
   that grows with each change seen in a response; the higher number wins, and
   of two limits with the same number the lower one.  Only a response to a
   request sent after the limit became known can show that it has ended.

   Pure decision logic.  */
#ifndef MARJORAM_UPSTREAM_RATE_H
#define MARJORAM_UPSTREAM_RATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct marjoram_upstream_rate marjoram_upstream_rate;

/* What is known of a limit.  */
struct marjoram_rate_fact
{
  uint64_t number; /* 0: nothing is known */
  int64_t limit;   /* requests per 1,000 s; negative: no limit */
};

marjoram_upstream_rate *marjoram_upstream_rate_create (void);
void marjoram_upstream_rate_destroy (marjoram_upstream_rate *rate);
/* A response to a request sent at SENT_AT states LIMIT_PER_S requests per
   second; negative: no limit.  Returns whether that changes what is known.  */
bool marjoram_upstream_rate_state (marjoram_upstream_rate *rate, int64_t now,
                                   int64_t sent_at, double limit_per_s);
/* Another host tells FACT.  Returns whether that host lacks what is known
   here.  */
bool marjoram_upstream_rate_learn (marjoram_upstream_rate *rate, int64_t now,
                                   const struct marjoram_rate_fact *fact);
/* The upstream has restarted.  */
void marjoram_upstream_rate_reset (marjoram_upstream_rate *rate);
struct marjoram_rate_fact
marjoram_upstream_rate_fact (const marjoram_upstream_rate *rate);
bool marjoram_upstream_rate_is_limited (const marjoram_upstream_rate *rate);
/* Number of hosts, out of HOSTS, among which the limit is divided.  */
size_t marjoram_upstream_rate_sharers (const marjoram_upstream_rate *rate,
                                       size_t hosts);
/* Sets the number of hosts among which the limit is divided, and whether this
   host is one of them.  */
void marjoram_upstream_rate_set_sharers (marjoram_upstream_rate *rate,
                                         int64_t now, size_t sharers,
                                         bool is_sharer);
/* Time in ms until this host may send a request; 0 if it may now.  For a host
   without a part, the mean time between requests of the others.  */
int64_t marjoram_upstream_rate_wait_ms (marjoram_upstream_rate *rate,
                                        int64_t now);
/* To be called for each request sent.  */
void marjoram_upstream_rate_take (marjoram_upstream_rate *rate, int64_t now);

#endif
