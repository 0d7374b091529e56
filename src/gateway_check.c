#include "gateway_private.h"

#include "cleanup.h"
#include "event_log.h"

#include <inttypes.h>
#include <string.h>

/* ---- Operations of the checks.  ---- */

static void
op_open (void *context, uint64_t probe, const char *address,
         int64_t timeout_ms)
{
  marjoram_gateway *gateway = context;

  gateway->ops->open_probe (gateway->context, probe, address, timeout_ms);
}

static const char *
op_other (void *context, const char *id)
{
  marjoram_gateway *gateway = context;

  return marjoram_placement_find_other (gateway->placement, id,
                                        ++gateway->compared);
}

static void
op_silence (void *context, const char *id, enum marjoram_silence silence)
{
  marjoram_gateway *gateway = context;

  marjoram_placement_set_silence (gateway->placement, id, silence);
}

static void
add_dark (struct marjoram_array *items,
          const struct marjoram_checked_upstream *upstream)
{
  struct marjoram_dark_item *item;

  if (items->count == MARJORAM_DARK_MAX)
    return;
  items->items = realloc (items->items, (items->count + 1) * sizeof *item);
  if (!items->items)
    abort ();
  item = &((struct marjoram_dark_item *)items->items)[items->count++];
  item->upstream = marjoram_strdup (upstream->id);
  item->started_at = upstream->started_at;
}

static void
op_event (void *context, enum marjoram_check_event event,
          const struct marjoram_checked_upstream *upstream)
{
  static const char *const names[]
      = { "open", "alive", "withheld", "dark", "cleared" };
  marjoram_gateway *gateway = context;
  marjoram_metrics *metrics = gateway->options.metrics;

  marjoram_event (MARJORAM_EVENT_UPSTREAM,
                  "id=%s check=%s silent_ms=%" PRId64 " waiting=%d",
                  upstream->id, names[event], upstream->silent_ms,
                  upstream->waiting);
  if (event == MARJORAM_CHECK_BEGUN)
    marjoram_metrics_add (metrics, MARJORAM_METRIC_UPSTREAM_CHECKS, 1);
  if (event != MARJORAM_CHECK_DARK)
    return;
  marjoram_metrics_add (metrics, MARJORAM_METRIC_UPSTREAMS_DARK, 1);
  add_dark (&gateway->dark.items, upstream);
  if (!upstream->is_told)
    add_dark (&gateway->dark_news.items, upstream);
}

static const struct marjoram_upstream_checks_ops ops = {
  .open = op_open, .event = op_event, .other = op_other, .silence = op_silence
};

/* ---- Verdicts.  ---- */

/* Requests that run at an upstream as it goes dark count as broken, but not as
   crashing it: a process that crashes resets its connections, while a machine
   that loses power or network does so whatever it runs.  */
static void
end_attempt (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
             int64_t now)
{
  marjoram_metrics_add (gateway->options.metrics,
                        MARJORAM_METRIC_DARK_ATTEMPTS_ENDED, 1);
  marjoram_exchange_drop_attempt (gateway, exchange, now,
                                  MARJORAM_ATTEMPT_BROKEN);
  exchange->forwarded_out = false;
  exchange->relayed = false;
  marjoram_exchange_retry (gateway, exchange, now,
                           MARJORAM_REASON_UPSTREAM_SILENT);
}

static void
end_attempts (marjoram_gateway *gateway, int64_t now, const char *id)
{
  const struct marjoram_registered *upstream
      = marjoram_registry_find (gateway->options.place.registry, id);
  struct marjoram_exchange *exchange;
  struct marjoram_exchange *next;

  if (upstream)
    marjoram_placement_connection_lost (gateway->placement, now,
                                        upstream->heartbeat.address, false);
  HASH_ITER (by_call, gateway->by_call, exchange, next)
  {
    if (exchange->attempt && !*exchange->host
        && strcmp (exchange->upstream, id) == 0)
      end_attempt (gateway, exchange, now);
  }
}

static void
clear_verdicts (marjoram_gateway *gateway)
{
  marjoram_wire_clear (&marjoram_dark_report_layout, &gateway->dark);
  marjoram_wire_clear (&marjoram_dark_report_layout, &gateway->dark_news);
  memset (&gateway->dark, 0, sizeof gateway->dark);
  memset (&gateway->dark_news, 0, sizeof gateway->dark_news);
}

/* All verdicts of a tick are in force before the first request is repeated,
   so that none is sent to another upstream that is dark.  */
static void
apply_verdicts (marjoram_gateway *gateway, int64_t now)
{
  const struct marjoram_dark_item *items = gateway->dark.items.items;

  if (gateway->dark.items.count == 0)
    return;
  if (gateway->dark_news.items.count > 0)
    gateway->ops->report_dark (gateway->context, &gateway->dark_news);
  for (size_t i = 0; i < gateway->dark.items.count; i++)
    end_attempts (gateway, now, items[i].upstream);
  clear_verdicts (gateway);
}

/* ---- Checks.  ---- */

struct visit
{
  marjoram_gateway *gateway;
  int64_t now;
};

static void
update_dark (void *context, const struct marjoram_checked_upstream *dark)
{
  const struct visit *visit = context;
  const marjoram_registry *registry = visit->gateway->options.place.registry;
  const struct marjoram_registered *upstream
      = marjoram_registry_find (registry, dark->id);

  if (!upstream || upstream->heartbeat.started_at != dark->started_at)
    marjoram_upstream_checks_forget (visit->gateway->checks, visit->now,
                                     dark->id);
  else
    marjoram_upstream_checks_heard (
        visit->gateway->checks, visit->now, dark->id,
        marjoram_registry_heard_at (registry, upstream));
}

static void
tick (marjoram_gateway *gateway, int64_t now)
{
  const size_t max = marjoram_placement_awaited_max (gateway->placement);
  struct visit visit = { gateway, now };
  marjoram_auto_free struct marjoram_awaited_upstream *awaited
      = marjoram_alloc ((max + 1) * sizeof *awaited);
  const size_t count
      = marjoram_placement_find_awaited (gateway->placement, awaited, max);

  marjoram_upstream_checks_visit_dark (gateway->checks, now, update_dark,
                                       &visit);
  marjoram_upstream_checks_tick (gateway->checks, now,
                                 gateway->ops->lag_ms (gateway->context),
                                 awaited, count);
  apply_verdicts (gateway, now);
}

void
marjoram_gateway_check_upstreams (marjoram_gateway *gateway, int64_t now)
{
  if (gateway->features.check_upstreams && !gateway->checks)
    gateway->checks = marjoram_upstream_checks_create (&ops, gateway);
  if (gateway->features.check_upstreams)
    tick (gateway, now);
  else if (gateway->checks)
    marjoram_upstream_checks_clear (gateway->checks, now);
}

void
marjoram_gateway_destroy_checks (marjoram_gateway *gateway)
{
  marjoram_upstream_checks_destroy (gateway->checks);
  clear_verdicts (gateway);
}

void
marjoram_gateway_probed (marjoram_gateway *gateway, int64_t now,
                         uint64_t probe, enum marjoram_probe_result result)
{
  if (gateway->checks)
    marjoram_upstream_checks_probed (gateway->checks, now, probe, result);
}

void
marjoram_gateway_dark_reported (marjoram_gateway *gateway, int64_t now,
                                const struct marjoram_dark_report *report)
{
  const struct marjoram_dark_item *items = report->items.items;

  if (!gateway->checks || !gateway->features.check_upstreams)
    return;
  for (size_t i = 0; i < report->items.count; i++)
    {
      const struct marjoram_registered *upstream
          = items[i].upstream ? marjoram_registry_find (
                gateway->options.place.registry, items[i].upstream)
                              : NULL;

      if (upstream && upstream->heartbeat.started_at == items[i].started_at)
        marjoram_upstream_checks_told (gateway->checks, now, items[i].upstream,
                                       items[i].started_at,
                                       upstream->heartbeat.address);
    }
}

void
marjoram_gateway_visit_dark (
    marjoram_gateway *gateway, int64_t now,
    void (*visit) (void *context,
                   const struct marjoram_checked_upstream *upstream),
    void *context)
{
  if (gateway->checks)
    marjoram_upstream_checks_visit_dark (gateway->checks, now, visit, context);
}
