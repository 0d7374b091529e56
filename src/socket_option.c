#include "socket_option.h"

#include <event2/util.h>

#include <errno.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stddef.h>
#include <string.h>

enum
{
  /* TCP_USER_TIMEOUT.  Allows for several retransmissions between regions
     (round trip up to about 110 ms).  */
  USER_TIMEOUT_MS = 3000,
  /* TCP keepalive: idle time, interval and count of the probes.  */
  KEEPALIVE_IDLE_S = 2,
  KEEPALIVE_INTERVAL_S = 1,
  KEEPALIVE_PROBES = 3,
  /* Of a TCP header.  */
  FLAGS_OFFSET = 13
};

void
marjoram_socket_set_options (evutil_socket_t fd)
{
  int on = 1;
  int user_timeout = USER_TIMEOUT_MS;
  int idle = KEEPALIVE_IDLE_S;
  int interval = KEEPALIVE_INTERVAL_S;
  int probes = KEEPALIVE_PROBES;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
              sizeof user_timeout);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

void
marjoram_socket_set_reset_on_close (evutil_socket_t fd, bool reset)
{
  const struct linger linger = { .l_onoff = reset, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

void
marjoram_socket_ignore_connections (evutil_socket_t fd)
{
  struct sock_filter code[] = {
    BPF_STMT (BPF_LD | BPF_B | BPF_ABS, FLAGS_OFFSET),
    BPF_JUMP (BPF_JMP | BPF_JSET | BPF_K, TH_SYN, 0, 1),
    BPF_STMT (BPF_RET | BPF_K, 0),
    BPF_STMT (BPF_RET | BPF_K, UINT32_MAX),
  };
  const struct sock_fprog program = { sizeof code / sizeof *code, code };

  setsockopt (fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

struct evconnlistener *
marjoram_socket_listen (struct event_base *base, const char *address,
                        int backlog, evconnlistener_cb on_accept,
                        void *context, struct marjoram_error *err)
{
  struct sockaddr_storage addr;
  int size = sizeof addr;
  struct evconnlistener *listener = NULL;

  if (evutil_parse_sockaddr_port (address, (struct sockaddr *)&addr, &size)
      == 0)
    listener = evconnlistener_new_bind (
        base, on_accept, context,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        backlog, (struct sockaddr *)&addr, size);
  if (!listener)
    marjoram_error_set (
        err, MARJORAM_ERROR_IO,
        "can't listen on %s: %s; free the address or change it in [listen]",
        address, strerror (errno));
  return listener;
}
