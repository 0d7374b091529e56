#include "gateway_private.h"

void
marjoram_gateway_update_hosts (marjoram_gateway *gateway, int64_t now)
{
  marjoram_host_list *hosts = gateway->options.place.hosts;
  const bool listed = marjoram_host_list_find (hosts, gateway->host) != NULL;
  const size_t count
      = marjoram_host_list_entry_count (hosts) + (listed ? 0 : 1);

  marjoram_repeat_budget_set_hosts (gateway->budget, now, count);
  marjoram_crash_parts_set_hosts (marjoram_crash_list_parts (gateway->crashes),
                                  gateway->host, count);
}

bool
marjoram_exchange_may_repeat (marjoram_gateway *gateway,
                              const struct marjoram_exchange *exchange,
                              int64_t now)
{
  if (marjoram_repeat_budget_allows (gateway->budget, now, exchange->service))
    return true;
  marjoram_metrics_add (gateway->options.metrics,
                        MARJORAM_METRIC_REPEATS_DENIED, 1);
  return false;
}

bool
marjoram_exchange_take_repeat (marjoram_gateway *gateway,
                               struct marjoram_exchange *exchange, int64_t now)
{
  if (exchange->attempts_sent == 0 || exchange->repeat_taken)
    return true;
  if (!marjoram_exchange_may_repeat (gateway, exchange, now))
    return false;
  exchange->repeat_taken
      = marjoram_repeat_budget_take (gateway->budget, now, exchange->service);
  return exchange->repeat_taken;
}
