/* The configuration in force: parsed from the operators' files, immutable and
   reference-counted.  A request keeps the one it was admitted under, and is
   checked against the newest at each hop.  */
#ifndef MARJORAM_CONFIG_H
#define MARJORAM_CONFIG_H

#include "state.h"

#include <stdbool.h>

typedef struct marjoram_config marjoram_config;

enum
{
  MARJORAM_REGIONS_MAX = 64, /* a set of regions is one bit each */
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
  int first_slot; /* its entry-host slots are consecutive */
  int slot_count;
};

/* A named place for an entry host; the machine in it may be replaced.  */
struct marjoram_slot
{
  char *name;
  int zone;            /* index */
  int ordinal;         /* from 0 within the zone */
  char *peer_address;  /* IP:port of the link between hosts */
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
  uint64_t allowed;    /* regions that may run it, a bit each */
  int64_t deadline_ms; /* where the caller names none */
  double prefill_rate; /* tokens a second, for estimates */
  double decode_rate;  /* tokens a second of one stream */
  int64_t load_ms;     /* time an engine takes to load it */
  int copies;          /* replicas wanted in each zone */
};

enum marjoram_class_kind
{
  MARJORAM_CLASS_SERVICE,
  MARJORAM_CLASS_ENGINE
};

/* What the operators say of the upstreams that run certain works.  */
struct marjoram_upstream_class
{
  char *name;
  int kind;    /* enum marjoram_class_kind */
  bool fences; /* its engines may be trusted to refuse old fences */
};

struct marjoram_caller
{
  char *name;
  char *token;      /* secret that the caller sends */
  int home;         /* region index */
  uint64_t allowed; /* regions that may run its requests, a bit each */
  double rate;      /* requests a second over the whole system */
  double burst;
  double weight; /* fair share against other callers */
};

/* Parses and checks the files of STATE as one configuration.  On failure
   returns null, ERR names the first fault, and FAULTS, unless it is null,
   becomes malloc'd text with a line for each: file, line, fault, remedy.  */
marjoram_config *marjoram_config_create (const struct marjoram_state *state,
                                         char **faults,
                                         struct marjoram_error *err);
marjoram_config *marjoram_config_retain (marjoram_config *config);
void marjoram_config_release (marjoram_config *config);

uint64_t marjoram_config_number (const marjoram_config *config);
/* The cluster's id: hosts of another one are refused.  */
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
/* Whether engines that run WORK may be trusted to refuse orders with an old
   fencing number; they must announce it too.  */
bool marjoram_config_fences (const marjoram_config *config, int work);

/* Indexes by name (or token), -1 where there is none.  Hashed: they are on
   every request's path.  */
int marjoram_config_find_region (const marjoram_config *config,
                                 const char *name);
int marjoram_config_find_zone (const marjoram_config *config,
                               const char *name);
int marjoram_config_find_slot (const marjoram_config *config,
                               const char *name);
int marjoram_config_find_work (const marjoram_config *config,
                               const char *name);
int marjoram_config_find_caller (const marjoram_config *config,
                                 const char *token);
int marjoram_config_find_caller_name (const marjoram_config *config,
                                      const char *name);

/* The regions, a bit each, where CALLER's request for WORK may run.  */
uint64_t marjoram_config_allowed (const marjoram_config *config, int caller,
                                  int work);
/* Bytes held, for the page on capacity.  */
size_t marjoram_config_memory (const marjoram_config *config);

#endif
