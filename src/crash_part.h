/* Finds parts of prompts that crash each upstream which begins to answer them,
   whatever else the request holds, so that their requests, no two alike, take
   down one upstream after another.

   A part is a suspect when a request with it had not begun to be answered as
   its upstream crashed.  Each answer that begins, anywhere, clears all parts
   of its request.  A part is convicted by a row of crashes without an answer
   between them.  Crashes whose requests ran at the same time count as one, so
   that a power loss convicts nothing.  A convicted part explains the crashes
   that it was present at, which then no longer count against others.  Rarely,
   one request with a convicted part is let through as a trial.

   Parts are told apart by service, as another service may run other
   software.  */
#ifndef MARJORAM_CRASH_PART_H
#define MARJORAM_CRASH_PART_H

#include "gateway_message.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct marjoram_crash_parts marjoram_crash_parts;

/* Parts of one request's prompt that other requests may share.  */
struct marjoram_shared_parts
{
  const char *service;
  const uint64_t *ids;
  size_t count;
};

/* One crash as seen by one request that ran there.  Times are in ms of the
   local clock.  */
struct marjoram_part_crash
{
  uint64_t instance; /* marjoram_crash_instance */
  int64_t sent_at;
  int64_t crashed_at;
};

/* Identifies one run of an upstream.  */
uint64_t marjoram_crash_instance (const char *upstream, int64_t started_at);

marjoram_crash_parts *marjoram_crash_parts_create (void);
void marjoram_crash_parts_destroy (marjoram_crash_parts *list);
/* Parts cleared by HOST are reported with a delay that depends on the number
   of HOSTS, as many of them clear a part at once.  Without a call, as at a
   keeper, they are not reported.  */
void marjoram_crash_parts_set_hosts (marjoram_crash_parts *list,
                                     const char *host, size_t hosts);

void marjoram_crash_parts_add_crash (marjoram_crash_parts *list, int64_t now,
                                     const struct marjoram_shared_parts *parts,
                                     const struct marjoram_part_crash *crash);
/* Records that an answer to a request with PARTS has begun.  */
void
marjoram_crash_parts_add_answer (marjoram_crash_parts *list, int64_t now,
                                 const struct marjoram_shared_parts *parts);
/* Records that INSTANCE was alive after what seemed to be its crash.  */
void marjoram_crash_parts_add_alive (marjoram_crash_parts *list, int64_t now,
                                     uint64_t instance);
/* Whether one of PARTS is convicted and no trial is due; stores it in ID.
   Keeps it convicted for some minutes from now, here and at other hosts.  */
bool
marjoram_crash_parts_is_blocked (marjoram_crash_parts *list, int64_t now,
                                 const struct marjoram_shared_parts *parts,
                                 uint64_t *id);
/* To be called before a request with PARTS is sent to an upstream.  If one of
   them is convicted, the request is its trial; returns false if another host
   is to take that.  */
bool
marjoram_crash_parts_take_trial (marjoram_crash_parts *list, int64_t now,
                                 const struct marjoram_shared_parts *parts);
/* Increases with each conviction.  */
uint64_t marjoram_crash_parts_convictions (const marjoram_crash_parts *list);

/* Applies items of another host's report.  */
void marjoram_crash_parts_apply (marjoram_crash_parts *list, int64_t now,
                                 const struct marjoram_array *received);
/* Takes the changes since the last call, for the other hosts, into OUT, an
   array of struct marjoram_part_item; returns false if there are none.  */
bool marjoram_crash_parts_take_report (marjoram_crash_parts *list, int64_t now,
                                       struct marjoram_array *out);
/* Reports all suspects, for a host that has just started.  */
void marjoram_crash_parts_export (const marjoram_crash_parts *list,
                                  int64_t now, struct marjoram_array *out);
/* Convicts suspects and expires old entries; to be called several times a
   second.  */
void marjoram_crash_parts_tick (marjoram_crash_parts *list, int64_t now);
/* Number of suspects and convicted parts.  */
size_t marjoram_crash_parts_count (const marjoram_crash_parts *list);

#endif
