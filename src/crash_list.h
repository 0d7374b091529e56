/* Requests that crash every upstream that begins to run them.  Such a request
   comes again, at any host; without this list it would take down one upstream
   after the other, with all that runs there.  A death counts against each
   request that was at the upstream.  The innocent ones among them are answered
   when they run again, which clears them; one that has been at the deaths of
   three upstreams, and was never answered, is refused.

   Unlike suspect.h this keeps nobody waiting for a place apart: a busy engine
   dies with dozens of requests, which would then run one at a time.  */
#ifndef MARJORAM_CRASH_LIST_H
#define MARJORAM_CRASH_LIST_H

#include "gateway_message.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct marjoram_crash_list marjoram_crash_list;

marjoram_crash_list *marjoram_crash_list_create (void);
void marjoram_crash_list_destroy (marjoram_crash_list *list);

/* The request DIGEST was at UPSTREAM, of the start BORN, when it broke off. */
void marjoram_crash_list_died (marjoram_crash_list *list, int64_t now,
                               const char *digest, const char *upstream,
                               int64_t born);
/* It got a whole answer.  */
void marjoram_crash_list_answered (marjoram_crash_list *list,
                                   const char *digest);
bool marjoram_crash_list_convicts (const marjoram_crash_list *list,
                                   int64_t now, const char *digest);

/* What other hosts have seen.  */
void marjoram_crash_list_hear (marjoram_crash_list *list, int64_t now,
                               const struct marjoram_crash_report *heard);
/* What was seen here since the last call, for the other hosts; false if that
   is nothing.  TOLD is cleared with marjoram_wire_clear.  */
bool marjoram_crash_list_take_report (marjoram_crash_list *list,
                                      struct marjoram_crash_report *told);
/* All that is held, for a host that has just started.  */
void marjoram_crash_list_all (const marjoram_crash_list *list,
                              struct marjoram_crash_report *told);
/* Forgets what is old; some times a minute.  */
void marjoram_crash_list_tick (marjoram_crash_list *list, int64_t now);
size_t marjoram_crash_list_count (const marjoram_crash_list *list);

#endif
