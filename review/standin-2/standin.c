/* Stand-ins for the scripts of the second review: a replica, a caller, an
   operator and a relay that can be cut.  They follow PROTOCOL.md.  All
   addresses are loopback addresses.  */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

enum
{
  HEARTBEAT_MS = 1200,
  ACK_MS = 1000,
  WORK_MS = 15,
  EVENTS = 6,   /* of a stream */
  EVENT_MS = 5, /* between two of them */
  MESSAGE_MAX = 1024 * 1024,
  ARGS_MAX = 16
};

static int64_t
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
sleep_ms (int64_t ms)
{
  struct timespec pause = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&pause, NULL);
}

static struct sockaddr_in
parse (const char *text)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  char ip[64];
  const char *colon = strchr (text, ':');

  if (!colon || (size_t)(colon - text) >= sizeof ip)
    exit (2);
  memcpy (ip, text, (size_t)(colon - text));
  ip[colon - text] = '\0';
  if (inet_pton (AF_INET, ip, &address.sin_addr) != 1)
    exit (2);
  address.sin_port = htons ((uint16_t)atoi (colon + 1));
  return address;
}

static int
listen_on (const char *text)
{
  struct sockaddr_in address = parse (text);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int one = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, 512) != 0)
    {
      fprintf (stderr, "can't listen on %s: %s\n", text, strerror (errno));
      exit (2);
    }
  return fd;
}

static void
set_timeout (int fd, int64_t ms)
{
  struct timeval limit = { ms / 1000, ms % 1000 * 1000 };

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

static int
connect_to (const char *text, int64_t timeout_ms)
{
  struct sockaddr_in address = parse (text);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  set_timeout (fd, timeout_ms > 0 ? timeout_ms : 1);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

static bool
send_all (int fd, const char *data, size_t size)
{
  while (size > 0)
    {
      ssize_t sent = send (fd, data, size, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      data += sent;
      size -= (size_t)sent;
    }
  return true;
}

/* ---- HTTP messages.  ---- */

struct message
{
  char *text; /* head and body, NUL-terminated */
  size_t size;
  size_t head; /* size of the head with its empty line */
  size_t body;
  bool whole;
};

static const char *
header (const struct message *message, const char *name, char *value,
        size_t capacity)
{
  const char *line = strstr (message->text, "\r\n");
  const size_t length = strlen (name);

  value[0] = '\0';
  while (line && line < message->text + message->head - 2)
    {
      line += 2;
      if (strncasecmp (line, name, length) == 0 && line[length] == ':')
        {
          const char *start = line + length + 1;
          size_t size;

          while (*start == ' ')
            start++;
          size = strcspn (start, "\r");
          snprintf (value, capacity, "%.*s", (int)size, start);
          return value;
        }
      line = strstr (line, "\r\n");
    }
  return NULL;
}

/* Reads one message with a Content-Length.  What follows it stays in
   MESSAGE.  */
static bool
read_message (int fd, struct message *message)
{
  char value[64];
  const char *end;

  message->head = message->body = 0;
  message->whole = false;
  if (!message->text)
    message->text = calloc (1, MESSAGE_MAX + 1);
  for (;;)
    {
      ssize_t got;

      if (message->head == 0
          && (end = strstr (message->text, "\r\n\r\n")) != NULL)
        {
          message->head = (size_t)(end - message->text) + 4;
          message->body
              = header (message, "Content-Length", value, sizeof value)
                    ? strtoul (value, NULL, 10)
                    : 0;
        }
      if (message->head > 0 && message->size >= message->head + message->body)
        return message->whole = true;
      if (message->size == MESSAGE_MAX)
        return false;
      got = recv (fd, message->text + message->size,
                  MESSAGE_MAX - message->size, 0);
      if (got <= 0)
        return false;
      message->size += (size_t)got;
      message->text[message->size] = '\0';
    }
}

static void
drop_message (struct message *message)
{
  const size_t used = message->head + message->body;

  memmove (message->text, message->text + used, message->size - used + 1);
  message->size -= used;
}

/* Sends a call.  Returns the status, or 0 without an answer.  */
static int
call (const char *address, const char *method, const char *target,
      const char *headers, const char *body, int64_t timeout_ms,
      struct message *answer)
{
  const int64_t until = now_ms () + timeout_ms;
  int fd = connect_to (address, timeout_ms < ACK_MS ? timeout_ms : ACK_MS);
  char *head = NULL;
  int status = 0;

  answer->size = 0;
  if (answer->text)
    answer->text[0] = '\0';
  if (fd < 0)
    return 0;
  set_timeout (fd, until - now_ms () > 0 ? until - now_ms () : 1);
  if (asprintf (&head,
                "%s %s HTTP/1.1\r\n%sContent-Length: %zu\r\n"
                "Connection: close\r\n\r\n",
                method, target, headers, strlen (body))
          > 0
      && send_all (fd, head, strlen (head))
      && send_all (fd, body, strlen (body)) && read_message (fd, answer))
    sscanf (answer->text, "HTTP/1.1 %d", &status);
  free (head);
  close (fd);
  return status;
}

/* ---- Replica.  ---- */

static struct replica
{
  const char *address, *id, *service, *zone;
  const char *keepers[ARGS_MAX];
  int keeper_count;
  FILE *log;
  pthread_mutex_t lock;
  /* One in so many streams has one wrong byte in the name of its seal while
     this file exists; null: none.  */
  const char *spoil;
  int spoil_every;
  int streams;
} replica;

/* The name of the seal's header in the next stream.  */
static const char *
seal_name (bool *spoilt)
{
  struct stat ignored;

  *spoilt = replica.spoil && stat (replica.spoil, &ignored) == 0
            && ++replica.streams % replica.spoil_every == 0;
  return *spoilt ? "Marjoramproxy-Responsg-Seal"
                 : "Marjoramproxy-Response-Seal";
}

/* Sends the events after the one that the request names.  */
static void
replica_stream (int fd, const struct message *request, const char *id)
{
  char last[32];
  char data[512];
  const char *name;
  bool spoilt;
  int first = 1;

  if (header (request, "Last-Event-Id", last, sizeof last))
    first = atoi (last) + 1;
  pthread_mutex_lock (&replica.lock);
  name = seal_name (&spoilt);
  fprintf (replica.log, "%lld run id=%s replica=%s from=%d spoilt=%s\n",
           (long long)now_ms (), id, replica.id, first, spoilt ? "yes" : "no");
  fflush (replica.log);
  pthread_mutex_unlock (&replica.lock);
  snprintf (data, sizeof data,
            "HTTP/1.1 200 OK\r\nMarjoramproxy-Attempt-Id: %s\r\n"
            "%s: s.%s\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n",
            id, name, id);
  send_all (fd, data, strlen (data));
  for (int i = first; i <= EVENTS; i++)
    {
      char event[256];

      snprintf (event, sizeof event, "id: %d\ndata: %s %d\n\n", i, id, i);
      snprintf (data, sizeof data, "%zx\r\n%s\r\n", strlen (event), event);
      sleep_ms (EVENT_MS);
      if (!send_all (fd, data, strlen (data)))
        return;
    }
  send_all (fd, "0\r\n\r\n", 5);
}

static void
replica_answer (int fd, const struct message *request)
{
  char id[128];
  char target[256];
  char body[512];
  char *head = NULL;
  const bool has_id
      = header (request, "Marjoramproxy-Attempt-Id", id, sizeof id);
  const bool is_other = header (request, "Marjoramproxy-Target-Instance",
                                target, sizeof target)
                        && strcmp (target, replica.id) != 0;

  if (!has_id || is_other)
    {
      if (asprintf (&head,
                    "HTTP/1.1 %s\r\nMarjoramproxy-Attempt-Id: %s\r\n"
                    "Marjoramproxy-Not-Executed: 1\r\n"
                    "Content-Length: 0\r\n\r\n",
                    is_other ? "421 Misdirected Request" : "400 Bad Request",
                    id)
          > 0)
        send_all (fd, head, strlen (head));
      free (head);
      return;
    }
  if (strstr (request->text, " /stream/"))
    {
      replica_stream (fd, request, id);
      return;
    }
  pthread_mutex_lock (&replica.lock);
  fprintf (replica.log, "%lld run id=%s service=%s replica=%s\n",
           (long long)now_ms (), id, replica.service, replica.id);
  fflush (replica.log);
  pthread_mutex_unlock (&replica.lock);
  sleep_ms (WORK_MS);
  snprintf (body, sizeof body, "%s %s", replica.service, id);
  if (asprintf (&head,
                "HTTP/1.1 200 OK\r\nMarjoramproxy-Attempt-Id: %s\r\n"
                "Marjoramproxy-Response-Seal: s.%s\r\n"
                "Content-Length: %zu\r\n\r\n%s",
                id, id, strlen (body), body)
      > 0)
    send_all (fd, head, strlen (head));
  free (head);
}

static void *
replica_connection (void *context)
{
  const int fd = (int)(intptr_t)context;
  struct message request = { 0 };

  while (read_message (fd, &request))
    {
      if (strncmp (request.text, "GET /health", 11) == 0)
        {
          char head[256];

          snprintf (head, sizeof head,
                    "HTTP/1.1 200 OK\r\nMarjoramproxy-Instance-Id: %s\r\n"
                    "Content-Length: 0\r\n\r\n",
                    replica.id);
          send_all (fd, head, strlen (head));
        }
      else
        replica_answer (fd, &request);
      drop_message (&request);
    }
  free (request.text);
  close (fd);
  return NULL;
}

static void *
replica_heartbeats (void *context)
{
  struct message answer = { 0 };
  char target[256];
  char body[1024];

  (void)context;
  snprintf (target, sizeof target, "/-/instances/%s/heartbeat", replica.id);
  for (int seq = 1;; seq++)
    {
      snprintf (body, sizeof body,
                "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
                "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
                "\"cold_remaining_ms\":0,\"seq\":%d}",
                replica.service, replica.address, replica.zone, seq);
      for (int i = 0; i < replica.keeper_count; i++)
        if (call (replica.keepers[i], "POST", target,
                  "Host: keeper\r\nContent-Type: application/json\r\n", body,
                  ACK_MS, &answer)
                / 100
            == 2)
          break;
      sleep_ms (HEARTBEAT_MS);
    }
  return NULL;
}

/* ADDRESS ID SERVICE ZONE LOG KEEPER...  SPOIL=FILE in the environment: one
   stream in twenty is spoilt while FILE exists.  */
static int
replica_main (int argc, char **argv)
{
  pthread_t thread;
  int listener;

  if (argc < 6 || argc - 5 > ARGS_MAX)
    return 2;
  replica.address = argv[0];
  replica.id = argv[1];
  replica.service = argv[2];
  replica.zone = argv[3];
  replica.log = fopen (argv[4], "a");
  replica.spoil = getenv ("SPOIL");
  replica.spoil_every = 20;
  for (int i = 5; i < argc; i++)
    replica.keepers[replica.keeper_count++] = argv[i];
  pthread_mutex_init (&replica.lock, NULL);
  listener = listen_on (replica.address);
  pthread_create (&thread, NULL, replica_heartbeats, NULL);
  for (;;)
    {
      int fd = accept (listener, NULL, NULL);

      if (fd >= 0)
        pthread_create (&thread, NULL, replica_connection,
                        (void *)(intptr_t)fd);
    }
}

/* ---- Relay.  ---- */

static const char *relay_cut; /* packets are held while this file exists */

struct direction
{
  int from, to;
};

static bool
is_cut (void)
{
  struct stat ignored;

  return stat (relay_cut, &ignored) == 0;
}

static void *
relay_copy (void *context)
{
  struct direction *direction = context;
  char data[65536];
  ssize_t got;

  while ((got = recv (direction->from, data, sizeof data, 0)) > 0)
    {
      while (is_cut ())
        sleep_ms (10);
      if (!send_all (direction->to, data, (size_t)got))
        break;
    }
  while (is_cut ())
    sleep_ms (10);
  shutdown (direction->from, SHUT_RDWR);
  shutdown (direction->to, SHUT_RDWR);
  free (direction);
  return NULL;
}

struct relayed
{
  int fd;
  const char *target;
};

static void *
relay_connection (void *context)
{
  struct relayed *relayed = context;
  struct direction *out = malloc (sizeof *out);
  struct direction *back = malloc (sizeof *back);
  pthread_t thread;
  int fd;

  while (is_cut ())
    sleep_ms (10);
  fd = connect_to (relayed->target, 1000);
  if (fd < 0)
    {
      close (relayed->fd);
      return NULL;
    }
  set_timeout (fd, 0);
  *out = (struct direction){ relayed->fd, fd };
  *back = (struct direction){ fd, relayed->fd };
  pthread_create (&thread, NULL, relay_copy, out);
  pthread_create (&thread, NULL, relay_copy, back);
  return NULL;
}

struct relay_listener
{
  int fd;
  const char *target;
};

static void *
relay_accept (void *context)
{
  const struct relay_listener *listener = context;

  for (;;)
    {
      struct relayed *relayed = malloc (sizeof *relayed);
      pthread_t thread;

      relayed->fd = accept (listener->fd, NULL, NULL);
      relayed->target = listener->target;
      if (relayed->fd >= 0)
        pthread_create (&thread, NULL, relay_connection, relayed);
    }
  return NULL;
}

/* CUT-FILE LISTEN TARGET [LISTEN TARGET]...  */
static int
relay_main (int argc, char **argv)
{
  pthread_t thread;

  if (argc < 3 || argc % 2 == 0)
    return 2;
  relay_cut = argv[0];
  for (int i = 1; i + 1 < argc; i += 2)
    {
      struct relay_listener *listener = malloc (sizeof *listener);

      listener->fd = listen_on (argv[i]);
      listener->target = argv[i + 1];
      pthread_create (&thread, NULL, relay_accept, listener);
    }
  for (;;)
    pause ();
}

/* ---- Operator and callers.  ---- */

static char *
read_file (const char *path)
{
  FILE *file = fopen (path, "r");
  char *text = calloc (1, MESSAGE_MAX);

  if (!file || fread (text, 1, MESSAGE_MAX - 1, file) == 0)
    exit (2);
  fclose (file);
  return text;
}

static const char *
body_of (const struct message *answer)
{
  return answer->whole ? answer->text + answer->head : "";
}

/* MS METHOD TARGET BODY-FILE|- KEEPER...: sends an order to one keeper after
   the other, a second for each, until one answers 200 or MS are over.  Prints
   the time, the keeper, the status and the body of each answer.  Returns 0 if
   one was 200.  */
static int
order_main (int argc, char **argv)
{
  const char *body = "";
  struct message answer = { 0 };
  int64_t until;

  if (argc < 5)
    return 2;
  until = now_ms () + atoll (argv[0]);
  if (strcmp (argv[3], "-") != 0)
    body = read_file (argv[3]);
  for (int i = 0; now_ms () < until; i++)
    {
      const char *keeper = argv[4 + i % (argc - 4)];
      const int64_t sent = now_ms ();
      int status = call (keeper, argv[1], argv[2],
                         "Host: keeper\r\nContent-Type: application/json\r\n",
                         body, ACK_MS, &answer);

      printf ("%lld order %s %s at=%s sent=%lld status=%d body=%.60s\n",
              (long long)now_ms (), argv[1], argv[2], keeper, (long long)sent,
              status, status ? body_of (&answer) : "");
      fflush (stdout);
      if (status == 200)
        return 0;
      sleep_ms (i < 3 ? 100 : 400);
    }
  return 1;
}

/* MS PAUSE PREFIX DEADLINE METHOD PATH HOST ENTRY: sends a request each PAUSE
   ms for MS and prints when it was sent, and what was answered.  */
static int
requests_main (int argc, char **argv)
{
  struct message answer = { 0 };
  int64_t until;
  int64_t deadline;

  if (argc != 8)
    return 2;
  until = now_ms () + atoll (argv[0]);
  deadline = atoll (argv[3]);
  for (int i = 0; now_ms () < until; i++)
    {
      char headers[512];
      char id[64];
      const int64_t sent = now_ms ();
      int status;

      snprintf (id, sizeof id, "%s%05d", argv[2], i);
      snprintf (headers, sizeof headers,
                "Host: %s\r\nMarjoramproxy-Attempt-Id: %s\r\n"
                "Marjoramproxy-Deadline-Ms: %lld\r\n",
                argv[6], id, (long long)deadline);
      status
          = call (argv[7], argv[4], argv[5], headers, "", deadline, &answer);
      printf ("%lld answer id=%s at=%s sent=%lld status=%d body=%.60s\n",
              (long long)now_ms (), id, argv[7], (long long)sent, status,
              status ? body_of (&answer) : "");
      fflush (stdout);
      sleep_ms (atoll (argv[1]));
    }
  return 0;
}

/* Reads until the connection or the last chunk ends.  */
static void
read_stream (int fd, struct message *answer)
{
  static const char end[] = "\r\n0\r\n\r\n";
  const size_t length = sizeof end - 1;
  ssize_t got;

  answer->whole = false;
  while (!answer->whole && answer->size < MESSAGE_MAX
         && (got = recv (fd, answer->text + answer->size,
                         MESSAGE_MAX - answer->size, 0))
                > 0)
    {
      answer->size += (size_t)got;
      answer->text[answer->size] = '\0';
      answer->whole
          = answer->size >= length
            && strcmp (answer->text + answer->size - length, end) == 0;
    }
}

/* The events that ANSWER has in order from the first on; -1 if others come
   among them.  */
static int
count_events (const struct message *answer)
{
  const char *line = answer->text;
  int count = 0;

  while ((line = strstr (line, "id: ")) != NULL)
    {
      if (line > answer->text && line[-1] == '\n'
          && atoi (line + 4) != ++count)
        return -1;
      line += 4;
    }
  return count;
}

/* MS PAUSE PREFIX DEADLINE HOST PATH ENTRY: requests streams, one after the
   other.  */
static int
streams_main (int argc, char **argv)
{
  struct message answer = { .text = calloc (1, MESSAGE_MAX + 1) };
  int64_t until;

  if (argc != 7)
    return 2;
  until = now_ms () + atoll (argv[0]);
  for (int i = 0; now_ms () < until; i++)
    {
      char head[512];
      const int64_t sent = now_ms ();
      int fd = connect_to (argv[6], ACK_MS);
      int status = 0;

      answer.size = 0;
      answer.text[0] = '\0';
      answer.whole = false;
      snprintf (head, sizeof head,
                "POST %s HTTP/1.1\r\nHost: %s\r\n"
                "Marjoramproxy-Attempt-Id: %s%05d\r\n"
                "Marjoramproxy-Deadline-Ms: %s\r\nContent-Length: 0\r\n\r\n",
                argv[5], argv[4], argv[2], i, argv[3]);
      if (fd >= 0)
        {
          set_timeout (fd, atoll (argv[3]));
          if (send_all (fd, head, strlen (head)))
            read_stream (fd, &answer);
          close (fd);
        }
      sscanf (answer.text, "HTTP/1.1 %d", &status);
      printf ("%lld stream id=%s%05d sent=%lld status=%d seal=%s whole=%s "
              "events=%d\n",
              (long long)now_ms (), argv[2], i, (long long)sent, status,
              strstr (answer.text, "\r\nMarjoramproxy-Response-Seal: ") ? "yes"
                                                                        : "no",
              answer.whole ? "yes" : "no", count_events (&answer));
      fflush (stdout);
      sleep_ms (atoll (argv[1]));
    }
  return 0;
}

/* MS STATUS TARGET ADDRESS...: waits until all answer with STATUS.  */
static int
await_main (int argc, char **argv)
{
  struct message answer = { 0 };
  int64_t until;

  if (argc < 4)
    return 2;
  until = now_ms () + atoll (argv[0]);
  for (int i = 3; i < argc; i++)
    while (
        call (argv[i], "GET", argv[2], "Host: host\r\n", "", ACK_MS, &answer)
        != atoi (argv[1]))
      {
        if (now_ms () >= until)
          return 1;
        sleep_ms (50);
      }
  return 0;
}

int
main (int argc, char **argv)
{
  static const struct
  {
    const char *name;
    int (*run) (int argc, char **argv);
  } verbs[] = { { "replica", replica_main }, { "relay", relay_main },
                { "order", order_main },     { "requests", requests_main },
                { "await", await_main },     { "streams", streams_main } };

  signal (SIGPIPE, SIG_IGN);
  if (argc == 2 && strcmp (argv[1], "now") == 0)
    {
      printf ("%lld\n", (long long)now_ms ());
      return 0;
    }
  for (size_t i = 0; argc > 1 && i < sizeof verbs / sizeof *verbs; i++)
    if (strcmp (argv[1], verbs[i].name) == 0)
      return verbs[i].run (argc - 2, argv + 2);
  fprintf (stderr,
           "usage: standin replica|relay|order|requests|streams|await|now\n");
  return 2;
}
