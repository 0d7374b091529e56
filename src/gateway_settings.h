/* Settings of a daemon in the roles entry or keeper, from an INI file.  */
#ifndef MARJORAM_GATEWAY_SETTINGS_H
#define MARJORAM_GATEWAY_SETTINGS_H

#include "error.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum marjoram_gateway_role
{
  MARJORAM_ROLE_ENTRY,
  MARJORAM_ROLE_KEEPER
};

struct marjoram_zone_setting
{
  char *zone;
  char *region;
};

struct marjoram_gateway_settings
{
  /* [gateway] */
  int role; /* enum marjoram_gateway_role */
  char *name;
  char *ip;
  char *zone;
  char *region;
  char *data_folder; /* null unless keeper */
  bool first_start;  /* the whole system starts for the first time */
  /* [listen], each IP:port, null where the role has none */
  char *entry_address;
  char *ready_address;
  char *control_address;
  char *lookup_address;
  char *link_address;
  char *metrics_address;
  /* [limits] */
  double repeat_ratio;
  double repeat_allowance;
  int64_t repeat_window_ms;
  int64_t drain_limit_ms; /* from the signal to the exit */
  int64_t lookup_valid_s;
  int64_t disk_losses; /* of keepers, that are survived at once */
  /* [seeds]: IP numbers of keepers */
  char **seeds;
  size_t seed_count;
  /* [zones]: zone = region */
  struct marjoram_zone_setting *zones;
  size_t zone_count;
};

/* Null on failure, ERR names the first fault; FAULTS, unless null, becomes
   malloc'd text with a line for each fault: file, line, fault, remedy.  */
struct marjoram_gateway_settings *
marjoram_gateway_settings_load (const char *path, char **faults,
                                struct marjoram_error *err);
void
marjoram_gateway_settings_destroy (struct marjoram_gateway_settings *settings);
/* Whether the file at PATH has a [gateway] section and so is for these
   roles.  */
bool marjoram_gateway_settings_is (const char *path);
/* Null if ZONE is not known.  */
const char *marjoram_gateway_settings_region (
    const struct marjoram_gateway_settings *settings, const char *zone);

#endif
