#include "route.h"

#include "choose.h"
#include "cleanup.h"
#include "fair.h"
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

/* Another zone of the region must win by this part of the time here.  */
#define NEAR_GAIN 0.2
/* And another region by this part, if the request would wait here.  */
#define FAR_GAIN 0.3
/* Overnight work leaves the region if this many times its expected time there
   would pass the deadline.  */
#define URGENT 3
/* Part of the slots that is never lent.  */
#define KEPT_PART 0.1

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
  int zone; /* index, -1 if the configuration has no such zone */
  marjoram_members *members;
  marjoram_suspects *suspects;
  marjoram_random *random;
  marjoram_config *config;
  marjoram_limits *limits;
  marjoram_chooser *chooser;
  marjoram_loans *loans;
  marjoram_fair *fair;
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
  router->loans = marjoram_loans_create (random);
  router->fair = marjoram_fair_create ();
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
  marjoram_loans_destroy (router->loans);
  marjoram_fair_destroy (router->fair);
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
  marjoram_loans_configure (router->loans, config, router->zone);
  marjoram_fair_configure (router->fair, config);
}

static bool
ready (const marjoram_router *router)
{
  return router->config && router->zone >= 0;
}

enum marjoram_reason
marjoram_router_admit (marjoram_router *router, int64_t now, int caller,
                       int64_t *retry_ms)
{
  *retry_ms = RETRY_UNKNOWN_MS;
  if (!ready (router))
    return MARJORAM_REASON_NO_CONFIG;
  if (caller < 0 || caller >= marjoram_config_caller_count (router->config))
    return MARJORAM_REASON_UNKNOWN_CALLER;
  marjoram_retry_budget_earn (&router->budget);
  return marjoram_limits_admit (router->limits, now, caller,
                                marjoram_members_hosts (router->members, now),
                                retry_ms);
}

bool
marjoram_router_retry (marjoram_router *router, int64_t now)
{
  (void)now;
  return marjoram_retry_budget_spend (&router->budget);
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

/* What a choice is made from.  */
struct view
{
  uint64_t allowed; /* regions */
  bool here;        /* this zone is allowed */
  bool homeless;    /* no upstream of this zone runs the work */
  double slack_ms;  /* until the deadline */
  double excess;    /* the caller's use by its fair share, at least 1 */
  double alone_ms;
  struct marjoram_pick pick;
  struct marjoram_loan near_by;  /* another zone of this region */
  struct marjoram_loan far_away; /* another region */
};

static bool
fits (const struct view *view, const struct marjoram_query *query)
{
  const struct marjoram_pick *pick = &view->pick;

  if (!pick->upstream)
    return false;
  if (pick->room)
    return true;
  /* A zone lends free slots, not places in a queue, but to work that has no
     other place; and overnight work takes only what interactive work leaves.
   */
  if ((query->forwarded && !query->homeless)
      || query->class == MARJORAM_CLASS_OVERNIGHT)
    return false;
  /* Stops a caller that asks for much from filling the queue and thereby
     having the others refused, too: the more it is over its share, the less it
     may wait.  */
  return pick->total_ms * view->excess <= view->slack_ms;
}

/* Residency is read from the configuration in force at every choice, so that
   no earlier decision or offer can carry a request past it.  */
static void
look (marjoram_router *router, int64_t now, const struct marjoram_query *query,
      struct view *view)
{
  const struct marjoram_loan none = { -1, HUGE_VAL };

  *view = (struct view){ 0 };
  view->allowed
      = marjoram_config_allowed (router->config, query->caller, query->work);
  view->here = region_allowed (router, view->allowed, router->zone);
  view->slack_ms = (double)(query->deadline - now);
  view->alone_ms
      = marjoram_chooser_alone_ms (router->chooser, query)
        * marjoram_chooser_room (router->chooser, now, query->work)->factor;
  view->excess = marjoram_fair_excess (router->fair, now, query->caller);
  view->near_by = none;
  view->far_away = none;
  if (view->here)
    marjoram_chooser_pick (router->chooser, now, query, &view->pick);
  view->homeless
      = !view->here
        || marjoram_chooser_room (router->chooser, now, query->work)->upstreams
               == 0;
  /* Stops loops: a request that has crossed once is run here or refused back
     to the first host, which alone decides what next.  */
  if (query->forwarded || query->bound)
    return;
  marjoram_loans_best (router->loans, now, query,
                       view->allowed & own_region (router), view->alone_ms,
                       view->homeless, &view->near_by);
  marjoram_loans_best (router->loans, now, query,
                       view->allowed & ~own_region (router), view->alone_ms,
                       view->homeless, &view->far_away);
}

static void
go_on (const struct marjoram_loan *loan, bool homeless,
       struct marjoram_choice *choice)
{
  choice->verdict = MARJORAM_VERDICT_FORWARD;
  choice->homeless = homeless;
  choice->zone = loan->zone;
  choice->expected_ms = (int64_t)loan->total_ms;
}

static void
stay (const marjoram_router *router, const struct marjoram_pick *pick,
      struct marjoram_choice *choice)
{
  choice->verdict = MARJORAM_VERDICT_LOCAL;
  choice->zone = router->zone;
  choice->expected_ms = (int64_t)pick->total_ms;
  snprintf (choice->upstream, sizeof choice->upstream, "%s",
            pick->upstream->announcement->name);
}

static enum marjoram_reason
refusal (marjoram_router *router, int64_t now,
         const struct marjoram_query *query, const struct view *view)
{
  uint64_t reach = query->forwarded || query->bound ? 0 : UINT64_MAX;
  bool known = view->pick.upstream
               || marjoram_loans_known (router->loans, now, query->work,
                                        view->allowed & reach);
  bool forbidden
      = (!view->here
         && marjoram_chooser_room (router->chooser, now, query->work)->free
                >= 1)
        || marjoram_loans_room (router->loans, now, query->work,
                                ~view->allowed & reach);

  if (forbidden)
    return MARJORAM_REASON_RESIDENCY;
  return known ? MARJORAM_REASON_OVERLOAD : MARJORAM_REASON_NO_UPSTREAM;
}

/* The time after which the wait will have shrunk enough, if nothing else
   comes: a caller that comes earlier is refused again.  */
static int64_t
honest_retry (marjoram_router *router, const struct view *view,
              const struct marjoram_query *query)
{
  double retry = RETRY_UNKNOWN_MS;

  if (view->pick.upstream)
    {
      retry = view->pick.total_ms * view->excess - view->slack_ms;
      if (query->forwarded || query->class == MARJORAM_CLASS_OVERNIGHT
          || retry <= 0)
        retry = fmax (view->pick.wait_ms, RETRY_UNKNOWN_MS);
    }
  /* Those that are refused together must not come back together.  */
  retry *= 1 + marjoram_random_unit (router->random) / 4;
  return (int64_t)fmin (fmax (retry, RETRY_MIN_MS), RETRY_MAX_MS);
}

/* Another region has a cold cache and a slow link, and the caller's home is
   here.  Interactive work goes there if it would wait much longer here;
   overnight work only if it would else miss its deadline, as the cost of a
   cold cache is all that counts for it.  */
static bool
pays_far_away (const struct view *view, const struct marjoram_query *query,
               bool home)
{
  double there = view->far_away.total_ms;

  if (view->far_away.zone < 0 || there > view->slack_ms)
    return false;
  if (query->class == MARJORAM_CLASS_OVERNIGHT)
    return !home && there * URGENT > view->slack_ms;
  return !home
         || (!view->pick.room && there < view->pick.total_ms * (1 - FAR_GAIN));
}

static void
decide (marjoram_router *router, int64_t now,
        const struct marjoram_query *query, const struct view *view,
        struct marjoram_choice *choice)
{
  bool home = fits (view, query);

  if (view->near_by.zone >= 0
      && (!home
          || view->near_by.total_ms < view->pick.total_ms * (1 - NEAR_GAIN)))
    {
      go_on (&view->near_by, view->homeless, choice);
      return;
    }
  if (pays_far_away (view, query, home))
    {
      go_on (&view->far_away, view->homeless, choice);
      return;
    }
  if (home)
    {
      stay (router, &view->pick, choice);
      return;
    }
  choice->reason = refusal (router, now, query, view);
  choice->retry_ms = honest_retry (router, view, query);
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
is_known (const marjoram_router *router, const struct marjoram_query *query)
{
  return query->caller >= 0
         && query->caller < marjoram_config_caller_count (router->config)
         && query->work >= 0
         && query->work < marjoram_config_work_count (router->config);
}

/* Fills VIEW, unless the request is refused without one.  */
static bool
choose (marjoram_router *router, int64_t now,
        const struct marjoram_query *query, struct marjoram_choice *choice,
        struct view *view)
{
  *choice = (struct marjoram_choice){ .verdict = MARJORAM_VERDICT_REFUSE,
                                      .zone = -1,
                                      .retry_ms = RETRY_UNKNOWN_MS };
  if (!ready (router))
    choice->reason = MARJORAM_REASON_NO_CONFIG;
  else if (!is_known (router, query))
    choice->reason = MARJORAM_REASON_CONFIG_CHANGED;
  else if (is_convicted (router, now, query))
    choice->reason = MARJORAM_REASON_CONVICTED;
  else if (now >= query->deadline)
    choice->reason = MARJORAM_REASON_DEADLINE;
  if (choice->reason != MARJORAM_REASON_NONE)
    return false;
  look (router, now, query, view);
  decide (router, now, query, view, choice);
  if (choice->verdict != MARJORAM_VERDICT_REFUSE)
    marjoram_fair_used (router->fair, now, query->caller, view->alone_ms);
  return true;
}

void
marjoram_router_choose (marjoram_router *router, int64_t now,
                        const struct marjoram_query *query,
                        struct marjoram_choice *choice)
{
  struct view view;

  choose (router, now, query, choice, &view);
}

static bool
in_range (const marjoram_router *router, int zone, int work)
{
  return ready (router) && zone >= 0
         && zone < marjoram_config_zone_count (router->config) && work >= 0
         && work < marjoram_config_work_count (router->config);
}

void
marjoram_router_sent (marjoram_router *router, int64_t now, int zone, int work)
{
  if (in_range (router, zone, work))
    marjoram_loans_sent (router->loans, now, zone, work);
}

void
marjoram_router_returned (marjoram_router *router, int64_t now, int zone,
                          int work, bool failed)
{
  if (in_range (router, zone, work))
    marjoram_loans_returned (router->loans, now, zone, work, failed);
}

void
marjoram_router_measured (marjoram_router *router, int64_t now,
                          const char *upstream,
                          const struct marjoram_query *query, int64_t first_ms,
                          int64_t whole_ms, uint64_t tokens)
{
  if (ready (router) && is_known (router, query))
    marjoram_chooser_measured (router->chooser, now, upstream, query, first_ms,
                               whole_ms, tokens);
}

void
marjoram_router_learn (marjoram_router *router, int64_t now,
                       const struct marjoram_offers *offers, int64_t link_ms)
{
  int zone = ready (router) && offers->zone
                 ? marjoram_config_find_zone (router->config, offers->zone)
                 : -1;

  if (zone < 0)
    return;
  marjoram_limits_learn (router->limits, now, zone, (int)offers->ordinal,
                         &offers->usages);
  if (zone != router->zone)
    marjoram_loans_learn (router->loans, now, zone, &offers->offers, link_ms);
}

void
marjoram_router_offer (marjoram_router *router, int64_t now, int zone,
                       struct marjoram_offers *offers)
{
  struct marjoram_offer *items;
  int works;

  *offers = (struct marjoram_offers){ 0 };
  offers->zone = marjoram_strdup (router->zone_name);
  if (!ready (router) || zone < 0
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
      const struct marjoram_room *room
          = marjoram_chooser_room (router->chooser, now, i);
      struct marjoram_offer *item = &items[offers->offers.count];

      if (room->upstreams == 0)
        continue;
      item->work
          = marjoram_strdup (marjoram_config_work (router->config, i)->name);
      item->room = marjoram_loans_split (router->loans, now, zone, i,
                                         room->free - room->slots * KEPT_PART);
      item->wait_ms = room->free >= 1 ? 0 : (int64_t)fmax (1, room->wait_ms);
      item->upstreams = room->upstreams;
      offers->offers.count++;
    }
}

/* Text that grows up to a limit.  */
struct text
{
  char *data;
  size_t size;
};

static void __attribute__ ((format (printf, 2, 3)))
print (struct text *text, const char *format, ...)
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
print_candidate (void *context, const struct marjoram_pick *pick, bool usable)
{
  const struct marjoram_upstream *upstream = pick->upstream;

  print (context,
         "upstream %s: %s, load %u of %u here, wait %.0f ms, total "
         "%.0f ms\n",
         upstream->announcement->name, usable ? "usable" : "not usable",
         upstream->in_flight, (unsigned)upstream->announcement->slots,
         pick->wait_ms, pick->total_ms);
}

static void
print_loan (struct text *text, const marjoram_router *router,
            const struct marjoram_loan *loan, const char *where)
{
  if (loan->zone < 0)
    print (text, "%s: no allowed zone lends room\n", where);
  else
    print (text, "%s: zone %s lends room, total %.0f ms\n", where,
           marjoram_config_zone (router->config, loan->zone)->name,
           loan->total_ms);
}

char *
marjoram_router_explain (marjoram_router *router, int64_t now,
                         const struct marjoram_query *query,
                         struct marjoram_choice *choice)
{
  struct text text = { marjoram_alloc (EXPLAIN_MAX), 0 };
  struct view view;

  if (!choose (router, now, query, choice, &view))
    {
      print (&text, "refused: %s\n", marjoram_reason_name (choice->reason));
      return text.data;
    }
  print (&text, "zone %s: residency %s it\n", router->zone_name,
         view.here ? "allows" : "forbids");
  marjoram_chooser_visit (router->chooser, now, query, print_candidate, &text);
  print_loan (&text, router, &view.near_by, "this region");
  print_loan (&text, router, &view.far_away, "other regions");
  switch (choice->verdict)
    {
    case MARJORAM_VERDICT_LOCAL:
      print (&text, "chosen: upstream %s, expected %lld ms\n",
             choice->upstream, (long long)choice->expected_ms);
      break;
    case MARJORAM_VERDICT_FORWARD:
      print (&text, "chosen: zone %s, expected %lld ms\n",
             marjoram_config_zone (router->config, choice->zone)->name,
             (long long)choice->expected_ms);
      break;
    case MARJORAM_VERDICT_REFUSE:
      print (&text, "refused: %s, retry after %lld ms\n",
             marjoram_reason_name (choice->reason),
             (long long)choice->retry_ms);
      break;
    }
  return text.data;
}
