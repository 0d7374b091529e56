#include "host_state.h"

#include "cleanup.h"
#include "log.h"

#include <string.h>

/* ---- Configuration.  ---- */

/* Looks up this host's slot in the configuration.  Claims and orders are
   created when a slot is first found; a later change of the zone's slot count
   takes effect when the zone's hosts are restarted one by one.  */
static void
locate_self (marjoram_host *host)
{
  int index = marjoram_config_find_slot (host->config, host->settings->slot);

  host->zone = marjoram_config_find_zone (host->config, host->settings->zone);
  host->self = -1;
  if (index < 0 || host->zone < 0
      || marjoram_config_slot (host->config, index)->zone != host->zone)
    {
      marjoram_log (MARJORAM_LOG_WARNING,
                    "configuration %llu has no slot %s in zone %s; add it to "
                    "the operators' files or correct the [host] section",
                    (unsigned long long)marjoram_config_number (host->config),
                    host->settings->slot, host->settings->zone);
      host->zone = -1;
      return;
    }
  host->self = marjoram_config_slot (host->config, index)->ordinal;
  marjoram_members_set_self (host->members, host->self);
  if (!host->claims)
    marjoram_host_create_zone (host);
}

static void
apply_configuration (marjoram_host *host, int64_t now,
                     const struct marjoram_state *state)
{
  struct marjoram_error err = { 0 };
  marjoram_config *config;

  if (state->files.count == 0
      || (host->config
          && state->number <= marjoram_config_number (host->config)))
    return;
  config = marjoram_config_create (state, NULL, &err);
  if (!config)
    {
      marjoram_log (MARJORAM_LOG_ERROR, "configuration %llu rejected: %s",
                    (unsigned long long)state->number, err.message);
      return;
    }
  marjoram_config_release (host->config);
  host->config = config;
  marjoram_counters_add (host->counters, MARJORAM_COUNTER_CONFIG_APPLIED, 1);
  marjoram_log (MARJORAM_LOG_NOTICE, "configuration %llu is in force",
                (unsigned long long)state->number);
  locate_self (host);
  marjoram_router_configure (host->router, now, config);
  marjoram_links_plan (host);
  marjoram_links_send_heartbeats (host, now);
}

static void
on_gossip_ask (void *context, const char *slot,
               const struct marjoram_state_ask *ask)
{
  marjoram_host *host = context;

  marjoram_link_send_any (host, slot, MARJORAM_FRAME_STATE_ASK, ask);
}

static void
on_gossip_piece (void *context, const char *slot,
                 const struct marjoram_state_piece *piece)
{
  marjoram_host *host = context;

  marjoram_link_send_any (host, slot, MARJORAM_FRAME_STATE_PIECE, piece);
}

static void
on_gossip_adopted (void *context, const struct marjoram_state *state)
{
  marjoram_host *host = context;

  apply_configuration (host, host->now, state);
}

static const struct marjoram_state_gossip_ops gossip_ops
    = { on_gossip_ask, on_gossip_piece, on_gossip_adopted };

marjoram_state_gossip *
marjoram_host_create_gossip (marjoram_host *host, int64_t now)
{
  const struct marjoram_settings *settings = host->settings;
  struct marjoram_state_gossip_options options;

  options.keepers = (const char *const *)settings->first_keepers;
  options.keeper_count = settings->first_keeper_count;
  return marjoram_state_gossip_create (&options, &gossip_ops, host, now);
}

/* ---- Keeper.  ---- */

static void
keeper_send (void *context, const char *slot,
             const struct marjoram_keeper_message *message)
{
  marjoram_host *host = context;

  host->ops->send (host->context, slot, MARJORAM_FRAME_KEEPER, message);
}

static void
keeper_persist (void *context, uint64_t ticket, marjoram_bytes *record)
{
  marjoram_host *host = context;

  host->ops->persist (host->context, ticket, record);
}

static void
keeper_chosen (void *context, const struct marjoram_state *state)
{
  marjoram_host *host = context;

  marjoram_state_gossip_set_local (host->gossip, host->now, state);
}

static void
keeper_answered (void *context, uint64_t request,
                 const struct marjoram_apply_answer *answer)
{
  marjoram_apply_answered (context, request, answer);
}

/* Rejects states too large for one frame, which no host could receive.  */
static bool
fits_frame (const struct marjoram_state *state, struct marjoram_error *err)
{
  const struct marjoram_file *file = state->files.items;
  size_t size = 0;

  for (size_t i = 0; i < state->files.count; i++)
    size += strlen (file[i].text);
  if (size <= MARJORAM_STATE_MAX)
    return true;
  return marjoram_error_set (err, MARJORAM_ERROR_LIMIT,
                             "files total %zu bytes, over the 16 MiB limit of "
                             "a state transfer; make them smaller",
                             size);
}

static bool
keeper_valid (void *context, const struct marjoram_state *state,
              struct marjoram_error *err)
{
  marjoram_config *config;

  (void)context;
  if (!fits_frame (state, err))
    return false;
  config = marjoram_config_create (state, NULL, err);
  if (!config)
    return false;
  marjoram_config_release (config);
  return true;
}

static const struct marjoram_keeper_ops keeper_ops
    = { .send = keeper_send,
        .persist = keeper_persist,
        .chosen = keeper_chosen,
        .answered = keeper_answered,
        .valid = keeper_valid };

bool
marjoram_host_create_keeper (marjoram_host *host,
                             const struct marjoram_host_options *options,
                             struct marjoram_error *err)
{
  const struct marjoram_settings *settings = options->settings;
  struct marjoram_keeper_options keeper = { 0 };

  keeper.slot = settings->slot;
  keeper.store_id = options->store_id;
  keeper.first = (const char *const *)settings->first_keepers;
  keeper.first_count = settings->first_keeper_count;
  keeper.incarnation = options->store_incarnation;
  keeper.record = options->record;
  host->keeper
      = marjoram_keeper_create (&keeper, &keeper_ops, host, host->random, err);
  return host->keeper != NULL;
}
