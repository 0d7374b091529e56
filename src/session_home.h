/* Home regions of sessions.  A session's requests share a part of their
   prompts and come from callers of any region.  Where each region serves its
   own callers, each reads the session's part again; so all hosts prefer one
   region for a session, by rendezvous hashing weighted with the regions'
   engines, which also spreads sessions over regions whose callers are busy at
   different times.  Pure decision logic.  */
#ifndef MARJORAM_SESSION_HOME_H
#define MARJORAM_SESSION_HOME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct marjoram_session_region
{
  const char *name;
  uint64_t engines;
};

/* Index of SESSION's home among COUNT regions; COUNT if none has engines.  The
   same for all hosts that see the same regions, in any order.  */
size_t
marjoram_session_home_find (uint64_t session,
                            const struct marjoram_session_region *regions,
                            size_t count);

struct marjoram_session_home_query
{
  double shared_ms;        /* local prefill of parts that requests share */
  double prompt_ms;        /* prefill time of the whole prompt */
  double local_ms;         /* mean prefill backlog of local engines */
  double remote_ms;        /* the same in the home region */
  int64_t remote_first_ms; /* time until its prefill there, with transit */
  int64_t time_left_ms;    /* time left for the first event */
};

/* Whether a request is better served in its session's home region than by the
   chosen local engine.  */
bool marjoram_session_home_is_better (
    const struct marjoram_session_home_query *query);

#endif
