#include "connect_probe.h"

#include "cleanup.h"
#include "socket_option.h"

#include <errno.h>
#include <event2/util.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uthash.h>

struct probe
{
  marjoram_connect_probes *probes;
  uint64_t number;
  int64_t deadline;
  int fd;                  /* -1 if there is none */
  int error;               /* errno of an attempt that failed at once; or 0 */
  struct event *connected; /* or failed */
  UT_hash_handle hh;
};

struct marjoram_connect_probes
{
  struct event_base *base;
  struct marjoram_clock *clock;
  const struct marjoram_connect_probes_ops *ops;
  void *context;
  struct probe *by_number;
};

marjoram_connect_probes *
marjoram_connect_probes_create (struct event_base *base,
                                struct marjoram_clock *clock,
                                const struct marjoram_connect_probes_ops *ops,
                                void *context)
{
  marjoram_connect_probes *probes = marjoram_alloc (sizeof *probes);

  probes->base = base;
  probes->clock = clock;
  probes->ops = ops;
  probes->context = context;
  return probes;
}

static void
destroy (struct probe *probe)
{
  /* False positive: list macro.  NOLINTNEXTLINE(clang-analyzer-*) */
  HASH_DELETE (hh, probe->probes->by_number, probe);
  event_free (probe->connected);
  if (probe->fd >= 0)
    close (probe->fd);
  free (probe);
}

void
marjoram_connect_probes_destroy (marjoram_connect_probes *probes)
{
  struct probe *probe;
  struct probe *next;

  if (!probes)
    return;
  HASH_ITER (hh, probes->by_number, probe, next) { destroy (probe); }
  free (probes);
}

static void
end (struct probe *probe, enum marjoram_probe_result result)
{
  marjoram_connect_probes *probes = probe->probes;
  const uint64_t number = probe->number;

  destroy (probe);
  probes->ops->ended (probes->context, number, result);
}

/* The kernel reports EHOSTUNREACH if no machine has the address.  Errors that
   are not listed say nothing about the other end, for example that this host
   has no free ports.  */
static enum marjoram_probe_result
result_of (int error)
{
  switch (error)
    {
    case 0:
      return MARJORAM_PROBE_OPEN;
    case ECONNREFUSED:
    case ECONNRESET:
      return MARJORAM_PROBE_REFUSED;
    case ETIMEDOUT:
    case EHOSTUNREACH:
    case EHOSTDOWN:
      return MARJORAM_PROBE_NO_ANSWER;
    default:
      return MARJORAM_PROBE_FAILED;
    }
}

static void
on_connected (evutil_socket_t fd, short what, void *context)
{
  struct probe *probe = context;
  socklen_t size = sizeof probe->error;

  (void)what;
  if (probe->error == 0
      && getsockopt (fd, SOL_SOCKET, SO_ERROR, &probe->error, &size) != 0)
    probe->error = errno;
  end (probe, result_of (probe->error));
}

/* Returns 0 or an errno value.  */
static int
start_connect (struct probe *probe, const char *address)
{
  struct sockaddr_storage addr;
  int size = sizeof addr;

  if (evutil_parse_sockaddr_port (address, (struct sockaddr *)&addr, &size)
      != 0)
    return EINVAL;
  probe->fd
      = socket (addr.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (probe->fd < 0)
    return errno;
  marjoram_socket_set_reset_on_close (probe->fd, true);
  return connect (probe->fd, (struct sockaddr *)&addr, (socklen_t)size) == 0
                 || errno == EINPROGRESS
             ? 0
             : errno;
}

void
marjoram_connect_probes_open (marjoram_connect_probes *probes, uint64_t number,
                              const char *address, int64_t timeout_ms)
{
  struct probe *probe = marjoram_alloc (sizeof *probe);

  probe->probes = probes;
  probe->number = number;
  probe->deadline = marjoram_clock_now (probes->clock) + timeout_ms;
  probe->fd = -1;
  probe->error = start_connect (probe, address);
  HASH_ADD (hh, probes->by_number, number, sizeof probe->number, probe);
  probe->connected
      = event_new (probes->base, probe->fd, EV_WRITE, on_connected, probe);
  if (probe->error != 0)
    event_active (probe->connected, EV_WRITE, 0);
  else
    event_add (probe->connected, NULL);
}

/* Whether the result is there, although the event loop has not come to it.  */
static bool
has_result (const struct probe *probe)
{
  struct pollfd fd = { .fd = probe->fd, .events = POLLOUT };

  return probe->error != 0 || poll (&fd, 1, 0) > 0;
}

void
marjoram_connect_probes_tick (marjoram_connect_probes *probes, int64_t lag_ms)
{
  const int64_t processed_until = marjoram_clock_now (probes->clock) - lag_ms;
  struct probe *probe;
  struct probe *next;

  HASH_ITER (hh, probes->by_number, probe, next)
  {
    if (processed_until >= probe->deadline && !has_result (probe))
      end (probe, MARJORAM_PROBE_NO_ANSWER);
  }
}

size_t
marjoram_connect_probes_pending (const marjoram_connect_probes *probes)
{
  return HASH_COUNT (probes->by_number);
}
