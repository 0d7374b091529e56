#include "address.h"

#include "cleanup.h"

#include <arpa/inet.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

bool
marjoram_address_split (const char *text, char ip[MARJORAM_IP_MAX],
                        uint16_t *port)
{
  struct sockaddr_storage storage = { 0 };
  int size = sizeof storage;
  const struct sockaddr_in *v4 = (const struct sockaddr_in *)&storage;
  const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)&storage;

  if (evutil_parse_sockaddr_port (text, (struct sockaddr *)&storage, &size))
    return false;
  if (storage.ss_family == AF_INET)
    {
      inet_ntop (AF_INET, &v4->sin_addr, ip, MARJORAM_IP_MAX);
      *port = ntohs (v4->sin_port);
    }
  else
    {
      inet_ntop (AF_INET6, &v6->sin6_addr, ip, MARJORAM_IP_MAX);
      *port = ntohs (v6->sin6_port);
    }
  return *port != 0;
}

char *
marjoram_address_parse (const char *text)
{
  char ip[MARJORAM_IP_MAX];
  uint16_t port;
  char *whole;
  bool v6;

  if (!marjoram_address_split (text, ip, &port))
    return NULL;
  v6 = strchr (ip, ':') != NULL;
  if (asprintf (&whole, "%s%s%s:%u", v6 ? "[" : "", ip, v6 ? "]" : "", port)
      < 0)
    abort ();
  return whole;
}
