/* Requests that crash the upstream that runs them.  When an upstream dies, all
   that ran there is suspect; a suspect runs only where no other suspect runs,
   so that its second death convicts exactly one request.  */
#ifndef MARJORAM_SUSPECT_H
#define MARJORAM_SUSPECT_H

#include "wire.h"

#include <stdbool.h>

typedef struct marjoram_suspects marjoram_suspects;

enum marjoram_suspicion
{
  MARJORAM_SUSPICION_NONE,
  MARJORAM_SUSPICION_SUSPECT,  /* may run, but with no other suspect */
  MARJORAM_SUSPICION_CONVICTED /* refused finally */
};

/* Shared within the zone and sent along with forwards.  */
struct marjoram_suspect_message
{
  char *digest; /* the request's, in hex */
  uint64_t suspicion;
  uint64_t deaths;
  char *upstream; /* where a suspect starts or ends; null for other news */
  bool running;   /* it runs there now */
  char *died;     /* the upstream whose death made it a suspect */
};
extern const struct marjoram_layout marjoram_suspect_layout;

typedef void
marjoram_suspects_report (void *context,
                          const struct marjoram_suspect_message *message);

/* Suspicions are kept for KEEP_MS after their last news.  */
marjoram_suspects *marjoram_suspects_create (int64_t keep_ms);
void marjoram_suspects_destroy (marjoram_suspects *suspects);
enum marjoram_suspicion
marjoram_suspects_get (const marjoram_suspects *suspects, int64_t now,
                       const char *digest);
/* REPORT is called when a suspect starts, ends or is cleared, for sending to
   the zone's other hosts, so that none of them starts another suspect beside
   it.  */
void marjoram_suspects_set_report (marjoram_suspects *suspects,
                                   marjoram_suspects_report *report,
                                   void *context);
/* A request starts at, or leaves, an upstream.  */
void marjoram_suspects_started (marjoram_suspects *suspects, int64_t now,
                                const char *upstream, const char *digest);
void marjoram_suspects_ended (marjoram_suspects *suspects, int64_t now,
                              const char *upstream, const char *digest);
/* The request was answered in full: it is cleared.  */
void marjoram_suspects_cleared (marjoram_suspects *suspects, int64_t now,
                                const char *digest);
/* Whether DIGEST may start at UPSTREAM now.  */
bool marjoram_suspects_may_start (const marjoram_suspects *suspects,
                                  int64_t now, const char *upstream,
                                  const char *digest);
/* UPSTREAM died.  Calls REPORT for each request whose suspicion changed, for
   sending to the zone's other hosts.  */
void marjoram_suspects_died (marjoram_suspects *suspects, int64_t now,
                             const char *upstream,
                             marjoram_suspects_report *report, void *context);
/* News from another host: the worse of both holds, but that a suspect was
   answered in full (suspicion none, no upstream) clears it.  */
void marjoram_suspects_learn (marjoram_suspects *suspects, int64_t now,
                              const struct marjoram_suspect_message *message);
void marjoram_suspects_tick (marjoram_suspects *suspects, int64_t now);
/* Suspicions and runs held.  */
size_t marjoram_suspects_count (const marjoram_suspects *suspects);

#endif
