/* Input of the routing decisions for one request.  */
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

struct marjoram_query
{
  int caller; /* index in the configuration */
  int work;   /* index in the configuration */
  enum marjoram_class class;
  int64_t deadline; /* on this host's clock */
  uint64_t prompt_tokens;
  uint64_t answer_tokens; /* expected */
  uint64_t prefix_hash;   /* of the prompt; 0 if none */
  const char *digest;     /* request digest, to match crash suspects */
  bool forwarded;         /* from another zone; must not be forwarded again */
  bool bound;             /* must be served in this zone */
  bool no_local_upstream; /* the first zone has no matching upstream */
  int tried_count;
  const char *tried[MARJORAM_TRIED_MAX];
  int zones_tried_count; /* zones that refused it */
  int zones_tried[MARJORAM_TRIED_MAX];
};

#endif
