/* TCP relay for demo.sh.  Each argument is LISTEN=TARGET, both IP:port.
   SIGUSR1 simulates a network partition on all relays, SIGUSR2 ends it.  */
#include "lib_relay.h"

#include <event2/event.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  RELAYS_MAX = 256,
  ADDRESS_SIZE = 64
};

static struct relay *relays[RELAYS_MAX];
static int relay_count;

static bool
add_relay (struct event_base *base, const char *pair)
{
  char listen[ADDRESS_SIZE];
  const char *sign = strchr (pair, '=');

  if (!sign || sign - pair >= ADDRESS_SIZE || relay_count == RELAYS_MAX)
    return false;
  snprintf (listen, sizeof listen, "%.*s", (int)(sign - pair), pair);
  relays[relay_count] = relay_create (base, listen, sign + 1);
  return relays[relay_count++];
}

static void
on_mode_signal (evutil_socket_t number, short what, void *context)
{
  (void)what;
  (void)context;
  for (int i = 0; i < relay_count; i++)
    relay_set_mode (relays[i], number == SIGUSR1 ? RELAY_HOLD : RELAY_PASS);
}

static void
on_sigterm (evutil_socket_t number, short what, void *base)
{
  (void)number;
  (void)what;
  event_base_loopexit (base, NULL);
}

int
main (int argc, char **argv)
{
  struct event_base *base = event_base_new ();

  signal (SIGPIPE, SIG_IGN);
  for (int i = 1; i < argc; i++)
    if (!add_relay (base, argv[i]))
      {
        fprintf (stderr, "tool_relay: cannot listen for relay %s\n", argv[i]);
        return EXIT_FAILURE;
      }
  event_add (evsignal_new (base, SIGUSR1, on_mode_signal, NULL), NULL);
  event_add (evsignal_new (base, SIGUSR2, on_mode_signal, NULL), NULL);
  event_add (evsignal_new (base, SIGTERM, on_sigterm, base), NULL);
  event_base_dispatch (base);
  fflush (NULL);
  _exit (EXIT_SUCCESS); /* skips cleanup */
}
