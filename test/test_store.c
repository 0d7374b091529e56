/* The store of a keeper and the disk task.  */
#include "suite.h"

#include "cleanup.h"
#include "disk.h"
#include "store.h"

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

enum
{
  FILE_SIZE_MAX = 4096,
  PATH_SIZE = 128
};

static char folder[PATH_SIZE];
static struct marjoram_error err;
static char synced[PATH_SIZE]; /* names of what was synced, in order */

static void
record_sync (int fd)
{
  char link[PATH_SIZE];
  char target[2 * PATH_SIZE] = "";
  const char *name;
  size_t used = strlen (synced);

  snprintf (link, sizeof link, "/proc/self/fd/%d", fd);
  if (readlink (link, target, sizeof target - 1) < 0)
    return;
  name = strrchr (target, '/') + 1;
  if (strcmp (target, folder) == 0)
    name = ".";
  snprintf (synced + used, sizeof synced - used, "%s ", name);
}

/* Replace those of the C library.  */
int
fsync (int fd)
{
  record_sync (fd);
  return (int)syscall (SYS_fsync, fd);
}

int
fdatasync (int fd)
{
  record_sync (fd);
  return (int)syscall (SYS_fdatasync, fd);
}

static const char *
path (const char *name)
{
  static char text[2 * PATH_SIZE];

  snprintf (text, sizeof text, "%s/%s", folder, name);
  return text;
}

static void
make_folder (void)
{
  strcpy (folder, "/tmp/marjoram-store-XXXXXX");
  ck_assert_ptr_nonnull (mkdtemp (folder));
  memset (&err, 0, sizeof err);
  synced[0] = 0;
}

static void
remove_folder (void)
{
  unlink (path ("store"));
  unlink (path ("store.new"));
  unlink (path ("in-use"));
  rmdir (folder);
}

static size_t
read_file (char *data)
{
  int fd = open (path ("store"), O_RDONLY);
  ssize_t size = read (fd, data, FILE_SIZE_MAX);

  close (fd);
  return (size_t)size;
}

static void
write_file (const char *name, const char *data, size_t size)
{
  int fd = open (path (name), O_WRONLY | O_CREAT | O_TRUNC, 0600);

  ck_assert_int_eq (write (fd, data, size), (ssize_t)size);
  close (fd);
}

static void
write_record (marjoram_store *store, const char *text)
{
  marjoram_bytes *record = marjoram_bytes_create (text, strlen (text));

  ck_assert (marjoram_store_write (store, record, &err));
  marjoram_bytes_release (record);
}

static void
assert_holds (marjoram_store *store, const char *text)
{
  marjoram_bytes *record = marjoram_store_read (store, &err);

  ck_assert_uint_eq (marjoram_bytes_size (record), strlen (text));
  ck_assert (memcmp (marjoram_bytes_data (record), text, strlen (text)) == 0);
  marjoram_bytes_release (record);
}

static void
assert_corrupt (void)
{
  memset (&err, 0, sizeof err);
  ck_assert_ptr_null (marjoram_store_open (folder, &err));
  ck_assert_int_eq (err.kind, MARJORAM_ERROR_CORRUPT);
  ck_assert_ptr_nonnull (strstr (err.message, path ("store")));
  ck_assert_ptr_nonnull (strstr (err.message, "replace"));
}

START_TEST (keeps_id_and_record_and_grows_incarnation)
{
  marjoram_store *store = marjoram_store_open (folder, &err);
  marjoram_auto_free char *id = marjoram_strdup (marjoram_store_id (store));
  uint64_t incarnation = marjoram_store_incarnation (store);

  ck_assert_ptr_null (marjoram_store_read (store, &err));
  write_record (store, "one");
  write_record (store, "two");
  assert_holds (store, "two");
  marjoram_store_close (store);
  store = marjoram_store_open (folder, &err);
  ck_assert_str_eq (marjoram_store_id (store), id);
  ck_assert_uint_gt (marjoram_store_incarnation (store), incarnation);
  assert_holds (store, "two");
  marjoram_store_close (store);
}
END_TEST

/* Guards against two processes that act as the same keeper, each unaware of
   the promises of the other.  */
START_TEST (refuses_a_folder_in_use)
{
  marjoram_store *store = marjoram_store_open (folder, &err);

  ck_assert_ptr_null (marjoram_store_open (folder, &err));
  ck_assert_int_eq (err.kind, MARJORAM_ERROR_REFUSED);
  marjoram_store_close (store);
}
END_TEST

/* Guards against a keeper that uses a damaged record, or starts empty instead.
   The message has to name the file and the repair.  */
START_TEST (detects_every_bit_flip_and_truncation)
{
  char good[FILE_SIZE_MAX], bad[FILE_SIZE_MAX];
  marjoram_store *store = marjoram_store_open (folder, &err);
  size_t size;

  write_record (store, "the record");
  marjoram_store_close (store);
  size = read_file (good);
  for (size_t bit = 0; bit < 8 * size; bit++)
    {
      memcpy (bad, good, size);
      bad[bit / 8] = (char)(bad[bit / 8] ^ (1 << bit % 8));
      write_file ("store", bad, size);
      assert_corrupt ();
    }
  for (size_t length = 0; length < size; length++)
    {
      write_file ("store", good, length);
      assert_corrupt ();
    }
  write_file ("store", good, size);
  store = marjoram_store_open (folder, &err);
  assert_holds (store, "the record");
  marjoram_store_close (store);
}
END_TEST

/* Guards against syncs that delay a start without need.  */
START_TEST (opening_syncs_the_store_only)
{
  marjoram_store *store = marjoram_store_open (folder, &err);

  ck_assert_str_eq (synced, "store.new . ");
  write_record (store, "the record");
  marjoram_store_close (store);
  synced[0] = 0;
  marjoram_store_close (marjoram_store_open (folder, &err));
  ck_assert_str_eq (synced, "store.new . ");
}
END_TEST

/* Guards against an acknowledged record whose marker may be lost.  */
START_TEST (first_record_syncs_the_marker)
{
  marjoram_store *store;

  marjoram_store_close (marjoram_store_open (folder, &err));
  store = marjoram_store_open (folder, &err);
  synced[0] = 0;
  write_record (store, "the record");
  ck_assert_str_eq (synced, "in-use store.new . ");
  synced[0] = 0;
  write_record (store, "the next");
  ck_assert_str_eq (synced, "store.new . ");
  marjoram_store_close (store);
}
END_TEST

START_TEST (refuses_a_folder_whose_store_is_missing)
{
  marjoram_store_close (marjoram_store_open (folder, &err));
  unlink (path ("store"));
  assert_corrupt ();
}
END_TEST

/* Guards against loss of an acknowledged record by a power failure during the
   next write.  */
START_TEST (keeps_the_earlier_record_when_a_write_is_interrupted)
{
  marjoram_store *store = marjoram_store_open (folder, &err);

  write_record (store, "earlier");
  marjoram_store_close (store);
  write_file ("store.new", "half of the n", 13);
  store = marjoram_store_open (folder, &err);
  assert_holds (store, "earlier");
  write_record (store, "later");
  assert_holds (store, "later");
  marjoram_store_close (store);
}
END_TEST

START_TEST (size_does_not_grow_with_writes)
{
  char data[FILE_SIZE_MAX];
  marjoram_store *store = marjoram_store_open (folder, &err);
  size_t size;

  write_record (store, "0000");
  size = read_file (data);
  for (int i = 0; i < 200; i++)
    write_record (store, "0001");
  ck_assert_uint_eq (read_file (data), size);
  ck_assert_int_ne (access (path ("store.new"), F_OK), 0);
  marjoram_store_close (store);
}
END_TEST

START_TEST (reports_a_write_that_fails)
{
  marjoram_store *store = marjoram_store_open (folder, &err);
  marjoram_bytes *record = marjoram_bytes_create ("x", 1);

  write_record (store, "earlier");
  ck_assert_int_eq (mkdir (path ("store.new"), 0700), 0);
  ck_assert (!marjoram_store_write (store, record, &err));
  ck_assert_int_eq (err.kind, MARJORAM_ERROR_IO);
  assert_holds (store, "earlier");
  ck_assert_int_eq (rmdir (path ("store.new")), 0);
  marjoram_bytes_release (record);
  marjoram_store_close (store);
}
END_TEST

struct writes
{
  struct event_base *base;
  uint64_t last;
  bool ok;
};

static void
on_written (void *context, uint64_t ticket, bool ok)
{
  struct writes *writes = context;

  ck_assert_uint_eq (ticket, writes->last + 1);
  writes->last = ticket;
  writes->ok = ok;
  if (ticket == 3)
    event_base_loopbreak (writes->base);
}

START_TEST (disk_task_reports_writes_in_order_and_finishes_the_rest)
{
  const struct marjoram_disk_ops ops = { on_written };
  struct writes writes = { event_base_new (), 0, false };
  marjoram_disk *disk
      = marjoram_disk_create (writes.base, folder, &ops, &writes, &err);
  marjoram_store *store;

  ck_assert_ptr_nonnull (disk);
  ck_assert_ptr_null (marjoram_disk_read (disk));
  for (uint64_t i = 1; i <= 3; i++)
    marjoram_disk_write (disk, i, marjoram_bytes_create ("abc", i));
  event_base_dispatch (writes.base);
  ck_assert_uint_eq (writes.last, 3);
  ck_assert (writes.ok);
  marjoram_disk_write (disk, 4, marjoram_bytes_create ("last", 4));
  marjoram_disk_destroy (disk);
  event_base_free (writes.base);
  store = marjoram_store_open (folder, &err);
  assert_holds (store, "last");
  marjoram_store_close (store);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("store");
  TCase *c = tcase_create ("store");

  tcase_set_timeout (c, 30);
  tcase_add_checked_fixture (c, make_folder, remove_folder);
  tcase_add_test (c, keeps_id_and_record_and_grows_incarnation);
  tcase_add_test (c, refuses_a_folder_in_use);
  tcase_add_test (c, detects_every_bit_flip_and_truncation);
  tcase_add_test (c, opening_syncs_the_store_only);
  tcase_add_test (c, first_record_syncs_the_marker);
  tcase_add_test (c, refuses_a_folder_whose_store_is_missing);
  tcase_add_test (c, keeps_the_earlier_record_when_a_write_is_interrupted);
  tcase_add_test (c, size_does_not_grow_with_writes);
  tcase_add_test (c, reports_a_write_that_fails);
  tcase_add_test (c, disk_task_reports_writes_in_order_and_finishes_the_rest);
  suite_add_tcase (s, c);
  return s;
}
