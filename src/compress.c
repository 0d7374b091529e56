#include "compress.h"

#include "cleanup.h"

#include <stdlib.h>
#include <zstd.h>

enum
{
  LEVEL = 3,
  /* Base-2 logarithm of the window size, which has to cover the largest state
     and its base.  */
  WINDOW_LOG = 25
};

static void
free_cctx (ZSTD_CCtx **cctx)
{
  ZSTD_freeCCtx (*cctx);
}

static void
free_dctx (ZSTD_DCtx **dctx)
{
  ZSTD_freeDCtx (*dctx);
}

static void
set_base (ZSTD_CCtx *cctx, const marjoram_bytes *base)
{
  if (!base)
    return;
  ZSTD_CCtx_setParameter (cctx, ZSTD_c_windowLog, WINDOW_LOG);
  ZSTD_CCtx_setParameter (cctx, ZSTD_c_enableLongDistanceMatching, 1);
  ZSTD_CCtx_refPrefix (cctx, marjoram_bytes_data (base),
                       marjoram_bytes_size (base));
}

marjoram_bytes *
marjoram_compress (const marjoram_bytes *data, const marjoram_bytes *base)
{
  marjoram_auto (free_cctx) ZSTD_CCtx *cctx = ZSTD_createCCtx ();
  size_t capacity = ZSTD_compressBound (marjoram_bytes_size (data));
  marjoram_auto_free void *out = marjoram_alloc (capacity);
  size_t size;

  if (!cctx)
    abort ();
  ZSTD_CCtx_setParameter (cctx, ZSTD_c_compressionLevel, LEVEL);
  ZSTD_CCtx_setParameter (cctx, ZSTD_c_checksumFlag, 1);
  set_base (cctx, base);
  size = ZSTD_compress2 (cctx, out, capacity, marjoram_bytes_data (data),
                         marjoram_bytes_size (data));
  /* OUT has the worst-case size, so this can only be an allocation failure. */
  if (ZSTD_isError (size))
    abort ();
  return marjoram_bytes_create (out, size);
}

marjoram_bytes *
marjoram_decompress (const marjoram_bytes *data, const marjoram_bytes *base,
                     size_t limit, struct marjoram_error *err)
{
  marjoram_auto (free_dctx) ZSTD_DCtx *dctx = ZSTD_createDCtx ();
  unsigned long long size = ZSTD_getFrameContentSize (
      marjoram_bytes_data (data), marjoram_bytes_size (data));
  marjoram_auto_free void *out = NULL;
  size_t written;

  if (!dctx)
    abort ();
  if (size > limit) /* unknown sizes and errors are larger than any limit */
    {
      marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                          "compressed data is malformed or too large; "
                          "check that all hosts run the same release");
      return NULL;
    }
  out = marjoram_alloc (size + 1);
  ZSTD_DCtx_setParameter (dctx, ZSTD_d_windowLogMax, WINDOW_LOG);
  if (base)
    ZSTD_DCtx_refPrefix (dctx, marjoram_bytes_data (base),
                         marjoram_bytes_size (base));
  written = ZSTD_decompressDCtx (dctx, out, size, marjoram_bytes_data (data),
                                 marjoram_bytes_size (data));
  if (!ZSTD_isError (written) && written == size)
    return marjoram_bytes_create (out, size);
  marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                      "can't decompress data: %s; request it again",
                      ZSTD_getErrorName (written));
  return NULL;
}
