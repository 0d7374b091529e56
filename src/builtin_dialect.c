#include "builtin_dialect.h"

#include "route_file.h"

#include <stdio.h>
#include <string.h>

static const struct marjoram_dialect *fallback_dialect;
static struct marjoram_dialect_ops own_ops;
static struct marjoram_dialect own_dialect = { .ops = &own_ops };

static bool
read_evacuation (const char *method, const char *zone,
                 struct marjoram_api_request *ask, struct marjoram_error *err)
{
  const size_t size = strcspn (zone, "?");

  ask->kind = strcmp (method, "PUT") == 0      ? MARJORAM_API_EVACUATE
              : strcmp (method, "DELETE") == 0 ? MARJORAM_API_RESTORE
                                               : MARJORAM_API_UNKNOWN;
  if (ask->kind == MARJORAM_API_UNKNOWN)
    return true;
  if (size == 0 || size >= sizeof ask->zone)
    return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                               "the path has no valid zone name; "
                               "use " MARJORAM_PATH_EVACUATIONS "ZONE");
  snprintf (ask->zone, sizeof ask->zone, "%.*s", (int)size, zone);
  return true;
}

static bool
read_api_request (const char *method, const char *target, const char *body,
                  size_t size, struct marjoram_api_request *ask,
                  struct marjoram_error *err)
{
  const size_t prefix = strlen (MARJORAM_PATH_EVACUATIONS);

  if (strncmp (target, MARJORAM_PATH_EVACUATIONS, prefix) == 0)
    {
      memset (ask, 0, sizeof *ask);
      return read_evacuation (method, target + prefix, ask, err);
    }
  if (strcmp (target, MARJORAM_PATH_ROUTES) != 0)
    return fallback_dialect->ops->read_api_request (method, target, body, size,
                                                    ask, err);
  memset (ask, 0, sizeof *ask);
  if (strcmp (method, "GET") == 0)
    ask->kind = MARJORAM_API_CONFIG_GET;
  else if (strcmp (method, "PUT") == 0)
    ask->kind = MARJORAM_API_CONFIG_SET;
  return true;
}

static struct marjoram_route_table *
read_config (const char *text, size_t size, struct marjoram_error *err)
{
  return marjoram_route_file_detect (text, size)
             ? marjoram_route_file_read (text, size, err)
             : fallback_dialect->ops->read_config (text, size, err);
}

const struct marjoram_dialect *
marjoram_builtin_dialect (const struct marjoram_dialect *fallback)
{
  fallback_dialect = fallback;
  own_dialect.cached_prompts_target = fallback->cached_prompts_target;
  own_ops = *fallback->ops;
  own_ops.read_api_request = read_api_request;
  own_ops.read_config = read_config;
  return &own_dialect;
}
