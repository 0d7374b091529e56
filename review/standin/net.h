/* Blocking HTTP/1.1 over TCP for the stand-ins, and lines of the record.  */
#ifndef REVIEW_NET_H
#define REVIEW_NET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  HEAD_MAX = 32 * 1024,
  BODY_MAX = 64 * 1024,
  TEXT_MAX = 128
};

/* How reading a message ended.  */
enum read_end
{
  READ_WHOLE,
  READ_CLOSED, /* the other side closed or reset the connection */
  READ_TIMED_OUT,
  READ_MALFORMED
};

struct connection
{
  int fd;
  char input[HEAD_MAX + BODY_MAX];
  size_t used; /* bytes of INPUT that are not part of a message yet */
};

struct message
{
  char head[HEAD_MAX]; /* NUL-terminated, without the last empty line */
  char body[BODY_MAX + 1];
  size_t size; /* of BODY */
  int status;  /* of a response */
  bool close;  /* Connection: close */
};

/* Milliseconds of the steady clock.  */
int64_t now_ms (void);
void sleep_ms (int64_t ms);

/* Appends a line to the record that the variable RECORD names: the time since
   START_MS, then the text.  */
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/* Sockets for "IP:PORT"; -1 on failure.  */
int listen_at (const char *address);
int connect_to (const char *address, int timeout_ms);

void connection_open (struct connection *connection, int fd);
void connection_close (struct connection *connection);
bool send_all (int fd, const char *data, size_t size);
/* Whether the other side has closed the connection.  */
bool is_closed (int fd);

enum read_end read_request (struct connection *connection, int64_t deadline,
                            struct message *message);
enum read_end read_response (struct connection *connection, int64_t deadline,
                             struct message *message);
/* Copies the value of header NAME; returns false if there is none.  */
bool get_header (const struct message *message, const char *name, char *value,
                 size_t size);

/* Sends a call on a connection of its own; returns the status, or 0.  */
int call (const char *address, const char *method, const char *path,
          const char *body, int timeout_ms);

#endif
