/* Detects requests that crash every upstream that runs them, and so would take
   down one upstream after another through retries.  A crash counts against
   each request that was running at the upstream.  An answered request is
   cleared; one that was present at the crashes of three upstreams without
   being answered is refused.  Parts that many requests share, of which no two
   are alike, are judged by crash_part.h; both travel in the same reports.

   Unlike suspect.h this does not isolate suspects: a busy engine crashes with
   dozens of requests, which would then run one at a time.  */
#ifndef MARJORAM_CRASH_LIST_H
#define MARJORAM_CRASH_LIST_H

#include "crash_part.h"
#include "gateway_message.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct marjoram_crash_list marjoram_crash_list;

marjoram_crash_list *marjoram_crash_list_create (void);
void marjoram_crash_list_destroy (marjoram_crash_list *list);
/* The parts of prompts that are suspected, owned by LIST.  */
marjoram_crash_parts *marjoram_crash_list_parts (marjoram_crash_list *list);

/* Records that the request DIGEST was running at UPSTREAM, started at
   STARTED_AT, when that crashed.  */
void marjoram_crash_list_add_crash (marjoram_crash_list *list, int64_t now,
                                    const char *digest, const char *upstream,
                                    int64_t started_at);
/* Records that the request was answered completely.  */
void marjoram_crash_list_add_answer (marjoram_crash_list *list,
                                     const char *digest);
bool marjoram_crash_list_is_blocked (const marjoram_crash_list *list,
                                     int64_t now, const char *digest);

/* Applies a report of another host.  */
void marjoram_crash_list_apply (marjoram_crash_list *list, int64_t now,
                                const struct marjoram_crash_report *received);
/* Takes the changes since the last call, for the other hosts; returns false if
   there are none.  OUT is freed with marjoram_wire_clear.  */
bool marjoram_crash_list_take_report (marjoram_crash_list *list, int64_t now,
                                      struct marjoram_crash_report *out);
/* Reports all entries, for a host that has just started.  */
void marjoram_crash_list_export (const marjoram_crash_list *list, int64_t now,
                                 struct marjoram_crash_report *out);
/* Expires old entries and judges parts; to be called several times a
   second.  */
void marjoram_crash_list_expire (marjoram_crash_list *list, int64_t now);
/* Number of requests and parts.  */
size_t marjoram_crash_list_count (const marjoram_crash_list *list);

#endif
