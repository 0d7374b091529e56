/* Fuzz test of well-formed peer messages with invalid content.  */
#include "fuzz.h"
#include "suite.h"

#include "claim.h"
#include "config.h"
#include "frame.h"
#include "keeper.h"
#include "order.h"
#include "route.h"

#include <stdio.h>

enum
{
  MESSAGES = 6000,
  TICK_MS = 100,
  HOUR_MS = 3600 * 1000
};

/* The modules of one host that process messages from peers.  */
struct host
{
  marjoram_claims *claims;
  marjoram_orders *orders;
  marjoram_keeper *keeper;
  marjoram_suspects *suspects;
  marjoram_members *members;
  marjoram_router *router;
  marjoram_random *random;
  uint64_t pending_ticket; /* ticket of the last record to persist */
};

static void
claim_sent (void *context, int ordinal,
            const struct marjoram_claim_message *message)
{
  (void)context;
  (void)ordinal;
  marjoram_bytes_release (marjoram_frame_pack (MARJORAM_FRAME_CLAIM, message));
}

static void
claim_decided (void *context, uint64_t attempt,
               enum marjoram_claim_verdict verdict,
               const struct marjoram_stored_answer *kept)
{
  (void)context;
  (void)attempt;
  (void)verdict;
  (void)kept;
}

static void
order_sent (void *context, int ordinal,
            const struct marjoram_order_message *message)
{
  (void)context;
  (void)ordinal;
  marjoram_bytes_release (marjoram_frame_pack (MARJORAM_FRAME_ORDER, message));
}

static void
order_lease (void *context, uint64_t fence)
{
  (void)context;
  (void)fence;
}

static void
keeper_sent (void *context, const char *slot,
             const struct marjoram_keeper_message *message)
{
  (void)context;
  (void)slot;
  marjoram_bytes_release (
      marjoram_frame_pack (MARJORAM_FRAME_KEEPER, message));
}

static void
keeper_persist (void *context, uint64_t ticket, marjoram_bytes *record)
{
  (void)record;
  ((struct host *)context)->pending_ticket = ticket;
}

static void
keeper_chosen (void *context, const struct marjoram_state *state)
{
  (void)context;
  (void)state;
}

static void
keeper_answered (void *context, uint64_t request,
                 const struct marjoram_apply_answer *answer)
{
  (void)context;
  (void)request;
  (void)answer;
}

static bool
keeper_valid (void *context, const struct marjoram_state *state,
              struct marjoram_error *err)
{
  (void)context;
  marjoram_config *config = marjoram_config_create (state, NULL, err);

  marjoram_config_release (config);
  return config != NULL;
}

static void
create_host (struct host *host)
{
  static const struct marjoram_claims_ops claims_ops
      = { claim_sent, claim_decided };
  static const struct marjoram_orders_ops orders_ops
      = { order_sent, order_lease };
  static const struct marjoram_keeper_ops keeper_ops
      = { .send = keeper_sent,
          .persist = keeper_persist,
          .chosen = keeper_chosen,
          .answered = keeper_answered,
          .valid = keeper_valid };
  static const struct marjoram_claims_options claims_options
      = { 3, 0, 5, HOUR_MS, HOUR_MS, 1000 };
  static const struct marjoram_orders_options orders_options
      = { 3, 0, 5, 1000, 1000 };
  static const char *const first[] = { "hba-1-a", "hba-1-b", "hba-1-c" };
  const struct marjoram_keeper_options keeper_options = { .slot = "hba-1-a",
                                                          .store_id = "store",
                                                          .first = first,
                                                          .first_count = 3,
                                                          .incarnation = 1 };

  host->random = marjoram_random_create (1);
  host->claims = marjoram_claims_create (&claims_options, &claims_ops, host);
  host->orders = marjoram_orders_create (&orders_options, &orders_ops, host);
  host->keeper = marjoram_keeper_create (&keeper_options, &keeper_ops, host,
                                         host->random, NULL);
  host->suspects = marjoram_suspects_create (HOUR_MS);
  host->members = marjoram_members_create ("hba-1", 0);
  host->router = marjoram_router_create ("hba-1", host->members,
                                         host->suspects, host->random);
}

static void
destroy_host (struct host *host)
{
  marjoram_router_destroy (host->router);
  marjoram_members_destroy (host->members);
  marjoram_suspects_destroy (host->suspects);
  marjoram_keeper_destroy (host->keeper);
  marjoram_orders_destroy (host->orders);
  marjoram_claims_destroy (host->claims);
  marjoram_random_destroy (host->random);
}

static void
deliver (struct host *host, int64_t now, enum marjoram_frame_type type,
         int from, const void *message)
{
  static const char *const slots[] = { "hba-1-a", "hba-1-b", "hba-1-c" };

  switch (type)
    {
    case MARJORAM_FRAME_UPSTREAM:
      marjoram_members_announce (host->members, now, message, true);
      break;
    case MARJORAM_FRAME_CLAIM:
      marjoram_claims_receive (host->claims, now, from, message);
      break;
    case MARJORAM_FRAME_ORDER:
      marjoram_orders_receive (host->orders, now, from, message);
      break;
    case MARJORAM_FRAME_KEEPER:
      marjoram_keeper_receive (host->keeper, now, slots[from], message);
      break;
    case MARJORAM_FRAME_SUSPECT:
      marjoram_suspects_apply (host->suspects, now, message);
      break;
    default:
      marjoram_router_process_offers (host->router, now, message, 1);
      break;
    }
}

static void
tick (struct host *host, int64_t now)
{
  marjoram_claims_tick (host->claims, now, HOUR_MS + now);
  marjoram_orders_tick (host->orders, now);
  marjoram_keeper_tick (host->keeper, now);
  if (host->pending_ticket)
    marjoram_keeper_persisted (host->keeper, now, host->pending_ticket, true);
  host->pending_ticket = 0;
  marjoram_suspects_tick (host->suspects, now);
  marjoram_members_tick (host->members, now, NULL, NULL);
}

static marjoram_config *
example_config (struct input *in)
{
  static const char *const names[] = { "sites", "works", "callers" };
  struct marjoram_state *state = marjoram_state_copy (NULL);
  marjoram_config *config;

  for (int i = 0; i < 3; i++)
    {
      char path[64];
      struct marjoram_file file = { (char *)names[i], 1, NULL, NULL };

      snprintf (path, sizeof path, "examples/huon/%s.ini", names[i]);
      load_input (in, path);
      in->data[in->size] = 0;
      file.text = (char *)in->data;
      marjoram_state_set_file (state, &file);
    }
  config = marjoram_config_create (state, NULL, NULL);
  ck_assert_ptr_nonnull (config);
  marjoram_state_destroy (state);
  return config;
}

/* Messages with missing names, or with ordinals, kinds and numbers out of
   range, must not crash a module or make it send a message that exceeds the
   limits of its layout.  */
START_TEST (modules_survive_invalid_messages)
{
  static const enum marjoram_frame_type types[]
      = { MARJORAM_FRAME_UPSTREAM, MARJORAM_FRAME_CLAIM,
          MARJORAM_FRAME_ORDER,    MARJORAM_FRAME_KEEPER,
          MARJORAM_FRAME_SUSPECT,  MARJORAM_FRAME_OFFERS };
  enum marjoram_frame_type type = types[_i];
  const struct marjoram_layout *layout = marjoram_frame_layout (type);
  static struct input in;
  struct host host = { 0 };
  marjoram_config *config;

  in.random = marjoram_random_create ((uint64_t)_i);
  config = example_config (&in);
  create_host (&host);
  marjoram_router_configure (host.router, 0, config);
  marjoram_config_release (config);
  for (int64_t n = 0; n < MESSAGES; n++)
    {
      void *message = marjoram_alloc (layout->size);

      fill_message (&in, layout, message);
      deliver (&host, n * TICK_MS, type, (int)below (&in, 3), message);
      marjoram_wire_destroy (layout, message);
      tick (&host, n * TICK_MS);
    }
  destroy_host (&host);
  marjoram_random_destroy (in.random);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("fuzz_message");
  TCase *c = tcase_create ("fuzz_message");

  tcase_set_timeout (c, 60);
  tcase_add_loop_test (c, modules_survive_invalid_messages, 0, 6);
  suite_add_tcase (s, c);
  return s;
}
