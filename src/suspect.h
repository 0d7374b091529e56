/* Detects requests that crash the upstream that runs them.  When an upstream
   dies, all requests running there become suspects.  A suspect runs only where
   no other suspect does, so that a second death convicts exactly one
   request.  */
#ifndef MARJORAM_SUSPECT_H
#define MARJORAM_SUSPECT_H

#include "wire.h"

#include <stdbool.h>

typedef struct marjoram_suspects marjoram_suspects;

enum marjoram_suspicion
{
  MARJORAM_SUSPICION_NONE,
  MARJORAM_SUSPICION_SUSPECT,  /* may run apart from other suspects */
  MARJORAM_SUSPICION_CONVICTED /* refused permanently */
};

/* Shared within the zone and sent along with forwarded requests.  */
struct marjoram_suspect_message
{
  char *digest; /* request digest in hex */
  uint64_t suspicion;
  uint64_t crashes;
  char *upstream;         /* where a suspect starts or ends; null otherwise */
  bool running;           /* it is running there */
  char *crashed_upstream; /* the upstream whose death made it suspect */
};
extern const struct marjoram_layout marjoram_suspect_layout;

typedef void
marjoram_suspects_report (void *context,
                          const struct marjoram_suspect_message *message);

/* Suspicions expire KEEP_MS after their last update.  */
marjoram_suspects *marjoram_suspects_create (int64_t keep_ms);
void marjoram_suspects_destroy (marjoram_suspects *suspects);
enum marjoram_suspicion
marjoram_suspects_get (const marjoram_suspects *suspects, int64_t now,
                       const char *digest);
/* Sets REPORT, called when a suspect starts, ends or is cleared.  It must
   inform the zone's other hosts, so that none of them starts another suspect
   at the same upstream.  */
void marjoram_suspects_set_report (marjoram_suspects *suspects,
                                   marjoram_suspects_report *report,
                                   void *context);
/* Record that a request starts or ends at an upstream.  */
void marjoram_suspects_started (marjoram_suspects *suspects, int64_t now,
                                const char *upstream, const char *digest);
void marjoram_suspects_ended (marjoram_suspects *suspects, int64_t now,
                              const char *upstream, const char *digest);
/* Clears a request that was answered completely.  */
void marjoram_suspects_cleared (marjoram_suspects *suspects, int64_t now,
                                const char *digest);
bool marjoram_suspects_may_start (const marjoram_suspects *suspects,
                                  int64_t now, const char *upstream,
                                  const char *digest);
/* Records the death of UPSTREAM.  Calls REPORT, to inform the zone's other
   hosts, for each request whose suspicion changed.  */
void marjoram_suspects_crashed (marjoram_suspects *suspects, int64_t now,
                                const char *upstream,
                                marjoram_suspects_report *report,
                                void *context);
/* Applies a message from another host: the higher suspicion wins, except that
   a message without suspicion and upstream clears the request.  */
void marjoram_suspects_apply (marjoram_suspects *suspects, int64_t now,
                              const struct marjoram_suspect_message *message);
void marjoram_suspects_tick (marjoram_suspects *suspects, int64_t now);
/* Number of suspicions and runs stored.  */
size_t marjoram_suspects_count (const marjoram_suspects *suspects);

#endif
