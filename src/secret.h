/* Shared secret of the cluster, read from a file.  Hosts and operators
   authenticate with keyed hashes; the secret itself is never sent.  */
#ifndef MARJORAM_SECRET_H
#define MARJORAM_SECRET_H

#include "error.h"

#include <stddef.h>
#include <stdint.h>

enum
{
  MARJORAM_SECRET_MIN = 32, /* bytes */
  MARJORAM_SECRET_MAX = 4096,
  MARJORAM_MAC_SIZE = 32 /* bytes */
};

/* Returns the secret as malloc'd text without the trailing newline.  Returns
   null with ERR set if it is too short, or if group or others have access to
   the file.  */
char *marjoram_secret_read (const char *path, struct marjoram_error *err);
/* Writes a new random secret to PATH, with mode 600.  PATH must not exist.  */
bool marjoram_secret_create (const char *path, struct marjoram_error *err);
/* Computes a keyed hash of DATA.  Different uses of the secret must use
   distinct DATA, so that a hash can't be replayed for another use.  */
void marjoram_secret_mac (const char *secret, const void *data, size_t size,
                          uint8_t mac[MARJORAM_MAC_SIZE]);
/* Compares in constant time.  */
bool marjoram_secret_verify (const char *secret, const void *data, size_t size,
                             const uint8_t mac[MARJORAM_MAC_SIZE]);

#endif
