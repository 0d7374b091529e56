/* Requests of an entry host to keepers: leases on customers' keys, units of
   customers' quotas, and upstreams that another keeper can't tell of.  */
#include "entry_private.h"

#include "event_log.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum
{
  KEEPERS_INTERVAL_MS = 200, /* update interval of the list of keepers */
  /* A remaining lease below this is logged as lost or endangered.  */
  LEASE_LOW_MS = 500,
  /* Between two questions for all upstreams.  At most half of the time after
     which an upstream counts as silent.  */
  NEWS_PAUSE_MIN_MS = 1000,
  NEWS_PAUSE_MAX_MS = 3000
};

/* 0 for a keeper of this host's zone, 1 for one of its region, 2 for
   others.  */
static int
distance (const struct marjoram_entry *self,
          const struct marjoram_listed_host *host)
{
  const struct marjoram_gateway_settings *settings = self->parts->settings;

  if (strcmp (host->heartbeat.zone, settings->zone) == 0)
    return 0;
  return strcmp (host->heartbeat.region, settings->region) == 0 ? 1 : 2;
}

bool
marjoram_entry_is_usable_keeper (const struct marjoram_entry *self,
                                 const struct marjoram_listed_host *host)
{
  return host->heartbeat.keeper && !host->heartbeat.leaving
         && marjoram_host_links_is_up (self->parts->links,
                                       host->heartbeat.name);
}

static void
update_keepers (struct marjoram_entry *self, int64_t now)
{
  const struct marjoram_listed_host *host;

  if (self->keepers_updated_at
      && now < self->keepers_updated_at + KEEPERS_INTERVAL_MS)
    return;
  self->keepers_updated_at = now;
  self->keeper_count = 0;
  for (int near = 0; near <= 2; near++)
    TAILQ_FOREACH (host, marjoram_host_list_all (self->parts->hosts), link)
  if (self->keeper_count < MARJORAM_QUOTA_KEEPERS_MAX
      && marjoram_entry_is_usable_keeper (self, host)
      && distance (self, host) == near)
    snprintf (self->keepers[self->keeper_count++], MARJORAM_IP_MAX, "%s",
              host->heartbeat.name);
}

size_t
marjoram_entry_keepers (void *context,
                        const char *names[MARJORAM_QUOTA_KEEPERS_MAX])
{
  struct marjoram_entry *self = context;

  update_keepers (self, marjoram_entry_now (self));
  for (size_t i = 0; i < self->keeper_count; i++)
    names[i] = self->keepers[i];
  return self->keeper_count;
}

/* ---- Upstreams.  ---- */

static bool
lacks_keeper (struct marjoram_entry *self)
{
  const struct marjoram_listed_host *host;

  TAILQ_FOREACH (host, marjoram_host_list_all (self->parts->hosts), link)
  if (host->heartbeat.keeper
      && !marjoram_host_links_is_up (self->parts->links, host->heartbeat.name))
    return true;
  return false;
}

void
marjoram_entry_ask_news (struct marjoram_entry *self, int64_t now)
{
  const struct marjoram_news_ask ask = { now };

  if (marjoram_host_links_follows_one (self->parts->links)
      || !lacks_keeper (self))
    {
      self->news_pause_ms = 0;
      return;
    }
  update_keepers (self, now);
  if (self->keeper_count == 0
      || now < self->news_asked_at + self->news_pause_ms)
    return;
  self->news_asked_at = now;
  self->news_pause_ms = self->news_pause_ms < NEWS_PAUSE_MIN_MS
                            ? NEWS_PAUSE_MIN_MS
                            : 2 * self->news_pause_ms;
  if (self->news_pause_ms > NEWS_PAUSE_MAX_MS)
    self->news_pause_ms = NEWS_PAUSE_MAX_MS;
  marjoram_host_links_send (self->parts->links, self->keepers[0],
                            MARJORAM_FRAME_NEWS_ASK, &ask);
}

void
marjoram_entry_ask_quota (void *context, const char *keeper,
                          const struct marjoram_quota_ask *ask)
{
  struct marjoram_entry *self = context;

  marjoram_host_links_send (self->parts->links, keeper,
                            MARJORAM_FRAME_QUOTA_ASK, ask);
}

void
marjoram_entry_log_lease (struct marjoram_entry *self, int64_t now)
{
  const marjoram_key_lease *lease = marjoram_gateway_key_lease (self->gateway);
  const bool low = marjoram_key_lease_left_ms (lease, now) < LEASE_LOW_MS;

  if (low == self->lease_is_low)
    return;
  self->lease_is_low = low;
  marjoram_event (
      MARJORAM_EVENT_CONFIG,
      "key_lease=%s left_ms=%" PRId64 " unanswered=%d number=%" PRIu64,
      low ? "low" : "held", marjoram_key_lease_left_ms (lease, now),
      marjoram_key_lease_unanswered (lease), self->config_number);
}

/* Asks the nearest keeper; with each ask that is not answered, the next
   one.  */
void
marjoram_entry_renew_lease (struct marjoram_entry *self, int64_t now)
{
  marjoram_key_lease *lease = marjoram_gateway_key_lease (self->gateway);
  const struct marjoram_lease_ask ask = { now };
  int unanswered;

  if (self->table && self->table->customers.count > 0)
    marjoram_entry_log_lease (self, now);
  if ((self->table && self->table->customers.count == 0)
      || !marjoram_key_lease_ask (lease, now))
    return;
  update_keepers (self, now);
  unanswered = marjoram_key_lease_unanswered (lease);
  if (self->keeper_count > 0)
    marjoram_host_links_send (
        self->parts->links,
        self->keepers[(size_t)(unanswered - 1) % self->keeper_count],
        MARJORAM_FRAME_LEASE_ASK, &ask);
}
