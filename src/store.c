#include "store.h"

#include "cleanup.h"
#include "wire.h"

#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

enum
{
  STORE_ID_BYTES = 16,
  STORE_ID_MAX = 2 * STORE_ID_BYTES,
  KIND_MAX = 32,
  RECORD_MAX = 64 * 1024 * 1024,
  ENVELOPE_MAX = RECORD_MAX + 4096,
  COUNTER_SHIFT = 32
};

static const char store_kind[] = "marjoram store 1";
static const char store_name[] = "store";
static const char temp_name[] = "store.new";
/* Marks the folder as used, to detect a deleted store file.  */
static const char marker_name[] = "in-use";
static const char repair_hint[]
    = "this keeper's copy can't be trusted: move the folder away, start the "
      "keeper empty and admit it with \"marjoramctl replace-keeper SLOT "
      "SLOT\"";

/* The file format; the checksum is that of the serialized content.  */
struct envelope
{
  char *kind;
  marjoram_bytes *checksum;
  marjoram_bytes *content;
};

struct content
{
  char *store_id;
  uint64_t incarnation;
  marjoram_bytes *record;
};

#define COUNT(array) (sizeof (array) / sizeof *(array))

static const struct marjoram_field envelope_fields[] = {
  { MARJORAM_WIRE_STRING (struct envelope, kind, KIND_MAX) },
  { MARJORAM_WIRE_BYTES (struct envelope, checksum,
                         sizeof (XXH128_canonical_t)) },
  { MARJORAM_WIRE_BYTES (struct envelope, content, ENVELOPE_MAX) },
};
static const struct marjoram_layout envelope_layout
    = { "store", sizeof (struct envelope), envelope_fields,
        COUNT (envelope_fields) };

static const struct marjoram_field content_fields[] = {
  { MARJORAM_WIRE_STRING (struct content, store_id, STORE_ID_MAX) },
  { MARJORAM_WIRE_UINT (struct content, incarnation) },
  { MARJORAM_WIRE_BYTES (struct content, record, RECORD_MAX) },
};
static const struct marjoram_layout content_layout
    = { "store content", sizeof (struct content), content_fields,
        COUNT (content_fields) };

struct marjoram_store
{
  char *folder;
  int folder_fd;
  bool marker_synced;
  struct content content;
};

static void
close_file (int *fd)
{
  if (*fd >= 0)
    close (*fd);
}

#define auto_file marjoram_auto (close_file)

static bool
io_error (const marjoram_store *store, const char *action, const char *name,
          struct marjoram_error *err)
{
  return marjoram_error_set (err, MARJORAM_ERROR_IO,
                             "can't %s %s/%s: %s; check the disk and its free "
                             "space, then restart this keeper",
                             action, store->folder, name, strerror (errno));
}

static bool
corrupt (const marjoram_store *store, const char *name, const char *problem,
         struct marjoram_error *err)
{
  return marjoram_error_set (err, MARJORAM_ERROR_CORRUPT, "%s/%s %s; %s",
                             store->folder, name, problem, repair_hint);
}

static marjoram_bytes *
checksum (const marjoram_bytes *content)
{
  XXH128_canonical_t canonical;

  XXH128_canonicalFromHash (&canonical,
                            XXH3_128bits (marjoram_bytes_data (content),
                                          marjoram_bytes_size (content)));
  return marjoram_bytes_create (&canonical, sizeof canonical);
}

static bool
bytes_equal (const marjoram_bytes *a, const marjoram_bytes *b)
{
  size_t size = marjoram_bytes_size (a);

  return size == marjoram_bytes_size (b)
         && memcmp (marjoram_bytes_data (a), marjoram_bytes_data (b), size)
                == 0;
}

static bool
write_all (int fd, const uint8_t *data, size_t size)
{
  while (size > 0)
    {
      ssize_t done = write (fd, data, size);

      if (done < 0 && errno == EINTR)
        continue;
      if (done <= 0)
        return false;
      data += done;
      size -= (size_t)done;
    }
  return true;
}

/* Replaces the store atomically: the new file is synced before the rename, and
   the folder after it, so that a crash leaves either the old or the new
   record.  */
static bool
replace_file (marjoram_store *store, const marjoram_bytes *data,
              struct marjoram_error *err)
{
  auto_file int fd = openat (store->folder_fd, temp_name,
                             O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);

  if (fd < 0)
    return io_error (store, "create", temp_name, err);
  if (!write_all (fd, marjoram_bytes_data (data), marjoram_bytes_size (data)))
    return io_error (store, "write", temp_name, err);
  if (fdatasync (fd) != 0)
    return io_error (store, "sync", temp_name, err);
  if (renameat (store->folder_fd, temp_name, store->folder_fd, store_name)
      != 0)
    return io_error (store, "rename", temp_name, err);
  if (fsync (store->folder_fd) != 0)
    return io_error (store, "sync the folder of", store_name, err);
  return true;
}

static bool
save (marjoram_store *store, const struct content *content,
      struct marjoram_error *err)
{
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *inner
      = marjoram_wire_pack (&content_layout, content);
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *sum
      = checksum (inner);
  struct envelope envelope = { (char *)store_kind, sum, inner };
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *outer
      = marjoram_wire_pack (&envelope_layout, &envelope);

  return replace_file (store, outer, err);
}

static marjoram_bytes *
read_all (const marjoram_store *store, int fd, struct marjoram_error *err)
{
  struct stat status;
  marjoram_auto_free uint8_t *data = NULL;
  size_t size = 0;

  if (fstat (fd, &status) != 0)
    {
      io_error (store, "read", store_name, err);
      return NULL;
    }
  if (status.st_size > ENVELOPE_MAX)
    {
      corrupt (store, store_name, "is over the size limit", err);
      return NULL;
    }
  data = marjoram_alloc ((size_t)status.st_size);
  while (size < (size_t)status.st_size)
    {
      ssize_t done = read (fd, data + size, (size_t)status.st_size - size);

      if (done < 0 && errno == EINTR)
        continue;
      if (done < 0)
        {
          io_error (store, "read", store_name, err);
          return NULL;
        }
      if (done == 0)
        break;
      size += (size_t)done;
    }
  return marjoram_bytes_create (data, size);
}

static bool
read_envelope (marjoram_store *store, const struct envelope *envelope,
               struct marjoram_error *err)
{
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *sum
      = checksum (envelope->content);
  struct content *content;

  if (!envelope->kind || strcmp (envelope->kind, store_kind) != 0)
    return corrupt (store, store_name, "has an unknown format", err);
  if (!bytes_equal (sum, envelope->checksum))
    return corrupt (store, store_name, "has a wrong checksum", err);
  content = marjoram_wire_unpack (
      &content_layout, marjoram_bytes_data (envelope->content),
      marjoram_bytes_size (envelope->content), NULL);
  if (!content || !content->store_id)
    {
      marjoram_wire_destroy (&content_layout, content);
      return corrupt (store, store_name, "has malformed content", err);
    }
  store->content = *content;
  free (content);
  return true;
}

static bool
load (marjoram_store *store, int fd, struct marjoram_error *err)
{
  marjoram_auto (marjoram_bytes_cleanup) marjoram_bytes *data
      = read_all (store, fd, err);
  struct envelope *envelope;
  bool ok;

  if (!data)
    return false;
  envelope
      = marjoram_wire_unpack (&envelope_layout, marjoram_bytes_data (data),
                              marjoram_bytes_size (data), NULL);
  if (!envelope)
    return corrupt (store, store_name, "is truncated or damaged", err);
  ok = read_envelope (store, envelope, err);
  marjoram_wire_destroy (&envelope_layout, envelope);
  return ok;
}

static bool
file_exists (const marjoram_store *store, const char *name)
{
  return faccessat (store->folder_fd, name, F_OK, 0) == 0;
}

static void
make_store_id (marjoram_store *store)
{
  unsigned char random[STORE_ID_BYTES];

  randombytes_buf (random, sizeof random);
  store->content.store_id = marjoram_alloc (STORE_ID_MAX + 1);
  sodium_bin2hex (store->content.store_id, STORE_ID_MAX + 1, random,
                  sizeof random);
}

/* Refuses to create a store where the marker shows that there was one: the
   keeper would forget its promises.  */
static bool
load_or_create (marjoram_store *store, struct marjoram_error *err)
{
  auto_file int fd
      = openat (store->folder_fd, store_name, O_RDONLY | O_CLOEXEC);

  if (fd >= 0)
    return load (store, fd, err);
  if (errno != ENOENT)
    return io_error (store, "open", store_name, err);
  if (file_exists (store, marker_name))
    return corrupt (store, store_name, "is missing from a used folder", err);
  make_store_id (store);
  return true;
}

/* The upper half counts openings; the lower half is random, so that two runs
   started from copies of the same folder differ.  */
static uint64_t
next_incarnation (uint64_t last)
{
  return ((last >> COUNTER_SHIFT) + 1) << COUNTER_SHIFT
         | randombytes_random ();
}

/* The marker is created after the store, so that a crash between the two
   leaves no marker without a store.  */
static bool
create_marker (marjoram_store *store, struct marjoram_error *err)
{
  auto_file int fd = openat (store->folder_fd, marker_name,
                             O_WRONLY | O_CREAT | O_CLOEXEC, 0600);

  return fd >= 0 || io_error (store, "create", marker_name, err);
}

/* Before the first record there is nothing to lose, so this is left to the
   first write: the process stands still while it opens the store.  The sync of
   the folder that ends each write covers the marker's name.  */
static bool
sync_marker (marjoram_store *store, struct marjoram_error *err)
{
  auto_file int fd = openat (store->folder_fd, marker_name,
                             O_WRONLY | O_CREAT | O_CLOEXEC, 0600);

  if (fd < 0 || fsync (fd) != 0)
    return io_error (store, "sync", marker_name, err);
  store->marker_synced = true;
  return true;
}

static bool
sync_parent (const marjoram_store *store, struct marjoram_error *err)
{
  auto_file int fd
      = openat (store->folder_fd, "..", O_RDONLY | O_DIRECTORY | O_CLOEXEC);

  if (fd < 0 || fsync (fd) != 0)
    return io_error (store, "sync the parent folder of", "", err);
  return true;
}

static bool
open_folder (marjoram_store *store, struct marjoram_error *err)
{
  bool created = mkdir (store->folder, 0700) == 0;

  if (!created && errno != EEXIST)
    return io_error (store, "create", "", err);
  store->folder_fd = open (store->folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (store->folder_fd < 0)
    return io_error (store, "open", "", err);
  if (flock (store->folder_fd, LOCK_EX | LOCK_NB) != 0)
    return marjoram_error_set (err, MARJORAM_ERROR_REFUSED,
                               "%s is in use by another process; configure a "
                               "separate data folder for each keeper",
                               store->folder);
  return !created || sync_parent (store, err);
}

static bool
open_store (marjoram_store *store, struct marjoram_error *err)
{
  if (!open_folder (store, err) || !load_or_create (store, err))
    return false;
  store->marker_synced
      = store->content.record && file_exists (store, marker_name);
  store->content.incarnation = next_incarnation (store->content.incarnation);
  return save (store, &store->content, err) && create_marker (store, err);
}

marjoram_store *
marjoram_store_open (const char *folder, struct marjoram_error *err)
{
  marjoram_store *store = marjoram_alloc (sizeof *store);

  store->folder = marjoram_strdup (folder);
  store->folder_fd = -1;
  if (!open_store (store, err))
    {
      marjoram_store_close (store);
      return NULL;
    }
  return store;
}

void
marjoram_store_close (marjoram_store *store)
{
  if (!store)
    return;
  close_file (&store->folder_fd);
  marjoram_wire_clear (&content_layout, &store->content);
  free (store->folder);
  free (store);
}

const char *
marjoram_store_id (const marjoram_store *store)
{
  return store->content.store_id;
}

uint64_t
marjoram_store_incarnation (const marjoram_store *store)
{
  return store->content.incarnation;
}

marjoram_bytes *
marjoram_store_read (marjoram_store *store, struct marjoram_error *err)
{
  (void)err;
  return marjoram_bytes_retain (store->content.record);
}

bool
marjoram_store_write (marjoram_store *store, const marjoram_bytes *record,
                      struct marjoram_error *err)
{
  struct content next = store->content;

  if (marjoram_bytes_size (record) > RECORD_MAX)
    return marjoram_error_set (err, MARJORAM_ERROR_LIMIT,
                               "record of %zu bytes exceeds the limit; reduce "
                               "the configuration files",
                               marjoram_bytes_size (record));
  next.record = (marjoram_bytes *)record;
  if ((!store->marker_synced && !sync_marker (store, err))
      || !save (store, &next, err))
    return false;
  marjoram_bytes_release (store->content.record);
  store->content.record = marjoram_bytes_retain (next.record);
  return true;
}
