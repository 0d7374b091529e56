/* Entry hosts of several regions in virtual time: each runs a real gateway,
   links and upstreams are simulated.  Counts the arrivals of requests at
   upstreams and checks them against the bound on repeats and against the rate
   limits and times of Retry-After that upstreams state.  Some parts of prompts
   may crash upstreams.  */
#ifndef MARJORAM_TEST_LIB_FLEET_H
#define MARJORAM_TEST_LIB_FLEET_H

#include "load_features.h"
#include "metrics.h"
#include "repeat_budget.h"

#include <stdbool.h>
#include <stdint.h>

enum
{
  FLEET_REGIONS = 3,
  FLEET_HOSTS_PER_REGION = 3,
  FLEET_HOSTS = FLEET_REGIONS * FLEET_HOSTS_PER_REGION,
  FLEET_UPSTREAMS_PER_REGION = 4
};

struct fleet;

/* How connections of a host to upstreams fail.  */
enum fleet_cut
{
  FLEET_CUT_NONE,
  FLEET_CUT_RESET, /* open ones are reset, new ones refused */
  FLEET_CUT_SILENT /* open ones fall silent, new ones time out */
};

struct fleet_counts
{
  int served;
  int refused;
  int repeats; /* arrivals beyond the first of their request */
};

struct fleet *fleet_create (const struct marjoram_repeat_limits *limits,
                            uint64_t seed);
void fleet_destroy (struct fleet *fleet);
/* Callers send PER_S requests per second to the hosts of REGION.  */
void fleet_set_rate (struct fleet *fleet, int region, double per_s);
/* All hosts have these optional functions, instead of none.  */
void fleet_set_load (struct fleet *fleet,
                     const struct marjoram_load_features *load);
/* Messages between hosts of REGION and others get lost, or arrive again.
   Hosts notice lost links after some time.  */
void fleet_cut_region (struct fleet *fleet, int region, bool cut);
/* Upstreams of REGION, with their room, queue requests instead of refusing
   them.  */
void fleet_set_queueing (struct fleet *fleet, int region, bool queues);
/* Answers are streams, whose first event is sent after the time of
   fleet_set_serve_ms and the rest after MS in the mean.  0: answers are sent
   whole.  */
void fleet_set_stream_ms (struct fleet *fleet, int64_t ms);
/* Sum of METRIC over the hosts of REGION since their last start.  */
uint64_t fleet_metric (const struct fleet *fleet, int region,
                       enum marjoram_metric metric);
/* This share of requests, instead of none, is for routes whose only home is
   the caller's region.  */
void fleet_set_home_share (struct fleet *fleet, double share);
/* Upstreams refuse this share of their arrivals, without running them; one
   upstream of the last region never does.  */
void fleet_set_refusals (struct fleet *fleet, double share);
void fleet_run_until (struct fleet *fleet, int64_t until_ms);
/* Responses of UPSTREAM, from 1, of REGION state RATE_LIMIT requests per
   second; negative: no limit.  */
void fleet_set_rate_limit (struct fleet *fleet, int region, int upstream,
                           double rate_limit);
/* Upstreams of REGION run ROOM requests at once, refuse others, and state in
   all responses that they tolerate BRITTLE refusals per second; negative: no
   such statement.  */
void fleet_set_room (struct fleet *fleet, int region, int room, int brittle);
/* The largest number of requests that an upstream of REGION refused for want
   of room in any second.  */
int fleet_refusal_peak (const struct fleet *fleet, int region, int64_t from_ms,
                        int64_t until_ms);
/* How an upstream refuses requests.  */
struct fleet_shedding
{
  double share; /* of its arrivals */
  const char *retry_after;
  double other_share; /* of the refusals; with OTHER_RETRY_AFTER */
  const char *other_retry_after;
};
/* UPSTREAM, from 1, of REGION refuses requests; null: it no longer does.
   SHEDDING is borrowed.  */
void fleet_set_shedding (struct fleet *fleet, int region, int upstream,
                         const struct fleet_shedding *shedding);
/* How often upstreams asked a host to stay away, after how many of these too
   many requests arrived, and the most that did.  */
struct fleet_retry_counts
{
  int asked;
  int broken;
  int worst;
};
struct fleet_retry_counts fleet_count_retries (const struct fleet *fleet);
/* Whether all answers of UPSTREAM, from 1, of REGION say that it leaves.  Its
   heartbeats say that it is ready.  */
void fleet_set_leaving (struct fleet *fleet, int region, int upstream,
                        bool leaving);
/* Answers that said so to a host, and requests that reached the upstream from
   that host although their callers sent them long after it.  */
struct fleet_leaving_counts
{
  int told;
  int late;
};
struct fleet_leaving_counts fleet_count_leaving (const struct fleet *fleet);
/* UPSTREAM, from 1, of REGION starts again under its id.  */
void fleet_restart_upstream (struct fleet *fleet, int region, int upstream);
/* All requests of callers are for the route with PREFIX.  */
void fleet_set_route (struct fleet *fleet, const char *prefix);
/* HOST loses its connections to all upstreams, or gets them back.  Links
   between hosts work.  */
void fleet_cut_host (struct fleet *fleet, int host, enum fleet_cut cut);
/* UPSTREAM, from 1, of REGION falls silent as a machine without power does: it
   answers neither requests nor new connections and sends no heartbeats; or it
   is back, without what it ran.  */
void fleet_set_dark (struct fleet *fleet, int region, int upstream, bool dark);
/* UPSTREAM, from 1, of REGION sends the first data of an answer after MS
   instead of the usual time; 0: the usual time.  */
void fleet_set_slow (struct fleet *fleet, int region, int upstream,
                     int64_t ms);
/* Requests whose attempt was lost at a dark upstream.  */
struct fleet_dark_counts
{
  int lost;
  int waiting; /* of these, neither sent elsewhere nor ended yet */
  /* Longest time from the loss, which is when the upstream fell silent or the
     request was sent to it, until it was sent elsewhere or ended.  */
  int64_t worst_ms;
  int elsewhere; /* requests that failed but never were at a dark upstream */
  uint64_t verdicts; /* at all hosts */
  uint64_t attempts; /* ended by verdicts */
  uint64_t checks;
};
struct fleet_dark_counts fleet_count_dark (const struct fleet *fleet);
/* First attempts of callers at HOST.  */
struct fleet_counts fleet_count_host (const struct fleet *fleet, int host,
                                      int64_t from_ms, int64_t until_ms);
/* All hosts lose their memory.  */
void fleet_restart_hosts (struct fleet *fleet);
/* HOST loses its memory.  */
void fleet_restart_host (struct fleet *fleet, int host);
/* The prompts of requests: each has BEFORE parts that all have, then, if it
   crashes upstreams, one of CRASHING parts, then AFTER parts that all have,
   then one of SESSIONS parts, and one of its own.  */
struct fleet_prompts
{
  int before;
  int after;
  int crashing;
  int sessions;
};
/* All requests of callers are for the route with PREFIX and have prompts.  */
void fleet_set_prompts (struct fleet *fleet, const char *prefix,
                        const struct fleet_prompts *prompts);
/* Upstreams answer after MS.  */
void fleet_set_serve_ms (struct fleet *fleet, int64_t ms);
/* Callers send PER_S more requests per second to REGION that crash the
   upstream which begins to answer them.  It is back after two seconds, under
   another id.  */
void fleet_set_crash_rate (struct fleet *fleet, int region, double per_s);
/* UPSTREAM, from 1, of REGION crashes.  */
void fleet_crash_upstream (struct fleet *fleet, int region, int upstream);
/* The connections of all hosts to UPSTREAM are reset; it runs on.  */
void fleet_reset_upstream (struct fleet *fleet, int region, int upstream);
/* The time of crash NUMBER, from 1, by CRASHING part, from 0; negative if
   there was none.  */
int64_t fleet_crash_at (const struct fleet *fleet, int crashing, int number);
int fleet_crashes (const struct fleet *fleet);
/* Arrivals at upstreams of requests with CRASHING part.  */
int fleet_crashing_arrivals (const struct fleet *fleet, int crashing,
                             int64_t from_ms, int64_t until_ms);
/* Requests without a crashing part that were refused as if they had one.  */
int fleet_convicted_sound (const struct fleet *fleet);
/* The share of requests without a crashing part that were served, by the time
   at which they were sent.  */
double fleet_sound_share (const struct fleet *fleet, int64_t from_ms,
                          int64_t until_ms);
/* Requests that arrived at UPSTREAM of REGION.  */
int fleet_arrivals (const struct fleet *fleet, int region, int upstream,
                    int64_t from_ms, int64_t until_ms);
/* The largest number of requests beyond a rate limit in any window of any
   upstream; its start is stored in FROM_MS.  Negative if the bound holds.  */
double fleet_rate_excess (const struct fleet *fleet, int64_t *from_ms);
struct fleet_counts fleet_count (const struct fleet *fleet, int64_t from_ms,
                                 int64_t until_ms);
/* Repeats that the hosts have permitted since their last start.  */
uint64_t fleet_permitted (const struct fleet *fleet);
/* The largest number of repeats beyond the bound in any window; its start is
   stored in FROM_MS.  Negative if the bound holds.  */
double fleet_excess (const struct fleet *fleet, int64_t *from_ms);

/* ---- Customers.  ---- */

enum
{
  FLEET_CUSTOMERS = 3
};

/* A fleet whose callers are customers without quotas, with share_room if
   SHARES.  Their prompts are long, and each upstream processes one at a
   time: FLEET_PROMPTS_PER_S.  Requests for /home0/ stay in region 0.  */
enum
{
  FLEET_PROMPTS_PER_S = 20
};
struct fleet *fleet_create_shared (const struct marjoram_repeat_limits *limits,
                                   uint64_t seed, bool shares);
/* CUSTOMER, from 0, sends PER_S requests per second on average to the first
   HOSTS hosts of REGION.  */
void fleet_set_customer_rate (struct fleet *fleet, int region, int customer,
                              double per_s, int hosts);
/* The first host of REGION, which is its collector, loses its memory; another
   host is the collector after one second.  */
void fleet_kill_collector (struct fleet *fleet, int region);
/* HOST gets no sums and its reports are lost, or no longer.  */
void fleet_cut_room (struct fleet *fleet, int host, bool cut);
/* The share of CUSTOMER's requests to REGION that were served, by the time at
   which they were sent.  */
double fleet_customer_share (const struct fleet *fleet, int region,
                             int customer, int64_t from_ms, int64_t until_ms);
/* The share of the time in which the upstreams of REGION were busy.  */
double fleet_busy_share (const struct fleet *fleet, int region,
                         int64_t from_ms, int64_t until_ms);
/* The largest Retry-After of CUSTOMER's refused requests.  */
int64_t fleet_longest_retry_ms (const struct fleet *fleet, int customer,
                                int64_t from_ms, int64_t until_ms);

#endif
