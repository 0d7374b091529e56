/* Textual socket addresses: an IP address and a port, "10.0.0.1:8080" or
   "[fd00::1]:8080".  Host names are not accepted.  */
#ifndef MARJORAM_ADDRESS_H
#define MARJORAM_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  MARJORAM_IP_MAX = 48 /* bytes of an IP address as text, including NUL */
};

/* Returns TEXT in canonical form, malloc'd; null if it is not an IP address
   with a non-zero port.  */
char *marjoram_address_parse (const char *text);
/* Splits TEXT into IP address, without brackets, and port.  Returns false if
   it is not a valid address.  */
bool marjoram_address_split (const char *text, char ip[MARJORAM_IP_MAX],
                             uint16_t *port);

#endif
