#include "counter.h"

#include "cleanup.h"

#include <inttypes.h>
#include <stdio.h>

struct marjoram_counters
{
  uint64_t values[MARJORAM_COUNTER_COUNT];
  uint64_t refused[MARJORAM_REASON_COUNT];
  uint64_t retried[MARJORAM_REASON_COUNT];
};

static const char *const counter_names[MARJORAM_COUNTER_COUNT] = {
  [MARJORAM_COUNTER_REQUESTS] = "requests",
  [MARJORAM_COUNTER_DONE] = "done",
  [MARJORAM_COUNTER_NOT_RUN] = "not_run",
  [MARJORAM_COUNTER_UNKNOWN] = "unknown",
  [MARJORAM_COUNTER_FORWARDED_OUT] = "forwarded_out",
  [MARJORAM_COUNTER_FORWARDED_IN] = "forwarded_in",
  [MARJORAM_COUNTER_REPLAYED] = "replayed",
  [MARJORAM_COUNTER_CANCELLED] = "cancelled",
  [MARJORAM_COUNTER_PEER_CONNECTS] = "peer_connects",
  [MARJORAM_COUNTER_PEER_LOSSES] = "peer_losses",
  [MARJORAM_COUNTER_PEER_BYTES_IN] = "peer_bytes_in",
  [MARJORAM_COUNTER_PEER_BYTES_OUT] = "peer_bytes_out",
  [MARJORAM_COUNTER_BAD_FRAMES] = "bad_frames",
  [MARJORAM_COUNTER_BAD_SECRET] = "bad_secret",
  [MARJORAM_COUNTER_BAD_HTTP] = "bad_http",
  [MARJORAM_COUNTER_ANNOUNCES] = "announces",
  [MARJORAM_COUNTER_UPSTREAMS_EXPIRED] = "upstreams_expired",
  [MARJORAM_COUNTER_CONFIG_APPLIED] = "config_applied",
  [MARJORAM_COUNTER_CONFIG_REFUSED] = "config_refused",
};

marjoram_counters *
marjoram_counters_create (void)
{
  return marjoram_alloc (sizeof (marjoram_counters));
}

void
marjoram_counters_destroy (marjoram_counters *counters)
{
  free (counters);
}

void
marjoram_counters_add (marjoram_counters *counters,
                       enum marjoram_counter which, uint64_t amount)
{
  counters->values[which] += amount;
}

void
marjoram_counters_add_refusal (marjoram_counters *counters,
                               enum marjoram_reason reason)
{
  counters->refused[reason]++;
}

void
marjoram_counters_add_retry (marjoram_counters *counters,
                             enum marjoram_reason reason)
{
  counters->retried[reason]++;
}

uint64_t
marjoram_counters_get (const marjoram_counters *counters,
                       enum marjoram_counter which)
{
  return counters->values[which];
}

static void
print_by_reason (FILE *out, const char *name, const uint64_t *values)
{
  fprintf (out, "# TYPE marjoram_%s_total counter\n", name);
  for (int i = 1; i < MARJORAM_REASON_COUNT; i++)
    fprintf (out, "marjoram_%s_total{reason=\"%s\"} %" PRIu64 "\n", name,
             marjoram_reason_name ((enum marjoram_reason)i), values[i]);
}

char *
marjoram_counters_text (const marjoram_counters *counters)
{
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);

  if (!out)
    abort ();
  for (int i = 0; i < MARJORAM_COUNTER_COUNT; i++)
    fprintf (out,
             "# TYPE marjoram_%s_total counter\n"
             "marjoram_%s_total %" PRIu64 "\n",
             counter_names[i], counter_names[i], counters->values[i]);
  print_by_reason (out, "refused", counters->refused);
  print_by_reason (out, "retried", counters->retried);
  fclose (out);
  return text;
}
