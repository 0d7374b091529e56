#include "limit.h"

#include "cleanup.h"
#include "member.h"

#include <math.h>

#define DEMAND_DECAY_MS 2000.0
/* Fraction of the rate that the home region keeps while the other regions are
   unreachable.  */
#define HOME_REGION_FRACTION 0.8
/* Minimum demand assumed for each zone and host, as a fraction of the rate, so
   that a first request is not refused before demand is reported.  */
#define MIN_DEMAND_FRACTION 0.02
/* Minimum demand, as a fraction of the rate, that is reported.  */
#define MIN_REPORTED_FRACTION 0.05

enum
{
  HOST_REPORT_TIMEOUT_MS = 3000,
  ZONE_REPORT_TIMEOUT_MS = 5000,
  RETRY_MIN_MS = 50,
  RETRY_MAX_MS = 60000
};

static const struct marjoram_field usage_fields[] = {
  { MARJORAM_WIRE_STRING (struct marjoram_usage, caller, MARJORAM_NAME_MAX) },
  { MARJORAM_WIRE_UINT (struct marjoram_usage, rate) },
};
const struct marjoram_layout marjoram_usage_layout
    = { "usage", sizeof (struct marjoram_usage), usage_fields, 2 };

struct caller
{
  double tokens;
  int64_t refilled;     /* time of the last refill */
  double demand;        /* requests per second at this host */
  int64_t decayed;      /* time of the last decay */
  double peer_demand;   /* reported by the zone's other hosts */
  double remote_demand; /* reported by the other zones */
};

struct demand_report
{
  int caller;
  double rate;
};

/* The last report of one host or zone.  */
struct source
{
  int64_t received; /* time of the report; 0 if none or expired */
  struct demand_report *reports;
  size_t count;
};

struct marjoram_limits
{
  int self;
  int zone;
  marjoram_config *config;
  struct caller *callers;
  int caller_count;
  struct source hosts[MARJORAM_MEMBER_SLOTS_MAX];
  struct source *zones;
  int zone_count;
};

marjoram_limits *
marjoram_limits_create (int self)
{
  marjoram_limits *limits = marjoram_alloc (sizeof *limits);

  limits->self = self;
  return limits;
}

void
marjoram_limits_set_self (marjoram_limits *limits, int self)
{
  limits->self = self;
}

static void
clear_sources (marjoram_limits *limits)
{
  for (int i = 0; i < MARJORAM_MEMBER_SLOTS_MAX; i++)
    {
      free (limits->hosts[i].reports);
      limits->hosts[i] = (struct source){ 0 };
    }
  for (int i = 0; i < limits->zone_count; i++)
    free (limits->zones[i].reports);
  free (limits->zones);
  limits->zones = NULL;
  limits->zone_count = 0;
}

void
marjoram_limits_destroy (marjoram_limits *limits)
{
  if (!limits)
    return;
  clear_sources (limits);
  marjoram_config_release (limits->config);
  free (limits->callers);
  free (limits);
}

/* Reports are not carried over, as they are renewed every second.  */
void
marjoram_limits_configure (marjoram_limits *limits, int64_t now,
                           marjoram_config *config, int zone)
{
  int count = marjoram_config_caller_count (config);
  struct caller *callers
      = marjoram_alloc (((size_t)count + 1) * sizeof *callers);

  for (int i = 0; i < count; i++)
    {
      const struct marjoram_caller *caller
          = marjoram_config_caller (config, i);
      int old = limits->config ? marjoram_config_find_caller_by_name (
                    limits->config, caller->name)
                               : -1;

      callers[i] = (struct caller){ .tokens = -1, .decayed = now };
      if (old >= 0)
        callers[i] = limits->callers[old];
      callers[i].peer_demand = 0;
      callers[i].remote_demand = 0;
    }
  clear_sources (limits);
  free (limits->callers);
  limits->callers = callers;
  limits->caller_count = count;
  marjoram_config_retain (config);
  marjoram_config_release (limits->config);
  limits->config = config;
  limits->zone = zone;
  limits->zone_count = marjoram_config_zone_count (config);
  limits->zones = marjoram_alloc (((size_t)limits->zone_count + 1)
                                  * sizeof *limits->zones);
}

static void
decay (struct caller *caller, int64_t now)
{
  if (now <= caller->decayed)
    return;
  caller->demand *= exp ((double)(caller->decayed - now) / DEMAND_DECAY_MS);
  caller->decayed = now;
}

static int
count_home_zones (const marjoram_config *config, int region)
{
  int zones = marjoram_config_zone_count (config);
  int count = 0;

  for (int i = 0; i < zones; i++)
    count += marjoram_config_zone (config, i)->region == region;
  return count;
}

/* Fraction of the rate that ZONE may always use.  The fractions of all zones
   add up to one.  */
static double
fixed_fraction (const marjoram_limits *limits,
                const struct marjoram_caller *caller, int zone, int home_zones)
{
  int zones = limits->zone_count;

  if (home_zones == 0 || home_zones == zones)
    return 1.0 / zones;
  if (marjoram_config_zone (limits->config, zone)->region == caller->home)
    return HOME_REGION_FRACTION / home_zones;
  return (1 - HOME_REGION_FRACTION) / (zones - home_zones);
}

static double
zone_fraction (const marjoram_limits *limits,
               const struct marjoram_caller *caller, double zone_demand,
               double remote_demand, int64_t now)
{
  int home_zones = count_home_zones (limits->config, caller->home);
  double min_demand = caller->rate * MIN_DEMAND_FRACTION;
  double available = 1;
  int reporting = 0;

  for (int i = 0; i < limits->zone_count; i++)
    {
      if (i == limits->zone)
        continue;
      if (limits->zones[i].received
          && now < limits->zones[i].received + ZONE_REPORT_TIMEOUT_MS)
        reporting++;
      else
        /* Reserves the fixed part of unreachable zones, so that the sides of a
           partition cannot each use the whole limit.  */
        available -= fixed_fraction (limits, caller, i, home_zones);
    }
  zone_demand += min_demand;
  remote_demand += min_demand * reporting;
  return available * zone_demand / (zone_demand + remote_demand);
}

/* A live host without a report is assumed to have the same demand as this one,
   which yields equal shares.  */
static double
host_fraction (const marjoram_limits *limits, const struct caller *caller,
               double min_demand, int hosts, int64_t now)
{
  double own = caller->demand + min_demand;
  double others = caller->peer_demand;
  int reporting = 0;

  for (int i = 0; i < MARJORAM_MEMBER_SLOTS_MAX; i++)
    if (i != limits->self && limits->hosts[i].received
        && now < limits->hosts[i].received + HOST_REPORT_TIMEOUT_MS)
      reporting++;
  others += min_demand * reporting;
  if (hosts - 1 > reporting)
    others += own * (hosts - 1 - reporting);
  return own / (own + others);
}

static void remove_reports (marjoram_limits *limits, struct source *source,
                            bool own_zone);

static void
expire_sources (marjoram_limits *limits, int64_t now)
{
  for (int i = 0; i < MARJORAM_MEMBER_SLOTS_MAX; i++)
    if (limits->hosts[i].received
        && now >= limits->hosts[i].received + HOST_REPORT_TIMEOUT_MS)
      remove_reports (limits, &limits->hosts[i], true);
  for (int i = 0; i < limits->zone_count; i++)
    if (limits->zones[i].received
        && now >= limits->zones[i].received + ZONE_REPORT_TIMEOUT_MS)
      remove_reports (limits, &limits->zones[i], false);
}

static double
caller_fraction (const marjoram_limits *limits, const struct caller *caller,
                 const struct marjoram_caller *rule, int hosts, int64_t now)
{
  double min_demand = rule->rate * MIN_DEMAND_FRACTION;

  return zone_fraction (limits, rule, caller->demand + caller->peer_demand,
                        caller->remote_demand, now)
         * host_fraction (limits, caller, min_demand, hosts, now);
}

enum marjoram_reason
marjoram_limits_admit (marjoram_limits *limits, int64_t now, int caller,
                       int hosts, int64_t *retry_ms)
{
  const struct marjoram_caller *rule
      = marjoram_config_caller (limits->config, caller);
  struct caller *state = &limits->callers[caller];
  double fraction;
  double rate;
  double burst;
  double retry;

  expire_sources (limits, now);
  decay (state, now);
  state->demand += 1000 / DEMAND_DECAY_MS;
  fraction = caller_fraction (limits, state, rule, hosts, now);
  rate = rule->rate * fraction;
  burst = fmax (1, rule->burst * fraction);
  if (state->tokens < 0)
    state->tokens = burst;
  else
    state->tokens += rate * (double)(now - state->refilled) / 1000;
  state->tokens = fmin (state->tokens, burst);
  state->refilled = now;
  if (state->tokens >= 1)
    {
      state->tokens--;
      return MARJORAM_REASON_NONE;
    }
  retry = rate > 0 ? (1 - state->tokens) / rate * 1000 : RETRY_MAX_MS;
  *retry_ms = (int64_t)fmin (fmax (retry, RETRY_MIN_MS), RETRY_MAX_MS);
  return MARJORAM_REASON_CALLER_LIMIT;
}

void
marjoram_limits_report (marjoram_limits *limits, int64_t now, bool own_zone,
                        struct marjoram_array *usages)
{
  struct marjoram_usage *items
      = marjoram_alloc (((size_t)limits->caller_count + 1) * sizeof *items);
  size_t count = 0;

  expire_sources (limits, now);
  for (int i = 0; i < limits->caller_count && count < MARJORAM_USAGES_MAX; i++)
    {
      const struct marjoram_caller *rule
          = marjoram_config_caller (limits->config, i);
      struct caller *caller = &limits->callers[i];
      double rate;

      decay (caller, now);
      rate = caller->demand + (own_zone ? 0 : caller->peer_demand);
      if (rate < rule->rate * MIN_REPORTED_FRACTION)
        continue;
      items[count].caller = marjoram_strdup (rule->name);
      items[count].rate = (uint64_t)(rate * 1000);
      count++;
    }
  usages->items = items;
  usages->count = count;
}

static void
add_reports (marjoram_limits *limits, const struct source *source,
             bool own_zone, double sign)
{
  for (size_t i = 0; i < source->count; i++)
    {
      struct caller *caller = &limits->callers[source->reports[i].caller];
      double *sum = own_zone ? &caller->peer_demand : &caller->remote_demand;

      *sum = fmax (0, *sum + sign * source->reports[i].rate);
    }
}

static void
remove_reports (marjoram_limits *limits, struct source *source, bool own_zone)
{
  add_reports (limits, source, own_zone, -1);
  free (source->reports);
  *source = (struct source){ 0 };
}

static void
set_reports (marjoram_limits *limits, struct source *source,
             const struct marjoram_array *usages)
{
  const struct marjoram_usage *items = usages->items;

  source->reports
      = marjoram_alloc ((usages->count + 1) * sizeof *source->reports);
  for (size_t i = 0; i < usages->count; i++)
    {
      int caller = items[i].caller ? marjoram_config_find_caller_by_name (
                       limits->config, items[i].caller)
                                   : -1;

      if (caller >= 0)
        source->reports[source->count++]
            = (struct demand_report){ caller, (double)items[i].rate / 1000 };
    }
}

void
marjoram_limits_process_report (marjoram_limits *limits, int64_t now, int zone,
                                int ordinal,
                                const struct marjoram_array *usages)
{
  bool own_zone = zone == limits->zone;
  struct source *source;

  if (zone < 0 || zone >= limits->zone_count)
    return;
  if (own_zone
      && (ordinal < 0 || ordinal >= MARJORAM_MEMBER_SLOTS_MAX
          || ordinal == limits->self))
    return;
  source = own_zone ? &limits->hosts[ordinal] : &limits->zones[zone];
  remove_reports (limits, source, own_zone);
  source->received = now > 0 ? now : 1;
  set_reports (limits, source, usages);
  add_reports (limits, source, own_zone, 1);
}
