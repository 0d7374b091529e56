#include "net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

int64_t
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
sleep_ms (int64_t ms)
{
  struct timespec wait = { ms / 1000, ms % 1000 * 1000000 };

  if (ms > 0)
    nanosleep (&wait, NULL);
}

void
record (const char *format, ...)
{
  static int fd = -1;
  const char *start = getenv ("START_MS");
  char line[512];
  va_list args;
  int size;

  if (fd < 0)
    fd = open (getenv ("RECORD"), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
               0644);
  size = snprintf (line, sizeof line, "%9.3f ",
                   (double)(now_ms () - (start ? atoll (start) : 0)) / 1000);
  va_start (args, format);
  size += vsnprintf (line + size, sizeof line - (size_t)size - 1, format,
                     args);
  va_end (args);
  if ((size_t)size > sizeof line - 2)
    size = sizeof line - 2;
  line[size++] = '\n';
  if (write (fd, line, (size_t)size) != size)
    abort ();
}

static bool
parse_address (const char *text, struct sockaddr_in *address)
{
  char ip[64];
  unsigned int port;

  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  if (sscanf (text, "%63[^:]:%u", ip, &port) != 2)
    return false;
  address->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, ip, &address->sin_addr) == 1;
}

int
listen_at (const char *address)
{
  struct sockaddr_in where;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (parse_address (address, &where)
      && bind (fd, (struct sockaddr *)&where, sizeof where) == 0
      && listen (fd, 512) == 0)
    return fd;
  close (fd);
  return -1;
}

int
connect_to (const char *address, int timeout_ms)
{
  struct sockaddr_in where;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  struct pollfd wait = { fd, POLLOUT, 0 };
  int error = 0;
  int on = 1;
  socklen_t size = sizeof error;

  if (parse_address (address, &where)
      && (connect (fd, (struct sockaddr *)&where, sizeof where) == 0
          || (errno == EINPROGRESS && poll (&wait, 1, timeout_ms) == 1))
      && getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0
      && error == 0)
    {
      fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) & ~O_NONBLOCK);
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      return fd;
    }
  close (fd);
  return -1;
}

void
connection_open (struct connection *connection, int fd)
{
  connection->fd = fd;
  connection->used = 0;
}

void
connection_close (struct connection *connection)
{
  if (connection->fd >= 0)
    close (connection->fd);
  connection->fd = -1;
}

bool
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

bool
is_closed (int fd)
{
  char byte;
  ssize_t got = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

static enum read_end
read_more (struct connection *connection, int64_t deadline)
{
  struct pollfd wait = { connection->fd, POLLIN, 0 };
  const int64_t left = deadline - now_ms ();
  ssize_t got;

  if (connection->used == sizeof connection->input)
    return READ_MALFORMED;
  if (left <= 0 || poll (&wait, 1, (int)left) <= 0)
    return READ_TIMED_OUT;
  got = recv (connection->fd, connection->input + connection->used,
              sizeof connection->input - connection->used, 0);
  if (got <= 0)
    return READ_CLOSED;
  connection->used += (size_t)got;
  return READ_WHOLE;
}

static void
drop_input (struct connection *connection, size_t size)
{
  connection->used -= size;
  memmove (connection->input, connection->input + size, connection->used);
}

static enum read_end
read_bytes (struct connection *connection, int64_t deadline, size_t size)
{
  enum read_end end = READ_WHOLE;

  while (end == READ_WHOLE && connection->used < size)
    end = read_more (connection, deadline);
  return end;
}

static enum read_end
read_head (struct connection *connection, int64_t deadline,
           struct message *message)
{
  for (;;)
    {
      char *end = memmem (connection->input, connection->used, "\r\n\r\n", 4);
      enum read_end result;

      if (end)
        {
          size_t size = (size_t)(end - connection->input);

          if (size + 1 > sizeof message->head)
            return READ_MALFORMED;
          memcpy (message->head, connection->input, size);
          message->head[size] = '\0';
          drop_input (connection, size + 4);
          return READ_WHOLE;
        }
      result = read_more (connection, deadline);
      if (result != READ_WHOLE)
        return result;
    }
}

static enum read_end
read_chunks (struct connection *connection, int64_t deadline,
             struct message *message)
{
  for (;;)
    {
      char *end;
      size_t size;
      size_t line;
      enum read_end result = READ_WHOLE;

      while (!(end = memmem (connection->input, connection->used, "\r\n", 2)))
        if ((result = read_more (connection, deadline)) != READ_WHOLE)
          return result;
      line = (size_t)(end - connection->input) + 2;
      size = strtoul (connection->input, NULL, 16);
      if (message->size + size > BODY_MAX)
        return READ_MALFORMED;
      result = read_bytes (connection, deadline, line + size + 2);
      if (result != READ_WHOLE)
        return result;
      memcpy (message->body + message->size, connection->input + line, size);
      message->size += size;
      drop_input (connection, line + size + 2);
      if (size == 0)
        return READ_WHOLE;
    }
}

bool
get_header (const struct message *message, const char *name, char *value,
            size_t size)
{
  const size_t length = strlen (name);
  const char *line = strstr (message->head, "\r\n");

  while (line)
    {
      line += 2;
      if (strncasecmp (line, name, length) == 0 && line[length] == ':')
        {
          const char *text = line + length + 1;

          text += strspn (text, " \t");
          snprintf (value, size, "%.*s", (int)strcspn (text, "\r"), text);
          return true;
        }
      line = strstr (line, "\r\n");
    }
  return false;
}

static enum read_end
read_message (struct connection *connection, int64_t deadline,
              struct message *message)
{
  char value[TEXT_MAX];
  enum read_end end = read_head (connection, deadline, message);

  message->size = 0;
  message->body[0] = '\0';
  if (end != READ_WHOLE)
    return end;
  message->close = get_header (message, "Connection", value, sizeof value)
                   && strcasecmp (value, "close") == 0;
  if (get_header (message, "Transfer-Encoding", value, sizeof value))
    end = read_chunks (connection, deadline, message);
  else if (get_header (message, "Content-Length", value, sizeof value))
    {
      size_t size = strtoul (value, NULL, 10);

      if (size > BODY_MAX)
        return READ_MALFORMED;
      end = read_bytes (connection, deadline, size);
      if (end == READ_WHOLE)
        {
          memcpy (message->body, connection->input, size);
          message->size = size;
          drop_input (connection, size);
        }
    }
  message->body[message->size] = '\0';
  return end;
}

enum read_end
read_request (struct connection *connection, int64_t deadline,
              struct message *message)
{
  return read_message (connection, deadline, message);
}

enum read_end
read_response (struct connection *connection, int64_t deadline,
               struct message *message)
{
  enum read_end end = read_message (connection, deadline, message);

  if (end == READ_WHOLE
      && sscanf (message->head, "HTTP/1.1 %d", &message->status) != 1)
    return READ_MALFORMED;
  return end;
}

int
call (const char *address, const char *method, const char *path,
      const char *body, int timeout_ms)
{
  static const char format[] = "%s %s HTTP/1.1\r\nHost: %s\r\n"
                               "Content-Type: application/json\r\n"
                               "Content-Length: %zu\r\n"
                               "Connection: close\r\n\r\n%s";
  const int64_t deadline = now_ms () + timeout_ms;
  const size_t capacity = strlen (body) + 1024;
  struct connection *connection = malloc (sizeof *connection);
  struct message *message = malloc (sizeof *message);
  char *text = malloc (capacity);
  int size = snprintf (text, capacity, format, method, path, address,
                       strlen (body), body);
  int status = 0;

  connection_open (connection, connect_to (address, timeout_ms));
  if (connection->fd >= 0 && send_all (connection->fd, text, (size_t)size)
      && read_response (connection, deadline, message) == READ_WHOLE)
    status = message->status;
  connection_close (connection);
  free (connection);
  free (message);
  free (text);
  return status;
}
