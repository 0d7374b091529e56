/* An immutable, reference-counted configuration parsed from the operators'
   files.  A request holds a reference to the configuration under which it was
   admitted and is checked against the latest one at each hop.  */
#ifndef MARJORAM_CONFIG_H
#define MARJORAM_CONFIG_H

#include "state.h"

#include <stdbool.h>

typedef struct marjoram_config marjoram_config;

enum
{
  MARJORAM_REGIONS_MAX = 64, /* region sets are 64-bit masks */
  MARJORAM_ZONES_MAX = 256,
  MARJORAM_SLOTS_MAX = 2048,
  MARJORAM_WORKS_MAX = 512,
  MARJORAM_CLASSES_MAX = 64,
  MARJORAM_CALLERS_MAX = 20000,
  MARJORAM_RULES_MAX = 64
};

struct marjoram_region
{
  char *name;
};

struct marjoram_zone
{
  char *name;
  int region;     /* index */
  int first_slot; /* a zone's slots are consecutive */
  int slot_count;
};

/* A stable identity for an entry host; its machine may be replaced.  */
struct marjoram_slot
{
  char *name;
  int zone;            /* index */
  int ordinal;         /* position within the zone, from 0 */
  char *peer_address;  /* IP:port for other hosts */
  char *entry_address; /* IP:port for callers */
  bool keeper;
};

enum marjoram_work_kind
{
  MARJORAM_WORK_MODEL,
  MARJORAM_WORK_SERVICE
};

/* A model or a plain service.  */
struct marjoram_work
{
  char *name;
  enum marjoram_work_kind kind;
  uint64_t allowed;    /* mask of regions that may run it */
  int64_t deadline_ms; /* default if the caller sets none */
  double prefill_rate; /* tokens per second, for estimates */
  double decode_rate;  /* tokens per second per stream */
  int64_t load_ms;     /* time for an engine to load it */
  int replicas;        /* replicas per zone */
};

enum marjoram_class_kind
{
  MARJORAM_CLASS_SERVICE,
  MARJORAM_CLASS_ENGINE
};

/* Properties of the upstreams that run a set of works.  */
struct marjoram_upstream_class
{
  char *name;
  int kind;    /* enum marjoram_class_kind */
  bool fences; /* its engines reject stale fencing numbers */
};

struct marjoram_caller
{
  char *name;
  char *token;      /* secret sent by the caller */
  int home;         /* region index */
  uint64_t allowed; /* mask of regions that may run its requests */
  double rate;      /* requests per second across the whole system */
  double burst;
  double weight; /* for fair sharing between callers */
};

/* Parses and validates the files of STATE as one configuration.  On failure,
   returns null, sets ERR to the first error and, unless FAULTS is null, sets
   it to malloc'd text with one line per error: file, line, error, remedy.  */
marjoram_config *marjoram_config_create (const struct marjoram_state *state,
                                         char **faults,
                                         struct marjoram_error *err);
marjoram_config *marjoram_config_retain (marjoram_config *config);
void marjoram_config_release (marjoram_config *config);

uint64_t marjoram_config_number (const marjoram_config *config);
/* Hosts with a different cluster id are refused.  */
const char *marjoram_config_cluster (const marjoram_config *config);

int marjoram_config_region_count (const marjoram_config *config);
const struct marjoram_region *
marjoram_config_region (const marjoram_config *config, int index);
int marjoram_config_zone_count (const marjoram_config *config);
const struct marjoram_zone *
marjoram_config_zone (const marjoram_config *config, int index);
int marjoram_config_slot_count (const marjoram_config *config);
const struct marjoram_slot *
marjoram_config_slot (const marjoram_config *config, int index);
int marjoram_config_work_count (const marjoram_config *config);
const struct marjoram_work *
marjoram_config_work (const marjoram_config *config, int index);
int marjoram_config_caller_count (const marjoram_config *config);
const struct marjoram_caller *
marjoram_config_caller (const marjoram_config *config, int index);
/* The class of the upstreams that run WORK, or null.  */
const struct marjoram_upstream_class *
marjoram_config_work_class (const marjoram_config *config, int work);
/* Whether engines that run WORK can be trusted to reject orders with a stale
   fencing number.  The engine must also announce support.  */
bool marjoram_config_supports_fencing (const marjoram_config *config,
                                       int work);

/* Hash lookups by name or token.  Return the index, or -1 if there is no
   match.  */
int marjoram_config_find_region (const marjoram_config *config,
                                 const char *name);
int marjoram_config_find_zone (const marjoram_config *config,
                               const char *name);
int marjoram_config_find_slot (const marjoram_config *config,
                               const char *name);
int marjoram_config_find_work (const marjoram_config *config,
                               const char *name);
int marjoram_config_find_caller_by_token (const marjoram_config *config,
                                          const char *token);
int marjoram_config_find_caller_by_name (const marjoram_config *config,
                                         const char *name);

/* The mask of regions where CALLER's request for WORK may run.  */
uint64_t marjoram_config_allowed (const marjoram_config *config, int caller,
                                  int work);
/* Approximate memory use in bytes.  */
size_t marjoram_config_memory (const marjoram_config *config);

#endif
