/* Admission and choice: whether a request may run now, and where.  Pure
   decisions over the configuration, the zone's members and the offers of other
   zones.  */
#ifndef MARJORAM_ROUTE_H
#define MARJORAM_ROUTE_H

#include "config.h"
#include "limit.h"
#include "member.h"
#include "offer.h"
#include "query.h"
#include "random.h"
#include "reason.h"
#include "suspect.h"

typedef struct marjoram_router marjoram_router;

enum marjoram_verdict
{
  MARJORAM_VERDICT_LOCAL,   /* run at UPSTREAM */
  MARJORAM_VERDICT_FORWARD, /* send to a host of ZONE */
  MARJORAM_VERDICT_REFUSE   /* REASON, come back after RETRY_MS */
};

struct marjoram_choice
{
  enum marjoram_verdict verdict;
  char upstream[MARJORAM_NAME_MAX + 1];
  int zone;
  bool homeless; /* to be told to ZONE, see struct marjoram_query */
  enum marjoram_reason reason;
  int64_t retry_ms;
  int64_t expected_ms; /* estimated time to the end */
};

/* Offers and use of one zone, as one of its hosts tells them.  */
struct marjoram_offers
{
  char *zone;
  uint64_t config_number;
  struct marjoram_array offers; /* of struct marjoram_offer */
  uint64_t ordinal;             /* of the host that sends it, in its zone */
  struct marjoram_array usages; /* of struct marjoram_usage */
};
extern const struct marjoram_layout marjoram_offers_layout;

marjoram_router *marjoram_router_create (const char *zone,
                                         marjoram_members *members,
                                         marjoram_suspects *suspects,
                                         marjoram_random *random);
void marjoram_router_destroy (marjoram_router *router);
/* The router retains CONFIG.  */
void marjoram_router_configure (marjoram_router *router, int64_t now,
                                marjoram_config *config);
/* A request of a caller is taken in: checks the caller's limit.  Returns
   MARJORAM_REASON_NONE, or a reason with *RETRY_MS.  Once for each request of
   a caller, not for forwarded ones, and not for retries.  */
enum marjoram_reason marjoram_router_admit (marjoram_router *router,
                                            int64_t now, int caller,
                                            int64_t *retry_ms);
void marjoram_router_choose (marjoram_router *router, int64_t now,
                             const struct marjoram_query *query,
                             struct marjoram_choice *choice);
/* Whether the budget allows one more retry; counts it if so.  */
bool marjoram_router_retry (marjoram_router *router, int64_t now);
/* The request that was chosen for ZONE was started, or ended.  */
void marjoram_router_sent (marjoram_router *router, int64_t now, int zone,
                           int work);
void marjoram_router_returned (marjoram_router *router, int64_t now, int zone,
                               int work, bool failed);
/* Time to the first byte and whole time of a request that ended here, for
   estimates.  */
void marjoram_router_measured (marjoram_router *router, int64_t now,
                               const char *upstream,
                               const struct marjoram_query *query,
                               int64_t first_ms, int64_t whole_ms,
                               uint64_t tokens);
/* Offers of another zone, which live a few seconds.  LINK_MS is the measured
   one-way time to it.  */
void marjoram_router_learn (marjoram_router *router, int64_t now,
                            const struct marjoram_offers *offers,
                            int64_t link_ms);
/* What this zone offers to a host of ZONE now, to be sent every second; to be
   cleared with the layout.  To the other hosts of the own zone it carries no
   offers but what callers use here: without it a caller's limit is split
   equally between the zone's hosts.  */
void marjoram_router_offer (marjoram_router *router, int64_t now, int zone,
                            struct marjoram_offers *offers);
/* How CHOICE came about, one line for each candidate, malloc'd.  */
char *marjoram_router_explain (marjoram_router *router, int64_t now,
                               const struct marjoram_query *query,
                               struct marjoram_choice *choice);

#endif
