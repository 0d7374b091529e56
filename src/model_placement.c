#include "model_placement.h"

#include "cleanup.h"
#include "log.h"

#include <stdio.h>
#include <string.h>
#include <uthash.h>

enum
{
  /* The weight store is shared and rate-limited, so the number of concurrent
     loads per zone is bounded.  */
  MAX_CONCURRENT_LOADS = 2,
  RETRY_MIN_MS = 1000,
  RETRY_MAX_MS = 60000,
  /* An accepted order without effect expires after twice the load time of the
     model plus this margin.  */
  LOAD_MARGIN_MS = 10000,
  MAX_BACKOFF_DOUBLINGS = 6,
  STATUS_OK = 200,
  STATUS_ACCEPTED = 202,
  KEY_SIZE = 2 * MARJORAM_NAME_MAX + 2
};

/* A load order for one engine and model.  */
struct load
{
  char key[KEY_SIZE]; /* "ENGINE/MODEL" */
  size_t engine_length;
  uint64_t number;    /* of the outstanding order; 0 if none */
  int64_t until;      /* expiry of the outstanding order */
  int64_t not_before; /* earliest time of the next order */
  uint32_t failures;
  UT_hash_handle hh;
};

struct marjoram_model_placement
{
  const struct marjoram_model_placement_ops *ops;
  void *context;
  marjoram_random *random;
  struct load *loads;
  uint64_t next_number;
};

marjoram_model_placement *
marjoram_model_placement_create (
    const struct marjoram_model_placement_ops *ops, void *context,
    marjoram_random *random)
{
  marjoram_model_placement *placement = marjoram_alloc (sizeof *placement);

  placement->ops = ops;
  placement->context = context;
  placement->random = random;
  return placement;
}

static void
load_destroy (marjoram_model_placement *placement, struct load *load)
{
  /* The uthash macro confuses the analyzer.  */
  /* NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DEL (placement->loads, load);
  free (load);
}

void
marjoram_model_placement_destroy (marjoram_model_placement *placement)
{
  struct load *load;
  struct load *next;

  if (!placement)
    return;
  HASH_ITER (hh, placement->loads, load, next)
  {
    load_destroy (placement, load);
  }
  free (placement);
}

static void
make_key (char key[KEY_SIZE], const char *engine, const char *model)
{
  snprintf (key, KEY_SIZE, "%s/%s", engine, model);
}

static struct load *
find_load (const marjoram_model_placement *placement, const char *engine,
           const char *model)
{
  char key[KEY_SIZE];
  struct load *load;

  make_key (key, engine, model);
  HASH_FIND_STR (placement->loads, key, load);
  return load;
}

static struct load *
find_or_add_load (marjoram_model_placement *placement, const char *engine,
                  const char *model)
{
  struct load *load = find_load (placement, engine, model);

  if (load)
    return load;
  load = marjoram_alloc (sizeof *load);
  make_key (load->key, engine, model);
  load->engine_length = strlen (engine);
  HASH_ADD_STR (placement->loads, key, load);
  return load;
}

static bool
contains_name (const struct marjoram_array *names, const char *model)
{
  const struct marjoram_work_name *name = names->items;

  for (size_t i = 0; i < names->count; i++)
    if (name[i].name && strcmp (name[i].name, model) == 0)
      return true;
  return false;
}

/* Whether the engine announces the model.  */
static bool
is_loaded (const struct load *load, int64_t now,
           const marjoram_members *members)
{
  char engine[KEY_SIZE];
  const struct marjoram_upstream *upstream;

  snprintf (engine, sizeof engine, "%.*s", (int)load->engine_length,
            load->key);
  upstream = marjoram_members_find (members, now, engine);
  return upstream
         && contains_name (&upstream->announcement->works,
                           load->key + load->engine_length + 1);
}

/* Removes completed and stale entries, expires overdue orders, and returns the
   number of outstanding ones.  */
static int
expire_loads (marjoram_model_placement *placement, int64_t now,
              const marjoram_members *members)
{
  struct load *load;
  struct load *next;
  int outstanding = 0;

  HASH_ITER (hh, placement->loads, load, next)
  {
    bool is_idle = !load->number && now >= load->not_before + RETRY_MAX_MS;

    if (is_idle || is_loaded (load, now, members))
      {
        load_destroy (placement, load);
        continue;
      }
    if (load->number && now >= load->until)
      load->number = 0;
    outstanding += load->number != 0;
  }
  return outstanding;
}

/* Number of engines that have the model loaded or are loading it.  */
static int
count_replicas (const marjoram_model_placement *placement, int64_t now,
                const marjoram_members *members, const char *model)
{
  int replicas = 0;

  for (size_t i = 0; i < marjoram_members_count (members); i++)
    {
      const struct marjoram_upstream *upstream
          = marjoram_members_at (members, i);
      const struct marjoram_announcement *a = upstream->announcement;
      const struct load *load = find_load (placement, a->name, model);

      if (marjoram_upstream_usable (upstream, now)
          && (contains_name (&a->works, model) || (load && load->number)))
        replicas++;
    }
  return replicas;
}

/* An engine loads one model at a time.  */
static bool
is_loading (const marjoram_model_placement *placement, const char *engine)
{
  size_t length = strlen (engine);
  struct load *load;
  struct load *next;

  HASH_ITER (hh, placement->loads, load, next)
  {
    if (load->number && load->engine_length == length
        && strncmp (load->key, engine, length) == 0)
      return true;
  }
  return false;
}

static bool
can_load (marjoram_model_placement *placement, int64_t now,
          const struct marjoram_upstream *upstream, const char *model)
{
  const struct marjoram_announcement *a = upstream->announcement;
  const struct load *load = find_load (placement, a->name, model);

  return a->engine && marjoram_upstream_usable (upstream, now)
         && !contains_name (&a->works, model)
         && contains_name (&a->loadable, model)
         && !is_loading (placement, a->name)
         && (!load || now >= load->not_before);
}

/* The engine with the fewest loaded models, then the least load; NULL if none
   can load MODEL now.  */
static const struct marjoram_announcement *
choose_engine (marjoram_model_placement *placement, int64_t now,
               const marjoram_members *members, const char *model)
{
  const struct marjoram_announcement *best = NULL;

  for (size_t i = 0; i < marjoram_members_count (members); i++)
    {
      const struct marjoram_upstream *upstream
          = marjoram_members_at (members, i);
      const struct marjoram_announcement *a = upstream->announcement;

      if (!can_load (placement, now, upstream, model))
        continue;
      if (!best || a->works.count < best->works.count
          || (a->works.count == best->works.count
              && a->running + a->waiting < best->running + best->waiting))
        best = a;
    }
  return best;
}

/* An engine is trusted to reject stale fences only if both its announcement
   and the configuration say so.  */
static uint64_t
fence_for (const marjoram_config *config, const marjoram_orders *orders,
           int64_t now, int work, const struct marjoram_announcement *engine)
{
  bool enforced
      = engine->fences && marjoram_config_supports_fencing (config, work);

  return marjoram_orders_fence (orders, now, enforced);
}

static void
send_order (marjoram_model_placement *placement, int64_t now, uint64_t fence,
            const struct marjoram_announcement *engine,
            const struct marjoram_work *model)
{
  struct load *load = find_or_add_load (placement, engine->name, model->name);
  struct marjoram_order order
      = { ++placement->next_number, engine->address, fence, model->name };

  load->number = order.number;
  load->until = now + 2 * model->load_ms + LOAD_MARGIN_MS;
  marjoram_log (MARJORAM_LOG_NOTICE, "orders %s to load %s, fence %llu",
                engine->name, model->name, (unsigned long long)fence);
  placement->ops->give (placement->context, &order);
}

static void
reconcile_model (marjoram_model_placement *placement, int64_t now,
                 const marjoram_config *config,
                 const marjoram_members *members,
                 const marjoram_orders *orders, int work)
{
  const struct marjoram_work *model = marjoram_config_work (config, work);
  const struct marjoram_announcement *engine;
  uint64_t fence;

  if (model->kind != MARJORAM_WORK_MODEL
      || count_replicas (placement, now, members, model->name)
             >= model->replicas)
    return;
  engine = choose_engine (placement, now, members, model->name);
  if (!engine)
    return;
  fence = fence_for (config, orders, now, work, engine);
  if (fence)
    send_order (placement, now, fence, engine, model);
}

void
marjoram_model_placement_tick (marjoram_model_placement *placement,
                               int64_t now, const marjoram_config *config,
                               const marjoram_members *members,
                               const marjoram_orders *orders)
{
  int works = marjoram_config_work_count (config);

  if (!marjoram_orders_fence (orders, now, true))
    return;
  for (int i = 0;
       i < works
       && expire_loads (placement, now, members) < MAX_CONCURRENT_LOADS;
       i++)
    reconcile_model (placement, now, config, members, orders, i);
}

static struct load *
find_load_by_number (const marjoram_model_placement *placement,
                     uint64_t number)
{
  struct load *load;
  struct load *next;

  HASH_ITER (hh, placement->loads, load, next)
  {
    if (load->number == number)
      return load;
  }
  return NULL;
}

void
marjoram_model_placement_answered (marjoram_model_placement *placement,
                                   int64_t now, uint64_t number, int status,
                                   int64_t retry_ms)
{
  struct load *load = find_load_by_number (placement, number);
  int64_t wait;

  if (!load || status == STATUS_OK || status == STATUS_ACCEPTED)
    return;
  /* Exponential backoff with jitter keeps zones from retrying against the
     weight store in lockstep.  */
  if (load->failures < MAX_BACKOFF_DOUBLINGS)
    load->failures++;
  wait = (int64_t)RETRY_MIN_MS << (load->failures - 1);
  wait += marjoram_random_below (placement->random, (uint32_t)wait);
  if (wait > RETRY_MAX_MS)
    wait = RETRY_MAX_MS;
  if (wait < retry_ms)
    wait = retry_ms + marjoram_random_below (placement->random, RETRY_MIN_MS);
  load->number = 0;
  load->not_before = now + wait;
}
