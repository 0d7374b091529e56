/* A replica: sends heartbeats, runs SLOTS requests at once for WORK ms each,
   queues a few more and rejects the others.  The record tells what reached it
   and what it ran.  */
#include "net.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  QUEUE = 8,
  HEARTBEAT_MS = 1200,
  IDLE_MS = 5000,
  BODY_SIZE = 800,
  CONTROLS_MAX = 8
};

static const char *id;
static const char *service;
static const char *zone;
static const char *address;
static char *controls[CONTROLS_MAX];
static int control_count;
static int slots;
static int work_ms;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t slot_freed = PTHREAD_COND_INITIALIZER;
static int running;
static int waiting;

static void *
send_heartbeats (void *context)
{
  char path[256];
  char body[1024];
  int next = 0;

  snprintf (path, sizeof path, "/-/instances/%s/heartbeat", id);
  for (int seq = 1;; seq++)
    {
      snprintf (body, sizeof body,
                "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
                "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
                "\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":"
                "[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                "\"seq\":%d}",
                service, address, zone, slots, seq);
      for (int i = 0; i < control_count; i++)
        {
          if (call (controls[next], "POST", path, body, 1000) / 100 == 2)
            break;
          next = (next + 1) % control_count;
        }
      sleep_ms (HEARTBEAT_MS);
    }
  return context;
}

/* Returns false if slots and queue are full.  */
static bool
take_slot (void)
{
  bool taken;

  pthread_mutex_lock (&lock);
  taken = running < slots || waiting < QUEUE;
  if (taken)
    {
      waiting++;
      while (running >= slots)
        pthread_cond_wait (&slot_freed, &lock);
      waiting--;
      running++;
    }
  pthread_mutex_unlock (&lock);
  return taken;
}

static void
free_slot (void)
{
  pthread_mutex_lock (&lock);
  running--;
  pthread_cond_signal (&slot_freed);
  pthread_mutex_unlock (&lock);
}

static bool
answer (int fd, int status, const char *attempt, const char *headers,
        const char *body)
{
  char head[1024];
  int size = snprintf (head, sizeof head,
                       "HTTP/1.1 %d Answer\r\nMarjoramproxy-Attempt-Id: %s\r\n"
                       "%sKeep-Alive: timeout=%d\r\n"
                       "Content-Length: %zu\r\n\r\n",
                       status, attempt, headers, IDLE_MS / 1000,
                       strlen (body));

  return send_all (fd, head, (size_t)size)
         && send_all (fd, body, strlen (body));
}

static bool
answer_not_run (int fd, int status, const char *attempt)
{
  return answer (fd, status, attempt, "Marjoramproxy-Not-Executed: 1\r\n", "");
}

/* Drops the request if its connection closes meanwhile.  */
static bool
work (int fd, int ms)
{
  const int64_t end = now_ms () + ms;

  while (now_ms () < end)
    {
      if (is_closed (fd))
        return false;
      sleep_ms (10);
    }
  return true;
}

static bool
run_plain (int fd, const char *attempt)
{
  char headers[256];
  char body[BODY_SIZE + 1];

  if (!work (fd, work_ms))
    return false;
  snprintf (headers, sizeof headers,
            "Marjoramproxy-Response-Seal: seal-%s-%s\r\n", id, attempt);
  memset (body, '.', BODY_SIZE);
  body[BODY_SIZE] = '\0';
  memcpy (body, attempt, strlen (attempt));
  return answer (fd, 200, attempt, headers, body);
}

static bool
handle (int fd, const struct message *request)
{
  char attempt[TEXT_MAX];
  char target[TEXT_MAX];
  bool whole;

  if (strncmp (request->head, "GET /health ", 12) == 0)
    {
      snprintf (target, sizeof target, "Marjoramproxy-Instance-Id: %s\r\n",
                id);
      return answer (fd, 200, "", target, "");
    }
  if (strstr (request->head, " /-/"))
    return answer (fd, 404, "", "", "");
  if (!get_header (request, "Marjoramproxy-Attempt-Id", attempt,
                   sizeof attempt))
    return answer_not_run (fd, 400, "");
  record ("%s reached by %s", id, attempt);
  if (get_header (request, "Marjoramproxy-Target-Instance", target,
                  sizeof target)
      && strcmp (target, id) != 0)
    return answer_not_run (fd, 421, attempt);
  if (!take_slot ())
    {
      record ("%s rejects %s", id, attempt);
      return answer_not_run (fd, 503, attempt);
    }
  record ("%s runs %s", id, attempt);
  whole = run_plain (fd, attempt);
  record ("%s %s %s", id, whole ? "answered" : "dropped, connection closed:",
          attempt);
  free_slot ();
  return whole;
}

static void *
serve (void *context)
{
  struct connection *connection = malloc (sizeof *connection);
  struct message *request = malloc (sizeof *request);

  connection_open (connection, (int)(intptr_t)context);
  while (read_request (connection, now_ms () + IDLE_MS, request) == READ_WHOLE
         && handle (connection->fd, request))
    continue;
  connection_close (connection);
  free (connection);
  free (request);
  return NULL;
}

/* replica ID SERVICE ZONE ADDRESS SLOTS WORK-MS CONTROL...  */
int
main (int argc, char **argv)
{
  pthread_t thread;
  int listener;

  if (argc < 8)
    return 2;
  id = argv[1];
  service = argv[2];
  zone = argv[3];
  address = argv[4];
  slots = atoi (argv[5]);
  work_ms = atoi (argv[6]);
  for (int i = 7; i < argc && control_count < CONTROLS_MAX; i++)
    controls[control_count++] = argv[i];
  signal (SIGPIPE, SIG_IGN);
  listener = listen_at (address);
  if (listener < 0)
    return 2;
  pthread_create (&thread, NULL, send_heartbeats, NULL);
  for (;;)
    {
      int fd = accept (listener, NULL, NULL);

      if (fd >= 0 && pthread_create (&thread, NULL, serve,
                                     (void *)(intptr_t)fd)
                         == 0)
        pthread_detach (thread);
    }
}
