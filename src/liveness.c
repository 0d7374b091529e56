#include "liveness.h"

#include "cleanup.h"

#include <string.h>

enum
{
  /* Time after which upstreams of an unreachable keeper have turned to another
     one, or that keeper's renewals arrive again.  */
  LIMBO_MS = 5000,
  /* Summaries in a row that differ before a host asks: what other keepers told
     the host may precede one.  */
  MISMATCHES_MAX = 2,
  ASK_PAUSE_MIN_MS = 2000,
  ASK_PAUSE_MAX_MS = 60000
};

/* ---- At a keeper.  ---- */

static bool
is_reachable (const struct marjoram_liveness_scope *scope, int64_t now,
              const char *keeper)
{
  const struct marjoram_listed_host *host
      = marjoram_host_list_find (scope->hosts, keeper);

  return host && marjoram_host_list_alive (host, now);
}

/* The silence of an upstream whose keeper can't be reached says nothing about
   the upstream.  */
static void
update_limbo (const struct marjoram_liveness_scope *scope, int64_t now,
              struct marjoram_registered *upstream)
{
  if (*upstream->via && !is_reachable (scope, now, upstream->via))
    upstream->limbo_until = now + LIMBO_MS;
}

static void
add_live (struct marjoram_liveness *summary,
          const struct marjoram_registered *upstream, int64_t now)
{
  int64_t age_ms = now - upstream->received_at;

  if (age_ms > MARJORAM_VOUCHED_AGE_MS)
    age_ms = MARJORAM_VOUCHED_AGE_MS;
  if (age_ms > summary->within_ms)
    summary->within_ms = age_ms;
  summary->count++;
  summary->digest += marjoram_registered_digest (upstream);
}

/* One that does not fit stays live until the next summary.  */
static bool
add_silent (struct marjoram_liveness *summary,
            struct marjoram_registered *upstream, int64_t now)
{
  struct marjoram_silent_item *items = summary->silent.items;

  if (summary->silent.count == MARJORAM_SILENT_MAX)
    return false;
  items[summary->silent.count++] = (struct marjoram_silent_item){
    marjoram_strdup (upstream->heartbeat.id), now - upstream->received_at
  };
  upstream->silent_since = now;
  return true;
}

static size_t
count_in_scope (const struct marjoram_liveness_scope *scope)
{
  const size_t count = marjoram_registry_count (scope->registry);

  return count < MARJORAM_SILENT_MAX ? count : MARJORAM_SILENT_MAX;
}

void
marjoram_liveness_build (const struct marjoram_liveness_scope *scope,
                         int64_t now, struct marjoram_liveness *summary)
{
  struct marjoram_registered *upstream;

  memset (summary, 0, sizeof *summary);
  summary->silent.items = marjoram_alloc (
      count_in_scope (scope) * sizeof (struct marjoram_silent_item));
  TAILQ_FOREACH (upstream, marjoram_registry_all (scope->registry), link)
  {
    if (upstream->heartbeat.state == MARJORAM_UPSTREAM_GONE
        || !scope->includes (scope->context, upstream->heartbeat.zone))
      continue;
    update_limbo (scope, now, upstream);
    if (marjoram_registered_is_live (upstream, now)
        || (upstream->silent_since == 0
            && !add_silent (summary, upstream, now)))
      add_live (summary, upstream, now);
  }
}

/* ---- At a host.  ---- */

static bool
is_same (const struct marjoram_registry_digest *known,
         const struct marjoram_liveness *summary)
{
  return known->count == summary->count && known->sum == summary->digest;
}

static bool
must_ask (struct marjoram_liveness_check *check, int64_t now)
{
  if (++check->mismatches < MISMATCHES_MAX || now < check->ask_at)
    return false;
  if (check->pause_ms < ASK_PAUSE_MIN_MS)
    check->pause_ms = ASK_PAUSE_MIN_MS;
  check->ask_at = now + check->pause_ms;
  if (check->pause_ms < ASK_PAUSE_MAX_MS)
    check->pause_ms *= 2;
  return true;
}

bool
marjoram_liveness_apply (struct marjoram_liveness_check *check,
                         marjoram_registry *registry, int64_t now,
                         const struct marjoram_liveness *summary)
{
  const struct marjoram_silent_item *silent = summary->silent.items;
  struct marjoram_registry_digest known;

  for (size_t i = 0; i < summary->silent.count; i++)
    if (silent[i].id)
      marjoram_registry_set_silent (registry, now, silent[i].id,
                                    silent[i].age_ms);
  known = marjoram_registry_digest (registry);
  if (!is_same (&known, summary))
    return must_ask (check, now);
  marjoram_registry_vouch (registry, now, summary->within_ms);
  check->mismatches = 0;
  check->pause_ms = 0;
  return false;
}
