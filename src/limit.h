/* Distributed rate limits of callers, without a central counter.  A caller's
   rate is divided first between zones and then between the hosts of a zone in
   proportion to reported demand.  An unreachable zone keeps a fixed part, so
   that the parts on all sides of a partition add up to the limit.  Performs no
   I/O.  */
#ifndef MARJORAM_LIMIT_H
#define MARJORAM_LIMIT_H

#include "config.h"
#include "reason.h"

typedef struct marjoram_limits marjoram_limits;

enum
{
  MARJORAM_USAGES_MAX = 4096
};

/* Demand of a caller on one host or zone.  */
struct marjoram_usage
{
  char *caller;
  uint64_t rate; /* requests per 1000 seconds */
};
extern const struct marjoram_layout marjoram_usage_layout;

marjoram_limits *marjoram_limits_create (int self);
/* Sets the ordinal of this host once the configuration assigns it.  */
void marjoram_limits_set_self (marjoram_limits *limits, int self);
void marjoram_limits_destroy (marjoram_limits *limits);
/* ZONE is that of this host.  Retains CONFIG; caller state is carried
   over.  */
void marjoram_limits_configure (marjoram_limits *limits, int64_t now,
                                marjoram_config *config, int zone);
/* HOSTS is the number of live hosts in this zone.  */
enum marjoram_reason marjoram_limits_admit (marjoram_limits *limits,
                                            int64_t now, int caller, int hosts,
                                            int64_t *retry_ms);
/* Fills USAGES with the demand to report: of this host to hosts of its own
   zone, of the whole zone to others.  The caller clears USAGES.  */
void marjoram_limits_report (marjoram_limits *limits, int64_t now,
                             bool own_zone, struct marjoram_array *usages);
/* ORDINAL is only used for the own zone.  */
void marjoram_limits_process_report (marjoram_limits *limits, int64_t now,
                                     int zone, int ordinal,
                                     const struct marjoram_array *usages);

#endif
