/* Counters and latency histograms of an entry host or a keeper, exported in
   the Prometheus text format.  */
#ifndef MARJORAM_METRICS_H
#define MARJORAM_METRICS_H

#include "reason.h"

#include <stdint.h>

typedef struct marjoram_metrics marjoram_metrics;

enum marjoram_metric
{
  MARJORAM_METRIC_REQUESTS,
  MARJORAM_METRIC_ANSWERED,
  MARJORAM_METRIC_NOT_RUN,
  MARJORAM_METRIC_UNKNOWN,
  MARJORAM_METRIC_CALLER_LEFT,
  MARJORAM_METRIC_ATTEMPTS,
  MARJORAM_METRIC_REPEATS,
  MARJORAM_METRIC_REPEATS_DENIED,
  MARJORAM_METRIC_RESUMED,
  MARJORAM_METRIC_FORWARDED_OUT,
  MARJORAM_METRIC_FORWARDED_IN,
  MARJORAM_METRIC_FORWARDS_REFUSED,
  MARJORAM_METRIC_FORWARDS_LIMITED,
  MARJORAM_METRIC_REFUSED_WITH_ROOM,
  MARJORAM_METRIC_OVER_SHARE_REFUSED,
  MARJORAM_METRIC_STRAY_ANSWERS,
  MARJORAM_METRIC_ANSWERS_WITHOUT_ID,
  /* Answers of upstreams with a status that promises that the request did not
     run, but without proof.  */
  MARJORAM_METRIC_REFUSALS_WITHOUT_PROOF,
  MARJORAM_METRIC_ANSWERS_TOO_LARGE,
  /* Not started, although they waited for more than half of their objective;
     refused at once or soon because of the measured rate.  */
  MARJORAM_METRIC_WAITED_IN_VAIN,
  MARJORAM_METRIC_REFUSED_EARLY,
  MARJORAM_METRIC_RATE_LIMITS,
  MARJORAM_METRIC_RETRY_AFTERS,
  MARJORAM_METRIC_LEAVING_ANSWERS,
  MARJORAM_METRIC_REJECTED_INPUT,
  MARJORAM_METRIC_UPSTREAM_HEARTBEATS,
  MARJORAM_METRIC_UPSTREAM_HEARTBEATS_STALE,
  MARJORAM_METRIC_LOOKUPS,
  MARJORAM_METRIC_CONFIGS,
  MARJORAM_METRIC_EVACUATIONS,
  MARJORAM_METRIC_ORDERS_REDIRECTED,
  MARJORAM_METRIC_UPSTREAMS_LOST,
  MARJORAM_METRIC_UPSTREAM_CHECKS,
  MARJORAM_METRIC_UPSTREAMS_DARK,
  MARJORAM_METRIC_DARK_ATTEMPTS_ENDED,
  MARJORAM_METRIC_LINKS_LOST,
  MARJORAM_METRIC_BALLOTS_COMPLETED,
  MARJORAM_METRIC_BALLOTS_OUTDATED,
  MARJORAM_METRIC_BALLOTS_TIMED_OUT,
  MARJORAM_METRIC_COUNT
};

/* Histograms of durations in milliseconds.  */
enum marjoram_timing
{
  MARJORAM_TIMING_FIRST,      /* time to the first event or the response */
  MARJORAM_TIMING_TOTAL,      /* time to the end of the response */
  MARJORAM_TIMING_ESTIMATE,   /* absolute error of the estimated wait */
  MARJORAM_TIMING_WRITE,      /* a write of a keeper's store, with its syncs */
  MARJORAM_TIMING_MEMBERSHIP, /* a keeper's start until it is a member */
  MARJORAM_TIMING_COUNT
};

marjoram_metrics *marjoram_metrics_create (void);
void marjoram_metrics_destroy (marjoram_metrics *metrics);
void marjoram_metrics_add (marjoram_metrics *metrics,
                           enum marjoram_metric metric, uint64_t amount);
void marjoram_metrics_add_refusal (marjoram_metrics *metrics,
                                   enum marjoram_reason reason);
void marjoram_metrics_observe (marjoram_metrics *metrics,
                               enum marjoram_timing timing, int64_t msec);
uint64_t marjoram_metrics_get (const marjoram_metrics *metrics,
                               enum marjoram_metric metric);
/* Returns malloc'd text.  */
char *marjoram_metrics_text (const marjoram_metrics *metrics);

#endif
