/* Limits of callers' requests that hold over all entry hosts without a central
   counter.  A caller's rate is first divided between the zones and then
   between a zone's hosts, by the use that each reports; who is not heard keeps
   a fixed part, so that a zone that is cut off has its own part to spend and
   the parts of all sides add up to the limit.  Pure decisions.  */
#ifndef MARJORAM_LIMIT_H
#define MARJORAM_LIMIT_H

#include "config.h"
#include "reason.h"

typedef struct marjoram_limits marjoram_limits;

enum
{
  MARJORAM_USAGES_MAX = 4096
};

/* How much a caller asks of a host, or of a whole zone.  */
struct marjoram_usage
{
  char *caller;
  uint64_t rate; /* requests in 1000 seconds */
};
extern const struct marjoram_layout marjoram_usage_layout;

marjoram_limits *marjoram_limits_create (int self);
/* Once the configuration tells this host's ordinal.  */
void marjoram_limits_set_self (marjoram_limits *limits, int self);
void marjoram_limits_destroy (marjoram_limits *limits);
/* ZONE is this host's.  Retains CONFIG; what callers have used stays.  */
void marjoram_limits_configure (marjoram_limits *limits, int64_t now,
                                marjoram_config *config, int zone);
/* HOSTS is the number of this zone's hosts that are alive.  */
enum marjoram_reason marjoram_limits_admit (marjoram_limits *limits,
                                            int64_t now, int caller, int hosts,
                                            int64_t *retry_ms);
/* The use to report: this host's to hosts of its own zone, the zone's to those
   of others.  USAGES is to be cleared by its owner.  */
void marjoram_limits_report (marjoram_limits *limits, int64_t now,
                             bool own_zone, struct marjoram_array *usages);
/* ORDINAL matters for the own zone only.  */
void marjoram_limits_learn (marjoram_limits *limits, int64_t now, int zone,
                            int ordinal, const struct marjoram_array *usages);

#endif
