/* Sets of upstreams' builds, the versions of their software, in a form of
   fixed size for messages between hosts.  */
#ifndef MARJORAM_BUILD_SET_H
#define MARJORAM_BUILD_SET_H

#include <stdbool.h>
#include <stdint.h>

/* One bit for each build, chosen by its hash.  0: no build.  */
typedef uint64_t marjoram_build_set;

/* BUILD may be "", for upstreams that state none.  */
marjoram_build_set marjoram_build_set_of (const char *build);
/* False if BUILD is not in SET.  May be true though it is not: then the host
   that sent the set refuses what is sent to it for BUILD.  */
bool marjoram_build_set_may_have (marjoram_build_set set, const char *build);

#endif
