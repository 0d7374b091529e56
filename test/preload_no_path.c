/* Preloaded into a host: connections to the addresses in NO_PATH_TO, "IP:port"
   separated by commas, are refused.  */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  TEXT_MAX = 64
};

static bool
is_listed (const char *list, const char *address)
{
  const size_t size = strlen (address);

  for (const char *at = list; at; at = strchr (at, ','))
    {
      at += *at == ',';
      if (strncmp (at, address, size) == 0 && (!at[size] || at[size] == ','))
        return true;
    }
  return false;
}

static bool
has_path (const struct sockaddr *address)
{
  const struct sockaddr_in *in = (const struct sockaddr_in *)address;
  char ip[INET_ADDRSTRLEN];
  char text[TEXT_MAX];

  if (address->sa_family != AF_INET)
    return true;
  inet_ntop (AF_INET, &in->sin_addr, ip, sizeof ip);
  snprintf (text, sizeof text, "%s:%u", ip, ntohs (in->sin_port));
  return !is_listed (getenv ("NO_PATH_TO"), text);
}

int
connect (int fd, const struct sockaddr *address, socklen_t size)
{
  int (*next) (int, const struct sockaddr *, socklen_t)
      = (int (*) (int, const struct sockaddr *, socklen_t))dlsym (RTLD_NEXT,
                                                                  "connect");

  if (!has_path (address))
    {
      errno = ECONNREFUSED;
      return -1;
    }
  return next (fd, address, size);
}
