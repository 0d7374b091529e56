#include "entry_private.h"

#include <string.h>

static bool
is_enabled (const struct marjoram_entry *self)
{
  return self->table && self->table->customers.count > 0
         && marjoram_gateway_features (self->gateway)->share_room;
}

static bool
is_local_host (const struct marjoram_entry *self, const char *host)
{
  return strcmp (host, self->parts->settings->ip) == 0;
}

/* One collector has all customers, since a share depends on the use of all of
   them.  */
static const char *
find_collector (const struct marjoram_entry *self, int64_t now)
{
  return marjoram_entry_find_collector (self, now, 0);
}

static void
send_report (struct marjoram_entry *self, int64_t now)
{
  const char *collector = find_collector (self, now);
  struct marjoram_room_report report;

  if (!collector)
    return;
  marjoram_room_share_report (marjoram_gateway_room_share (self->gateway), now,
                              &report);
  if (is_local_host (self, collector))
    marjoram_room_collector_apply (self->room_collector, now, collector,
                                   &report);
  else
    marjoram_host_links_send (self->parts->links, collector,
                              MARJORAM_FRAME_ROOM_REPORT, &report);
  marjoram_wire_clear (&marjoram_room_report_layout, &report);
}

static size_t
count_hosts (const struct marjoram_entry *self, int64_t now)
{
  const struct marjoram_gateway_settings *settings = self->parts->settings;

  return marjoram_host_list_serving_count_with (
      self->parts->hosts, now, settings->region, settings->ip);
}

static void
apply_sums (struct marjoram_entry *self, int64_t now,
            const struct marjoram_room_report *sums)
{
  marjoram_room_share_apply (marjoram_gateway_room_share (self->gateway), now,
                             sums, count_hosts (self, now));
}

static void
send_sums (struct marjoram_entry *self, int64_t now)
{
  struct marjoram_room_report sums;

  marjoram_room_collector_take (self->room_collector, now, &sums);
  marjoram_host_links_send_to_region (self->parts->links,
                                      MARJORAM_FRAME_ROOM_SUMS, &sums);
  apply_sums (self, now, &sums);
  marjoram_wire_clear (&marjoram_room_report_layout, &sums);
}

static bool
is_collector (const struct marjoram_entry *self, int64_t now)
{
  const char *collector = find_collector (self, now);

  return collector && is_local_host (self, collector);
}

void
marjoram_entry_report_room (struct marjoram_entry *self, int64_t now)
{
  bool urgent;
  size_t hosts;

  if (!is_enabled (self))
    return;
  hosts = count_hosts (self, now);
  urgent = marjoram_room_share_is_urgent (
      marjoram_gateway_room_share (self->gateway), now);
  if (now
      >= self->room_reported_at + marjoram_room_interval_ms (hosts, urgent))
    {
      self->room_reported_at = now;
      send_report (self, now);
    }
  urgent = urgent || marjoram_room_collector_is_urgent (self->room_collector);
  if (now >= self->room_sums_sent_at
                 + marjoram_room_interval_ms (hosts, urgent)
      && is_collector (self, now))
    {
      self->room_sums_sent_at = now;
      send_sums (self, now);
    }
}

const char *
marjoram_entry_room_collector (const struct marjoram_entry *self, int64_t now)
{
  const char *collector
      = is_enabled (self) ? find_collector (self, now) : NULL;

  return collector ? collector : "";
}

void
marjoram_entry_apply_room_report (struct marjoram_entry *self,
                                  const char *host,
                                  const struct marjoram_room_report *what)
{
  if (is_enabled (self))
    marjoram_room_collector_apply (self->room_collector,
                                   marjoram_entry_now (self), host, what);
}

void
marjoram_entry_apply_room_sums (struct marjoram_entry *self, const char *host,
                                const struct marjoram_room_report *sums)
{
  const int64_t now = marjoram_entry_now (self);
  const char *collector = find_collector (self, now);

  /* Of two hosts that both take themselves for the collector, the one counts
     to which this host reports.  */
  if (is_enabled (self) && collector && strcmp (collector, host) == 0)
    apply_sums (self, now, sums);
}
