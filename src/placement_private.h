/* Internals shared by placement.c (state and attempt lifecycle),
   placement_choose.c (selection), placement_rate.c (rate limits),
   placement_retry.c (Retry-After), placement_silence.c (upstreams that stop
   answering), placement_report.c (load reports between
   hosts) and placement_collect.c (load reports through collectors).  */
#ifndef MARJORAM_PLACEMENT_PRIVATE_H
#define MARJORAM_PLACEMENT_PRIVATE_H

#include "engine_cache.h"
#include "placement.h"
#include "upstream_rate.h"
#include "upstream_room.h"

#include <uthash.h>

struct marjoram_endpoint_load
{
  int64_t running;        /* requests */
  int64_t prefill_tokens; /* prompt tokens not yet prefilled */
  int64_t urgent;         /* the part of UNREAD with scheduling priority */
  int64_t held;           /* KV cache tokens held by running requests */
  int64_t answer;         /* response tokens still expected */
};

struct marjoram_endpoint;

/* Load of another host at one endpoint, from its last report.  */
struct marjoram_reported_load
{
  struct marjoram_endpoint *endpoint;
  struct marjoram_endpoint_load load;
};

/* Another host of the region that reports its load.  */
struct marjoram_reporter
{
  TAILQ_ENTRY (marjoram_reporter) link; /* oldest report first */
  char *host;
  int64_t received_at; /* time of the last report */
  struct marjoram_reported_load *loads;
  size_t count;
  size_t allocated;
  UT_hash_handle hh;
};

/* Value of INSTANCE_STARTED_AT while the endpoint is known only from other
 * hosts' reports. */
#define MARJORAM_START_UNKNOWN INT64_MIN

/* Retry-After of an upstream's answers.  */
struct marjoram_endpoint_retry
{
  int64_t at;        /* this host sends nothing before */
  int64_t tried_at;  /* last request sent */
  int64_t others_at; /* AT of another host, by its report */
  int refusals;      /* with Retry-After, in a row */
  bool report;       /* in the next load report */
};

/* Placement state of one upstream, in addition to the registry entry.  */
struct marjoram_endpoint
{
  TAILQ_ENTRY (marjoram_endpoint) checked_link; /* in CHECKED */
  TAILQ_ENTRY (marjoram_endpoint) active_link;  /* in ACTIVE, if IS_ACTIVE */
  TAILQ_ENTRY (marjoram_endpoint)
  collected_link; /* in COLLECTED, if IS_COLLECTED */
  bool is_active;
  bool is_collected;
  char *id;
  struct marjoram_endpoint_load own;
  struct marjoram_endpoint_load others; /* total of other hosts */
  size_t reporter_count;                /* hosts whose reports include it */
  int group;
  /* Total of all hosts, including this one, from the collector.  */
  struct marjoram_endpoint_load collected;
  /* Values of OWN last sent to the collector, and those sent before.  */
  struct marjoram_endpoint_load reported;
  struct marjoram_endpoint_load previously_reported;
  int64_t reported_at;
  marjoram_engine_cache *cache;
  int64_t capacity; /* KV cache size in tokens; 0 if unknown */
  int64_t
      instance_started_at; /* start time of the instance that CACHE models */
  int64_t paused_until;
  int64_t suspected_until;  /* used only if there is no alternative */
  int64_t disconnected_at;  /* 0 if its connections never broke */
  int64_t reported_lost_at; /* the same at another host, by its report */
  int64_t address_conflict_at;
  int64_t last_received_at; /* last response data to this host; 0 if none */
  int64_t head_received_at; /* last response head, likewise */
  enum marjoram_silence silence;
  int64_t cold_until;
  int64_t cold_sent_at; /* last request sent; limits the rate while cold */
  struct marjoram_endpoint_retry retry;
  marjoram_upstream_rate *rate; /* null until a limit is known */
  bool report_rate;             /* in the next load report */
  bool report_leaving;          /* likewise: its answers say that it leaves */
  int64_t sharers_checked_at;
  struct marjoram_upstream_room room;
  int connect_failures;
  int broken_responses;
  double failure_share;
  double delay_ms; /* mean delay of first events beyond the estimate */
  TAILQ_HEAD (, marjoram_placed_attempt) unanswered; /* oldest first */
  bool report_disconnect;
  uint64_t report_number; /* last report with it, at ITEM_INDEX */
  size_t item_index;
  UT_hash_handle hh;
};

struct marjoram_placed_attempt
{
  TAILQ_ENTRY (marjoram_placed_attempt)
  link; /* in UNANSWERED, until the response starts */
  uint64_t number;
  struct marjoram_endpoint *endpoint;
  char *service;
  int64_t started_at;
  int64_t instance_started_at; /* of the endpoint, when it was sent */
  int64_t prefill_tokens;
  int64_t queued; /* prefill tokens queued ahead when it was sent */
  int64_t held;
  int64_t answer;
  int64_t expected_ms; /* estimated time to the first event when sent */
  bool urgent;
  bool responding;
  UT_hash_handle hh;
};

/* Moving means over the upstreams of one service.  */
struct marjoram_service_stats
{
  char *service;
  double tokens_per_ms;
  double request_ms;
  /* Refusals per second that each upstream tolerates; negative: not stated. */
  double refusals_tolerated;
  int64_t tolerance_stated_at; /* last change */
  double backlog_ms; /* mean prefill backlog of the region's engines */
  UT_hash_handle hh;
};

struct marjoram_placed_item
{
  STAILQ_ENTRY (marjoram_placed_item) link;
  struct marjoram_endpoint *endpoint;
  struct marjoram_prompt_part part;
};

TAILQ_HEAD (marjoram_endpoint_list, marjoram_endpoint);

struct marjoram_placement
{
  struct marjoram_placement_options options;
  struct marjoram_load_features features;
  char *host; /* this host's name; owned */
  char *region;
  char *zone; /* NULL if unknown */
  struct marjoram_endpoint *endpoints;
  struct marjoram_endpoint_list checked; /* least recently checked first */
  /* Endpoints with requests of this host, or with load that changed since the
     last report.  */
  struct marjoram_endpoint_list active;
  /* Endpoints with load in the totals of a group's collector.  */
  struct marjoram_endpoint_list collected[MARJORAM_LOAD_GROUPS];
  struct marjoram_placed_attempt *attempts;
  struct marjoram_service_stats *service_stats;
  STAILQ_HEAD (, marjoram_placed_item)
  placed; /* placed since the last report */
  uint64_t report_count;
  int64_t rates_reported_at;
  int64_t collected_at[MARJORAM_LOAD_GROUPS]; /* 0 if no totals are held */
  struct marjoram_reporter *reporters;
  TAILQ_HEAD (, marjoram_reporter) reporters_by_age;
};

struct marjoram_endpoint *
marjoram_endpoint_find_or_add (marjoram_placement *placement, const char *id);
/* The endpoint of UPSTREAM, reset if the upstream has restarted.  */
struct marjoram_endpoint *
marjoram_endpoint_of (marjoram_placement *placement,
                      const struct marjoram_registered *upstream);
/* Total load of ENDPOINT from this and all other reporting hosts.  Call
   marjoram_placement_expire_reports first.  */
struct marjoram_endpoint_load
marjoram_endpoint_total_load (const struct marjoram_endpoint *endpoint,
                              int64_t now);
/* When another host last lost a connection to ENDPOINT, by its report; 0 if
   never.  Data that this host has received since shows that only the other
   host's connection broke.  */
int64_t
marjoram_endpoint_reported_lost_at (const struct marjoram_endpoint *endpoint);
/* Includes ENDPOINT in the next load report.  */
void marjoram_endpoint_set_active (marjoram_placement *placement,
                                   struct marjoram_endpoint *endpoint);
void marjoram_endpoint_set_idle (marjoram_placement *placement,
                                 struct marjoram_endpoint *endpoint);
size_t marjoram_placement_active_count (const marjoram_placement *placement);
/* Removes endpoints from ACTIVE that the last report left without requests and
   without changes.  */
void marjoram_placement_remove_idle (marjoram_placement *placement);
/* Removes the collector's total from ENDPOINT.  */
void marjoram_endpoint_clear_collected (marjoram_placement *placement,
                                        struct marjoram_endpoint *endpoint);
/* Drops reports of hosts that have timed out.  */
void marjoram_placement_expire_reports (marjoram_placement *placement,
                                        int64_t now);
/* Drops totals of collectors that have timed out.  */
void marjoram_placement_expire_totals (marjoram_placement *placement,
                                       int64_t now);
/* Load of other hosts at ENDPOINT according to its collector.  */
struct marjoram_endpoint_load
marjoram_endpoint_collected_load (const struct marjoram_endpoint *endpoint,
                                  int64_t now);
int marjoram_load_group (const char *upstream);
void marjoram_load_add (struct marjoram_endpoint_load *sum,
                        const struct marjoram_endpoint_load *load,
                        int64_t sign);
struct marjoram_endpoint_load
marjoram_load_from_item (const struct marjoram_load_item *item);
/* Builds the report item for ENDPOINT; the item owns its string.  */
struct marjoram_load_item
marjoram_endpoint_report_item (struct marjoram_endpoint *endpoint,
                               int64_t now);
/* Whether ENDPOINT belongs into the next load report, whatever its load.  */
bool marjoram_endpoint_has_news (const struct marjoram_endpoint *endpoint);
/* Applies what another host's report item says of ENDPOINT besides its load.
 */
void marjoram_endpoint_apply_news (marjoram_placement *placement,
                                   struct marjoram_endpoint *endpoint,
                                   int64_t now,
                                   const struct marjoram_load_item *item);
/* Adds what is known of ENDPOINT's rate limit to its report item.  */
void marjoram_endpoint_add_rate (struct marjoram_endpoint *endpoint,
                                 struct marjoram_load_item *item);
/* Includes the known rate limits in the next load report, if they are due.  */
void marjoram_placement_renew_rates (marjoram_placement *placement,
                                     int64_t now);
/* Applies what another host's report item tells of ENDPOINT's rate limit.  */
void marjoram_endpoint_learn_rate (marjoram_placement *placement,
                                   struct marjoram_endpoint *endpoint,
                                   int64_t now,
                                   const struct marjoram_load_item *item);
bool
marjoram_endpoint_is_rate_limited (const struct marjoram_endpoint *endpoint);
/* Time in ms until this host may send ENDPOINT a request within its rate
   limit; 0 if it may now.  */
int64_t marjoram_endpoint_rate_wait_ms (marjoram_placement *placement,
                                        struct marjoram_endpoint *endpoint,
                                        int64_t now);
/* Time in ms until this host may send ENDPOINT a request after a Retry-After;
   0 if it may now.  */
int64_t
marjoram_endpoint_retry_wait_ms (const struct marjoram_endpoint *endpoint,
                                 int64_t now);
void marjoram_endpoint_clear_retry (struct marjoram_endpoint *endpoint);
/* Adds what answers of ENDPOINT said to this host to its report item.  */
void marjoram_endpoint_add_statements (struct marjoram_endpoint *endpoint,
                                       int64_t now,
                                       struct marjoram_load_item *item);
/* Applies what answers of ENDPOINT said to another host.  */
void marjoram_endpoint_learn_statements (
    marjoram_placement *placement, struct marjoram_endpoint *endpoint,
    int64_t now, const struct marjoram_load_item *item);
/* The upstream has begun to answer ATTEMPT, so that it accepts requests again
   if ATTEMPT was sent after its Retry-After.  */
void
marjoram_attempt_end_trial (const struct marjoram_placed_attempt *attempt);
/* Null if NUMBER is unknown.  */
struct marjoram_placed_attempt *
marjoram_placement_find_attempt (marjoram_placement *placement,
                                 uint64_t number);
void
marjoram_endpoint_apply_placed (struct marjoram_endpoint *endpoint,
                                const struct marjoram_placed_part *placed);
void marjoram_reporter_destroy (marjoram_placement *placement,
                                struct marjoram_reporter *reporter);
int64_t marjoram_endpoint_cached_tokens (
    const struct marjoram_endpoint *endpoint,
    const struct marjoram_call_metadata *metadata);
/* Whether UPSTREAM is usable, or good as the last resort of QUERY, in this
   region and not in an evacuated zone.  */
bool marjoram_placement_is_candidate (
    marjoram_placement *placement, const struct marjoram_registered *upstream,
    const struct marjoram_place_query *query, int64_t now);
/* Unread tokens that delay a request of PRIORITY.  */
int64_t marjoram_load_queued_tokens (const struct marjoram_endpoint_load *load,
                                     int priority);
/* Expected number of response tokens.  */
double marjoram_answer_tokens (const struct marjoram_call_metadata *metadata);
struct marjoram_service_stats *
marjoram_placement_service_stats (marjoram_placement *placement,
                                  const char *service);
void marjoram_placement_clear_placed (marjoram_placement *placement);

#endif
