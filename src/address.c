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
  const struct sockaddr_in *in4 = (const struct sockaddr_in *)&storage;
  const struct sockaddr_in6 *in6 = (const struct sockaddr_in6 *)&storage;

  if (evutil_parse_sockaddr_port (text, (struct sockaddr *)&storage, &size))
    return false;
  if (storage.ss_family == AF_INET)
    {
      inet_ntop (AF_INET, &in4->sin_addr, ip, MARJORAM_IP_MAX);
      *port = ntohs (in4->sin_port);
    }
  else
    {
      inet_ntop (AF_INET6, &in6->sin6_addr, ip, MARJORAM_IP_MAX);
      *port = ntohs (in6->sin6_port);
    }
  return *port != 0;
}

char *
marjoram_address_parse (const char *text)
{
  char ip[MARJORAM_IP_MAX];
  uint16_t port;
  char *result;
  bool is_v6;

  if (!marjoram_address_split (text, ip, &port))
    return NULL;
  is_v6 = strchr (ip, ':') != NULL;
  if (asprintf (&result, "%s%s%s:%u", is_v6 ? "[" : "", ip, is_v6 ? "]" : "",
                port)
      < 0)
    abort ();
  return result;
}
