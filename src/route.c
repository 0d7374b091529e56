#include "route.h"

#include "chooser.h"
#include "cleanup.h"
#include "fair_share.h"
#include "retry.h"

#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

enum
{
  RETRY_MIN_MS = 100,
  RETRY_MAX_MS = 60000,
  RETRY_UNKNOWN_MS = 1000,
  EXPLAIN_MAX = 16384
};

/* Minimum relative gain in completion time for forwarding to another zone of
   the region.  */
#define SAME_REGION_MIN_GAIN 0.2
/* Minimum relative gain for forwarding to another region, if the request would
   queue here.  */
#define REMOTE_REGION_MIN_GAIN 0.3
/* Overnight work leaves the region only if its estimated time there,
   multiplied by this, exceeds the time to the deadline.  */
#define OVERNIGHT_URGENCY_FACTOR 3
/* Fraction of the slots that is never offered to other zones.  */
#define RESERVED_FRACTION 0.1

static const struct marjoram_field offers_fields[] = {
  { MARJORAM_WIRE_STRING (struct marjoram_offers, zone, MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_UINT (struct marjoram_offers, config_number) },
  { MARJORAM_WIRE_ARRAY (struct marjoram_offers, offers, MARJORAM_OFFERS_MAX,
                         &marjoram_offer_layout) },
  { MARJORAM_WIRE_UINT (struct marjoram_offers, ordinal) },
  { MARJORAM_WIRE_ARRAY (struct marjoram_offers, usages, MARJORAM_USAGES_MAX,
                         &marjoram_usage_layout) },
};
const struct marjoram_layout marjoram_offers_layout
    = { "offers", sizeof (struct marjoram_offers), offers_fields,
        sizeof offers_fields / sizeof *offers_fields };

struct marjoram_router
{
  char *zone_name;
  int zone; /* index, or -1 if not in the configuration */
  marjoram_members *members;
  marjoram_suspects *suspects;
  marjoram_random *random;
  marjoram_config *config;
  marjoram_limits *limits;
  marjoram_chooser *chooser;
  marjoram_offer_table *zone_offers;
  marjoram_fair_share *fair;
  struct marjoram_retry_budget budget;
};

marjoram_router *
marjoram_router_create (const char *zone, marjoram_members *members,
                        marjoram_suspects *suspects, marjoram_random *random)
{
  marjoram_router *router = marjoram_alloc (sizeof *router);

  router->zone_name = marjoram_strdup (zone);
  router->zone = -1;
  router->members = members;
  router->suspects = suspects;
  router->random = random;
  router->limits = marjoram_limits_create (marjoram_members_self (members));
  router->chooser = marjoram_chooser_create (members, suspects, random);
  router->zone_offers = marjoram_offer_table_create (random);
  router->fair = marjoram_fair_share_create ();
  marjoram_retry_budget_init (&router->budget);
  return router;
}

void
marjoram_router_destroy (marjoram_router *router)
{
  if (!router)
    return;
  marjoram_limits_destroy (router->limits);
  marjoram_chooser_destroy (router->chooser);
  marjoram_offer_table_destroy (router->zone_offers);
  marjoram_fair_share_destroy (router->fair);
  marjoram_config_release (router->config);
  free (router->zone_name);
  free (router);
}

void
marjoram_router_configure (marjoram_router *router, int64_t now,
                           marjoram_config *config)
{
  marjoram_config_retain (config);
  marjoram_config_release (router->config);
  router->config = config;
  router->zone = marjoram_config_find_zone (config, router->zone_name);
  if (router->zone < 0)
    return;
  marjoram_limits_set_self (router->limits,
                            marjoram_members_self (router->members));
  marjoram_limits_configure (router->limits, now, config, router->zone);
  marjoram_chooser_configure (router->chooser, config);
  marjoram_offer_table_configure (router->zone_offers, config, router->zone);
  marjoram_fair_share_configure (router->fair, config);
}

static bool
is_configured (const marjoram_router *router)
{
  return router->config && router->zone >= 0;
}

enum marjoram_reason
marjoram_router_admit (marjoram_router *router, int64_t now, int caller,
                       int64_t *retry_ms)
{
  *retry_ms = RETRY_UNKNOWN_MS;
  if (!is_configured (router))
    return MARJORAM_REASON_NO_CONFIG;
  if (caller < 0 || caller >= marjoram_config_caller_count (router->config))
    return MARJORAM_REASON_UNKNOWN_CALLER;
  marjoram_retry_budget_credit (&router->budget);
  return marjoram_limits_admit (
      router->limits, now, caller,
      marjoram_members_count_hosts (router->members, now), retry_ms);
}

bool
marjoram_router_retry (marjoram_router *router, int64_t now)
{
  (void)now;
  return marjoram_retry_budget_take (&router->budget);
}

static bool
region_allowed (const marjoram_router *router, uint64_t regions, int zone)
{
  return regions >> marjoram_config_zone (router->config, zone)->region & 1;
}

static uint64_t
own_region (const marjoram_router *router)
{
  return UINT64_C (1)
         << marjoram_config_zone (router->config, router->zone)->region;
}

struct route_inputs
{
  uint64_t allowed;       /* bit mask of regions */
  bool zone_allowed;      /* residency allows this zone */
  bool no_local_upstream; /* no upstream in this zone runs the work */
  double slack_ms;        /* time to the deadline */
  double excess;          /* caller usage over its fair share, at least 1 */
  double unloaded_ms;
  struct marjoram_pick pick;
  struct marjoram_zone_estimate same_region; /* another zone of this region */
  struct marjoram_zone_estimate remote_region;
};

static bool
can_run_locally (const struct route_inputs *inputs,
                 const struct marjoram_query *query)
{
  const struct marjoram_pick *pick = &inputs->pick;

  if (!pick->upstream)
    return false;
  if (pick->has_free_slot)
    return true;
  /* A zone offers free slots, not queue positions, except to work that cannot
     run elsewhere.  Overnight work uses only slots that interactive work
     leaves free.  */
  if ((query->forwarded && !query->no_local_upstream)
      || query->class == MARJORAM_CLASS_OVERNIGHT)
    return false;
  /* Keeps one busy caller from filling the queue at the expense of others: the
     further it exceeds its fair share, the shorter it may queue.  */
  return pick->total_ms * inputs->excess <= inputs->slack_ms;
}

/* Residency is evaluated against the active configuration on every decision,
   so that an earlier decision or offer cannot override it.  */
static void
gather_inputs (marjoram_router *router, int64_t now,
               const struct marjoram_query *query, struct route_inputs *inputs)
{
  const struct marjoram_zone_estimate none = { -1, HUGE_VAL };

  *inputs = (struct route_inputs){ 0 };
  inputs->allowed
      = marjoram_config_allowed (router->config, query->caller, query->work);
  inputs->zone_allowed
      = region_allowed (router, inputs->allowed, router->zone);
  inputs->slack_ms = (double)(query->deadline - now);
  inputs->unloaded_ms
      = marjoram_chooser_unloaded_ms (router->chooser, query)
        * marjoram_chooser_capacity (router->chooser, now, query->work)
              ->factor;
  inputs->excess
      = marjoram_fair_share_excess (router->fair, now, query->caller);
  inputs->same_region = none;
  inputs->remote_region = none;
  if (inputs->zone_allowed)
    marjoram_chooser_pick (router->chooser, now, query, &inputs->pick);
  inputs->no_local_upstream
      = !inputs->zone_allowed
        || marjoram_chooser_capacity (router->chooser, now, query->work)
                   ->upstreams
               == 0;
  /* Prevents forwarding loops: a request that was forwarded once either runs
     here or is refused back to the first host, which decides how to
     proceed.  */
  if (query->forwarded || query->bound)
    return;
  marjoram_offer_table_find_best (
      router->zone_offers, now, query, inputs->allowed & own_region (router),
      inputs->unloaded_ms, inputs->no_local_upstream, &inputs->same_region);
  marjoram_offer_table_find_best (
      router->zone_offers, now, query, inputs->allowed & ~own_region (router),
      inputs->unloaded_ms, inputs->no_local_upstream, &inputs->remote_region);
}

static void
choose_forward (const struct marjoram_zone_estimate *estimate,
                bool no_local_upstream, struct marjoram_choice *choice)
{
  choice->verdict = MARJORAM_VERDICT_FORWARD;
  choice->no_local_upstream = no_local_upstream;
  choice->zone = estimate->zone;
  choice->expected_ms = (int64_t)estimate->total_ms;
}

static void
choose_local (const marjoram_router *router, const struct marjoram_pick *pick,
              struct marjoram_choice *choice)
{
  choice->verdict = MARJORAM_VERDICT_LOCAL;
  choice->zone = router->zone;
  choice->expected_ms = (int64_t)pick->total_ms;
  snprintf (choice->upstream, sizeof choice->upstream, "%s",
            pick->upstream->announcement->name);
}

static enum marjoram_reason
refusal_reason (marjoram_router *router, int64_t now,
                const struct marjoram_query *query,
                const struct route_inputs *inputs)
{
  uint64_t reachable = query->forwarded || query->bound ? 0 : UINT64_MAX;
  bool known = inputs->pick.upstream
               || marjoram_offer_table_has_upstreams (
                   router->zone_offers, now, query->work,
                   inputs->allowed & reachable);
  bool forbidden
      = (!inputs->zone_allowed
         && marjoram_chooser_capacity (router->chooser, now, query->work)->free
                >= 1)
        || marjoram_offer_table_has_capacity (router->zone_offers, now,
                                              query->work,
                                              ~inputs->allowed & reachable);

  if (forbidden)
    return MARJORAM_REASON_RESIDENCY;
  return known ? MARJORAM_REASON_OVERLOAD : MARJORAM_REASON_NO_UPSTREAM;
}

/* The time until the queue has drained enough to admit the request, if no
   further requests arrive.  */
static int64_t
estimate_retry_ms (marjoram_router *router, const struct route_inputs *inputs,
                   const struct marjoram_query *query)
{
  double retry = RETRY_UNKNOWN_MS;

  if (inputs->pick.upstream)
    {
      retry = inputs->pick.total_ms * inputs->excess - inputs->slack_ms;
      if (query->forwarded || query->class == MARJORAM_CLASS_OVERNIGHT
          || retry <= 0)
        retry = fmax (inputs->pick.wait_ms, RETRY_UNKNOWN_MS);
    }
  /* Jitter spreads the retries of requests refused at the same time.  */
  retry *= 1 + marjoram_random_unit (router->random) / 4;
  return (int64_t)fmin (fmax (retry, RETRY_MIN_MS), RETRY_MAX_MS);
}

/* Another region has a cold cache and a higher latency.  Interactive work is
   forwarded there if it would wait much longer here; overnight work only if it
   would otherwise miss its deadline.  */
static bool
should_leave_region (const struct route_inputs *inputs,
                     const struct marjoram_query *query, bool local_fits)
{
  double remote_ms = inputs->remote_region.total_ms;

  if (inputs->remote_region.zone < 0 || remote_ms > inputs->slack_ms)
    return false;
  if (query->class == MARJORAM_CLASS_OVERNIGHT)
    return !local_fits
           && remote_ms * OVERNIGHT_URGENCY_FACTOR > inputs->slack_ms;
  return !local_fits
         || (!inputs->pick.has_free_slot
             && remote_ms
                    < inputs->pick.total_ms * (1 - REMOTE_REGION_MIN_GAIN));
}

static void
decide (marjoram_router *router, int64_t now,
        const struct marjoram_query *query, const struct route_inputs *inputs,
        struct marjoram_choice *choice)
{
  bool local_fits = can_run_locally (inputs, query);

  if (inputs->same_region.zone >= 0
      && (!local_fits
          || inputs->same_region.total_ms
                 < inputs->pick.total_ms * (1 - SAME_REGION_MIN_GAIN)))
    {
      choose_forward (&inputs->same_region, inputs->no_local_upstream, choice);
      return;
    }
  if (should_leave_region (inputs, query, local_fits))
    {
      choose_forward (&inputs->remote_region, inputs->no_local_upstream,
                      choice);
      return;
    }
  if (local_fits)
    {
      choose_local (router, &inputs->pick, choice);
      return;
    }
  choice->reason = refusal_reason (router, now, query, inputs);
  choice->retry_ms = estimate_retry_ms (router, inputs, query);
}

static bool
is_convicted (const marjoram_router *router, int64_t now,
              const struct marjoram_query *query)
{
  return query->digest && router->suspects
         && marjoram_suspects_get (router->suspects, now, query->digest)
                == MARJORAM_SUSPICION_CONVICTED;
}

static bool
is_valid_query (const marjoram_router *router,
                const struct marjoram_query *query)
{
  return query->caller >= 0
         && query->caller < marjoram_config_caller_count (router->config)
         && query->work >= 0
         && query->work < marjoram_config_work_count (router->config);
}

/* Returns false, with INPUTS unset, if the request is refused before
   evaluation.  */
static bool
choose (marjoram_router *router, int64_t now,
        const struct marjoram_query *query, struct marjoram_choice *choice,
        struct route_inputs *inputs)
{
  *choice = (struct marjoram_choice){ .verdict = MARJORAM_VERDICT_REFUSE,
                                      .zone = -1,
                                      .retry_ms = RETRY_UNKNOWN_MS };
  if (!is_configured (router))
    choice->reason = MARJORAM_REASON_NO_CONFIG;
  else if (!is_valid_query (router, query))
    choice->reason = MARJORAM_REASON_CONFIG_CHANGED;
  else if (is_convicted (router, now, query))
    choice->reason = MARJORAM_REASON_CONVICTED;
  else if (now >= query->deadline)
    choice->reason = MARJORAM_REASON_DEADLINE;
  if (choice->reason != MARJORAM_REASON_NONE)
    return false;
  gather_inputs (router, now, query, inputs);
  decide (router, now, query, inputs, choice);
  if (choice->verdict != MARJORAM_VERDICT_REFUSE)
    marjoram_fair_share_record (router->fair, now, query->caller,
                                inputs->unloaded_ms);
  return true;
}

void
marjoram_router_choose (marjoram_router *router, int64_t now,
                        const struct marjoram_query *query,
                        struct marjoram_choice *choice)
{
  struct route_inputs inputs;

  choose (router, now, query, choice, &inputs);
}

static bool
in_range (const marjoram_router *router, int zone, int work)
{
  return is_configured (router) && zone >= 0
         && zone < marjoram_config_zone_count (router->config) && work >= 0
         && work < marjoram_config_work_count (router->config);
}

void
marjoram_router_forward_started (marjoram_router *router, int64_t now,
                                 int zone, int work)
{
  if (in_range (router, zone, work))
    marjoram_offer_table_request_sent (router->zone_offers, now, zone, work);
}

void
marjoram_router_forward_ended (marjoram_router *router, int64_t now, int zone,
                               int work, bool failed)
{
  if (in_range (router, zone, work))
    marjoram_offer_table_request_ended (router->zone_offers, now, zone, work,
                                        failed);
}

void
marjoram_router_record_latency (marjoram_router *router, int64_t now,
                                const char *upstream,
                                const struct marjoram_query *query,
                                int64_t first_ms, int64_t whole_ms,
                                uint64_t tokens)
{
  if (is_configured (router) && is_valid_query (router, query))
    marjoram_chooser_record_latency (router->chooser, now, upstream, query,
                                     first_ms, whole_ms, tokens);
}

void
marjoram_router_process_offers (marjoram_router *router, int64_t now,
                                const struct marjoram_offers *offers,
                                int64_t link_ms)
{
  int zone = is_configured (router) && offers->zone
                 ? marjoram_config_find_zone (router->config, offers->zone)
                 : -1;

  if (zone < 0)
    return;
  marjoram_limits_process_report (router->limits, now, zone,
                                  (int)offers->ordinal, &offers->usages);
  if (zone != router->zone)
    marjoram_offer_table_update (router->zone_offers, now, zone,
                                 &offers->offers, link_ms);
}

void
marjoram_router_build_offers (marjoram_router *router, int64_t now, int zone,
                              struct marjoram_offers *offers)
{
  struct marjoram_offer *items;
  int works;

  *offers = (struct marjoram_offers){ 0 };
  offers->zone = marjoram_strdup (router->zone_name);
  if (!is_configured (router) || zone < 0
      || zone >= marjoram_config_zone_count (router->config))
    return;
  offers->config_number = marjoram_config_number (router->config);
  offers->ordinal = (uint64_t)marjoram_members_self (router->members);
  marjoram_limits_report (router->limits, now, zone == router->zone,
                          &offers->usages);
  if (zone == router->zone)
    return;
  works = marjoram_config_work_count (router->config);
  items = marjoram_alloc (((size_t)works + 1) * sizeof *items);
  offers->offers.items = items;
  for (int i = 0; i < works && i < MARJORAM_OFFERS_MAX; i++)
    {
      const struct marjoram_pool_capacity *capacity
          = marjoram_chooser_capacity (router->chooser, now, i);
      struct marjoram_offer *item = &items[offers->offers.count];

      if (capacity->upstreams == 0)
        continue;
      item->work
          = marjoram_strdup (marjoram_config_work (router->config, i)->name);
      item->room = marjoram_offer_table_allocate (
          router->zone_offers, now, zone, i,
          capacity->free - capacity->slots * RESERVED_FRACTION);
      item->wait_ms
          = capacity->free >= 1 ? 0 : (int64_t)fmax (1, capacity->wait_ms);
      item->upstreams = capacity->upstreams;
      offers->offers.count++;
    }
}

struct text_buffer
{
  char *data;
  size_t size;
};

static void __attribute__ ((format (printf, 2, 3)))
append (struct text_buffer *text, const char *format, ...)
{
  va_list arguments;
  int size;

  va_start (arguments, format);
  size = vsnprintf (text->data + text->size, EXPLAIN_MAX - text->size, format,
                    arguments);
  va_end (arguments);
  if (size > 0)
    text->size += (size_t)size;
  if (text->size >= EXPLAIN_MAX)
    text->size = EXPLAIN_MAX - 1;
}

static void
append_candidate (void *context, const struct marjoram_pick *pick, bool usable)
{
  const struct marjoram_upstream *upstream = pick->upstream;

  append (context,
          "upstream %s: %s, load %u of %u here, wait %.0f ms, total "
          "%.0f ms\n",
          upstream->announcement->name, usable ? "usable" : "not usable",
          upstream->in_flight, (unsigned)upstream->announcement->slots,
          pick->wait_ms, pick->total_ms);
}

static void
append_offer (struct text_buffer *text, const marjoram_router *router,
              const struct marjoram_zone_estimate *estimate, const char *label)
{
  if (estimate->zone < 0)
    append (text, "%s: no allowed zone offers capacity\n", label);
  else
    append (text, "%s: zone %s offers capacity, total %.0f ms\n", label,
            marjoram_config_zone (router->config, estimate->zone)->name,
            estimate->total_ms);
}

char *
marjoram_router_explain (marjoram_router *router, int64_t now,
                         const struct marjoram_query *query,
                         struct marjoram_choice *choice)
{
  struct text_buffer text = { marjoram_alloc (EXPLAIN_MAX), 0 };
  struct route_inputs inputs;

  if (!choose (router, now, query, choice, &inputs))
    {
      append (&text, "refused: %s\n", marjoram_reason_name (choice->reason));
      return text.data;
    }
  append (&text, "zone %s: residency %s it\n", router->zone_name,
          inputs.zone_allowed ? "allows" : "forbids");
  marjoram_chooser_visit (router->chooser, now, query, append_candidate,
                          &text);
  append_offer (&text, router, &inputs.same_region, "this region");
  append_offer (&text, router, &inputs.remote_region, "other regions");
  switch (choice->verdict)
    {
    case MARJORAM_VERDICT_LOCAL:
      append (&text, "chosen: upstream %s, expected %lld ms\n",
              choice->upstream, (long long)choice->expected_ms);
      break;
    case MARJORAM_VERDICT_FORWARD:
      append (&text, "chosen: zone %s, expected %lld ms\n",
              marjoram_config_zone (router->config, choice->zone)->name,
              (long long)choice->expected_ms);
      break;
    case MARJORAM_VERDICT_REFUSE:
      append (&text, "refused: %s, retry after %lld ms\n",
              marjoram_reason_name (choice->reason),
              (long long)choice->retry_ms);
      break;
    }
  return text.data;
}
