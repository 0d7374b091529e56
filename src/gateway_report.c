#include "gateway_report.h"

json_t *
marjoram_gateway_report_hosts (marjoram_host_list *hosts, int64_t now)
{
  const struct marjoram_listed_host *host;
  json_t *list = json_array ();

  TAILQ_FOREACH (host, marjoram_host_list_all (hosts), link)
  json_array_append_new (
      list,
      json_pack ("{s:s, s:s, s:s, s:b, s:b, s:b, s:I, s:I}", "name",
                 host->heartbeat.name, "zone", host->heartbeat.zone, "role",
                 host->heartbeat.keeper ? "keeper" : "entry", "alive",
                 marjoram_host_list_alive (host, now), "ready",
                 host->heartbeat.ready, "leaving", host->heartbeat.leaving,
                 "heard_ms_ago", (json_int_t)(now - host->received_at),
                 "config_number", (json_int_t)host->heartbeat.config_number));
  return list;
}

json_t *
marjoram_gateway_report_upstreams (marjoram_registry *registry, int64_t now)
{
  static const char *const states[] = { "ready", "leaving", "gone" };
  const struct marjoram_registered *upstream;
  json_t *list = json_array ();

  TAILQ_FOREACH (upstream, marjoram_registry_all (registry), link)
  json_array_append_new (
      list,
      json_pack (
          "{s:s, s:s, s:s, s:s, s:s, s:s, s:b, s:b, s:I}", "id",
          upstream->heartbeat.id, "service", upstream->heartbeat.service,
          "address", upstream->heartbeat.address, "zone",
          upstream->heartbeat.zone, "build", upstream->heartbeat.build,
          "state", states[upstream->heartbeat.state], "usable",
          marjoram_registry_usable (registry, upstream, now), "cold",
          now < upstream->cold_until, "heard_ms_ago",
          (json_int_t)(now
                       - marjoram_registry_heard_at (registry, upstream))));
  return list;
}

json_t *
marjoram_gateway_report_zones (const struct marjoram_names *zones)
{
  json_t *list = json_array ();

  for (size_t i = 0; i < zones->count; i++)
    json_array_append_new (list, json_string (zones->items[i]));
  return list;
}

json_t *
marjoram_gateway_report_keeper (const marjoram_keeper *keeper)
{
  const struct marjoram_state *state = marjoram_keeper_chosen_state (keeper);
  const struct marjoram_keeper_member *members;
  const char *trouble = marjoram_keeper_trouble (keeper);
  json_t *list = json_array ();

  if (!state)
    {
      json_decref (list);
      return json_null ();
    }
  members = state->members.items;
  for (size_t i = 0; i < state->members.count; i++)
    json_array_append_new (list, json_string (members[i].slot));
  return json_pack ("{s:o, s:b, s:s, s:I}", "members", list, "votes",
                    marjoram_keeper_votes (keeper), "trouble",
                    trouble ? trouble : "", "number",
                    (json_int_t)state->number);
}

static void
add_pool (void *context, const char *customer, int64_t held, int64_t needed)
{
  json_array_append_new (context,
                         json_pack ("{s:s, s:I, s:I}", "customer", customer,
                                    "units_held", (json_int_t)held,
                                    "units_awaited", (json_int_t)needed));
}

json_t *
marjoram_gateway_report_customers (const marjoram_key_lease *lease,
                                   const marjoram_quota_pool *pool,
                                   int64_t now)
{
  const int64_t left_ms = marjoram_key_lease_left_ms (lease, now);
  json_t *quotas = json_array ();

  marjoram_quota_pool_visit (pool, add_pool, quotas);
  return json_pack (
      "{s:b, s:o, s:o}", "keys_accepted",
      marjoram_key_lease_is_valid (lease, now), "key_lease_left_ms",
      left_ms == INT64_MAX ? json_null () : json_integer (left_ms), "quotas",
      quotas);
}

static void
add_window (void *context, const char *region, const char *service,
            int64_t limit, int64_t in_flight)
{
  json_array_append_new (
      context, json_pack ("{s:s, s:s, s:I, s:I}", "region", region, "service",
                          service, "limit", (json_int_t)limit, "in_flight",
                          (json_int_t)in_flight));
}

json_t *
marjoram_gateway_report_windows (const marjoram_forward_windows *windows)
{
  json_t *list = json_array ();

  marjoram_forward_windows_visit (windows, add_window, list);
  return list;
}

static void
add_share (void *context, const char *customer, int64_t units, int64_t limit)
{
  json_array_append_new (
      context, json_pack ("{s:s, s:I, s:I}", "customer", customer, "units",
                          (json_int_t)units, "limit", (json_int_t)limit));
}

json_t *
marjoram_gateway_report_shares (const marjoram_quota_shares *shares)
{
  json_t *list = json_array ();

  marjoram_quota_shares_visit (shares, add_share, list);
  return list;
}

static void
add_room (void *context, const struct marjoram_room_state *state)
{
  json_array_append_new (context,
                         json_pack ("{s:s, s:s, s:f, s:f, s:f, s:i, s:b, s:b}",
                                    "service", state->service, "customer",
                                    state->customer, "weight", state->weight,
                                    "used", state->used, "wanted",
                                    state->wanted, "part", state->part, "over",
                                    state->is_over, "short", state->is_short));
}

json_t *
marjoram_gateway_report_room (marjoram_room_share *share, int64_t now)
{
  json_t *list = json_array ();

  marjoram_room_share_visit (share, now, add_room, list);
  return list;
}

static void
add_dark (void *context, const struct marjoram_checked_upstream *upstream)
{
  json_array_append_new (context, json_pack ("{s:s, s:I}", "id", upstream->id,
                                             "dark_ms",
                                             (json_int_t)upstream->silent_ms));
}

json_t *
marjoram_gateway_report_dark (marjoram_gateway *gateway, int64_t now)
{
  json_t *list = json_array ();

  marjoram_gateway_visit_dark (gateway, now, add_dark, list);
  return list;
}
