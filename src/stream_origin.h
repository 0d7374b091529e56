/* Which build began which stream, for callers that take a stream up again:
   any host may get them, and the host that served the stream may be gone.
   Hosts keep the streams that they began, keepers those of all.  Records are
   dropped when their time is over.  Pure decision logic.  */
#ifndef MARJORAM_STREAM_ORIGIN_H
#define MARJORAM_STREAM_ORIGIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct marjoram_stream_origins marjoram_stream_origins;

/* What began a stream.  Builds of two services may have the same name.  */
struct marjoram_stream_origin
{
  const char *service; /* null if it is not known */
  const char *build;
};

enum
{
  /* Records of one process; with more, the one that ends first goes.  */
  MARJORAM_STREAM_ORIGINS_MAX = 65536,
  /* Longest time in ms for which a record is kept.  */
  MARJORAM_STREAM_ORIGIN_KEEP_MAX_MS = 600000
};

marjoram_stream_origins *marjoram_stream_origins_create (void);
void marjoram_stream_origins_destroy (marjoram_stream_origins *origins);
/* Records that ORIGIN sent the first event of the stream of caller's attempt
   ID, for KEEP_MS.  An ID with two origins has none.  Returns whether the
   record is kept without dropping another one.  */
bool marjoram_stream_origins_add (marjoram_stream_origins *origins,
                                  int64_t now, const char *id,
                                  const struct marjoram_stream_origin *origin,
                                  int64_t keep_ms);
/* What began the stream of attempt ID, valid until the next call; null if it
   is not known.  */
const struct marjoram_stream_origin *
marjoram_stream_origins_find (marjoram_stream_origins *origins, int64_t now,
                              const char *id);
size_t marjoram_stream_origins_count (const marjoram_stream_origins *origins);
/* Drops records whose time is over.  */
void marjoram_stream_origins_expire (marjoram_stream_origins *origins,
                                     int64_t now);

#endif
