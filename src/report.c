#include "report.h"

#include "cleanup.h"
#include "host_state.h"

#include <string.h>

static const char *
entry_state (const marjoram_host *host, int64_t now,
             const struct marjoram_slot *slot)
{
  struct marjoram_host_view view;

  if (strcmp (slot->name, host->settings->slot) == 0)
    return host->draining ? "draining" : "up";
  marjoram_host_view (host, now, slot->name, &view);
  if (view.alive && view.draining)
    return "draining";
  if (view.alive)
    return "up";
  /* Without a link to a host, its state cannot be determined.  */
  return marjoram_link_find (host, slot->name) ? "silent" : "unknown";
}

/* Entries that are up come first, and among these the own zone.  */
static int
entry_rank (const marjoram_host *host, const struct marjoram_slot *slot,
            const char *state)
{
  bool up = strcmp (state, "up") == 0 || strcmp (state, "unknown") == 0;

  return (up ? 0 : 2) + (slot->zone == host->zone ? 0 : 1);
}

static void
add_entries (const marjoram_host *host, int64_t now, json_t *entries, int rank)
{
  for (int i = 0; i < marjoram_config_slot_count (host->config); i++)
    {
      const struct marjoram_slot *slot
          = marjoram_config_slot (host->config, i);
      const char *state = entry_state (host, now, slot);

      if (entry_rank (host, slot, state) != rank)
        continue;
      json_array_append_new (
          entries,
          json_pack ("{s:s, s:s, s:s, s:s}", "slot", slot->name, "zone",
                     marjoram_config_zone (host->config, slot->zone)->name,
                     "address", slot->entry_address, "state", state));
    }
}

json_t *
marjoram_report_entries (const marjoram_host *host, int64_t now, int64_t wall)
{
  const struct marjoram_settings *settings = host->settings;
  json_t *entries = json_array ();
  char prefix[MARJORAM_KEY_MAX];
  const char *region = "";

  if (host->claims)
    wall = marjoram_claims_issue_time (host->claims, wall);
  marjoram_key_format_prefix (prefix, sizeof prefix, settings->zone, wall);
  if (host->config)
    for (int rank = 0; rank < 4; rank++)
      add_entries (host, now, entries, rank);
  if (host->config && host->zone >= 0)
    region = marjoram_config_region (
                 host->config,
                 marjoram_config_zone (host->config, host->zone)->region)
                 ->name;
  return json_pack ("{s:s, s:s, s:b, s:s, s:o}", "zone", settings->zone,
                    "region", region, "draining", host->draining, "key_prefix",
                    prefix, "entries", entries);
}

static json_t *
files_in_force (const marjoram_host *host)
{
  const struct marjoram_state *state = marjoram_host_state (host);
  json_t *files = json_array ();
  const struct marjoram_file *file;

  if (!state)
    return files;
  file = state->files.items;
  for (size_t i = 0; i < state->files.count; i++)
    json_array_append_new (files,
                           json_pack ("{s:s, s:I, s:s}", "name", file[i].name,
                                      "version", (json_int_t)file[i].version,
                                      "digest", file[i].digest));
  return files;
}

static json_t *
host_report (const marjoram_host *host, int64_t now,
             const struct marjoram_slot *slot)
{
  struct marjoram_host_view view;

  marjoram_host_view (host, now, slot->name, &view);
  return json_pack ("{s:s, s:s, s:b, s:b, s:I, s:I, s:I}", "slot", slot->name,
                    "zone",
                    marjoram_config_zone (host->config, slot->zone)->name,
                    "alive", view.alive, "draining", view.draining,
                    "config_number", (json_int_t)view.config_number,
                    "incarnation", (json_int_t)view.incarnation,
                    "round_trip_ms", (json_int_t)view.round_trip_ms);
}

json_t *
marjoram_report_status (const marjoram_host *host, int64_t now)
{
  const struct marjoram_settings *settings = host->settings;
  json_t *hosts = json_array ();
  uint64_t number = host->config ? marjoram_config_number (host->config) : 0;

  for (int i = 0;
       host->config && i < marjoram_config_slot_count (host->config); i++)
    {
      const struct marjoram_slot *slot
          = marjoram_config_slot (host->config, i);

      if (strcmp (slot->name, settings->slot) != 0
          && marjoram_link_find (host, slot->name))
        json_array_append_new (hosts, host_report (host, now, slot));
    }
  return json_pack (
      "{s:s, s:s, s:I, s:b, s:b, s:I, s:b, s:b, s:s?, s:I, s:o, s:o}", "slot",
      settings->slot, "zone", settings->zone, "incarnation",
      (json_int_t)host->incarnation, "draining", host->draining, "ready",
      marjoram_host_ready (host), "config_number", (json_int_t)number,
      "keeper", host->keeper != NULL, "votes",
      host->keeper && marjoram_keeper_votes (host->keeper), "trouble",
      host->keeper ? marjoram_keeper_trouble (host->keeper) : NULL, "requests",
      (json_int_t)marjoram_host_request_count (host), "files",
      files_in_force (host), "hosts", hosts);
}

static json_t *
upstream_report (const struct marjoram_upstream *upstream, int64_t now)
{
  const struct marjoram_announcement *a = upstream->announcement;
  const struct marjoram_work_name *work = a->works.items;
  json_t *works = json_array ();

  for (size_t i = 0; i < a->works.count; i++)
    json_array_append_new (works, json_string (work[i].name));
  return json_pack (
      "{s:s, s:s, s:s, s:I, s:b, s:b, s:I, s:I, s:I, s:i, s:b, s:o}", "name",
      a->name, "address", a->address, "kind", a->engine ? "engine" : "service",
      "incarnation", (json_int_t)a->incarnation, "fences", a->fences,
      "leaving", a->leaving, "lease_left_ms",
      (json_int_t)(upstream->expires - now), "running", (json_int_t)a->running,
      "waiting", (json_int_t)a->waiting, "in_flight", (int)upstream->in_flight,
      "ejected", upstream->ejected_until > now, "works", works);
}

json_t *
marjoram_report_upstreams (const marjoram_host *host, int64_t now)
{
  json_t *upstreams = json_array ();

  for (size_t i = 0; i < marjoram_members_count (host->members); i++)
    json_array_append_new (
        upstreams,
        upstream_report (marjoram_members_at (host->members, i), now));
  return json_pack ("{s:s, s:o}", "zone", host->settings->zone, "upstreams",
                    upstreams);
}

static json_t *
explain_failure (const char *message)
{
  return json_pack ("{s:s, s:s}", "verdict", "refuse", "message", message);
}

static const char *
verdict_name (enum marjoram_verdict verdict)
{
  static const char *const names[] = { "local", "forward", "refuse" };

  return names[verdict];
}

json_t *
marjoram_report_explain (marjoram_host *host, int64_t now,
                         const struct marjoram_explain_query *query)
{
  struct marjoram_query q = { 0 };
  struct marjoram_choice choice = { 0 };
  const char *zone = "";
  marjoram_auto_free char *text = NULL;

  if (!host->config || host->zone < 0)
    return explain_failure ("this host has no configuration yet");
  q.caller = marjoram_config_find_caller_by_name (host->config, query->caller);
  q.work = marjoram_config_find_work (host->config, query->work);
  if (q.caller < 0)
    return explain_failure ("unknown caller; use one from the callers file");
  if (q.work < 0)
    return explain_failure ("unknown model or service; use a configured one");
  q.class = query->class && strcmp (query->class, "overnight") == 0
                ? MARJORAM_CLASS_OVERNIGHT
                : MARJORAM_CLASS_INTERACTIVE;
  q.deadline
      = now
        + (query->deadline_ms > 0
               ? query->deadline_ms
               : marjoram_config_work (host->config, q.work)->deadline_ms);
  q.prompt_tokens = query->prompt_tokens;
  q.digest = "";
  text = marjoram_host_explain (host, now, &q, &choice);
  if (choice.verdict == MARJORAM_VERDICT_FORWARD)
    zone = marjoram_config_zone (host->config, choice.zone)->name;
  return json_pack (
      "{s:s, s:s, s:s, s:s, s:I, s:I, s:s}", "verdict",
      verdict_name (choice.verdict), "upstream", choice.upstream, "zone", zone,
      "reason", marjoram_reason_name (choice.reason), "retry_ms",
      (json_int_t)choice.retry_ms, "expected_ms",
      (json_int_t)choice.expected_ms, "message", text ? text : "");
}
