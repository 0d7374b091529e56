#include "metrics.h"

#include "cleanup.h"

#include <gsl/gsl_histogram.h>
#include <inttypes.h>
#include <stdio.h>

/* Bounds of the histogram buckets in milliseconds.  */
static const double bucket_bounds[]
    = { 0,   1,   2,    5,    10,   20,   50,   75,   100,   150,   200, 300,
        500, 750, 1000, 1500, 2000, 3000, 5000, 7500, 10000, 15000, 1e9 };

enum
{
  BOUND_COUNT = sizeof bucket_bounds / sizeof *bucket_bounds
};

struct marjoram_metrics
{
  uint64_t values[MARJORAM_METRIC_COUNT];
  uint64_t refused[MARJORAM_REASON_COUNT];
  gsl_histogram *histograms[MARJORAM_TIMING_COUNT];
  double sums[MARJORAM_TIMING_COUNT];
};

static const char *const metric_names[MARJORAM_METRIC_COUNT] = {
  [MARJORAM_METRIC_REQUESTS] = "gateway_requests",
  [MARJORAM_METRIC_ANSWERED] = "gateway_answered",
  [MARJORAM_METRIC_NOT_RUN] = "gateway_not_run",
  [MARJORAM_METRIC_UNKNOWN] = "gateway_unknown",
  [MARJORAM_METRIC_CALLER_LEFT] = "gateway_caller_left",
  [MARJORAM_METRIC_ATTEMPTS] = "gateway_attempts",
  [MARJORAM_METRIC_REPEATS] = "gateway_repeats",
  [MARJORAM_METRIC_REPEATS_DENIED] = "gateway_repeats_denied",
  [MARJORAM_METRIC_RESUMED] = "gateway_resumed",
  [MARJORAM_METRIC_FORWARDED_OUT] = "gateway_forwarded_out",
  [MARJORAM_METRIC_FORWARDED_IN] = "gateway_forwarded_in",
  [MARJORAM_METRIC_FORWARDS_REFUSED] = "gateway_forwards_refused",
  [MARJORAM_METRIC_FORWARDS_LIMITED] = "gateway_forward_limited",
  [MARJORAM_METRIC_REFUSED_WITH_ROOM] = "gateway_refused_with_room",
  [MARJORAM_METRIC_OVER_SHARE_REFUSED] = "gateway_over_share_refused",
  [MARJORAM_METRIC_STRAY_ANSWERS] = "gateway_stray_answers",
  [MARJORAM_METRIC_ANSWERS_WITHOUT_ID] = "gateway_answers_without_id",
  [MARJORAM_METRIC_REFUSALS_WITHOUT_PROOF] = "gateway_refusals_without_proof",
  [MARJORAM_METRIC_ANSWERS_TOO_LARGE] = "gateway_answers_too_large",
  [MARJORAM_METRIC_WAITED_IN_VAIN] = "gateway_waited_in_vain",
  [MARJORAM_METRIC_REFUSED_EARLY] = "gateway_refused_early",
  [MARJORAM_METRIC_RATE_LIMITS] = "upstream_rate_limits",
  [MARJORAM_METRIC_RETRY_AFTERS] = "upstream_retry_afters",
  [MARJORAM_METRIC_LEAVING_ANSWERS] = "upstream_leaving_answers",
  [MARJORAM_METRIC_REJECTED_INPUT] = "rejected_input",
  [MARJORAM_METRIC_UPSTREAM_HEARTBEATS] = "upstream_news",
  [MARJORAM_METRIC_UPSTREAM_HEARTBEATS_STALE] = "upstream_news_stale",
  [MARJORAM_METRIC_LOOKUPS] = "lookups",
  [MARJORAM_METRIC_CONFIGS] = "configs",
  [MARJORAM_METRIC_EVACUATIONS] = "evacuations",
  [MARJORAM_METRIC_ORDERS_REDIRECTED] = "orders_redirected",
  [MARJORAM_METRIC_UPSTREAMS_LOST] = "upstreams_lost",
  [MARJORAM_METRIC_UPSTREAM_CHECKS] = "upstream_checks",
  [MARJORAM_METRIC_UPSTREAMS_DARK] = "upstreams_dark",
  [MARJORAM_METRIC_DARK_ATTEMPTS_ENDED] = "dark_attempts_ended",
  [MARJORAM_METRIC_LINKS_LOST] = "links_lost",
  [MARJORAM_METRIC_BALLOTS_COMPLETED] = "ballots_completed",
  [MARJORAM_METRIC_BALLOTS_OUTDATED] = "ballots_outdated",
  [MARJORAM_METRIC_BALLOTS_TIMED_OUT] = "ballots_timed_out",
};

static const char *const timing_names[MARJORAM_TIMING_COUNT] = {
  [MARJORAM_TIMING_FIRST] = "first_answer_ms",
  [MARJORAM_TIMING_TOTAL] = "whole_answer_ms",
  [MARJORAM_TIMING_ESTIMATE] = "estimate_error_ms",
  [MARJORAM_TIMING_WRITE] = "store_write_ms",
  [MARJORAM_TIMING_MEMBERSHIP] = "store_membership_ms",
};

marjoram_metrics *
marjoram_metrics_create (void)
{
  marjoram_metrics *metrics = marjoram_alloc (sizeof *metrics);

  for (int i = 0; i < MARJORAM_TIMING_COUNT; i++)
    {
      metrics->histograms[i] = gsl_histogram_alloc (BOUND_COUNT - 1);
      gsl_histogram_set_ranges (metrics->histograms[i], bucket_bounds,
                                BOUND_COUNT);
    }
  return metrics;
}

void
marjoram_metrics_destroy (marjoram_metrics *metrics)
{
  if (!metrics)
    return;
  for (int i = 0; i < MARJORAM_TIMING_COUNT; i++)
    gsl_histogram_free (metrics->histograms[i]);
  free (metrics);
}

void
marjoram_metrics_add (marjoram_metrics *metrics, enum marjoram_metric metric,
                      uint64_t amount)
{
  metrics->values[metric] += amount;
}

void
marjoram_metrics_add_refusal (marjoram_metrics *metrics,
                              enum marjoram_reason reason)
{
  metrics->refused[reason]++;
}

void
marjoram_metrics_observe (marjoram_metrics *metrics,
                          enum marjoram_timing timing, int64_t msec)
{
  gsl_histogram_increment (metrics->histograms[timing], (double)msec);
  metrics->sums[timing] += (double)msec;
}

uint64_t
marjoram_metrics_get (const marjoram_metrics *metrics,
                      enum marjoram_metric metric)
{
  return metrics->values[metric];
}

static void
print_histogram (FILE *out, const marjoram_metrics *metrics, int timing)
{
  const gsl_histogram *histogram = metrics->histograms[timing];
  const char *name = timing_names[timing];
  double cumulative = 0;

  fprintf (out, "# TYPE marjoram_%s histogram\n", name);
  for (int i = 0; i < BOUND_COUNT - 1; i++)
    {
      cumulative += gsl_histogram_get (histogram, (size_t)i);
      if (i < BOUND_COUNT - 2)
        fprintf (out, "marjoram_%s_bucket{le=\"%.0f\"} %.0f\n", name,
                 bucket_bounds[i + 1], cumulative);
      else
        fprintf (out, "marjoram_%s_bucket{le=\"+Inf\"} %.0f\n", name,
                 cumulative);
    }
  fprintf (out, "marjoram_%s_sum %.0f\nmarjoram_%s_count %.0f\n", name,
           metrics->sums[timing], name, cumulative);
}

char *
marjoram_metrics_text (const marjoram_metrics *metrics)
{
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);

  if (!out)
    abort ();
  for (int i = 0; i < MARJORAM_METRIC_COUNT; i++)
    fprintf (out,
             "# TYPE marjoram_%s_total counter\nmarjoram_%s_total %" PRIu64
             "\n",
             metric_names[i], metric_names[i], metrics->values[i]);
  fprintf (out, "# TYPE marjoram_gateway_refused_total counter\n");
  for (int i = 1; i < MARJORAM_REASON_COUNT; i++)
    fprintf (
        out, "marjoram_gateway_refused_total{reason=\"%s\"} %" PRIu64 "\n",
        marjoram_reason_name ((enum marjoram_reason)i), metrics->refused[i]);
  for (int i = 0; i < MARJORAM_TIMING_COUNT; i++)
    print_histogram (out, metrics, i);
  fclose (out);
  return text;
}
