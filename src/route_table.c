#include "route_table.h"

#include "cleanup.h"
#include "dialect.h"
#include "frame.h"
#include "state.h"

#include <inttypes.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#define ROUTES(table)                                                         \
  ((const struct marjoram_route_rule *)(table)->routes.items)
#define SERVICES(table)                                                       \
  ((const struct marjoram_service_rule *)(table)->services.items)
#define CUSTOMERS(table)                                                      \
  ((const struct marjoram_customer_rule *)(table)->customers.items)
#define TARGETS(route)                                                        \
  ((const struct marjoram_route_target *)(route)->targets.items)

static void
clear_route (struct marjoram_route_rule *route)
{
  struct marjoram_route_target *targets = route->targets.items;

  for (size_t i = 0; i < route->targets.count; i++)
    free (targets[i].service);
  free (targets);
  free (route->name);
  free (route->host);
  free (route->prefix);
  marjoram_names_clear (&route->homes);
}

static void
clear_customer (struct marjoram_customer_rule *customer)
{
  free (customer->name);
  marjoram_names_clear (&customer->keys);
  marjoram_names_clear (&customer->homes);
}

void
marjoram_route_table_destroy (struct marjoram_route_table *table)
{
  struct marjoram_route_rule *routes;
  struct marjoram_service_rule *services;
  struct marjoram_customer_rule *customers;

  if (!table)
    return;
  routes = table->routes.items;
  services = table->services.items;
  customers = table->customers.items;
  for (size_t i = 0; i < table->routes.count; i++)
    clear_route (&routes[i]);
  for (size_t i = 0; i < table->customers.count; i++)
    clear_customer (&customers[i]);
  for (size_t i = 0; i < table->services.count; i++)
    {
      free (services[i].name);
      free (services[i].health_path);
    }
  free (routes);
  free (services);
  free (customers);
  free (table);
}

const struct marjoram_service_rule *
marjoram_route_table_service (const struct marjoram_route_table *table,
                              const char *name)
{
  for (size_t i = 0; i < table->services.count; i++)
    if (strcmp (SERVICES (table)[i].name, name) == 0)
      return &SERVICES (table)[i];
  return NULL;
}

static bool
check_targets (const struct marjoram_route_table *table,
               const struct marjoram_route_rule *route,
               struct marjoram_error *err)
{
  int64_t sum = 0;

  for (size_t i = 0; i < route->targets.count; i++)
    {
      const struct marjoram_route_target *target = &TARGETS (route)[i];

      if (!marjoram_route_table_service (table, target->service))
        return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                                   "route %s names the unknown service %s; "
                                   "add the service or name another",
                                   route->name, target->service);
      if (target->weight < 0)
        return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                                   "route %s has a weight below 0; raise it",
                                   route->name);
      sum += target->weight;
    }
  if (sum > 0)
    return true;
  return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                             "the weights of route %s add up to 0; give one "
                             "of its services a weight",
                             route->name);
}

static bool
check_prefix (const struct marjoram_route_rule *route,
              struct marjoram_error *err)
{
  size_t length = strlen (route->prefix);

  if (length == 0 || route->prefix[0] != '/'
      || route->prefix[length - 1] != '/')
    return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                               "the prefix of route %s must begin and end "
                               "with a slash; fix it",
                               route->name);
  return true;
}

static int
compare_match (const void *a, const void *b)
{
  const struct marjoram_route_rule *one
      = *(const struct marjoram_route_rule *const *)a;
  const struct marjoram_route_rule *other
      = *(const struct marjoram_route_rule *const *)b;
  int order = strcasecmp (one->host, other->host);

  if (order == 0)
    order = strcmp (one->prefix, other->prefix);
  /* Keeps file order, so that the error message names the routes in it.  */
  return order != 0 ? order : (one > other) - (one < other);
}

static bool
check_unique (const struct marjoram_route_table *table,
              struct marjoram_error *err)
{
  size_t count = table->routes.count;
  marjoram_auto_free const struct marjoram_route_rule **sorted
      = marjoram_alloc (count * sizeof (void *));

  for (size_t i = 0; i < count; i++)
    sorted[i] = &ROUTES (table)[i];
  qsort ((void *)sorted, count, sizeof (void *), compare_match);
  for (size_t i = 1; i < count; i++)
    if (strcasecmp (sorted[i - 1]->host, sorted[i]->host) == 0
        && strcmp (sorted[i - 1]->prefix, sorted[i]->prefix) == 0)
      return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                                 "routes %s and %s have the same host and "
                                 "prefix; remove one",
                                 sorted[i - 1]->name, sorted[i]->name);
  return true;
}

static bool
check_customer (const struct marjoram_customer_rule *customer,
                struct marjoram_error *err)
{
  const size_t length = strlen (customer->name);

  if (length == 0)
    return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                               "a customer has an empty name; name it");
  if (length >= MARJORAM_NAME_MAX)
    return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                               "customer %.32s... has a name of %zu bytes; "
                               "use %d at most",
                               customer->name, length, MARJORAM_NAME_MAX - 1);
  if (customer->rate_per_s < 0 || customer->burst < 0
      || customer->plain_tokens < 0)
    return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                               "customer %s has a rate, burst or token count "
                               "below 0; use 0 for no limit",
                               customer->name);
  for (size_t i = 0; i < customer->keys.count; i++)
    if (!*customer->keys.items[i])
      return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                                 "key %zu of customer %s is empty; remove it",
                                 i + 1, customer->name);
  return true;
}

struct owned_key
{
  const char *key;
  const struct marjoram_customer_rule *owner;
};

static int
compare_keys (const void *a, const void *b)
{
  return strcmp (((const struct owned_key *)a)->key,
                 ((const struct owned_key *)b)->key);
}

static size_t
count_keys (const struct marjoram_route_table *table)
{
  size_t count = 0;

  for (size_t i = 0; i < table->customers.count; i++)
    count += CUSTOMERS (table)[i].keys.count;
  return count;
}

static bool
check_unique_keys (const struct marjoram_route_table *table,
                   struct marjoram_error *err)
{
  size_t count = 0;
  marjoram_auto_free struct owned_key *keys
      = marjoram_alloc ((count_keys (table) + 1) * sizeof *keys);

  for (size_t i = 0; i < table->customers.count; i++)
    {
      const struct marjoram_customer_rule *customer = &CUSTOMERS (table)[i];

      for (size_t j = 0; j < customer->keys.count; j++)
        keys[count++]
            = (struct owned_key){ customer->keys.items[j], customer };
    }
  qsort (keys, count, sizeof *keys, compare_keys);
  for (size_t i = 1; i < count; i++)
    if (keys[i - 1].owner != keys[i].owner
        && strcmp (keys[i - 1].key, keys[i].key) == 0)
      return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                                 "customers %s and %s share a key; give each "
                                 "its own",
                                 keys[i - 1].owner->name, keys[i].owner->name);
  return true;
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static bool
check_customers (const struct marjoram_route_table *table,
                 struct marjoram_error *err)
{
  const size_t count = table->customers.count;
  marjoram_auto_free const char **names
      = marjoram_alloc ((count + 1) * sizeof (char *));

  for (size_t i = 0; i < count; i++)
    {
      if (!check_customer (&CUSTOMERS (table)[i], err))
        return false;
      names[i] = CUSTOMERS (table)[i].name;
    }
  qsort ((void *)names, count, sizeof (char *), compare_names);
  for (size_t i = 1; i < count; i++)
    if (strcmp (names[i - 1], names[i]) == 0)
      return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                                 "two customers have the name %s; rename one",
                                 names[i]);
  return check_unique_keys (table, err);
}

static bool
check_services (const struct marjoram_route_table *table,
                struct marjoram_error *err)
{
  for (size_t i = 0; i < table->services.count; i++)
    {
      const char *name = SERVICES (table)[i].name;
      const size_t length = strlen (name);

      if (length >= MARJORAM_ID_MAX)
        return marjoram_error_set (err, MARJORAM_ERROR_LIMIT,
                                   "service %.32s... has a name of %zu bytes; "
                                   "use %d at most",
                                   name, length, MARJORAM_ID_MAX - 1);
    }
  return true;
}

static bool
check_size (const char *what, int64_t bytes, int64_t max,
            struct marjoram_error *err)
{
  if (bytes >= 0 && bytes <= max)
    return true;
  return marjoram_error_set (err, MARJORAM_ERROR_LIMIT,
                             "the limit of a request's %s is %" PRId64
                             " bytes; use 0 to %" PRId64,
                             what, bytes, max);
}

/* Requests within the limits of callers must fit into frames between
   hosts.  */
static bool
check_callers (const struct marjoram_caller_rule *callers,
               struct marjoram_error *err)
{
  return check_size ("header section", callers->head_bytes, MARJORAM_HEAD_MAX,
                     err)
         && check_size ("body", callers->body_bytes, MARJORAM_BODY_MAX, err);
}

bool
marjoram_route_table_check (const struct marjoram_route_table *table,
                            struct marjoram_error *err)
{
  for (size_t i = 0; i < table->routes.count; i++)
    {
      const struct marjoram_route_rule *route = &ROUTES (table)[i];

      if (route->timeout_ms <= 0)
        return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                                   "route %s has no timeout; give it one "
                                   "above 0 ms",
                                   route->name);
      if (!check_prefix (route, err) || !check_targets (table, route, err))
        return false;
    }
  return check_unique (table, err) && check_services (table, err)
         && check_callers (&table->callers, err)
         && check_customers (table, err);
}

static bool
same_host (const char *configured, const char *requested)
{
  size_t length = strcspn (requested, ":");

  return strlen (configured) == length
         && strncasecmp (configured, requested, length) == 0;
}

const struct marjoram_route_rule *
marjoram_route_table_find (const struct marjoram_route_table *table,
                           const char *host, const char *target)
{
  const struct marjoram_route_rule *best = NULL;
  size_t path_size = strcspn (target, "?#");
  size_t best_size = 0;

  for (size_t i = 0; i < table->routes.count; i++)
    {
      const struct marjoram_route_rule *route = &ROUTES (table)[i];
      size_t size = strlen (route->prefix);

      if (size > best_size && size <= path_size
          && strncmp (route->prefix, target, size) == 0
          && same_host (route->host, host))
        {
          best = route;
          best_size = size;
        }
    }
  return best;
}

bool
marjoram_route_has_service (const struct marjoram_route_rule *route,
                            const char *service)
{
  for (size_t i = 0; i < route->targets.count; i++)
    if (TARGETS (route)[i].weight > 0
        && strcmp (TARGETS (route)[i].service, service) == 0)
      return true;
  return false;
}

const char *
marjoram_route_only_service (const struct marjoram_route_rule *route)
{
  const char *only = NULL;

  for (size_t i = 0; i < route->targets.count; i++)
    {
      const char *service = TARGETS (route)[i].service;

      if (TARGETS (route)[i].weight <= 0)
        continue;
      if (only && strcmp (only, service) != 0)
        return NULL;
      only = service;
    }
  return only;
}

const char *
marjoram_route_pick_service (const struct marjoram_route_rule *route,
                             const char *key)
{
  int64_t sum = 0;
  int64_t point;

  for (size_t i = 0; i < route->targets.count; i++)
    sum += TARGETS (route)[i].weight;
  if (sum <= 0)
    return NULL;
  point = (int64_t)(XXH3_64bits (key, strlen (key)) % (uint64_t)sum);
  for (size_t i = 0; i < route->targets.count; i++)
    {
      point -= TARGETS (route)[i].weight;
      if (point < 0)
        return TARGETS (route)[i].service;
    }
  return NULL;
}

static bool
homes_allow (const struct marjoram_names *homes, const char *region)
{
  for (size_t i = 0; i < homes->count; i++)
    if (strcmp (homes->items[i], region) == 0)
      return true;
  return homes->count == 0;
}

bool
marjoram_route_allows (const struct marjoram_route_rule *route,
                       const char *region)
{
  return homes_allow (&route->homes, region);
}

const struct marjoram_customer_rule *
marjoram_route_table_customer (const struct marjoram_route_table *table,
                               const char *name)
{
  for (size_t i = 0; i < table->customers.count; i++)
    if (strcmp (CUSTOMERS (table)[i].name, name) == 0)
      return &CUSTOMERS (table)[i];
  return NULL;
}

bool
marjoram_customer_allows (const struct marjoram_customer_rule *customer,
                          const char *region)
{
  return homes_allow (&customer->homes, region);
}

bool
marjoram_customer_has_quota (const struct marjoram_customer_rule *customer)
{
  return customer->rate_per_s > 0;
}

int64_t
marjoram_customer_cost (const struct marjoram_customer_rule *customer,
                        int64_t prompt_tokens, int64_t answer_tokens)
{
  if (customer->unit == MARJORAM_QUOTA_REQUESTS)
    return 1;
  return prompt_tokens + answer_tokens > 0 ? prompt_tokens + answer_tokens
                                           : customer->plain_tokens;
}

size_t
marjoram_route_table_count_homes (const struct marjoram_route_table *table,
                                  const char *host, const char *region)
{
  size_t count = 0;

  for (size_t i = 0; i < table->routes.count; i++)
    if (ROUTES (table)[i].homes.count > 0
        && same_host (ROUTES (table)[i].host, host)
        && marjoram_route_allows (&ROUTES (table)[i], region))
      count++;
  return count;
}

bool
marjoram_route_table_has_homes (const struct marjoram_route_table *table,
                                const char *host)
{
  for (size_t i = 0; i < table->routes.count; i++)
    if (ROUTES (table)[i].homes.count > 0
        && same_host (ROUTES (table)[i].host, host))
      return true;
  return false;
}

bool
marjoram_route_may_repeat (const struct marjoram_route_rule *route)
{
  return route->stream ? route->resumable : route->idempotent;
}
