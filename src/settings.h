/* Per-process settings from an INI file: the host's identity, addresses, roles
   and limits.  Everything else comes from the shared configuration.  */
#ifndef MARJORAM_SETTINGS_H
#define MARJORAM_SETTINGS_H

#include "error.h"
#include "log.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct marjoram_seed
{
  char *slot;
  char *address; /* IP:port; overrides the configuration's address */
};

struct marjoram_settings
{
  /* [host] */
  char *slot;
  char *zone;
  char *cluster;
  char *secret_file;
  char *secret; /* read from secret_file, at least 32 bytes */
  bool keeper;
  char *data_folder; /* null unless keeper */
  /* [listen], each IP:port */
  char *entry_address;
  char *peer_address;
  char *control_address;
  /* [log] */
  enum marjoram_log_level log_level;
  /* [limits] */
  size_t max_body;    /* bytes */
  size_t max_headers; /* bytes */
  size_t max_answers; /* bytes of all answers that are held; 0: no limit */
  int64_t read_timeout_ms;
  int64_t drain_limit_ms;
  int64_t claim_retention_ms;
  size_t max_requests; /* concurrent requests */
  /* [peers]: slot = IP:port; hosts to fetch the first configuration from */
  struct marjoram_seed *seeds;
  size_t seed_count;
  /* [keepers]: first = slot, slot, slot; used if a keeper's store is empty */
  char **first_keepers;
  size_t first_keeper_count;
};

/* On failure, returns null, sets ERR to the first error and, unless FAULTS is
   null, sets it to malloc'd text with one line per error: file, line, error,
   remedy.  */
struct marjoram_settings *marjoram_settings_load (const char *path,
                                                  char **faults,
                                                  struct marjoram_error *err);
void marjoram_settings_destroy (struct marjoram_settings *settings);

#endif
