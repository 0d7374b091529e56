#include "host_state.h"

#include "cleanup.h"
#include "log.h"

enum
{
  ORDER_LEASE_MS = 3000,
  LONGEST_ORDER_MS = MARJORAM_ORDER_MS
};

int64_t
marjoram_host_wall_time (const marjoram_host *host, int64_t now)
{
  return now + host->wall_offset;
}

const struct marjoram_slot *
marjoram_host_zone_slot (const marjoram_host *host, int ordinal)
{
  const struct marjoram_zone *zone;

  if (!host->config || host->zone < 0)
    return NULL;
  zone = marjoram_config_zone (host->config, host->zone);
  if (ordinal < 0 || ordinal >= zone->slot_count)
    return NULL;
  return marjoram_config_slot (host->config, zone->first_slot + ordinal);
}

int
marjoram_host_ordinal (const marjoram_host *host, const char *slot)
{
  int index;

  if (!host->config || host->zone < 0)
    return -1;
  index = marjoram_config_find_slot (host->config, slot);
  if (index < 0
      || marjoram_config_slot (host->config, index)->zone != host->zone)
    return -1;
  return marjoram_config_slot (host->config, index)->ordinal;
}

void
marjoram_host_send_zone (marjoram_host *host, enum marjoram_frame_type type,
                         const void *message)
{
  const struct marjoram_slot *slot;

  for (int i = 0; (slot = marjoram_host_zone_slot (host, i)); i++)
    if (i != host->self)
      host->ops->send (host->context, slot->name, type, message);
}

static void
send_to_ordinal (marjoram_host *host, int ordinal,
                 enum marjoram_frame_type type, const void *message)
{
  const struct marjoram_slot *slot = marjoram_host_zone_slot (host, ordinal);

  if (slot)
    host->ops->send (host->context, slot->name, type, message);
}

static void
claim_send (void *context, int ordinal,
            const struct marjoram_claim_message *message)
{
  send_to_ordinal (context, ordinal, MARJORAM_FRAME_CLAIM, message);
}

static void
claim_decided (void *context, uint64_t claim,
               enum marjoram_claim_verdict decided,
               const struct marjoram_stored_answer *kept)
{
  marjoram_host *host = context;
  struct marjoram_claim_result *result = marjoram_alloc (sizeof *result);

  result->claim = claim;
  result->verdict = decided;
  if (kept)
    {
      result->kept.status = kept->status;
      result->kept.body = marjoram_bytes_retain (kept->body);
      result->kept.content_type
          = kept->content_type ? marjoram_strdup (kept->content_type) : NULL;
    }
  STAILQ_INSERT_TAIL (&host->claim_results, result, next);
}

static const struct marjoram_claims_ops claims_ops
    = { claim_send, claim_decided };

void
marjoram_claim_result_destroy (struct marjoram_claim_result *result)
{
  marjoram_bytes_release (result->kept.body);
  free (result->kept.content_type);
  free (result);
}

void
marjoram_host_deliver_claim_results (marjoram_host *host, int64_t now)
{
  struct marjoram_claim_result *result;

  while ((result = STAILQ_FIRST (&host->claim_results)))
    {
      STAILQ_REMOVE_HEAD (&host->claim_results, next);
      marjoram_request_claim_decided (host, now, result->claim,
                                      result->verdict, &result->kept);
      marjoram_claim_result_destroy (result);
    }
}

static void
order_send (void *context, int ordinal,
            const struct marjoram_order_message *message)
{
  send_to_ordinal (context, ordinal, MARJORAM_FRAME_ORDER, message);
}

static void
order_lease (void *context, uint64_t fence)
{
  (void)context;
  marjoram_log (MARJORAM_LOG_NOTICE,
                fence ? "acquired the order lease, fence %llu"
                      : "lost the order lease, fence now %llu",
                (unsigned long long)fence);
}

static void
model_placement_send_order (void *context, const struct marjoram_order *order)
{
  marjoram_host *host = context;

  host->ops->order (host->context, order);
}

static const struct marjoram_model_placement_ops model_placement_ops
    = { model_placement_send_order };

static const struct marjoram_orders_ops orders_ops
    = { order_send, order_lease };

void
marjoram_host_create_zone (marjoram_host *host)
{
  const struct marjoram_settings *settings = host->settings;
  const struct marjoram_zone *zone
      = marjoram_config_zone (host->config, host->zone);
  struct marjoram_claims_options claims = { 0 };
  struct marjoram_orders_options orders = { 0 };

  claims.slot_count = zone->slot_count;
  claims.self = host->self;
  claims.incarnation = host->incarnation;
  claims.retention_ms = settings->claim_retention_ms;
  claims.replay_ms = MARJORAM_REPLAY_MS;
  claims.timeout_ms = MARJORAM_CLAIM_TIMEOUT_MS;
  host->claims = marjoram_claims_create (&claims, &claims_ops, host);
  orders.slot_count = zone->slot_count;
  orders.self = host->self;
  orders.incarnation = host->incarnation;
  orders.lease_ms = ORDER_LEASE_MS;
  orders.longest_order_ms = LONGEST_ORDER_MS;
  host->orders = marjoram_orders_create (&orders, &orders_ops, host);
  host->model_placement = marjoram_model_placement_create (
      &model_placement_ops, host, host->random);
}
