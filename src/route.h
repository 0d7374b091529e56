/* Admission control and routing: whether a request may run now, and where.
   Decides from the configuration, the members of the zone and the capacity
   offers of other zones.  Performs no I/O.  */
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
  MARJORAM_VERDICT_REFUSE   /* refuse for REASON; retry after RETRY_MS */
};

struct marjoram_choice
{
  enum marjoram_verdict verdict;
  char upstream[MARJORAM_NAME_MAX + 1];
  int zone;
  bool no_local_upstream; /* passed on to ZONE, see struct marjoram_query */
  enum marjoram_reason reason;
  int64_t retry_ms;
  int64_t expected_ms; /* estimated completion time */
};

/* Capacity offers and caller usage of one zone, as sent by one of its
   hosts.  */
struct marjoram_offers
{
  char *zone;
  uint64_t config_number;
  struct marjoram_array offers; /* of struct marjoram_offer */
  uint64_t ordinal;             /* of the sending host within its zone */
  struct marjoram_array usages; /* of struct marjoram_usage */
};
extern const struct marjoram_layout marjoram_offers_layout;

marjoram_router *marjoram_router_create (const char *zone,
                                         marjoram_members *members,
                                         marjoram_suspects *suspects,
                                         marjoram_random *random);
void marjoram_router_destroy (marjoram_router *router);
/* Retains CONFIG.  */
void marjoram_router_configure (marjoram_router *router, int64_t now,
                                marjoram_config *config);
/* Applies the rate limit of CALLER to a new request.  Returns
   MARJORAM_REASON_NONE, or the reason for refusal and sets *RETRY_MS.  Call
   once for each request of a caller, but not for forwarded requests or
   retries.  */
enum marjoram_reason marjoram_router_admit (marjoram_router *router,
                                            int64_t now, int caller,
                                            int64_t *retry_ms);
void marjoram_router_choose (marjoram_router *router, int64_t now,
                             const struct marjoram_query *query,
                             struct marjoram_choice *choice);
/* Takes one retry from the budget.  Returns false if it is exhausted.  */
bool marjoram_router_retry (marjoram_router *router, int64_t now);
/* Record that a request forwarded to ZONE was sent or has ended.  */
void marjoram_router_forward_started (marjoram_router *router, int64_t now,
                                      int zone, int work);
void marjoram_router_forward_ended (marjoram_router *router, int64_t now,
                                    int zone, int work, bool failed);
/* Records the time to first byte and the total time of a completed local
   request for the estimates.  */
void marjoram_router_record_latency (marjoram_router *router, int64_t now,
                                     const char *upstream,
                                     const struct marjoram_query *query,
                                     int64_t first_ms, int64_t whole_ms,
                                     uint64_t tokens);
/* Processes the offers of another zone, which expire after a few seconds.
   LINK_MS is the measured one-way latency to it.  */
void marjoram_router_process_offers (marjoram_router *router, int64_t now,
                                     const struct marjoram_offers *offers,
                                     int64_t link_ms);
/* Fills OFFERS with what to send to a host of ZONE; to be called every
   second.  For hosts of the own zone it holds only caller usage, by which
   the zone's share of each rate limit is divided among them; without it the
   share is divided equally.  Free the contents of OFFERS with
   marjoram_wire_clear.  */
void marjoram_router_build_offers (marjoram_router *router, int64_t now,
                                   int zone, struct marjoram_offers *offers);
/* Returns a description of how CHOICE was made, one line for each candidate.
   The caller frees it.  */
char *marjoram_router_explain (marjoram_router *router, int64_t now,
                               const struct marjoram_query *query,
                               struct marjoram_choice *choice);

#endif
