/* Room lent between zones.  A zone tells each other one how many requests it
   would take now; the sum over all that are told is no more than it has, and
   an offer lives a few seconds, so that no outdated view sends a stampede.
   Pure decisions.  */
#ifndef MARJORAM_OFFER_H
#define MARJORAM_OFFER_H

#include "choose.h"
#include "config.h"
#include "query.h"
#include "random.h"

typedef struct marjoram_loans marjoram_loans;

enum
{
  MARJORAM_OFFER_LIFE_MS = 3000,
  /* Requests under way at once to a zone that was silent.  */
  MARJORAM_OFFER_RAMP_START = 2,
  MARJORAM_OFFERS_MAX = 1024
};

/* What one zone tells the others about one model or service: room that it
   lends to the host that is told, until the offer expires.  */
struct marjoram_offer
{
  char *work;
  uint64_t room;   /* requests that it lends */
  int64_t wait_ms; /* estimated; over 0 if it has no room itself */
  uint64_t upstreams;
};
extern const struct marjoram_layout marjoram_offer_layout;

/* The best zone to go to.  */
struct marjoram_loan
{
  int zone; /* -1 if there is none */
  double total_ms;
};

marjoram_loans *marjoram_loans_create (marjoram_random *random);
void marjoram_loans_destroy (marjoram_loans *loans);
/* ZONE is this host's own.  Retains CONFIG.  */
void marjoram_loans_configure (marjoram_loans *loans, marjoram_config *config,
                               int zone);
void marjoram_loans_learn (marjoram_loans *loans, int64_t now, int zone,
                           const struct marjoram_array *offers,
                           int64_t link_ms);
/* The best zone in REGIONS, a bit each, for a request that takes ALONE_MS
   without load or cache.  A HOMELESS one may wait there beyond the room that
   is lent, as it can run nowhere else.  */
void marjoram_loans_best (marjoram_loans *loans, int64_t now,
                          const struct marjoram_query *query, uint64_t regions,
                          double alone_ms, bool homeless,
                          struct marjoram_loan *best);
/* Whether any zone in REGIONS has upstreams for WORK, or lends room.  */
bool marjoram_loans_known (const marjoram_loans *loans, int64_t now, int work,
                           uint64_t regions);
bool marjoram_loans_room (const marjoram_loans *loans, int64_t now, int work,
                          uint64_t regions);
void marjoram_loans_sent (marjoram_loans *loans, int64_t now, int zone,
                          int work);
void marjoram_loans_returned (marjoram_loans *loans, int64_t now, int zone,
                              int work, bool failed);
/* How much of FREE to lend to one host of ZONE.  */
uint64_t marjoram_loans_split (marjoram_loans *loans, int64_t now, int zone,
                               int work, double free);

#endif
