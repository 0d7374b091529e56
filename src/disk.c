#include "disk.h"

#include "cleanup.h"
#include "log.h"
#include "store.h"

#include <errno.h>
#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/queue.h>
#include <unistd.h>

struct job
{
  STAILQ_ENTRY (job) link;
  uint64_t ticket;
  marjoram_bytes *record;
  bool ok;
};

STAILQ_HEAD (job_list, job);

struct marjoram_disk
{
  const struct marjoram_disk_ops *ops;
  void *context;
  marjoram_store *store; /* owned by the thread while it runs */
  marjoram_bytes *record;
  struct event *wake;
  int wake_fd;
  pthread_t thread;
  bool running;
  pthread_mutex_t mutex; /* protects the members below */
  pthread_cond_t changed;
  struct job_list pending;
  struct job_list finished;
  bool stopping;
};

static void
destroy_job (struct job *job)
{
  marjoram_bytes_release (job->record);
  free (job);
}

static struct job *
wait_for_job (marjoram_disk *disk)
{
  struct job *job;

  pthread_mutex_lock (&disk->mutex);
  while (STAILQ_EMPTY (&disk->pending) && !disk->stopping)
    pthread_cond_wait (&disk->changed, &disk->mutex);
  job = STAILQ_FIRST (&disk->pending);
  if (job)
    STAILQ_REMOVE_HEAD (&disk->pending, link);
  pthread_mutex_unlock (&disk->mutex);
  return job;
}

static void
finish_job (marjoram_disk *disk, struct job *job)
{
  pthread_mutex_lock (&disk->mutex);
  STAILQ_INSERT_TAIL (&disk->finished, job, link);
  pthread_mutex_unlock (&disk->mutex);
  eventfd_write (disk->wake_fd, 1);
}

static void *
run_jobs (void *context)
{
  marjoram_disk *disk = context;
  struct job *job;

  while ((job = wait_for_job (disk)) != NULL)
    {
      struct marjoram_error err = { 0 };

      job->ok = marjoram_store_write (disk->store, job->record, &err);
      if (!job->ok)
        marjoram_log (MARJORAM_LOG_ERROR, "%s", err.message);
      finish_job (disk, job);
    }
  return NULL;
}

static void
report_finished (evutil_socket_t fd, short events, void *context)
{
  marjoram_disk *disk = context;
  struct job_list done = STAILQ_HEAD_INITIALIZER (done);
  eventfd_t count;

  (void)events;
  eventfd_read (fd, &count);
  pthread_mutex_lock (&disk->mutex);
  STAILQ_CONCAT (&done, &disk->finished);
  pthread_mutex_unlock (&disk->mutex);
  while (!STAILQ_EMPTY (&done))
    {
      struct job *job = STAILQ_FIRST (&done);

      STAILQ_REMOVE_HEAD (&done, link);
      disk->ops->written (disk->context, job->ticket, job->ok);
      destroy_job (job);
    }
}

static bool
start_thread (marjoram_disk *disk, struct event_base *base,
              struct marjoram_error *err)
{
  disk->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (disk->wake_fd >= 0)
    disk->wake = event_new (base, disk->wake_fd, EV_READ | EV_PERSIST,
                            report_finished, disk);
  if (!disk->wake || event_add (disk->wake, NULL) != 0
      || pthread_create (&disk->thread, NULL, run_jobs, disk) != 0)
    return marjoram_error_set (err, MARJORAM_ERROR_LIMIT,
                               "can't start the disk task: %s; raise the "
                               "limits of open files and threads",
                               strerror (errno));
  disk->running = true;
  return true;
}

marjoram_disk *
marjoram_disk_create (struct event_base *base, const char *folder,
                      const struct marjoram_disk_ops *ops, void *context,
                      struct marjoram_error *err)
{
  marjoram_disk *disk = marjoram_alloc (sizeof *disk);

  disk->ops = ops;
  disk->context = context;
  disk->wake_fd = -1;
  STAILQ_INIT (&disk->pending);
  STAILQ_INIT (&disk->finished);
  pthread_mutex_init (&disk->mutex, NULL);
  pthread_cond_init (&disk->changed, NULL);
  disk->store = marjoram_store_open (folder, err);
  if (disk->store)
    disk->record = marjoram_store_read (disk->store, err);
  if (!disk->store || !start_thread (disk, base, err))
    {
      marjoram_disk_destroy (disk);
      return NULL;
    }
  return disk;
}

static void
stop_thread (marjoram_disk *disk)
{
  pthread_mutex_lock (&disk->mutex);
  disk->stopping = true;
  pthread_cond_signal (&disk->changed);
  pthread_mutex_unlock (&disk->mutex);
  pthread_join (disk->thread, NULL);
}

void
marjoram_disk_destroy (marjoram_disk *disk)
{
  if (!disk)
    return;
  if (disk->running)
    stop_thread (disk);
  if (disk->wake)
    event_free (disk->wake);
  if (disk->wake_fd >= 0)
    close (disk->wake_fd);
  while (!STAILQ_EMPTY (&disk->finished))
    {
      struct job *job = STAILQ_FIRST (&disk->finished);

      STAILQ_REMOVE_HEAD (&disk->finished, link);
      destroy_job (job);
    }
  marjoram_store_close (disk->store);
  marjoram_bytes_release (disk->record);
  pthread_cond_destroy (&disk->changed);
  pthread_mutex_destroy (&disk->mutex);
  free (disk);
}

const char *
marjoram_disk_id (const marjoram_disk *disk)
{
  return marjoram_store_id (disk->store);
}

uint64_t
marjoram_disk_incarnation (const marjoram_disk *disk)
{
  return marjoram_store_incarnation (disk->store);
}

marjoram_bytes *
marjoram_disk_read (const marjoram_disk *disk)
{
  return marjoram_bytes_retain (disk->record);
}

void
marjoram_disk_write (marjoram_disk *disk, uint64_t ticket,
                     marjoram_bytes *record)
{
  struct job *job = marjoram_alloc (sizeof *job);

  job->ticket = ticket;
  job->record = record;
  pthread_mutex_lock (&disk->mutex);
  STAILQ_INSERT_TAIL (&disk->pending, job, link);
  pthread_cond_signal (&disk->changed);
  pthread_mutex_unlock (&disk->mutex);
}
