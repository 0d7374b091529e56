#include "settings.h"

#include "address.h"
#include "cleanup.h"
#include "ini_key.h"
#include "secret.h"
#include "state.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

enum
{
  PATH_TEXT_MAX = 4096,
  REQUESTS_MAX = 1000 * 1000,
  HEADERS_BYTES_MAX = 256 * 1024,
  BODY_BYTES_MAX = 16 * 1024 * 1024,
  ANSWERS_BYTES_MIN = 1024 * 1024,
  ANSWERS_BYTES_MAX = 1024 * 1024 * 1024,
  SECOND_MS = 1000,
  MINUTE_MS = 60 * SECOND_MS,
  HOUR_MS = 60 * MINUTE_MS
};

/* Target of the key tables below.  */
struct parsed_settings
{
  struct marjoram_settings base;
  struct marjoram_names first_keepers;
  int level;
};

#define SETTING(member) offsetof (struct parsed_settings, base.member)

static const char *const log_levels[]
    = { "error", "warning", "notice", "info", "debug", NULL };

static const struct marjoram_ini_key host_keys[] = {
  { "slot", MARJORAM_INI_LABEL, SETTING (slot), NULL, 0, 0, NULL },
  { "zone", MARJORAM_INI_LABEL, SETTING (zone), NULL, 0, 0, NULL },
  { "cluster", MARJORAM_INI_NAME, SETTING (cluster), NULL, 0, 0, NULL },
  { "secret_file", MARJORAM_INI_TEXT, SETTING (secret_file), NULL, 1,
    PATH_TEXT_MAX, NULL },
  { "role_keeper", MARJORAM_INI_BOOL, SETTING (keeper), "no", 0, 0, NULL },
  { "data_folder", MARJORAM_INI_TEXT, SETTING (data_folder), "", 1,
    PATH_TEXT_MAX, NULL },
};

static const struct marjoram_ini_key listen_keys[] = {
  { "entry", MARJORAM_INI_ADDRESS, SETTING (entry_address), NULL, 0, 0, NULL },
  { "peer", MARJORAM_INI_ADDRESS, SETTING (peer_address), NULL, 0, 0, NULL },
  { "control", MARJORAM_INI_ADDRESS, SETTING (control_address), NULL, 0, 0,
    NULL },
};

static const struct marjoram_ini_key log_keys[] = {
  { "level", MARJORAM_INI_ENUM, offsetof (struct parsed_settings, level),
    "info", 0, 0, log_levels },
};

static const struct marjoram_ini_key limit_keys[] = {
  { "max_body", MARJORAM_INI_SIZE, SETTING (max_body), "4M", 1024,
    BODY_BYTES_MAX, NULL },
  { "max_headers", MARJORAM_INI_SIZE, SETTING (max_headers), "16k", 1024,
    HEADERS_BYTES_MAX, NULL },
  { "max_answers", MARJORAM_INI_SIZE, SETTING (max_answers), "64M",
    ANSWERS_BYTES_MIN, ANSWERS_BYTES_MAX, NULL },
  { "read_timeout_ms", MARJORAM_INI_INT64, SETTING (read_timeout_ms), "10000",
    100, 10 * MINUTE_MS, NULL },
  { "drain_limit_ms", MARJORAM_INI_INT64, SETTING (drain_limit_ms), "300000",
    SECOND_MS, 24 * HOUR_MS, NULL },
  { "claim_retention_ms", MARJORAM_INI_INT64, SETTING (claim_retention_ms),
    "86400000", MINUTE_MS, 7 * 24 * HOUR_MS, NULL },
  { "max_requests", MARJORAM_INI_SIZE, SETTING (max_requests), "4096", 1,
    REQUESTS_MAX, NULL },
};

static const struct marjoram_ini_key keeper_keys[] = {
  { "first", MARJORAM_INI_NAME_LIST,
    offsetof (struct parsed_settings, first_keepers), NULL, 0, 0, NULL },
};

#define ARRAY_SIZE(array) (sizeof (array) / sizeof *(array))

/* [peers] has no key table: its keys are slot names.  */
static const struct section_kind
{
  const char *name;
  const struct marjoram_ini_key *keys;
  size_t key_count;
  bool required;
} section_kinds[] = {
  { "host", host_keys, ARRAY_SIZE (host_keys), true },
  { "listen", listen_keys, ARRAY_SIZE (listen_keys), true },
  { "log", log_keys, ARRAY_SIZE (log_keys), false },
  { "limits", limit_keys, ARRAY_SIZE (limit_keys), false },
  { "peers", NULL, 0, false },
  { "keepers", keeper_keys, ARRAY_SIZE (keeper_keys), false },
};

static bool
known_kind (const char *name)
{
  for (size_t i = 0; i < ARRAY_SIZE (section_kinds); i++)
    if (strcmp (section_kinds[i].name, name) == 0)
      return true;
  return false;
}

static void
check_sections (const struct marjoram_ini_file *file, marjoram_faults *faults)
{
  for (size_t i = 0; i < file->section_count; i++)
    {
      const struct marjoram_ini_section *section = &file->sections[i];
      const struct marjoram_ini_section *first
          = marjoram_ini_section (file, section->kind);

      if (!known_kind (section->kind) || *section->name)
        marjoram_faults_add (faults, file->path, section->line,
                             "unknown section [%s%s%s]; remove it or use one "
                             "of: host listen log limits peers keepers",
                             section->kind, *section->name ? " " : "",
                             section->name);
      else if (first != section)
        marjoram_faults_add (faults, file->path, section->line,
                             "section [%s] is already defined on line %d; "
                             "merge the two",
                             section->kind, first->line);
    }
}

static void
read_seed (struct marjoram_settings *settings,
           const struct marjoram_ini_file *file,
           const struct marjoram_ini_section *section,
           const struct marjoram_ini_entry *entry, marjoram_faults *faults)
{
  char *address = marjoram_address_parse (entry->value);
  struct marjoram_seed *seed;

  if (!marjoram_name_valid (entry->key, false))
    marjoram_faults_add (faults, file->path, entry->line,
                         "\"%s\" is not a valid slot name; use letters, "
                         "digits, _ and -",
                         entry->key);
  else if (marjoram_ini_find_entry (section, entry->key) != entry)
    marjoram_faults_add (faults, file->path, entry->line,
                         "slot %s is already listed on line %d; remove one",
                         entry->key, marjoram_ini_line (section, entry->key));
  else if (!address)
    marjoram_faults_add (faults, file->path, entry->line,
                         "\"%.80s\" is not a valid address; write an IP "
                         "address and a port, for example 10.0.0.1:7000",
                         entry->value);
  else
    {
      seed = &settings->seeds[settings->seed_count++];
      seed->slot = marjoram_strdup (entry->key);
      seed->address = address;
      return;
    }
  free (address);
}

static void
read_seeds (struct marjoram_settings *settings,
            const struct marjoram_ini_file *file, marjoram_faults *faults)
{
  const struct marjoram_ini_section *section
      = marjoram_ini_section (file, "peers");

  if (!section)
    return;
  settings->seeds
      = marjoram_alloc (section->entry_count * sizeof *settings->seeds);
  for (size_t i = 0; i < section->entry_count; i++)
    read_seed (settings, file, section, &section->entries[i], faults);
}

static void
read_sections (struct parsed_settings *parsed,
               const struct marjoram_ini_file *file, marjoram_faults *faults)
{
  static struct marjoram_ini_section absent;

  for (size_t i = 0; i < ARRAY_SIZE (section_kinds); i++)
    {
      const struct marjoram_ini_section *section
          = marjoram_ini_section (file, section_kinds[i].name);

      if (!section_kinds[i].keys)
        continue;
      if (!section && section_kinds[i].required)
        marjoram_faults_add (faults, file->path, 0,
                             "section [%s] is missing; add it",
                             section_kinds[i].name);
      else if (section || strcmp (section_kinds[i].name, "keepers") != 0)
        marjoram_ini_read (file, section ? section : &absent,
                           section_kinds[i].keys, section_kinds[i].key_count,
                           parsed, faults);
    }
}

static void
check_addresses (const struct marjoram_settings *settings,
                 const struct marjoram_ini_file *file, marjoram_faults *faults)
{
  const struct marjoram_ini_section *section
      = marjoram_ini_section (file, "listen");
  const char *const addresses[]
      = { settings->entry_address, settings->peer_address,
          settings->control_address };

  for (size_t i = 1; i < ARRAY_SIZE (addresses); i++)
    for (size_t k = 0; k < i; k++)
      if (addresses[i] && addresses[k]
          && strcmp (addresses[i], addresses[k]) == 0)
        marjoram_faults_add (faults, file->path,
                             marjoram_ini_line (section, listen_keys[i].name),
                             "%s and %s are both %s; give each its own port",
                             listen_keys[k].name, listen_keys[i].name,
                             addresses[i]);
}

static void
check_keeper (const struct marjoram_settings *settings,
              const struct marjoram_ini_file *file, marjoram_faults *faults)
{
  const struct marjoram_ini_section *host
      = marjoram_ini_section (file, "host");
  const struct marjoram_ini_section *keepers
      = marjoram_ini_section (file, "keepers");

  if (!host)
    return;
  if (settings->keeper && !marjoram_ini_find_entry (host, "data_folder"))
    marjoram_faults_add (faults, file->path, host->line,
                         "a keeper needs a data folder; add data_folder or "
                         "set role_keeper = no");
  if (!settings->keeper && settings->data_folder)
    marjoram_faults_add (faults, file->path,
                         marjoram_ini_line (host, "data_folder"),
                         "only a keeper has a data_folder; remove it or set "
                         "role_keeper = yes");
  if (settings->keeper && !keepers)
    marjoram_faults_add (faults, file->path, host->line,
                         "a keeper needs the list of initial keepers; add a "
                         "section [keepers] with first = SLOT, SLOT, SLOT");
  if (settings->first_keeper_count > MARJORAM_KEEPERS_MAX)
    marjoram_faults_add (faults, file->path,
                         marjoram_ini_line (keepers, "first"),
                         "%zu keepers; name at most %d",
                         settings->first_keeper_count, MARJORAM_KEEPERS_MAX);
}

/* Resolves a relative path against the settings file's directory, so that it
   doesn't depend on the working directory.  */
static void
resolve_path (char **path, const char *settings_path)
{
  const char *slash = strrchr (settings_path, '/');
  char *absolute = NULL;

  if (!*path || **path == '/' || !slash)
    return;
  if (asprintf (&absolute, "%.*s/%s", (int)(slash - settings_path),
                settings_path, *path)
      < 0)
    abort ();
  free (*path);
  *path = absolute;
}

static void
read_secret (struct marjoram_settings *settings,
             const struct marjoram_ini_file *file, marjoram_faults *faults)
{
  struct marjoram_error err;

  if (!settings->secret_file)
    return;
  settings->secret = marjoram_secret_read (settings->secret_file, &err);
  if (!settings->secret)
    marjoram_faults_add (
        faults, file->path,
        marjoram_ini_line (marjoram_ini_section (file, "host"), "secret_file"),
        "%s", err.message);
}

static void
read_settings (struct marjoram_settings *settings,
               const struct marjoram_ini_file *file, marjoram_faults *faults)
{
  struct parsed_settings parsed = { 0 };

  check_sections (file, faults);
  read_sections (&parsed, file, faults);
  *settings = parsed.base;
  settings->log_level = MARJORAM_LOG_ERROR + parsed.level;
  settings->first_keepers = parsed.first_keepers.items;
  settings->first_keeper_count = parsed.first_keepers.count;
  read_seeds (settings, file, faults);
  check_addresses (settings, file, faults);
  check_keeper (settings, file, faults);
  resolve_path (&settings->secret_file, file->path);
  resolve_path (&settings->data_folder, file->path);
  read_secret (settings, file, faults);
}

struct marjoram_settings *
marjoram_settings_load (const char *path, char **faults,
                        struct marjoram_error *err)
{
  marjoram_auto (marjoram_faults_cleanup) marjoram_faults *found
      = marjoram_faults_create ();
  marjoram_auto (marjoram_ini_cleanup) struct marjoram_ini_file *file
      = marjoram_ini_load (path, found);
  struct marjoram_settings *settings = marjoram_alloc (sizeof *settings);

  if (file)
    read_settings (settings, file, found);
  if (marjoram_faults_report (found, faults, err))
    return settings;
  marjoram_settings_destroy (settings);
  return NULL;
}

void
marjoram_settings_destroy (struct marjoram_settings *settings)
{
  if (!settings)
    return;
  for (size_t i = 0; i < settings->seed_count; i++)
    {
      free (settings->seeds[i].slot);
      free (settings->seeds[i].address);
    }
  free (settings->seeds);
  for (size_t i = 0; i < settings->first_keeper_count; i++)
    free (settings->first_keepers[i]);
  free (settings->first_keepers);
  if (settings->secret)
    sodium_memzero (settings->secret, strlen (settings->secret));
  free (settings->secret);
  free (settings->slot);
  free (settings->zone);
  free (settings->cluster);
  free (settings->secret_file);
  free (settings->data_folder);
  free (settings->entry_address);
  free (settings->peer_address);
  free (settings->control_address);
  free (settings);
}
