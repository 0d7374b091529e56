#include "route_file.h"

#include "cleanup.h"
#include "ini_file.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HOUR_MS = 3600 * 1000,
  MEGABYTE = 1024 * 1024,
  PATH_TEXT_MAX = 1024,
  HOST_TEXT_MAX = 255, /* maximum length of a DNS name */
  PRIORITY_MAX = 9,
  UPSTREAMS_MAX = 8, /* per request */
  TOKENS_MAX = 1000 * 1000 * 1000,
  SLOTS_MAX = 100000,
  KEYS_TEXT_MAX = 64 * 1024, /* all keys of one customer */
  RATE_MAX = 1000 * 1000 * 1000,
  DECIMAL = 10
};

enum kind
{
  KIND_IDEMPOTENT,
  KIND_NON_IDEMPOTENT,
  KIND_STREAM,
  KIND_RESUMABLE
};

static const char *const kind_names[]
    = { "idempotent", "non-idempotent", "stream", "resumable-stream", NULL };

struct route_section
{
  char *host;
  char *prefix;
  int kind;
  int64_t timeout_ms;
  int64_t objective_ms;
  int64_t gap_ms;
  int priority;
  int max_upstreams;
  bool public;
  struct marjoram_names services;
  struct marjoram_names homes;
};

struct customer_section
{
  char *keys; /* text, since errors for name lists show the values */
  int priority;
  int unit;
  double rate_per_s;
  double burst;
  int64_t plain_tokens;
  struct marjoram_names homes;
};

static const char *const unit_names[] = { "requests", "tokens", NULL };

struct routes_section
{
  int64_t version;
};

#define ROUTE_OFFSET(member) offsetof (struct route_section, member)
#define CUSTOMER_OFFSET(member) offsetof (struct customer_section, member)
#define SERVICE_OFFSET(member) offsetof (struct marjoram_service_rule, member)
#define CALLERS_OFFSET(member) offsetof (struct marjoram_caller_rule, member)
#define COUNT(array) (sizeof (array) / sizeof *(array))

static const struct marjoram_ini_key routes_keys[] = {
  { "version", MARJORAM_INI_INT64, offsetof (struct routes_section, version),
    NULL, 1, 9e15, NULL },
};

/* An objective of 0 means the timeout.  */
static const struct marjoram_ini_key route_keys[] = {
  { "host", MARJORAM_INI_TEXT, ROUTE_OFFSET (host), NULL, 1, HOST_TEXT_MAX,
    NULL },
  { "prefix", MARJORAM_INI_TEXT, ROUTE_OFFSET (prefix), NULL, 1, PATH_TEXT_MAX,
    NULL },
  { "kind", MARJORAM_INI_ENUM, ROUTE_OFFSET (kind), NULL, 0, 0, kind_names },
  { "timeout_ms", MARJORAM_INI_INT64, ROUTE_OFFSET (timeout_ms), NULL, 1,
    HOUR_MS, NULL },
  { "objective_ms", MARJORAM_INI_INT64, ROUTE_OFFSET (objective_ms), "0", 0,
    HOUR_MS, NULL },
  { "gap_ms", MARJORAM_INI_INT64, ROUTE_OFFSET (gap_ms), "0", 0, HOUR_MS,
    NULL },
  { "priority", MARJORAM_INI_INT, ROUTE_OFFSET (priority), "0", 0,
    PRIORITY_MAX, NULL },
  { "max_upstreams", MARJORAM_INI_INT, ROUTE_OFFSET (max_upstreams), "1", 1,
    UPSTREAMS_MAX, NULL },
  { "services", MARJORAM_INI_TEXT, ROUTE_OFFSET (services), NULL, 1,
    PATH_TEXT_MAX, NULL },
  { "homes", MARJORAM_INI_NAME_LIST, ROUTE_OFFSET (homes), "", 0, 0, NULL },
  { "public", MARJORAM_INI_BOOL, ROUTE_OFFSET (public), "no", 0, 0, NULL },
};

/* A rate of 0 means no quota.  */
static const struct marjoram_ini_key customer_keys[] = {
  { "keys", MARJORAM_INI_TEXT, CUSTOMER_OFFSET (keys), "", 1, KEYS_TEXT_MAX,
    NULL },
  { "priority", MARJORAM_INI_INT, CUSTOMER_OFFSET (priority), "0", 0,
    PRIORITY_MAX, NULL },
  { "unit", MARJORAM_INI_ENUM, CUSTOMER_OFFSET (unit), "requests", 0, 0,
    unit_names },
  { "rate_per_s", MARJORAM_INI_DOUBLE, CUSTOMER_OFFSET (rate_per_s), "0", 0,
    RATE_MAX, NULL },
  { "burst", MARJORAM_INI_DOUBLE, CUSTOMER_OFFSET (burst), "0", 0, RATE_MAX,
    NULL },
  { "plain_tokens", MARJORAM_INI_INT64, CUSTOMER_OFFSET (plain_tokens), "0", 0,
    TOKENS_MAX, NULL },
  { "homes", MARJORAM_INI_NAME_LIST, CUSTOMER_OFFSET (homes), "", 0, 0, NULL },
};

static const struct marjoram_ini_key service_keys[] = {
  { "health_path", MARJORAM_INI_TEXT, SERVICE_OFFSET (health_path), "/health",
    1, PATH_TEXT_MAX, NULL },
  { "max_connections", MARJORAM_INI_INT64, SERVICE_OFFSET (max_connections),
    "0", 0, SLOTS_MAX, NULL },
  { "cold_ms", MARJORAM_INI_INT64, SERVICE_OFFSET (cold_ms), "0", 0, HOUR_MS,
    NULL },
  { "cold_per_s", MARJORAM_INI_DOUBLE, SERVICE_OFFSET (cold_per_s), "0", 0,
    SLOTS_MAX, NULL },
  { "engine", MARJORAM_INI_BOOL, SERVICE_OFFSET (has_engine), "no", 0, 0,
    NULL },
  { "engine_slots", MARJORAM_INI_INT64, SERVICE_OFFSET (engine.slots), "0", 0,
    SLOTS_MAX, NULL },
  { "engine_tokens", MARJORAM_INI_INT64, SERVICE_OFFSET (engine.kv_capacity),
    "0", 0, TOKENS_MAX, NULL },
  { "copied_per_ms", MARJORAM_INI_DOUBLE,
    SERVICE_OFFSET (engine.copied_per_ms), "0", 0, TOKENS_MAX, NULL },
};

static const struct marjoram_ini_key caller_keys[] = {
  { "head_bytes", MARJORAM_INI_INT64, CALLERS_OFFSET (head_bytes), "16384",
    1024, MEGABYTE, NULL },
  { "body_bytes", MARJORAM_INI_INT64, CALLERS_OFFSET (body_bytes), "4194304",
    0, 64.0 * MEGABYTE, NULL },
  { "head_timeout_ms", MARJORAM_INI_INT64, CALLERS_OFFSET (head_timeout_ms),
    "3000", 100, HOUR_MS, NULL },
  { "idle_timeout_ms", MARJORAM_INI_INT64, CALLERS_OFFSET (idle_timeout_ms),
    "15000", 100, HOUR_MS, NULL },
};

struct parse_context
{
  const struct marjoram_ini_file *file;
  marjoram_faults *faults;
  struct marjoram_route_table *table;
};

bool
marjoram_route_file_detect (const char *text, size_t size)
{
  size_t i = 0;

  while (i < size && isspace ((unsigned char)text[i]))
    i++;
  return i < size && (text[i] == '[' || text[i] == ';' || text[i] == '#');
}

/* Parses SERVICE or SERVICE:WEIGHT.  */
static void
read_target (const struct parse_context *context,
             const struct marjoram_ini_section *section, const char *text,
             struct marjoram_route_target *target)
{
  const char *colon = strchr (text, ':');
  char *end = NULL;

  target->service
      = strndup (text, colon ? (size_t)(colon - text) : strlen (text));
  if (!target->service)
    abort ();
  target->weight = colon ? strtoll (colon + 1, &end, DECIMAL) : 1;
  if (colon && (end == colon + 1 || *end || target->weight < 0))
    marjoram_faults_add (
        context->faults, context->file->path,
        marjoram_ini_line (section, "services"),
        "\"%.80s\" has an invalid weight; write NAME or NAME:NUMBER", text);
}

static void
read_targets (const struct parse_context *context,
              const struct marjoram_ini_section *section,
              struct marjoram_route_rule *route)
{
  const struct marjoram_ini_entry *entry
      = marjoram_ini_find_entry (section, "services");
  struct marjoram_names names = { 0 };
  struct marjoram_route_target *targets;

  if (entry)
    names = marjoram_names_parse (entry->value);
  route->targets.items = targets
      = marjoram_alloc (names.count * sizeof *targets);
  for (size_t i = 0; i < names.count; i++)
    read_target (context, section, names.items[i],
                 &targets[route->targets.count++]);
  marjoram_names_clear (&names);
}

static void
read_route (const struct parse_context *context,
            const struct marjoram_ini_section *section,
            struct marjoram_route_rule *route)
{
  struct route_section values = { 0 };

  marjoram_ini_read (context->file, section, route_keys, COUNT (route_keys),
                     &values, context->faults);
  route->name = marjoram_strdup (section->name);
  route->host = marjoram_strdup (values.host ? values.host : "");
  route->prefix = marjoram_strdup (values.prefix ? values.prefix : "");
  route->idempotent = values.kind == KIND_IDEMPOTENT;
  route->stream = values.kind >= KIND_STREAM;
  route->resumable = values.kind == KIND_RESUMABLE;
  route->timeout_ms = values.timeout_ms;
  route->objective_ms = values.objective_ms;
  route->gap_ms = values.gap_ms;
  route->priority = values.priority;
  route->max_upstreams = values.max_upstreams;
  route->public = values.public;
  route->homes = values.homes;
  memset (&values.homes, 0, sizeof values.homes);
  read_targets (context, section, route);
  marjoram_ini_clear (route_keys, COUNT (route_keys), &values);
}

static void
read_service (const struct parse_context *context,
              const struct marjoram_ini_section *section,
              struct marjoram_service_rule *service)
{
  marjoram_ini_read (context->file, section, service_keys,
                     COUNT (service_keys), service, context->faults);
  service->name = marjoram_strdup (section->name);
}

static void
read_customer (const struct parse_context *context,
               const struct marjoram_ini_section *section,
               struct marjoram_customer_rule *customer)
{
  struct customer_section values = { 0 };

  marjoram_ini_read (context->file, section, customer_keys,
                     COUNT (customer_keys), &values, context->faults);
  customer->name = marjoram_strdup (section->name);
  if (values.keys)
    customer->keys = marjoram_names_parse (values.keys);
  customer->has_priority
      = marjoram_ini_find_entry (section, "priority") != NULL;
  customer->priority = values.priority;
  customer->unit = values.unit;
  customer->rate_per_s = values.rate_per_s;
  customer->burst = values.burst;
  customer->plain_tokens = values.plain_tokens;
  customer->homes = values.homes;
  memset (&values.homes, 0, sizeof values.homes);
  marjoram_ini_clear (customer_keys, COUNT (customer_keys), &values);
}

static void
read_global_sections (const struct parse_context *context)
{
  static const struct marjoram_ini_section no_callers
      = { .kind = (char *)"callers", .name = (char *)"" };
  const struct marjoram_ini_section *routes
      = marjoram_ini_section (context->file, "routes");
  const struct marjoram_ini_section *callers
      = marjoram_ini_section (context->file, "callers");
  struct routes_section values = { 0 };

  marjoram_ini_read (context->file, callers ? callers : &no_callers,
                     caller_keys, COUNT (caller_keys),
                     &context->table->callers, context->faults);
  if (routes)
    marjoram_ini_read (context->file, routes, routes_keys, COUNT (routes_keys),
                       &values, context->faults);
  else
    marjoram_faults_add (context->faults, context->file->path, 0,
                         "no version; add a section [routes] with version = "
                         "NUMBER, higher than the one in force");
  context->table->version = (uint64_t)values.version;
}

static void
read_section (const struct parse_context *context,
              const struct marjoram_ini_section *section)
{
  struct marjoram_route_table *table = context->table;
  struct marjoram_route_rule *routes = table->routes.items;
  struct marjoram_service_rule *services = table->services.items;
  struct marjoram_customer_rule *customers = table->customers.items;

  if (strcmp (section->kind, "route") == 0)
    read_route (context, section, &routes[table->routes.count++]);
  else if (strcmp (section->kind, "service") == 0)
    read_service (context, section, &services[table->services.count++]);
  else if (strcmp (section->kind, "customer") == 0)
    read_customer (context, section, &customers[table->customers.count++]);
  else if (strcmp (section->kind, "routes") != 0
           && strcmp (section->kind, "callers") != 0)
    marjoram_faults_add (context->faults, context->file->path, section->line,
                         "unknown section [%s]; remove it or use one of: "
                         "routes callers service route customer",
                         section->kind);
}

static struct marjoram_route_table *
read_file (const struct marjoram_ini_file *file, marjoram_faults *faults)
{
  struct marjoram_route_table *table = marjoram_alloc (sizeof *table);
  const struct parse_context context = { file, faults, table };

  table->routes.items = marjoram_alloc (file->section_count
                                        * sizeof (struct marjoram_route_rule));
  table->services.items = marjoram_alloc (
      file->section_count * sizeof (struct marjoram_service_rule));
  table->customers.items = marjoram_alloc (
      file->section_count * sizeof (struct marjoram_customer_rule));
  read_global_sections (&context);
  for (size_t i = 0; i < file->section_count; i++)
    read_section (&context, &file->sections[i]);
  return table;
}

struct marjoram_route_table *
marjoram_route_file_read (const char *text, size_t size,
                          struct marjoram_error *err)
{
  marjoram_auto (marjoram_faults_cleanup) marjoram_faults *faults
      = marjoram_faults_create ();
  marjoram_auto (marjoram_ini_cleanup) struct marjoram_ini_file *file
      = marjoram_ini_parse ("routes", text, size, faults);
  struct marjoram_route_table *table = read_file (file, faults);

  if (marjoram_faults_report (faults, NULL, err))
    return table;
  marjoram_route_table_destroy (table);
  return NULL;
}
