/* Selects the upstream of the local region for each request and rejects
   requests that no upstream can serve in time.  Pure decision logic: inputs
   are the requests running on this host, load reports from the region's other
   hosts, and a model of each engine's prefix cache.  */
#ifndef MARJORAM_PLACEMENT_H
#define MARJORAM_PLACEMENT_H

#include "gateway_message.h"
#include "host_list.h"
#include "load_features.h"
#include "registry.h"
#include "route_table.h"
#include "upstream_check.h"

typedef struct marjoram_placement marjoram_placement;

struct marjoram_zones_in_force
{
  uint64_t number; /* of the state that listed them; 0: none was received */
  int64_t age_ms;  /* since that state came into force */
  size_t evacuated;
};

struct marjoram_placement_options
{
  marjoram_registry *registry; /* borrowed */
  marjoram_host_list *hosts;   /* borrowed */
  const char *host;            /* this host's name */
  const char *region;
  const char *zone; /* of this host; NULL if unknown */
  /* Region of a zone; NULL if the zone is unknown.  */
  const char *(*region_of) (void *context, const char *zone);
  bool (*is_evacuated) (void *context, const char *zone);
  /* Whether the evacuation of ZONE has just begun, so that its upstreams
     remain available as a last resort.  */
  bool (*is_leaving) (void *context, const char *zone);
  /* The list of zones that is_evacuated consults, for logging; may be null. */
  void (*zones) (void *context, int64_t now,
                 struct marjoram_zones_in_force *zones);
  void *context;
};

enum
{
  MARJORAM_TRIED_MAX = 8 /* upstreams excluded per request */
};

struct marjoram_place_query
{
  const struct marjoram_service_rule *service;
  const struct marjoram_call_metadata *metadata;
  int priority;
  /* Time left for the first event or the complete response; a request whose
     estimated wait is longer is rejected.  */
  int64_t time_left_ms;
  /* For starting an attempt: values from the corresponding struct
     marjoram_place.  */
  int64_t expected_ms;
  int64_t copied_tokens;
  const char *tried[MARJORAM_TRIED_MAX];
  size_t tried_count;
  bool allow_tried; /* allow upstreams that were already tried */
  /* Allow zones whose evacuation has just begun and, for a required build,
     upstreams that have just said that they leave.  */
  bool last_resort;
  /* Allow engines whose slots are taken, also if waits are measured.  */
  bool allow_engine_queue;
  /* Only upstreams of this build; null: of any.  */
  const char *build;
};

enum marjoram_place_outcome
{
  MARJORAM_PLACE_FOUND,
  MARJORAM_PLACE_NONE, /* no usable upstream */
  MARJORAM_PLACE_BUSY  /* every upstream would respond too late */
};

/* The limit that rules out an upstream.  */
enum marjoram_place_limit
{
  MARJORAM_PLACE_LIMIT_NONE,
  MARJORAM_PLACE_LIMIT_DEADLINE,   /* response would be too late */
  MARJORAM_PLACE_LIMIT_BACKLOG,    /* too many queued prompts */
  MARJORAM_PLACE_LIMIT_RATE,       /* rate limits stated by all upstreams */
  MARJORAM_PLACE_LIMIT_RETRY_AFTER /* stated by all upstreams */
};
const char *marjoram_place_limit_name (enum marjoram_place_limit limit);

/* Why an upstream is not usable.  */
enum marjoram_place_exclusion
{
  MARJORAM_EXCLUDED_NOT,
  MARJORAM_EXCLUDED_PAUSED,        /* at capacity a moment ago */
  MARJORAM_EXCLUDED_UNREACHABLE,   /* connections from this host fail */
  MARJORAM_EXCLUDED_REPLACED,      /* another upstream has its address */
  MARJORAM_EXCLUDED_TRIED,         /* by this request */
  MARJORAM_EXCLUDED_COLD,          /* and fed by another host */
  MARJORAM_EXCLUDED_REPORTED_LOST, /* the same, for a connection that another
                                      host lost */
  MARJORAM_EXCLUDED_RATE,          /* no part of its rate limit is left */
  MARJORAM_EXCLUDED_RETRY_AFTER,   /* it told this host to wait */
  MARJORAM_EXCLUDED_ROOM,          /* it would refuse, and tolerates few */
  MARJORAM_EXCLUDED_BUILD,         /* another build, or not sure to be the
                                      required one; no candidate */
  MARJORAM_EXCLUDED_DARK,          /* it has stopped answering */
  MARJORAM_EXCLUDED_COUNT
};

struct marjoram_place
{
  enum marjoram_place_outcome outcome;
  const struct marjoram_registered *upstream; /* FOUND */
  /* Engine from which the cached part of the prompt is copied; NULL if nothing
     is copied.  */
  const struct marjoram_registered *copy_from;
  int64_t copied_tokens;
  int64_t wait_ms;  /* estimated time to the first event; 0 if NONE */
  int64_t retry_ms; /* unless FOUND: delay before a retry */
  /* For an engine: tokens of the prompt to be prefilled, and the time by which
     its backlog exceeds the limit.  */
  int64_t prefill_tokens;
  int64_t excess_ms;
  /* Prefill throughput of this host's share of the usable engines, and of a
     single engine; 0 for a service without engines.  */
  double tokens_per_ms;
  double engine_tokens_per_ms;
  /* Inputs of the decision, for logging.  */
  int candidates; /* upstreams of the service in this region */
  int usable;     /* those that may be sent requests now */
  int excluded[MARJORAM_EXCLUDED_COUNT]; /* numbers of the others */
  /* Of those excluded for their build: of the required one, if their next
     heartbeat, which is due, shows that they have not started again.  */
  int unconfirmed;
  /* Until the first of those excluded for their rate limit, or for their
     Retry-After, accepts a request; 0 if there is none.  */
  int64_t rate_wait_ms;
  int64_t retry_wait_ms;
  int64_t backlog_ms;              /* queued prompts at the chosen upstream */
  enum marjoram_place_limit limit; /* unless FOUND: the limit exceeded */
  int64_t heartbeat_age_ms;        /* age of the oldest heartbeat considered */
  struct marjoram_zones_in_force zones;
};

marjoram_placement *
marjoram_placement_create (const struct marjoram_placement_options *options);
void marjoram_placement_destroy (marjoram_placement *placement);

void marjoram_placement_set_features (
    marjoram_placement *placement,
    const struct marjoram_load_features *features);

void marjoram_placement_choose (marjoram_placement *placement, int64_t now,
                                const struct marjoram_place_query *query,
                                struct marjoram_place *place);

/* Whether UPSTREAM was heard since connections to it broke, here or at another
   host, so that it has not restarted unnoticed.  */
bool
marjoram_placement_is_confirmed (marjoram_placement *placement,
                                 const struct marjoram_registered *upstream);

/* Capacity this region offers to others: the number of warm upstreams of
   SERVICE, and the wait at the least loaded one.  OFFER borrows its strings.
 */
void marjoram_placement_offer (marjoram_placement *placement, int64_t now,
                               const struct marjoram_service_rule *service,
                               struct marjoram_host_offer *offer);

/* Mean prefill backlog of SERVICE's engines in this region in ms, as of the
   most recent marjoram_placement_offer call.  */
double marjoram_placement_backlog (marjoram_placement *placement,
                                   const char *service);

/* Mean duration of the requests of SERVICE at its upstreams in ms.  */
double marjoram_placement_request_ms (marjoram_placement *placement,
                                      const char *service);

/* Lifecycle of one attempt at UPSTREAM; each attempt is started and ended
   exactly once.  */
void
marjoram_placement_attempt_started (marjoram_placement *placement, int64_t now,
                                    uint64_t attempt, const char *upstream,
                                    const struct marjoram_place_query *query);
/* The first event or the response headers arrived.  */
void marjoram_placement_response_started (marjoram_placement *placement,
                                          int64_t now, uint64_t attempt);
void marjoram_placement_data_received (marjoram_placement *placement,
                                       int64_t now, uint64_t attempt);
/* When the upstream of ATTEMPT last sent any data to this host, for whichever
   attempt; 0 if it never did or ATTEMPT is unknown.  */
int64_t marjoram_placement_last_received_at (marjoram_placement *placement,
                                             uint64_t attempt);
/* ---- Upstreams that stop answering (upstream_check.h).  ---- */

void marjoram_placement_set_silence (marjoram_placement *placement,
                                     const char *upstream,
                                     enum marjoram_silence silence);
/* The address of an upstream of this region other than ID that is ready and
   not silent, a different one for each NUMBER if there are several; null if
   there is none.  */
const char *marjoram_placement_find_other (marjoram_placement *placement,
                                           const char *id, uint64_t number);
/* The head of an answer to ATTEMPT arrived.  */
void marjoram_placement_head_received (marjoram_placement *placement,
                                       int64_t now, uint64_t attempt);
/* Upper limit of the number of upstreams at which requests of this host run.
 */
size_t marjoram_placement_awaited_max (const marjoram_placement *placement);
/* Stores up to MAX of them in FOUND, whose strings are borrowed until the next
   call of any function; returns their number.  */
size_t
marjoram_placement_find_awaited (marjoram_placement *placement,
                                 struct marjoram_awaited_upstream *found,
                                 size_t max);

/* Time in ms for which UPSTREAM gets no requests from this host; 0 if it may
   get one, or is unknown.  */
int64_t marjoram_placement_paused_ms (marjoram_placement *placement,
                                      int64_t now, const char *upstream);
enum marjoram_attempt_end
{
  MARJORAM_ATTEMPT_SERVED,
  MARJORAM_ATTEMPT_CANCELLED,
  MARJORAM_ATTEMPT_REFUSED,        /* at capacity: not executed */
  MARJORAM_ATTEMPT_WRONG_UPSTREAM, /* another upstream owns the address */
  MARJORAM_ATTEMPT_FAILED,         /* upstream returned an error */
  MARJORAM_ATTEMPT_UNREACHED,      /* no connection: not executed */
  MARJORAM_ATTEMPT_BROKEN, /* connection broken: may have been executed */
  MARJORAM_ATTEMPT_TIMED_OUT
};
void marjoram_placement_attempt_ended (marjoram_placement *placement,
                                       int64_t now, uint64_t attempt,
                                       enum marjoram_attempt_end outcome);
/* A connection to ADDRESS broke or, unless WAS_OPEN, could not be opened: the
   upstream may have restarted with a cold cache.  Only broken ones are
   reported to other hosts: that this host cannot open one says nothing about
   theirs.  */
void marjoram_placement_connection_lost (marjoram_placement *placement,
                                         int64_t now, const char *address,
                                         bool was_open);
/* A response from UPSTREAM reports that it stays cold for COLD_MS.  */
void marjoram_placement_set_cold (marjoram_placement *placement, int64_t now,
                                  const char *upstream, int64_t cold_ms);
/* The response to ATTEMPT states that its upstream accepts RATE_LIMIT requests
   per second from all hosts together; negative: no limit.  Returns whether
   that is new.  */
bool marjoram_placement_set_rate_limit (marjoram_placement *placement,
                                        int64_t now, uint64_t attempt,
                                        double rate_limit);
/* The response to ATTEMPT states that the upstreams of its service tolerate
   PER_S refusals per second; negative: no such statement.  Returns whether
   that is new.  */
bool marjoram_placement_set_refusals_tolerated (marjoram_placement *placement,
                                                int64_t now, uint64_t attempt,
                                                double per_s);
/* The upstream of ATTEMPT refused it and tells this host to wait for
   RETRY_AFTER_MS.  That holds until then or until the upstream restarts, also
   if it states less later.  Returns whether that is later than known.  */
bool marjoram_placement_set_retry_after (marjoram_placement *placement,
                                         int64_t now, uint64_t attempt,
                                         int64_t retry_after_ms);
/* The response to ATTEMPT states that its upstream leaves.  Returns whether
   that is new.  */
bool marjoram_placement_set_leaving (marjoram_placement *placement,
                                     int64_t now, uint64_t attempt);
/* The evacuation of ZONE ended: its upstreams are treated as cold until their
   next heartbeat.  */
void marjoram_placement_zone_restored (marjoram_placement *placement,
                                       int64_t now, const char *zone);

/* UPSTREAM reports that it has PARTS cached.  */
void marjoram_placement_add_cached (marjoram_placement *placement,
                                    const char *upstream,
                                    const struct marjoram_prompt_part *parts,
                                    size_t count);

/* Builds a report for the region's other hosts: all requests running from this
   host, and the prompt parts placed since the last report.  The caller clears
   REPORT.  */
void marjoram_placement_report (marjoram_placement *placement, int64_t now,
                                struct marjoram_load_report *report);
void
marjoram_placement_apply_report (marjoram_placement *placement, int64_t now,
                                 const char *host,
                                 const struct marjoram_load_report *report);
/* ---- Reports through collectors, for large fleets (load_collector.h).  ----
 */

enum
{
  /* Upstream groups, each with its own collector.  More groups spread the
     aggregation work, fewer need fewer messages.  */
  MARJORAM_LOAD_GROUPS = 8
};

/* Builds one report per group: changes since the last call, or all running
   requests where WHOLE is set.  The caller clears REPORTS.  */
void marjoram_placement_report_changes (
    marjoram_placement *placement, int64_t now,
    const bool whole[MARJORAM_LOAD_GROUPS],
    struct marjoram_load_report reports[MARJORAM_LOAD_GROUPS]);
/* Applies a collector's totals, which include this host's own load.  GROUPS
   are the groups that it collects.  */
void
marjoram_placement_apply_totals (marjoram_placement *placement, int64_t now,
                                 const bool groups[MARJORAM_LOAD_GROUPS],
                                 const struct marjoram_load_report *report);
void marjoram_placement_tick (marjoram_placement *placement, int64_t now);

#endif
