#include "gateway_settings.h"

#include "address.h"
#include "cleanup.h"
#include "ini_key.h"

#include <string.h>

enum
{
  PATH_TEXT_MAX = 4096,
  MINUTE_MS = 60 * 1000,
  HOUR_MS = 60 * MINUTE_MS,
  ALLOWANCE_MAX = 1000 * 1000,
  LOOKUP_VALID_MAX_S = 3600,
  MEMORY_MIN_MB = 32,
  MEMORY_MAX_MB = 1024 * 1024,
  ANSWER_MIN_BYTES = 64 * 1024,
  ANSWER_MAX_BYTES = 1024 * 1024 * 1024,
  QUOTA_ALLOWANCE_MAX = 1000 * 1000 * 1000,
  REPAIR_WITHIN_MAX_S = 3600,
  DISK_LOSSES_MAX = 5 /* requires eleven keepers */
};

#define FIELD(member) offsetof (struct marjoram_gateway_settings, member)

static const char *const roles[] = { "entry", "keeper", NULL };

static const struct marjoram_ini_key gateway_keys[] = {
  { "role", MARJORAM_INI_ENUM, FIELD (role), NULL, 0, 0, roles },
  { "name", MARJORAM_INI_NAME, FIELD (name), NULL, 0, 0, NULL },
  { "ip", MARJORAM_INI_NAME, FIELD (ip), NULL, 0, 0, NULL },
  { "zone", MARJORAM_INI_LABEL, FIELD (zone), NULL, 0, 0, NULL },
  { "region", MARJORAM_INI_LABEL, FIELD (region), NULL, 0, 0, NULL },
  { "data_folder", MARJORAM_INI_TEXT, FIELD (data_folder), "", 1,
    PATH_TEXT_MAX, NULL },
  { "first_start", MARJORAM_INI_BOOL, FIELD (first_start), "no", 0, 0, NULL },
};

static const struct marjoram_ini_key listen_keys[] = {
  { "link", MARJORAM_INI_ADDRESS, FIELD (link_address), NULL, 0, 0, NULL },
  { "metrics", MARJORAM_INI_ADDRESS, FIELD (metrics_address), "", 0, 0, NULL },
  { "entry", MARJORAM_INI_ADDRESS, FIELD (entry_address), "", 0, 0, NULL },
  { "ready", MARJORAM_INI_ADDRESS, FIELD (ready_address), "", 0, 0, NULL },
  { "control", MARJORAM_INI_ADDRESS, FIELD (control_address), "", 0, 0, NULL },
  { "lookup", MARJORAM_INI_ADDRESS, FIELD (lookup_address), "", 0, 0, NULL },
};

/* Default repeat budget: 20 % of the requests plus 10 in 10 s.  */
static const struct marjoram_ini_key limit_keys[] = {
  { "repeat_ratio", MARJORAM_INI_DOUBLE, FIELD (repeat_ratio), "0.2", 0, 1,
    NULL },
  { "repeat_allowance", MARJORAM_INI_DOUBLE, FIELD (repeat_allowance), "10", 0,
    ALLOWANCE_MAX, NULL },
  { "repeat_window_ms", MARJORAM_INI_INT64, FIELD (repeat_window_ms), "10000",
    100, HOUR_MS, NULL },
  { "drain_limit_ms", MARJORAM_INI_INT64, FIELD (drain_limit_ms), "8000", 1000,
    HOUR_MS, NULL },
  { "lookup_valid_s", MARJORAM_INI_INT64, FIELD (lookup_valid_s), "2", 1,
    LOOKUP_VALID_MAX_S, NULL },
  { "revocation_ms", MARJORAM_INI_INT64, FIELD (revocation_ms), "0", 0,
    HOUR_MS, NULL },
  { "quota_allowance", MARJORAM_INI_DOUBLE, FIELD (quota_allowance), "0", 0,
    QUOTA_ALLOWANCE_MAX, NULL },
  { "memory_mb", MARJORAM_INI_INT64, FIELD (memory_mb), "256", MEMORY_MIN_MB,
    MEMORY_MAX_MB, NULL },
  { "answer_bytes", MARJORAM_INI_INT64, FIELD (answer_bytes), "16777216",
    ANSWER_MIN_BYTES, ANSWER_MAX_BYTES, NULL },
  { "disk_losses", MARJORAM_INI_INT64, FIELD (disk_losses), "1", 0,
    DISK_LOSSES_MAX, NULL },
  { "repair_within_s", MARJORAM_INI_DOUBLE, FIELD (repair_within_s), "4", 1,
    REPAIR_WITHIN_MAX_S, NULL },
};

static const struct marjoram_ini_key load_keys[] = {
  { "share_room", MARJORAM_INI_BOOL, FIELD (load.share_room), "no", 0, 0,
    NULL },
  { "check_upstreams", MARJORAM_INI_BOOL, FIELD (load.check_upstreams), "no",
    0, 0, NULL },
  { "measured_waits", MARJORAM_INI_BOOL, FIELD (load.measured_waits), "no", 0,
    0, NULL },
  { "balance_regions", MARJORAM_INI_BOOL, FIELD (load.balance_regions), "no",
    0, 0, NULL },
  { "terms", MARJORAM_INI_NAME_LIST, FIELD (load_terms), "", 0, 0, NULL },
};

#define COUNT(array) (sizeof (array) / sizeof *(array))

static const struct section_kind
{
  const char *name;
  const struct marjoram_ini_key *keys; /* null: free-form keys */
  size_t key_count;
  bool required;
} section_kinds[] = {
  { "gateway", gateway_keys, COUNT (gateway_keys), true },
  { "listen", listen_keys, COUNT (listen_keys), true },
  { "limits", limit_keys, COUNT (limit_keys), false },
  { "load", load_keys, COUNT (load_keys), false },
  { "seeds", NULL, 0, false },
  { "zones", NULL, 0, false },
};

static bool
is_known_section (const char *name)
{
  for (size_t i = 0; i < COUNT (section_kinds); i++)
    if (strcmp (section_kinds[i].name, name) == 0)
      return true;
  return false;
}

static void
check_sections (const struct marjoram_ini_file *file, marjoram_faults *faults)
{
  for (size_t i = 0; i < file->section_count; i++)
    if (!is_known_section (file->sections[i].kind))
      marjoram_faults_add (faults, file->path, file->sections[i].line,
                           "unknown section [%s]; remove it or use one of: "
                           "gateway listen limits load seeds zones",
                           file->sections[i].kind);
}

/* Reads "keepers = IP:port, IP:port".  The ports are ignored, since all hosts
   use the same link port.  */
static void
read_seeds (struct marjoram_gateway_settings *settings,
            const struct marjoram_ini_file *file, marjoram_faults *faults)
{
  const struct marjoram_ini_section *section
      = marjoram_ini_section (file, "seeds");
  const struct marjoram_ini_entry *entry
      = section ? marjoram_ini_find_entry (section, "keepers") : NULL;
  struct marjoram_names names;

  if (!entry)
    {
      marjoram_faults_add (faults, file->path, section ? section->line : 0,
                           "no seeds configured; add a section [seeds] with "
                           "keepers = IP:port, IP:port");
      return;
    }
  names = marjoram_names_parse (entry->value);
  settings->seeds = marjoram_alloc ((names.count + 1) * sizeof (char *));
  for (size_t i = 0; i < names.count; i++)
    {
      char ip[MARJORAM_IP_MAX];
      uint16_t port;

      if (marjoram_address_split (names.items[i], ip, &port))
        settings->seeds[settings->seed_count++] = marjoram_strdup (ip);
      else
        marjoram_faults_add (faults, file->path, entry->line,
                             "\"%.80s\" is not an address; write IP:port",
                             names.items[i]);
    }
  marjoram_names_clear (&names);
}

static void
read_zones (struct marjoram_gateway_settings *settings,
            const struct marjoram_ini_file *file, marjoram_faults *faults)
{
  const struct marjoram_ini_section *section
      = marjoram_ini_section (file, "zones");

  if (!section)
    {
      marjoram_faults_add (faults, file->path, 0,
                           "no zones configured; add a section [zones] with "
                           "a line ZONE = REGION for each zone");
      return;
    }
  settings->zones
      = marjoram_alloc (section->entry_count * sizeof *settings->zones);
  for (size_t i = 0; i < section->entry_count; i++)
    {
      struct marjoram_zone_setting *zone
          = &settings->zones[settings->zone_count++];

      zone->zone = marjoram_strdup (section->entries[i].key);
      zone->region = marjoram_strdup (section->entries[i].value);
    }
}

static void
require_address (const struct marjoram_ini_file *file, marjoram_faults *faults,
                 const char *role, const char *key, const char *value)
{
  const struct marjoram_ini_section *section
      = marjoram_ini_section (file, "listen");

  if (!value)
    marjoram_faults_add (faults, file->path, section ? section->line : 0,
                         "role %s requires an address for %s; add "
                         "%s = IP:port",
                         role, key, key);
}

static void
check_role (const struct marjoram_gateway_settings *settings,
            const struct marjoram_ini_file *file, marjoram_faults *faults)
{
  if (settings->role == MARJORAM_ROLE_ENTRY)
    {
      require_address (file, faults, "entry", "entry",
                       settings->entry_address);
      require_address (file, faults, "entry", "ready",
                       settings->ready_address);
      return;
    }
  require_address (file, faults, "keeper", "control",
                   settings->control_address);
  require_address (file, faults, "keeper", "lookup", settings->lookup_address);
  if (!settings->data_folder)
    marjoram_faults_add (faults, file->path, 0,
                         "role keeper requires persistent storage; add "
                         "data_folder to [gateway]");
}

static void
check_zone (const struct marjoram_gateway_settings *settings,
            const struct marjoram_ini_file *file, marjoram_faults *faults)
{
  const char *region
      = settings->zone
            ? marjoram_gateway_settings_region (settings, settings->zone)
            : NULL;

  if (settings->zone && settings->region
      && (!region || strcmp (region, settings->region) != 0))
    marjoram_faults_add (faults, file->path, 0,
                         "[zones] does not assign zone %s to region %s; "
                         "add it",
                         settings->zone, settings->region);
}

static void
fill (struct marjoram_gateway_settings *settings,
      const struct marjoram_ini_file *file, marjoram_faults *faults)
{
  static struct marjoram_ini_section absent;

  check_sections (file, faults);
  for (size_t i = 0; i < COUNT (section_kinds); i++)
    {
      const struct marjoram_ini_section *section
          = marjoram_ini_section (file, section_kinds[i].name);

      if (!section && section_kinds[i].required)
        marjoram_faults_add (faults, file->path, 0,
                             "section [%s] is missing; add it",
                             section_kinds[i].name);
      else if (section_kinds[i].keys)
        marjoram_ini_read (file, section ? section : &absent,
                           section_kinds[i].keys, section_kinds[i].key_count,
                           settings, faults);
    }
  read_seeds (settings, file, faults);
  read_zones (settings, file, faults);
  check_role (settings, file, faults);
  check_zone (settings, file, faults);
}

struct marjoram_gateway_settings *
marjoram_gateway_settings_load (const char *path, char **faults,
                                struct marjoram_error *err)
{
  marjoram_auto (marjoram_faults_cleanup) marjoram_faults *found
      = marjoram_faults_create ();
  marjoram_auto (marjoram_ini_cleanup) struct marjoram_ini_file *file
      = marjoram_ini_load (path, found);
  struct marjoram_gateway_settings *settings
      = marjoram_alloc (sizeof *settings);

  if (file)
    fill (settings, file, found);
  if (marjoram_faults_report (found, faults, err))
    return settings;
  marjoram_gateway_settings_destroy (settings);
  return NULL;
}

void
marjoram_gateway_settings_destroy (struct marjoram_gateway_settings *settings)
{
  if (!settings)
    return;
  marjoram_ini_clear (gateway_keys, COUNT (gateway_keys), settings);
  marjoram_ini_clear (listen_keys, COUNT (listen_keys), settings);
  marjoram_ini_clear (load_keys, COUNT (load_keys), settings);
  for (size_t i = 0; i < settings->seed_count; i++)
    free (settings->seeds[i]);
  for (size_t i = 0; i < settings->zone_count; i++)
    {
      free (settings->zones[i].zone);
      free (settings->zones[i].region);
    }
  free (settings->seeds);
  free (settings->zones);
  free (settings);
}

bool
marjoram_gateway_settings_detect (const char *path)
{
  marjoram_auto (marjoram_faults_cleanup) marjoram_faults *ignored
      = marjoram_faults_create ();
  marjoram_auto (marjoram_ini_cleanup) struct marjoram_ini_file *file
      = marjoram_ini_load (path, ignored);

  return file && marjoram_ini_section (file, "gateway") != NULL;
}

const char *
marjoram_gateway_settings_region (
    const struct marjoram_gateway_settings *settings, const char *zone)
{
  for (size_t i = 0; i < settings->zone_count; i++)
    if (strcmp (settings->zones[i].zone, zone) == 0)
      return settings->zones[i].region;
  return NULL;
}
