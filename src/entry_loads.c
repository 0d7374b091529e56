#include "entry_private.h"

#include "cleanup.h"

#include <stdio.h>
#include <string.h>

enum
{
  REPORT_MS = 100, /* load reports to the other hosts of the region */
  /* With collectors: hosts send load changes to the collectors, which send
     totals to all hosts.  Both delays together are close to REPORT_MS.  */
  CHANGES_MS = 50,
  SUMS_MS = 100,
  WHOLE_MS = 1000, /* full reports, in case a collector missed changes */
  /* Hosts of a region, including this one.  Above DIRECT_MAX they report to
     collectors; below DIRECT_AGAIN they report to each other again.  */
  DIRECT_MAX = 48,
  DIRECT_AGAIN = 40,
  GROUP_KEY_MAX = 16
};

/* Sent directly to hosts of this region; keepers relay to other regions.  */
static void
report_crashes (struct marjoram_entry *self)
{
  struct marjoram_crash_report crashes;

  if (!marjoram_crash_list_take_report (
          marjoram_gateway_crash_list (self->gateway), &crashes))
    return;
  marjoram_host_links_tell_region (self->parts->links, MARJORAM_FRAME_CRASHES,
                                   &crashes);
  marjoram_host_links_tell_keepers (self->parts->links, MARJORAM_FRAME_CRASHES,
                                    &crashes);
  marjoram_wire_clear (&marjoram_crash_report_layout, &crashes);
}

static void
report_to_all (struct marjoram_entry *self)
{
  struct marjoram_load_report loads;

  marjoram_placement_report (marjoram_gateway_placement (self->gateway),
                             &loads);
  marjoram_host_links_tell_region (self->parts->links, MARJORAM_FRAME_LOADS,
                                   &loads);
  marjoram_wire_clear (&marjoram_load_report_layout, &loads);
}

/* ---- Reports through collectors.  ---- */

/* The collector of GROUP, by rendezvous hashing over the serving hosts; null
   if there is none.  */
static const char *
collector_of (const struct marjoram_entry *self, int64_t now, int group)
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
is_own_name (const struct marjoram_entry *self, const char *host)
{
  return strcmp (host, self->parts->settings->ip) == 0;
}

static void
tell_collector (struct marjoram_entry *self, int64_t now, const char *host,
                const struct marjoram_load_report *report)
{
  if (is_own_name (self, host))
    marjoram_load_collector_apply_report (self->collector, now, host, report);
  else
    marjoram_host_links_send (self->parts->links, host,
                              MARJORAM_FRAME_LOAD_CHANGES, report);
}

/* Returns whether the group's collector changed: a new one needs a full
   report.  */
static bool
note_collector (struct marjoram_entry *self, int group, const char *host)
{
  char *known = self->collectors[group];

  if (strcmp (known, host) == 0)
    return false;
  snprintf (known, sizeof self->collectors[group], "%s", host);
  return true;
}

static void
report_changes (struct marjoram_entry *self, int64_t now)
{
  struct marjoram_load_report reports[MARJORAM_LOAD_GROUPS];
  const char *hosts[MARJORAM_LOAD_GROUPS];
  bool whole[MARJORAM_LOAD_GROUPS];
  const bool due = now >= self->whole_at + WHOLE_MS;

  if (due)
    self->whole_at = now;
  for (int i = 0; i < MARJORAM_LOAD_GROUPS; i++)
    {
      hosts[i] = collector_of (self, now, i);
      whole[i] = (hosts[i] && note_collector (self, i, hosts[i])) || due;
    }
  marjoram_placement_report_changes (
      marjoram_gateway_placement (self->gateway), now, whole, reports);
  for (int i = 0; i < MARJORAM_LOAD_GROUPS; i++)
    {
      if (hosts[i] && (reports[i].items.count > 0 || whole[i]))
        tell_collector (self, now, hosts[i], &reports[i]);
      marjoram_wire_clear (&marjoram_load_report_layout, &reports[i]);
    }
}

static void
tell_sums (struct marjoram_entry *self, int64_t now)
{
  struct marjoram_load_report sums;

  if (now < self->summed_at + SUMS_MS)
    return;
  self->summed_at = now;
  if (marjoram_load_collector_take_report (self->collector, now, &sums))
    {
      marjoram_host_links_tell_region (self->parts->links,
                                       MARJORAM_FRAME_LOAD_SUMS, &sums);
      marjoram_entry_take_sums (self, self->parts->settings->ip, &sums);
    }
  marjoram_wire_clear (&marjoram_load_report_layout, &sums);
}

void
marjoram_entry_take_sums (struct marjoram_entry *self, const char *host,
                          const struct marjoram_load_report *sums)
{
  const int64_t now = marjoram_entry_now (self);
  bool groups[MARJORAM_LOAD_GROUPS];

  for (int i = 0; i < MARJORAM_LOAD_GROUPS; i++)
    {
      const char *collector = collector_of (self, now, i);

      groups[i] = collector && strcmp (collector, host) == 0;
    }
  marjoram_placement_apply_totals (marjoram_gateway_placement (self->gateway),
                                   now, groups, sums);
}

/* ---- Choice of the reporting mode.  ---- */

static bool
uses_collectors (struct marjoram_entry *self, int64_t now)
{
  const size_t hosts = marjoram_host_list_serving_count (
      self->parts->hosts, now, self->parts->settings->region);

  if (hosts > DIRECT_MAX)
    self->collects = true;
  else if (hosts < DIRECT_AGAIN)
    self->collects = false;
  return self->collects;
}

void
marjoram_entry_report_loads (struct marjoram_entry *self, int64_t now)
{
  const bool collects = uses_collectors (self, now);

  tell_sums (self, now);
  if (now < self->reported_at + (collects ? CHANGES_MS : REPORT_MS))
    return;
  self->reported_at = now;
  if (collects)
    report_changes (self, now);
  else
    report_to_all (self);
  report_crashes (self);
}
