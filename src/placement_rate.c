#include "placement_private.h"

enum
{
  /* Interval at which hosts tell each other of all known limits, for hosts
     that have started or were cut off since.  */
  RATE_REPORT_MS = 1000,
  /* How often the division of a limit follows the list of hosts.  */
  SHARERS_CHECK_MS = 100
};

void
marjoram_placement_renew_rates (marjoram_placement *placement, int64_t now)
{
  struct marjoram_endpoint *endpoint;

  if (now < placement->rates_reported_at + RATE_REPORT_MS)
    return;
  placement->rates_reported_at = now;
  TAILQ_FOREACH (endpoint, &placement->checked, checked_link)
  if (marjoram_endpoint_is_rate_limited (endpoint))
    {
      endpoint->report_rate = true;
      marjoram_endpoint_set_active (placement, endpoint);
    }
}

void
marjoram_endpoint_add_rate (struct marjoram_endpoint *endpoint,
                            struct marjoram_load_item *item)
{
  const struct marjoram_rate_fact fact
      = marjoram_upstream_rate_fact (endpoint->rate);

  item->rate_number = fact.number;
  item->rate_limit = fact.limit;
  endpoint->report_rate = false;
}

void
marjoram_endpoint_learn_rate (marjoram_placement *placement,
                              struct marjoram_endpoint *endpoint, int64_t now,
                              const struct marjoram_load_item *item)
{
  const struct marjoram_rate_fact fact
      = { item->rate_number, item->rate_limit < 0 ? -1 : item->rate_limit };

  if (fact.number == 0)
    return;
  if (!endpoint->rate)
    endpoint->rate = marjoram_upstream_rate_create ();
  if (!marjoram_upstream_rate_learn (endpoint->rate, now, &fact))
    return;
  endpoint->report_rate = true;
  marjoram_endpoint_set_active (placement, endpoint);
}

static void
update_sharers (marjoram_placement *placement,
                struct marjoram_endpoint *endpoint, int64_t now)
{
  const struct marjoram_placement_options *options = &placement->options;
  size_t sharers;

  if (endpoint->sharers_checked_at != 0
      && now < endpoint->sharers_checked_at + SHARERS_CHECK_MS)
    return;
  endpoint->sharers_checked_at = now;
  sharers = marjoram_upstream_rate_sharers (
      endpoint->rate,
      marjoram_host_list_serving_count_with (
          options->hosts, now, placement->region, placement->host));
  marjoram_upstream_rate_set_sharers (
      endpoint->rate, now, sharers,
      marjoram_host_list_rank (options->hosts, now, placement->region,
                               endpoint->id, placement->host)
          < sharers);
}

bool
marjoram_endpoint_is_rate_limited (const struct marjoram_endpoint *endpoint)
{
  return endpoint->rate && marjoram_upstream_rate_is_limited (endpoint->rate);
}

int64_t
marjoram_endpoint_rate_wait_ms (marjoram_placement *placement,
                                struct marjoram_endpoint *endpoint,
                                int64_t now)
{
  if (!marjoram_endpoint_is_rate_limited (endpoint))
    return 0;
  update_sharers (placement, endpoint, now);
  return marjoram_upstream_rate_wait_ms (endpoint->rate, now);
}
