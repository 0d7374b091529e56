/* Compression of bulk transfers between hosts.  If both ends have a common
   base, only the differences from it are encoded.  */
#ifndef MARJORAM_COMPRESS_H
#define MARJORAM_COMPRESS_H

#include "bytes.h"
#include "error.h"

/* BASE may be null.  */
marjoram_bytes *marjoram_compress (const marjoram_bytes *data,
                                   const marjoram_bytes *base);
/* Returns null with ERR set if DATA was not compressed with BASE, is corrupt,
   or decompresses to more than LIMIT bytes.  */
marjoram_bytes *marjoram_decompress (const marjoram_bytes *data,
                                     const marjoram_bytes *base, size_t limit,
                                     struct marjoram_error *err);

#endif
