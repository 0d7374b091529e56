#include "gateway_private.h"

static size_t
count_hosts (const marjoram_gateway *gateway)
{
  return marjoram_host_list_entry_count (gateway->options.place.hosts);
}

bool
marjoram_exchange_may_repeat (marjoram_gateway *gateway,
                              const struct marjoram_exchange *exchange,
                              int64_t now)
{
  if (marjoram_repeat_budget_allows (gateway->budget, now, exchange->service,
                                     count_hosts (gateway)))
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
  exchange->repeat_taken = marjoram_repeat_budget_take (
      gateway->budget, now, exchange->service, count_hosts (gateway));
  return exchange->repeat_taken;
}
