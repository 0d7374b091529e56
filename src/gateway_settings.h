/* Settings of the daemon in the roles entry and keeper, read from an INI
   file.  */
#ifndef MARJORAM_GATEWAY_SETTINGS_H
#define MARJORAM_GATEWAY_SETTINGS_H

#include "error.h"
#include "load_features.h"

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
  bool first_start;  /* bootstraps a new cluster */
  /* [listen]: IP:port; null where not used by the role */
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
  int64_t drain_limit_ms; /* from signal to exit */
  int64_t lookup_valid_s;
  int64_t revocation_ms;  /* within which a key that was taken away is refused
                             by all hosts; 0: no limit */
  double quota_allowance; /* units over a quota that may be spent at once */
  int64_t memory_mb;      /* of this host */
  int64_t answer_bytes;   /* of an upstream, at most */
  int64_t disk_losses;    /* simultaneous losses of keeper disks to survive */
  double repair_within_s; /* a keeper that starts with an empty disk is a
                             member by then, and the next may be lost */
  /* [load] */
  struct marjoram_load_features load;
  struct marjoram_names load_terms; /* the platform's terms of service */
  /* [seeds]: IP addresses of keepers */
  char **seeds;
  size_t seed_count;
  /* [zones] */
  struct marjoram_zone_setting *zones;
  size_t zone_count;
};

/* Returns null on failure with ERR set to the first error.  FAULTS, unless
   null, receives malloc'd text with one line per error: file, line, error and
   remedy.  */
struct marjoram_gateway_settings *
marjoram_gateway_settings_load (const char *path, char **faults,
                                struct marjoram_error *err);
void
marjoram_gateway_settings_destroy (struct marjoram_gateway_settings *settings);
/* Whether the file at PATH has a [gateway] section and thus configures one of
   these roles.  */
bool marjoram_gateway_settings_detect (const char *path);
/* Returns null if ZONE is unknown.  */
const char *marjoram_gateway_settings_region (
    const struct marjoram_gateway_settings *settings, const char *zone);

#endif
