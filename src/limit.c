#include "limit.h"

#include "cleanup.h"
#include "member.h"

#include <math.h>

#define DEMAND_SPAN_MS 2000.0
/* Part of a caller's rate that its home region keeps for itself while the
   other regions can't be heard.  */
#define HOME_PART 0.8
/* What each zone and host is taken to ask at least, as a part of the rate, so
   that a first request is not refused before reports have gone round.  */
#define DEMAND_FLOOR 0.02
/* Use below this part of the rate is not worth a report.  */
#define REPORT_FLOOR 0.05

enum
{
  HOST_SILENT_MS = 3000,
  ZONE_SILENT_MS = 5000,
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
  int64_t filled;   /* when tokens were last added */
  double demand;    /* requests a second asked of this host */
  int64_t asked;    /* when demand was last brought up to date */
  double near_by;   /* reported by the zone's other hosts */
  double elsewhere; /* reported by the other zones */
};

struct use
{
  int caller;
  double rate;
};

/* The last report of one host or zone.  */
struct source
{
  int64_t heard; /* 0 if never, or silent for too long */
  struct use *uses;
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
forget_sources (marjoram_limits *limits)
{
  for (int i = 0; i < MARJORAM_MEMBER_SLOTS_MAX; i++)
    {
      free (limits->hosts[i].uses);
      limits->hosts[i] = (struct source){ 0 };
    }
  for (int i = 0; i < limits->zone_count; i++)
    free (limits->zones[i].uses);
  free (limits->zones);
  limits->zones = NULL;
  limits->zone_count = 0;
}

void
marjoram_limits_destroy (marjoram_limits *limits)
{
  if (!limits)
    return;
  forget_sources (limits);
  marjoram_config_release (limits->config);
  free (limits->callers);
  free (limits);
}

/* The parts that zones hold follow from the configuration; reports are made
   anew every second, so they are not carried over.  */
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
      int old = limits->config ? marjoram_config_find_caller_name (
                    limits->config, caller->name)
                               : -1;

      callers[i] = (struct caller){ .tokens = -1, .asked = now };
      if (old >= 0)
        callers[i] = limits->callers[old];
      callers[i].near_by = 0;
      callers[i].elsewhere = 0;
    }
  forget_sources (limits);
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
  if (now <= caller->asked)
    return;
  caller->demand *= exp ((double)(caller->asked - now) / DEMAND_SPAN_MS);
  caller->asked = now;
}

static int
home_zones (const marjoram_config *config, int region)
{
  int zones = marjoram_config_zone_count (config);
  int count = 0;

  for (int i = 0; i < zones; i++)
    count += marjoram_config_zone (config, i)->region == region;
  return count;
}

/* The part of the rate that ZONE may always use.  Those of all zones add up to
   one.  */
static double
fixed_part (const marjoram_limits *limits,
            const struct marjoram_caller *caller, int zone, int at_home)
{
  int zones = limits->zone_count;

  if (at_home == 0 || at_home == zones)
    return 1.0 / zones;
  if (marjoram_config_zone (limits->config, zone)->region == caller->home)
    return HOME_PART / at_home;
  return (1 - HOME_PART) / (zones - at_home);
}

static double
zone_part (const marjoram_limits *limits, const struct marjoram_caller *caller,
           double here, double elsewhere, int64_t now)
{
  int at_home = home_zones (limits->config, caller->home);
  double floor = caller->rate * DEMAND_FLOOR;
  double available = 1;
  int heard = 0;

  for (int i = 0; i < limits->zone_count; i++)
    {
      if (i == limits->zone)
        continue;
      if (limits->zones[i].heard
          && now < limits->zones[i].heard + ZONE_SILENT_MS)
        heard++;
      else
        /* Stops both sides of a cut from taking the whole limit each: what
           can't be heard keeps its fixed part.  */
        available -= fixed_part (limits, caller, i, at_home);
    }
  here += floor;
  elsewhere += floor * heard;
  return available * here / (here + elsewhere);
}

/* A host that is alive but has not reported counts as if it were asked as much
   as this one, which gives equal shares.  */
static double
host_part (const marjoram_limits *limits, const struct caller *caller,
           double floor, int hosts, int64_t now)
{
  double own = caller->demand + floor;
  double others = caller->near_by;
  int heard = 0;

  for (int i = 0; i < MARJORAM_MEMBER_SLOTS_MAX; i++)
    if (i != limits->self && limits->hosts[i].heard
        && now < limits->hosts[i].heard + HOST_SILENT_MS)
      heard++;
  others += floor * heard;
  if (hosts - 1 > heard)
    others += own * (hosts - 1 - heard);
  return own / (own + others);
}

static void remove_uses (marjoram_limits *limits, struct source *source,
                         bool own_zone);

static void
expire_sources (marjoram_limits *limits, int64_t now)
{
  for (int i = 0; i < MARJORAM_MEMBER_SLOTS_MAX; i++)
    if (limits->hosts[i].heard
        && now >= limits->hosts[i].heard + HOST_SILENT_MS)
      remove_uses (limits, &limits->hosts[i], true);
  for (int i = 0; i < limits->zone_count; i++)
    if (limits->zones[i].heard
        && now >= limits->zones[i].heard + ZONE_SILENT_MS)
      remove_uses (limits, &limits->zones[i], false);
}

static double
share (const marjoram_limits *limits, const struct caller *caller,
       const struct marjoram_caller *rule, int hosts, int64_t now)
{
  double floor = rule->rate * DEMAND_FLOOR;

  return zone_part (limits, rule, caller->demand + caller->near_by,
                    caller->elsewhere, now)
         * host_part (limits, caller, floor, hosts, now);
}

enum marjoram_reason
marjoram_limits_admit (marjoram_limits *limits, int64_t now, int caller,
                       int hosts, int64_t *retry_ms)
{
  const struct marjoram_caller *rule
      = marjoram_config_caller (limits->config, caller);
  struct caller *state = &limits->callers[caller];
  double part;
  double rate;
  double burst;
  double retry;

  expire_sources (limits, now);
  decay (state, now);
  state->demand += 1000 / DEMAND_SPAN_MS;
  part = share (limits, state, rule, hosts, now);
  rate = rule->rate * part;
  burst = fmax (1, rule->burst * part);
  if (state->tokens < 0)
    state->tokens = burst;
  else
    state->tokens += rate * (double)(now - state->filled) / 1000;
  state->tokens = fmin (state->tokens, burst);
  state->filled = now;
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
      rate = caller->demand + (own_zone ? 0 : caller->near_by);
      if (rate < rule->rate * REPORT_FLOOR)
        continue;
      items[count].caller = marjoram_strdup (rule->name);
      items[count].rate = (uint64_t)(rate * 1000);
      count++;
    }
  usages->items = items;
  usages->count = count;
}

static void
add_uses (marjoram_limits *limits, const struct source *source, bool own_zone,
          double sign)
{
  for (size_t i = 0; i < source->count; i++)
    {
      struct caller *caller = &limits->callers[source->uses[i].caller];
      double *sum = own_zone ? &caller->near_by : &caller->elsewhere;

      *sum = fmax (0, *sum + sign * source->uses[i].rate);
    }
}

static void
remove_uses (marjoram_limits *limits, struct source *source, bool own_zone)
{
  add_uses (limits, source, own_zone, -1);
  free (source->uses);
  *source = (struct source){ 0 };
}

static void
set_uses (marjoram_limits *limits, struct source *source,
          const struct marjoram_array *usages)
{
  const struct marjoram_usage *items = usages->items;

  source->uses = marjoram_alloc ((usages->count + 1) * sizeof *source->uses);
  for (size_t i = 0; i < usages->count; i++)
    {
      int caller = items[i].caller ? marjoram_config_find_caller_name (
                       limits->config, items[i].caller)
                                   : -1;

      if (caller >= 0)
        source->uses[source->count++]
            = (struct use){ caller, (double)items[i].rate / 1000 };
    }
}

void
marjoram_limits_learn (marjoram_limits *limits, int64_t now, int zone,
                       int ordinal, const struct marjoram_array *usages)
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
  remove_uses (limits, source, own_zone);
  source->heard = now > 0 ? now : 1;
  set_uses (limits, source, usages);
  add_uses (limits, source, own_zone, 1);
}
