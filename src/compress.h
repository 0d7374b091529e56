/* Compression of what hosts send one another in bulk.  Against a base that
   both ends hold, what the two have in common costs next to nothing.  */
#ifndef MARJORAM_COMPRESS_H
#define MARJORAM_COMPRESS_H

#include "bytes.h"
#include "error.h"

/* BASE may be null.  */
marjoram_bytes *marjoram_compress (const marjoram_bytes *data,
                                   const marjoram_bytes *base);
/* Null with ERR set if DATA was not made by marjoram_compress with BASE, or is
   of more than LIMIT bytes.  */
marjoram_bytes *marjoram_decompress (const marjoram_bytes *data,
                                     const marjoram_bytes *base, size_t limit,
                                     struct marjoram_error *err);

#endif
