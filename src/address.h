/* Addresses as text: an IP number and a port, "10.0.0.1:8080" or
   "[fd00::1]:8080".  Names of hosts are not taken.  */
#ifndef MARJORAM_ADDRESS_H
#define MARJORAM_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  MARJORAM_IP_MAX = 48 /* bytes of an IP number as text, NUL included */
};

/* TEXT in its usual form, malloc'd; null if it isn't an IP number and a port
   other than 0.  */
char *marjoram_address_parse (const char *text);
/* The two parts of TEXT, without brackets; false if it isn't an address.  */
bool marjoram_address_split (const char *text, char ip[MARJORAM_IP_MAX],
                             uint16_t *port);

#endif
