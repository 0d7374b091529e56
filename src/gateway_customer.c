#include "gateway_private.h"

#include <stdio.h>
#include <string.h>

enum
{
  STATUS_UNAUTHORIZED = 401,
  STATUS_TOO_MANY_REQUESTS = 429,
  STATUS_UNAVAILABLE = 503,
  /* Retry-After of a host whose lease on keys has ended.  The caller reaches
     another host; this one asks again within that time.  */
  NO_LEASE_RETRY_MS = 300,
  /* For STARTUP_MS after its start a host may not have a lease yet.  Requests
     received in that period wait up to LEASE_WAIT_MS for it.  */
  STARTUP_MS = 4000,
  LEASE_WAIT_MS = 1200
};

static void
remove_credentials (const marjoram_gateway *gateway,
                    struct marjoram_http_request *request)
{
  struct marjoram_header_list *headers = &request->headers;
  size_t kept = 0;

  for (size_t i = 0; i < headers->count; i++)
    {
      if (!gateway->options.dialect->ops->is_credential (
              headers->items[i].name))
        {
          headers->items[kept++] = headers->items[i];
          continue;
        }
      free (headers->items[i].name);
      free (headers->items[i].value);
    }
  headers->count = kept;
}

void
marjoram_exchange_read_key (marjoram_gateway *gateway,
                            struct marjoram_exchange *exchange)
{
  const char *key
      = gateway->options.dialect->ops->read_key (&exchange->request->headers);

  exchange->has_key = key != NULL;
  if (key)
    marjoram_key_digest (key, &exchange->key);
}

static void
refuse (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
        int64_t now, enum marjoram_reason reason, int status, int64_t retry_ms)
{
  const struct marjoram_refusal refusal = { reason, status, retry_ms };

  marjoram_exchange_refuse (gateway, exchange, now, &refusal);
}

/* Customers' keys of the current configuration.  */
static const marjoram_customer_index *
key_index (marjoram_gateway *gateway)
{
  if (!gateway->customers)
    gateway->customers = marjoram_customer_index_create (gateway->table);
  return gateway->customers;
}

static bool
may_wait_for_lease (const marjoram_gateway *gateway,
                    const struct marjoram_exchange *exchange, int64_t now)
{
  return now < gateway->created_at + STARTUP_MS
         && now < exchange->received_at + LEASE_WAIT_MS;
}

/* Finds the customer of a caller's key.  False if the request was refused or
   has to wait.  */
static bool
find_customer (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
               int64_t now)
{
  const struct marjoram_customer_rule *customer = NULL;

  if (!marjoram_key_lease_is_valid (gateway->lease, now))
    {
      if (!may_wait_for_lease (gateway, exchange, now))
        refuse (gateway, exchange, now, MARJORAM_REASON_CONFIG_UNCONFIRMED,
                STATUS_UNAVAILABLE, NO_LEASE_RETRY_MS);
      return false;
    }
  if (exchange->has_key)
    customer
        = marjoram_customer_index_find (key_index (gateway), &exchange->key);
  if (customer)
    {
      snprintf (exchange->customer, sizeof exchange->customer, "%s",
                customer->name);
      return true;
    }
  /* A newer configuration may have added the key.  */
  if (!marjoram_key_lease_is_current (gateway->lease, now))
    refuse (gateway, exchange, now, MARJORAM_REASON_CONFIG_UNCONFIRMED,
            STATUS_UNAVAILABLE, NO_LEASE_RETRY_MS);
  else
    refuse (gateway, exchange, now, MARJORAM_REASON_UNKNOWN_CALLER,
            STATUS_UNAUTHORIZED, 0);
  return false;
}

bool
marjoram_exchange_identify (marjoram_gateway *gateway,
                            struct marjoram_exchange *exchange,
                            const struct marjoram_route_rule *route,
                            int64_t now)
{
  if (gateway->table->customers.count == 0)
    return true;
  remove_credentials (gateway, exchange->request);
  if (route->public || *exchange->customer)
    return true;
  if (!exchange->forwarded)
    return find_customer (gateway, exchange, now);
  refuse (gateway, exchange, now, MARJORAM_REASON_CONFIG_CHANGED,
          STATUS_UNAVAILABLE, NO_LEASE_RETRY_MS);
  return false;
}

const struct marjoram_customer_rule *
marjoram_exchange_customer (const marjoram_gateway *gateway,
                            const struct marjoram_exchange *exchange)
{
  return *exchange->customer ? marjoram_route_table_customer (
             gateway->table, exchange->customer)
                             : NULL;
}

bool
marjoram_exchange_check_key (marjoram_gateway *gateway,
                             struct marjoram_exchange *exchange, int64_t now)
{
  const struct marjoram_customer_rule *customer;

  if (!*exchange->customer || exchange->forwarded)
    return true;
  customer
      = marjoram_customer_index_find (key_index (gateway), &exchange->key);
  if (customer && strcmp (customer->name, exchange->customer) == 0)
    return true;
  refuse (gateway, exchange, now, MARJORAM_REASON_UNKNOWN_CALLER,
          STATUS_UNAUTHORIZED, 0);
  return false;
}

bool
marjoram_exchange_allows_region (const marjoram_gateway *gateway,
                                 const struct marjoram_exchange *exchange,
                                 const struct marjoram_route_rule *route,
                                 const char *region)
{
  const struct marjoram_customer_rule *customer
      = marjoram_exchange_customer (gateway, exchange);

  return marjoram_route_allows (route, region)
         && (!customer || marjoram_customer_allows (customer, region));
}

/* ---- Quotas.  ---- */

static void
refuse_quota (marjoram_gateway *gateway, struct marjoram_exchange *exchange,
              int64_t now, enum marjoram_quota_result result, int64_t retry_ms)
{
  if (result == MARJORAM_QUOTA_DENIED)
    refuse (gateway, exchange, now, MARJORAM_REASON_CALLER_LIMIT,
            STATUS_TOO_MANY_REQUESTS, retry_ms);
  else
    refuse (gateway, exchange, now, MARJORAM_REASON_QUOTA_UNKNOWN,
            STATUS_UNAVAILABLE, NO_LEASE_RETRY_MS);
}

bool
marjoram_exchange_pay (marjoram_gateway *gateway,
                       struct marjoram_exchange *exchange, int64_t now)
{
  const struct marjoram_customer_rule *customer
      = marjoram_exchange_customer (gateway, exchange);

  if (exchange->quota.waiting)
    return false;
  if (exchange->quota.paid || exchange->forwarded || !customer
      || !marjoram_customer_has_quota (customer))
    return true;
  exchange->quota.owner = exchange;
  return marjoram_quota_pool_claim (
             gateway->quotas, now, &exchange->quota, customer->name,
             marjoram_customer_cost (customer,
                                     exchange->metadata.prompt_tokens,
                                     exchange->metadata.answer_tokens_max))
         == MARJORAM_QUOTA_PAID;
}

static size_t
op_keepers (void *context, const char *names[MARJORAM_QUOTA_KEEPERS_MAX])
{
  marjoram_gateway *gateway = context;

  return gateway->ops->keepers (gateway->context, names);
}

static void
op_ask (void *context, const char *keeper,
        const struct marjoram_quota_ask *ask)
{
  marjoram_gateway *gateway = context;

  gateway->ops->ask_quota (gateway->context, keeper, ask);
}

static void
op_settled (void *context, int64_t now, struct marjoram_quota_claim *claim,
            enum marjoram_quota_result result, int64_t retry_ms)
{
  marjoram_gateway *gateway = context;
  struct marjoram_exchange *exchange = claim->owner;

  if (result == MARJORAM_QUOTA_PAID)
    marjoram_exchange_admit (gateway, exchange, now);
  else
    refuse_quota (gateway, exchange, now, result, retry_ms);
}

const struct marjoram_quota_pool_ops marjoram_gateway_quota_ops
    = { .keepers = op_keepers, .ask = op_ask, .settled = op_settled };
