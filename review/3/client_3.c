/* Clients and operator of case 3.  CLIENTS clients on each of two entry hosts
   send status changes (non_idempotent), each on a connection that it keeps.
   Once a second a client asks for a screen refresh (idempotent) with a query
   of QUERY_SIZE bytes.  With TROUBLE=1 the operator empties the hosts' zone
   for EVACUATION_MS.

   Counts the status changes that were sent on a kept connection, reached a
   replica, and whose connection was closed without an answer.  */
#include "net.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  CLIENTS = 2, /* with the refreshes, fewer than the slots of a replica */
  HOSTS = 2,
  QUERY_SIZE = 3000, /* the limit for all headers is 16,384 bytes */
  REFRESH_MS = 1000,
  DEADLINE_MS = 3000,
  CALM_MS = 6000, /* over contact_ms, 5,000 */
  QUIET_MS = 3000,
  EVACUATION_MS = 8000,
  AFTER_MS = 3000,
  LOST_MAX = 3, /* of the rule */
  LOST_RECORDED = 4096
};

static char **fronts;
static const char *control;
static volatile bool stopping;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char lost[LOST_RECORDED][TEXT_MAX]; /* attempts without an answer */
static int lost_count;
static int answered;
static int refreshes_answered;
static int refreshes_lost;

static char config[4096];

static void
write_config (void)
{
  static const char route[]
      = "{\"name\":\"%s\",\"host\":\"board.example\",\"path_prefix\":\"%s\","
        "\"kind\":\"%s\",\"timeout_ms\":%d,\"target_latency_ms\":%d,"
        "\"priority\":1,\"service\":\"%s\",\"max_attempts\":1,\"sticky\":%s,"
        "\"resumable\":false,\"target_gap_ms\":600,\"home_regions\":[]}";
  size_t size;

  size = (size_t)snprintf (config, sizeof config, "{\"version\":7,\"routes\":[");
  size += (size_t)snprintf (config + size, sizeof config - size, route, "flip",
                            "/flip/", "non_idempotent", 3000, 300, "board-app",
                            "false");
  size += (size_t)snprintf (config + size, sizeof config - size, ",");
  size += (size_t)snprintf (config + size, sizeof config - size, route,
                            "refresh", "/refresh/", "idempotent", 3000, 300,
                            "board-app", "false");
  snprintf (
      config + size, sizeof config - size,
      "],\"services\":["
      "{\"name\":\"board-app\","
      "\"health_path\":\"/health\",\"max_connections\":110,"
      "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,"
      "\"cold_per_s\":0.0}],\"limits\":{\"max_header_bytes\":16384,"
      "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
      "\"idle_timeout_ms\":15000}}");
}

/* Sends an order of the operator until it is acknowledged.  */
static bool
order (const char *path, const char *body, int timeout_ms)
{
  const int64_t end = now_ms () + timeout_ms;

  while (now_ms () < end)
    {
      int status = call (control, "POST", path, body, 1000);

      record ("operator: POST %s -> %d", path, status);
      if (status / 100 == 2)
        return true;
      sleep_ms (200);
    }
  return false;
}

/* Sends a request; returns the status, 0 if the connection was closed without
   an answer, or -1 if there was none in time.  */
static int
ask (struct connection *connection, const char *method, const char *path,
     const char *attempt, const char *query)
{
  const int64_t deadline = now_ms () + DEADLINE_MS;
  struct message *message = malloc (sizeof *message);
  char *text = malloc (HEAD_MAX);
  int size = snprintf (text, HEAD_MAX,
                       "%s %s%s%s HTTP/1.1\r\nHost: board.example\r\n"
                       "Marjoramproxy-Attempt-Id: %s\r\n"
                       "Marjoramproxy-Deadline-Ms: %d\r\n%s",
                       method, path, attempt, query, attempt, DEADLINE_MS,
                       strcmp (method, "POST") == 0
                           ? "Content-Length: 5\r\n\r\nhello"
                           : "\r\n");
  enum read_end end = READ_CLOSED;
  int status = 0;

  if (send_all (connection->fd, text, (size_t)size))
    end = read_response (connection, deadline, message);
  if (end == READ_WHOLE)
    status = message->status;
  else if (end == READ_TIMED_OUT)
    status = -1;
  if (end != READ_WHOLE || message->close)
    connection_close (connection);
  free (text);
  free (message);
  return status;
}

static void *
send_flips (void *context)
{
  const int number = (int)(intptr_t)context;
  const char *front = fronts[number / CLIENTS];
  struct connection *connection = malloc (sizeof *connection);
  int kept = 0; /* requests answered on this connection */

  connection->fd = -1;
  for (int i = 0; !stopping; i++)
    {
      char attempt[TEXT_MAX];
      int status;

      if (connection->fd < 0)
        {
          connection_open (connection, connect_to (front, 1000));
          kept = 0;
          if (connection->fd < 0)
            {
              sleep_ms (100);
              continue;
            }
        }
      snprintf (attempt, sizeof attempt, "f%02d%06d", number, i);
      status = ask (connection, "POST", "/flip/", attempt, "");
      if (status != 200)
        record ("client: %s to %s -> %s (request %d of its connection)",
                attempt, front,
                status == 0  ? "connection closed without an answer"
                : status < 0 ? "no answer in time"
                             : "refused",
                kept + 1);
      pthread_mutex_lock (&lock);
      answered += status == 200;
      if (status == 0 && kept > 0 && lost_count < LOST_RECORDED)
        snprintf (lost[lost_count++], TEXT_MAX, "%s", attempt);
      pthread_mutex_unlock (&lock);
      kept++;
      if (status != 200)
        sleep_ms (100);
    }
  connection_close (connection);
  free (connection);
  return NULL;
}

/* The query of a board that shows many rooms.  */
static const char *
rooms (void)
{
  static char text[QUERY_SIZE + 16];
  size_t size = (size_t)snprintf (text, sizeof text, "?rooms=101");

  for (int i = 102; size < QUERY_SIZE; i++)
    size += (size_t)snprintf (text + size, sizeof text - size, ",%d", i);
  return text;
}

static void *
send_refreshes (void *context)
{
  struct connection *connection = malloc (sizeof *connection);

  for (int i = 0; !stopping; i++)
    {
      const char *front = fronts[i % HOSTS];
      char attempt[TEXT_MAX];
      int status = 0;

      snprintf (attempt, sizeof attempt, "r%08d", i);
      connection_open (connection, connect_to (front, 1000));
      if (connection->fd >= 0)
        {
          status = ask (connection, "GET", "/refresh/", attempt, rooms ());
          record ("client: refresh %s with a query of %zu bytes to %s -> %d",
                  attempt, strlen (rooms ()), front, status);
          connection_close (connection);
          pthread_mutex_lock (&lock);
          refreshes_answered += status == 200;
          refreshes_lost += status == 0;
          pthread_mutex_unlock (&lock);
        }
      sleep_ms (REFRESH_MS);
    }
  free (connection);
  return context;
}

/* Whether the record says that ATTEMPT reached a replica.  */
static bool
reached_replica (const char *text, const char *attempt)
{
  char line[TEXT_MAX];

  snprintf (line, sizeof line, " reached by %.64s\n", attempt);
  return strstr (text, line) != NULL;
}

static char *
read_record (void)
{
  FILE *file = fopen (getenv ("RECORD"), "r");
  char *text = NULL;
  size_t size = 0;

  if (!file || getdelim (&text, &size, '\0', file) < 0)
    exit (2);
  fclose (file);
  return text;
}

static bool
is_served (const char *front, const char *path)
{
  struct connection *connection = malloc (sizeof *connection);
  static int number;
  char attempt[TEXT_MAX];
  int status = 0;

  snprintf (attempt, sizeof attempt, "w%08d", number++);
  connection_open (connection, connect_to (front, 1000));
  if (connection->fd >= 0)
    status = ask (connection, "POST", path, attempt, "");
  connection_close (connection);
  free (connection);
  return status == 200;
}

/* Waits until all entry hosts serve.  */
static bool
wait_for_service (int count)
{
  const int64_t end = now_ms () + 30000;

  for (int i = 0; i < count; i++)
    while (!is_served (fronts[i], "/flip/")
           || !is_served (fronts[i], "/refresh/"))
      {
        if (now_ms () > end)
          return false;
        sleep_ms (200);
      }
  return true;
}

/* client_3 CONTROL FRONT...: the first two are the hosts under test.  */
int
main (int argc, char **argv)
{
  const bool trouble = strcmp (getenv ("TROUBLE"), "0") != 0;
  pthread_t threads[CLIENTS * HOSTS + 1];
  char *text;
  int broken = 0;

  if (argc < 4)
    return 2;
  control = argv[1];
  fronts = argv + 2;
  write_config ();
  if (!order ("/-/config/replace", config, 30000)
      || !wait_for_service (argc - 2))
    return 2;
  sleep_ms (CALM_MS);
  record ("traffic begins");
  for (int i = 0; i < CLIENTS * HOSTS; i++)
    pthread_create (&threads[i], NULL, send_flips, (void *)(intptr_t)i);
  pthread_create (&threads[CLIENTS * HOSTS], NULL, send_refreshes, NULL);
  sleep_ms (QUIET_MS);
  if (trouble && !order ("/-/evacuations/ba-hall-a/begin", "", 6000))
    return 2;
  sleep_ms (EVACUATION_MS);
  if (trouble && !order ("/-/evacuations/ba-hall-a/finish", "", 6000))
    return 2;
  sleep_ms (AFTER_MS);
  stopping = true;
  for (int i = 0; i <= CLIENTS * HOSTS; i++)
    pthread_join (threads[i], NULL);
  record ("traffic ends");
  text = read_record ();
  for (int i = 0; i < lost_count; i++)
    broken += reached_replica (text, lost[i]);
  free (text);
  record ("status changes: %d answered; %d of a kept connection reached a "
          "replica and their connection was closed without an answer (the "
          "rule allows %d); refreshes: %d answered, %d without an answer",
          answered, broken, LOST_MAX, refreshes_answered, refreshes_lost);
  if (answered == 0)
    return 2;
  return broken > LOST_MAX ? 1 : 0;
}
