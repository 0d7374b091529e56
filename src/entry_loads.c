#include "entry_private.h"

#include "cleanup.h"

#include <stdio.h>
#include <string.h>

enum
{
  REPORT_INTERVAL_MS = 100, /* load reports to the other hosts of the region */
  /* With collectors: hosts send load changes to the collectors, which send
     totals to all hosts.  */
  CHANGES_INTERVAL_MS = 50,
  /* For full reports, in case a collector missed changes.  */
  FULL_REPORT_INTERVAL_MS = 1000,
  /* Hosts of a region, including this one.  Above DIRECT_REPORT_MAX_HOSTS they
     report to collectors; below DIRECT_REPORT_RESUME_HOSTS they report to each
     other again.  */
  DIRECT_REPORT_MAX_HOSTS = 48,
  DIRECT_REPORT_RESUME_HOSTS = 40,
  GROUP_KEY_MAX = 16
};

/* Sent directly to hosts of this region; keepers relay to other regions.  */
static void
report_crashes (struct marjoram_entry *self)
{
  struct marjoram_crash_report crashes;

  if (!marjoram_crash_list_take_report (
          marjoram_gateway_crash_list (self->gateway),
          marjoram_entry_now (self), &crashes))
    return;
  marjoram_host_links_send_to_region (self->parts->links,
                                      MARJORAM_FRAME_CRASHES, &crashes);
  marjoram_host_links_send_to_keepers (self->parts->links,
                                       MARJORAM_FRAME_CRASHES, &crashes);
  marjoram_wire_clear (&marjoram_crash_report_layout, &crashes);
}

void
marjoram_entry_send_crashes (struct marjoram_entry *self, const char *host)
{
  const struct marjoram_gateway_settings *settings = self->parts->settings;
  const marjoram_crash_list *list
      = marjoram_gateway_crash_list (self->gateway);
  const struct marjoram_listed_host *listed
      = marjoram_host_list_find (self->parts->hosts, host);
  const char *sender;
  struct marjoram_crash_report all;

  if (marjoram_crash_list_count (list) == 0 || !listed
      || !listed->heartbeat.keeper)
    return;
  sender = marjoram_host_list_owner_with (
      self->parts->hosts, marjoram_entry_now (self), settings->region, host,
      settings->ip);
  if (strcmp (sender, settings->ip) != 0)
    return;
  marjoram_crash_list_export (list, marjoram_entry_now (self), &all);
  marjoram_host_links_send (self->parts->links, host, MARJORAM_FRAME_CRASHES,
                            &all);
  marjoram_wire_clear (&marjoram_crash_report_layout, &all);
}

/* Idle hosts need not repeat that they are.  */
static void
broadcast_loads (struct marjoram_entry *self)
{
  struct marjoram_load_report loads;
  bool is_empty;

  marjoram_placement_report (marjoram_gateway_placement (self->gateway),
                             marjoram_entry_now (self), &loads);
  is_empty = loads.items.count == 0 && loads.placed.count == 0;
  if (!is_empty || self->has_reported_loads)
    marjoram_host_links_send_to_region (self->parts->links,
                                        MARJORAM_FRAME_LOADS, &loads);
  self->has_reported_loads = !is_empty;
  marjoram_wire_clear (&marjoram_load_report_layout, &loads);
}

/* ---- Reports through collectors.  ---- */

const char *
marjoram_entry_find_collector (const struct marjoram_entry *self, int64_t now,
                               int group)
{
  const struct marjoram_gateway_settings *settings = self->parts->settings;
  char key[GROUP_KEY_MAX];

  snprintf (key, sizeof key, "loads-%d", group);
  if (!marjoram_entry_is_ready (self))
    return marjoram_host_list_owner (self->parts->hosts, now, settings->region,
                                     key);
  return marjoram_host_list_owner_with (self->parts->hosts, now,
                                        settings->region, key, settings->ip);
}

static bool
is_local_host (const struct marjoram_entry *self, const char *host)
{
  return strcmp (host, self->parts->settings->ip) == 0;
}

static void
send_to_collector (struct marjoram_entry *self, int64_t now, const char *host,
                   const struct marjoram_load_report *report)
{
  if (is_local_host (self, host))
    marjoram_load_collector_apply_report (self->collector, now, host, report);
  else
    marjoram_host_links_send (self->parts->links, host,
                              MARJORAM_FRAME_LOAD_CHANGES, report);
}

/* Returns whether the group's collector changed: a new one needs a full
   report.  */
static bool
update_collector (struct marjoram_entry *self, int group, const char *host)
{
  char *current = self->collectors[group];

  if (strcmp (current, host) == 0)
    return false;
  snprintf (current, sizeof self->collectors[group], "%s", host);
  return true;
}

static void
report_changes (struct marjoram_entry *self, int64_t now)
{
  struct marjoram_load_report reports[MARJORAM_LOAD_GROUPS];
  const char *hosts[MARJORAM_LOAD_GROUPS];
  bool full[MARJORAM_LOAD_GROUPS];
  const bool full_due = now >= self->full_report_at + FULL_REPORT_INTERVAL_MS;

  if (full_due)
    self->full_report_at = now;
  for (int i = 0; i < MARJORAM_LOAD_GROUPS; i++)
    {
      hosts[i] = marjoram_entry_find_collector (self, now, i);
      full[i] = (hosts[i] && update_collector (self, i, hosts[i])) || full_due;
    }
  marjoram_placement_report_changes (
      marjoram_gateway_placement (self->gateway), now, full, reports);
  for (int i = 0; i < MARJORAM_LOAD_GROUPS; i++)
    {
      if (hosts[i] && (reports[i].items.count > 0 || full[i]))
        send_to_collector (self, now, hosts[i], &reports[i]);
      marjoram_wire_clear (&marjoram_load_report_layout, &reports[i]);
    }
}

static size_t
region_hosts (const struct marjoram_entry *self, int64_t now)
{
  return marjoram_host_list_live (self->parts->hosts, now,
                                  self->parts->settings->region)
      ->count;
}

static void
send_sums (struct marjoram_entry *self, int64_t now)
{
  const size_t hosts = region_hosts (self, now);
  struct marjoram_load_report sums;

  if (now < self->sums_sent_at + marjoram_load_collector_interval_ms (hosts))
    return;
  self->sums_sent_at = now;
  marjoram_load_collector_set_hosts (self->collector, hosts);
  if (marjoram_load_collector_take_report (self->collector, now, &sums))
    {
      marjoram_host_links_send_to_region (self->parts->links,
                                          MARJORAM_FRAME_LOAD_SUMS, &sums);
      marjoram_entry_apply_sums (self, self->parts->settings->ip, &sums);
    }
  marjoram_wire_clear (&marjoram_load_report_layout, &sums);
}

void
marjoram_entry_apply_sums (struct marjoram_entry *self, const char *host,
                           const struct marjoram_load_report *sums)
{
  const int64_t now = marjoram_entry_now (self);
  bool groups[MARJORAM_LOAD_GROUPS];

  for (int i = 0; i < MARJORAM_LOAD_GROUPS; i++)
    {
      const char *collector = marjoram_entry_find_collector (self, now, i);

      groups[i] = collector && strcmp (collector, host) == 0;
    }
  marjoram_placement_apply_totals (marjoram_gateway_placement (self->gateway),
                                   now, groups, sums);
}

bool
marjoram_entry_shares_loads (const struct marjoram_entry *self,
                             const char *host)
{
  if (!self->table)
    return false;
  if (!self->using_collectors)
    return true;
  for (int i = 0; i < MARJORAM_LOAD_GROUPS; i++)
    if (strcmp (self->collectors[i], host) == 0
        || is_local_host (self, self->collectors[i]))
      return true;
  return false;
}

/* ---- Choice of the reporting mode.  ---- */

static bool
update_reporting_mode (struct marjoram_entry *self, int64_t now)
{
  const size_t hosts = region_hosts (self, now);

  if (hosts > DIRECT_REPORT_MAX_HOSTS)
    self->using_collectors = true;
  else if (hosts < DIRECT_REPORT_RESUME_HOSTS)
    self->using_collectors = false;
  return self->using_collectors;
}

void
marjoram_entry_report_loads (struct marjoram_entry *self, int64_t now)
{
  const bool using_collectors = update_reporting_mode (self, now);

  if (!self->table)
    return;
  send_sums (self, now);
  if (now
      < self->reported_at
            + (using_collectors ? CHANGES_INTERVAL_MS : REPORT_INTERVAL_MS))
    return;
  self->reported_at = now;
  if (using_collectors)
    report_changes (self, now);
  else
    broadcast_loads (self);
  report_crashes (self);
}
