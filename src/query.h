/* What the routing decisions need to know of one request.  */
#ifndef MARJORAM_QUERY_H
#define MARJORAM_QUERY_H

#include <stdbool.h>
#include <stdint.h>

enum marjoram_class
{
  MARJORAM_CLASS_INTERACTIVE,
  MARJORAM_CLASS_OVERNIGHT
};

enum
{
  MARJORAM_TRIED_MAX = 8
};

/* One request, as far as its routing goes.  */
struct marjoram_query
{
  int caller; /* index in the configuration */
  int work;   /* index in the configuration */
  enum marjoram_class class;
  int64_t deadline; /* by this host's clock */
  uint64_t prompt_tokens;
  uint64_t answer_tokens; /* expected */
  uint64_t prefix_hash;   /* of the prompt's start; 0 if none */
  const char *digest;     /* for suspects */
  bool forwarded;         /* came from another zone: may not go on */
  bool bound;             /* must run in this zone */
  bool no_local_upstream; /* its first zone has no upstream for it at all */
  int tried_count;        /* upstreams not to be tried again */
  const char *tried[MARJORAM_TRIED_MAX];
  int zones_tried_count; /* zones that refused it */
  int zones_tried[MARJORAM_TRIED_MAX];
};

#endif
