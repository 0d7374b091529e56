#include "secret.h"

#include "cleanup.h"
#include "ini_file.h"

#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

static bool
check_permissions (const char *path, struct marjoram_error *err)
{
  struct stat st;

  if (stat (path, &st) != 0)
    return marjoram_error_set (err, MARJORAM_ERROR_IO,
                               "can't find %s: %s; create it with "
                               "\"marjoramctl new-secret %s\" or copy it from "
                               "another host",
                               path, strerror (errno), path);
  if (!S_ISREG (st.st_mode))
    return marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                               "%s is not a regular file; specify the file "
                               "that contains the secret",
                               path);
  if (st.st_mode & (S_IRWXG | S_IRWXO))
    return marjoram_error_set (err, MARJORAM_ERROR_REFUSED,
                               "%s is accessible by group or others (mode "
                               "%03o); run \"chmod 600 %s\"",
                               path, (unsigned)st.st_mode & 0777, path);
  return true;
}

char *
marjoram_secret_read (const char *path, struct marjoram_error *err)
{
  size_t size;
  char *text;

  if (!check_permissions (path, err))
    return NULL;
  text = marjoram_file_read (path, MARJORAM_SECRET_MAX, &size, err);
  if (!text)
    return NULL;
  while (size > 0 && (text[size - 1] == '\n' || text[size - 1] == '\r'))
    text[--size] = 0;
  if (size >= MARJORAM_SECRET_MIN && strlen (text) == size)
    return text;
  marjoram_error_set (err, MARJORAM_ERROR_INVALID,
                      "%s has no secret of at least %d bytes of text; create "
                      "one with \"marjoramctl new-secret FILE\"",
                      path, MARJORAM_SECRET_MIN);
  free (text);
  return NULL;
}

bool
marjoram_secret_create (const char *path, struct marjoram_error *err)
{
  uint8_t key[MARJORAM_SECRET_MIN];
  char text[2 * MARJORAM_SECRET_MIN + 1];
  bool written;
  int fd = open (path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600);

  if (fd < 0)
    return marjoram_error_set (err, MARJORAM_ERROR_IO,
                               "can't create %s: %s; name a new file in a "
                               "writable directory",
                               path, strerror (errno));
  randombytes_buf (key, sizeof key);
  sodium_bin2hex (text, sizeof text, key, sizeof key);
  text[sizeof text - 1] = '\n';
  written = write (fd, text, sizeof text) == (ssize_t)sizeof text
            && fsync (fd) == 0;
  sodium_memzero (text, sizeof text);
  sodium_memzero (key, sizeof key);
  if (close (fd) == 0 && written)
    return true;
  unlink (path);
  return marjoram_error_set (err, MARJORAM_ERROR_IO,
                             "can't write %s: %s; check free disk space", path,
                             strerror (errno));
}

void
marjoram_secret_mac (const char *secret, const void *data, size_t size,
                     uint8_t mac[MARJORAM_MAC_SIZE])
{
  uint8_t key[crypto_auth_KEYBYTES];

  if (sodium_init () < 0)
    abort ();
  crypto_generichash (key, sizeof key, (const uint8_t *)secret,
                      strlen (secret), NULL, 0);
  crypto_auth_hmacsha512256 (mac, data, size, key);
  sodium_memzero (key, sizeof key);
}

bool
marjoram_secret_verify (const char *secret, const void *data, size_t size,
                        const uint8_t mac[MARJORAM_MAC_SIZE])
{
  uint8_t expected[MARJORAM_MAC_SIZE];

  marjoram_secret_mac (secret, data, size, expected);
  return sodium_memcmp (expected, mac, sizeof expected) == 0;
}
