/* The operator of case 2.  It empties one zone after the other for ROUND_MS
   each: the order that takes a zone back and the one that empties the next go to
   the same keeper, another one in each round, at the same moment or, with
   TROUBLE=0, one after the other.  An order that has no 2xx answer is sent
   again, to the next keeper.

   Counts the keepers' processes that ended by themselves.  */
#include "net.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  KEEPERS = 3,
  ROUNDS = 15,
  ROUND_MS = 1500,
  CALL_MS = 1000,
  AGAIN_MS = 200,
  ORDER_MS = 6000, /* ack_ms */
  ENDS = 3,        /* of a machine, by the rule */
  MACHINES = 2     /* half of the core, rounded up */
};

static char **keepers;

struct order
{
  char path[TEXT_MAX];
  const char *body;
  int keeper; /* to which it is sent first */
  int timeout_ms;
  bool acknowledged;
};

static void *
send_order (void *context)
{
  struct order *order = context;
  const int64_t end = now_ms () + order->timeout_ms;

  for (int i = 0; !order->acknowledged && now_ms () < end; i++)
    {
      const int keeper = (order->keeper + i) % KEEPERS;
      int status
          = call (keepers[keeper], "POST", order->path, order->body, CALL_MS);

      record ("operator: POST %s to keeper %d -> %d", order->path, keeper + 1,
              status);
      order->acknowledged = status / 100 == 2;
      if (!order->acknowledged)
        sleep_ms (AGAIN_MS);
    }
  return NULL;
}

static void
set_order (struct order *order, const char *zone, const char *what, int keeper)
{
  *order = (struct order){ .body = "", .keeper = keeper,
                           .timeout_ms = ORDER_MS };
  snprintf (order->path, sizeof order->path, "/-/evacuations/%s/%s", zone,
            what);
}

static bool
send_config (void)
{
  struct order order = {
    .path = "/-/config/replace",
    .body = "{\"version\":7,\"routes\":[{\"name\":\"flip\","
            "\"host\":\"board.example\",\"path_prefix\":\"/flip/\","
            "\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"
            "\"target_latency_ms\":300,\"priority\":2,"
            "\"service\":\"board-app\",\"max_attempts\":1,"
            "\"home_regions\":[]}],\"services\":[{\"name\":\"board-app\","
            "\"health_path\":\"/health\",\"max_connections\":110,"
            "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,"
            "\"cold_per_s\":0.0}],\"limits\":{\"max_header_bytes\":16384,"
            "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            "\"idle_timeout_ms\":15000}}",
    .timeout_ms = 30000
  };

  send_order (&order);
  return order.acknowledged;
}

/* The number of times that the record tells of the end of KEEPER.  */
static int
count_ends (int keeper)
{
  FILE *file = fopen (getenv ("RECORD"), "r");
  char line[512];
  char text[64];
  int count = 0;

  if (!file)
    exit (2);
  snprintf (text, sizeof text, "process keeper-%d has ended by itself", keeper);
  while (fgets (line, sizeof line, file))
    count += strstr (line, text) != NULL;
  fclose (file);
  return count;
}

/* client_2 KEEPER KEEPER KEEPER  */
int
main (int argc, char **argv)
{
  static const char *const zones[] = { "ba-hall-a", "za-hall-a", "ke-hall-a" };
  const bool trouble = strcmp (getenv ("TROUBLE"), "0") != 0;
  int unanswered = 0;
  int machines = 0;

  if (argc != KEEPERS + 1)
    return 2;
  keepers = argv + 1;
  if (!send_config ())
    return 2;
  sleep_ms (2000);
  for (int i = 0; i < ROUNDS; i++)
    {
      struct order finish;
      struct order begin;
      pthread_t thread;

      set_order (&finish, zones[(i + 2) % 3], "finish", i % KEEPERS);
      set_order (&begin, zones[i % 3], "begin", i % KEEPERS);
      pthread_create (&thread, NULL, send_order, &finish);
      if (!trouble)
        pthread_join (thread, NULL);
      send_order (&begin);
      if (trouble)
        pthread_join (thread, NULL);
      unanswered += !finish.acknowledged + !begin.acknowledged;
      sleep_ms (ROUND_MS);
    }
  for (int keeper = 1; keeper <= KEEPERS; keeper++)
    {
      int ends = count_ends (keeper);

      record ("keeper %d ended by itself %d times", keeper, ends);
      machines += ends >= ENDS;
    }
  record ("%d of %d keepers ended by themselves %d times or more (the rule "
          "allows %d); orders without an acknowledgement: %d",
          machines, KEEPERS, ENDS, MACHINES - 1, unanswered);
  return machines >= MACHINES ? 1 : 0;
}
