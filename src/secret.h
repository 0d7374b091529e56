/* The owner's secret: read from a file, it proves by keyed hashes that a host
   or an operator belongs to the cluster, and never crosses a link itself.  */
#ifndef MARJORAM_SECRET_H
#define MARJORAM_SECRET_H

#include "error.h"

#include <stddef.h>
#include <stdint.h>

enum
{
  MARJORAM_SECRET_MIN = 32, /* bytes */
  MARJORAM_SECRET_MAX = 4096,
  MARJORAM_PROOF_SIZE = 32 /* bytes */
};

/* The secret as malloc'd text, without the end of its line; null with ERR set
   if it is short, or if others than its owner may read the file.  */
char *marjoram_secret_read (const char *path, struct marjoram_error *err);
/* Writes a new random secret to PATH, which may not exist yet, readable by its
   owner only.  */
bool marjoram_secret_create (const char *path, struct marjoram_error *err);
/* A keyed hash of DATA.  Different uses of the secret must differ in DATA, so
   that a proof for one is none for the other.  */
void marjoram_secret_prove (const char *secret, const void *data, size_t size,
                            uint8_t code[MARJORAM_PROOF_SIZE]);
/* Compares in constant time.  */
bool marjoram_secret_verify (const char *secret, const void *data, size_t size,
                             const uint8_t code[MARJORAM_PROOF_SIZE]);

#endif
