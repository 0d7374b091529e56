/* The role of a keeper: agrees on the configuration with the other keepers,
   hears upstreams and operators, tells all hosts.  */
#include "role.h"

#include "cleanup.h"
#include "crash_list.h"
#include "disk.h"
#include "event_log.h"
#include "gateway_report.h"
#include "keeper_care.h"
#include "registrar.h"

#include <inttypes.h>
#include <sodium.h>
#include <string.h>
#include <uthash.h>

enum
{
  /* A host that says it lacks the state is sent it again after this long.  */
  GIVE_AGAIN_MS = 1000,
  /* A keeper gives the state to the hosts of its own region at once, to others
     only if they lack it still after so long, as their own keepers may be
     gone: it takes two round trips between regions for those to have it.  Of a
     deployment with two keepers in each of three regions each host gets two
     copies instead of six.  */
  GIVE_FAR_MS = 500,
  CARE_EVERY_MS = 200,
  TICK_KEEPER_MS = 100,
  /* After the signal to stop, for answers to leave the sockets.  */
  LINGER_MS = 300,
  STATUS_OK = 200,
  STATUS_UNAVAILABLE = 503
};

/* Requests of the caretaker have numbers that the registrar never uses.  */
#define CARE_REQUEST UINT64_MAX

/* When a host was given the state last.  There are as many as hosts were ever
   seen.  */
struct given
{
  int64_t at;
  UT_hash_handle hh;
  char host[];
};

struct keeper_role
{
  struct marjoram_role role;
  const struct marjoram_role_parts *parts;
  marjoram_registry *registry;
  marjoram_registrar *registrar;
  marjoram_random *random;
  marjoram_disk *disk;
  marjoram_keeper *keeper;
  marjoram_keeper_care *care;
  marjoram_crash_list *crashes; /* for hosts that have just started */
  int64_t cared_at;
  int64_t ticked_at;
  int64_t chosen_at; /* when the newest state was */
  struct given *given;
  int64_t stopped_at;
};

static int64_t
now_of (const struct keeper_role *self)
{
  return marjoram_clock_now (self->parts->clock);
}

/* ---- The keeper's operations.  ---- */

static void
op_send (void *context, const char *slot,
         const struct marjoram_keeper_message *message)
{
  struct keeper_role *self = context;

  marjoram_host_links_send (self->parts->links, slot, MARJORAM_FRAME_KEEPER,
                            message);
}

static void
op_persist (void *context, uint64_t ticket, marjoram_bytes *record)
{
  struct keeper_role *self = context;

  marjoram_disk_write (self->disk, ticket, record);
}

static marjoram_bytes *
pack_state (const struct marjoram_state *state)
{
  struct marjoram_state *copy = marjoram_state_copy (state);
  marjoram_bytes *packed;

  marjoram_state_forget_changes (copy);
  packed = marjoram_wire_pack (&marjoram_state_layout, copy);
  marjoram_state_destroy (copy);
  return packed;
}

static void
op_chosen (void *context, const struct marjoram_state *state)
{
  struct keeper_role *self = context;
  struct marjoram_config_give give = { pack_state (state) };
  const struct marjoram_file *routes
      = marjoram_state_file (state, MARJORAM_FILE_ROUTES);

  marjoram_event (MARJORAM_EVENT_CONFIG,
                  "state=chosen number=%" PRIu64 " version=%" PRIu64
                  " members=%zu changing=%d",
                  state->number, routes ? routes->version : 0,
                  state->members.count, state->next_members.count > 0);
  self->chosen_at = now_of (self);
  marjoram_host_links_tell_in (self->parts->links, false,
                               self->parts->settings->region,
                               MARJORAM_FRAME_CONFIG_GIVE, &give);
  marjoram_bytes_release (give.state);
}

static void
op_answered (void *context, uint64_t request,
             const struct marjoram_apply_answer *answer)
{
  struct keeper_role *self = context;

  if (request != CARE_REQUEST)
    {
      marjoram_registrar_decided (self->registrar, now_of (self), request,
                                  answer);
      return;
    }
  marjoram_event (MARJORAM_EVENT_KEEPER,
                  "state=replaced outcome=%d result=%d why=\"%s\"",
                  (int)answer->outcome, (int)answer->result,
                  answer->message ? answer->message : "");
}

/* What operators send is checked before it is proposed.  */
static bool
op_valid (void *context, const struct marjoram_state *state,
          struct marjoram_error *err)
{
  (void)context;
  (void)state;
  (void)err;
  return true;
}

static const struct marjoram_keeper_ops keeper_ops = {
  .send = op_send,
  .persist = op_persist,
  .chosen = op_chosen,
  .answered = op_answered,
  .valid = op_valid,
};

static void
on_written (void *context, uint64_t ticket, bool ok)
{
  struct keeper_role *self = context;

  if (!ok)
    marjoram_event (MARJORAM_EVENT_KEEPER, "state=disk-failed ticket=%" PRIu64,
                    ticket);
  marjoram_keeper_persisted (self->keeper, now_of (self), ticket, ok);
}

static const struct marjoram_disk_ops disk_ops = { .written = on_written };

/* ---- The registrar's operations.  ---- */

static void
reg_answer (void *context, uint64_t ask, int status, const char *body,
            size_t size)
{
  struct keeper_role *self = context;

  marjoram_ask_server_answer (self->parts->asks, ask, status,
                              "application/json", body, size);
}

/* The part of BATCH that concerns REGION; of one that only its leave was heard
   the zone is not known, so that it concerns all.  */
static void
pick_region (const struct marjoram_gateway_settings *settings,
             const char *region, const struct marjoram_news_batch *batch,
             struct marjoram_news_batch *part)
{
  const struct marjoram_news_item *items = batch->items.items;
  struct marjoram_news_item *picked
      = marjoram_alloc (batch->items.count * sizeof *picked);

  part->ticket = batch->ticket;
  part->items.items = picked;
  part->items.count = 0;
  for (size_t i = 0; i < batch->items.count; i++)
    {
      const char *in
          = marjoram_gateway_settings_region (settings, items[i].zone);

      if (!in || strcmp (in, region) == 0)
        picked[part->items.count++] = items[i];
    }
}

static bool
was_told (const struct marjoram_gateway_settings *settings, size_t zone)
{
  for (size_t i = 0; i < zone; i++)
    if (strcmp (settings->zones[i].region, settings->zones[zone].region) == 0)
      return true;
  return false;
}

/* Hosts use upstreams of their own region only, and hear of no others: that
   saves most of the bytes between regions.  */
static size_t
tell_regions (struct keeper_role *self,
              const struct marjoram_news_batch *batch, bool keepers_too)
{
  const struct marjoram_gateway_settings *settings = self->parts->settings;
  size_t told = 0;

  for (size_t i = 0; i < settings->zone_count; i++)
    {
      const char *region = settings->zones[i].region;
      struct marjoram_news_batch part;

      if (was_told (settings, i))
        continue;
      pick_region (settings, region, batch, &part);
      if (part.items.count > 0)
        told += marjoram_host_links_tell_in (self->parts->links, false, region,
                                             MARJORAM_FRAME_NEWS, &part);
      if (part.items.count > 0 && keepers_too)
        told += marjoram_host_links_tell_in (self->parts->links, true, region,
                                             MARJORAM_FRAME_NEWS, &part);
      free (part.items.items);
    }
  return told;
}

/* Of what changes all keepers hear: a late word of an upstream's former life,
   or one from before its leave, may come to any of them.  */
static size_t
reg_tell (void *context, const struct marjoram_news_batch *batch)
{
  struct keeper_role *self = context;
  size_t told = marjoram_host_links_tell_in (self->parts->links, true, NULL,
                                             MARJORAM_FRAME_NEWS, batch);

  return told + tell_regions (self, batch, false);
}

static void
reg_renew (void *context, const struct marjoram_news_batch *batch)
{
  tell_regions (context, batch, true);
}

static void
reg_apply (void *context, uint64_t request, const char *change_id,
           const struct marjoram_file *file)
{
  struct keeper_role *self = context;

  marjoram_keeper_apply (self->keeper, now_of (self), request, change_id,
                         file);
}

static void
reg_read (void *context, uint64_t request)
{
  struct keeper_role *self = context;

  marjoram_keeper_read (self->keeper, now_of (self), request);
}

static const struct marjoram_state *
reg_state (void *context)
{
  struct keeper_role *self = context;

  return marjoram_keeper_chosen (self->keeper);
}

static const struct marjoram_registrar_ops registrar_ops = {
  .answer = reg_answer,
  .tell = reg_tell,
  .renew = reg_renew,
  .apply = reg_apply,
  .read = reg_read,
  .state = reg_state,
};

static bool
knows_zone (void *context, const char *zone)
{
  struct keeper_role *self = context;

  return marjoram_gateway_settings_region (self->parts->settings, zone)
         != NULL;
}

/* ---- The role's operations.  ---- */

static struct keeper_role *
self_of (struct marjoram_role *role)
{
  return (struct keeper_role *)role;
}

static void
give_state (struct keeper_role *self, const char *host, uint64_t session)
{
  const struct marjoram_state *state = marjoram_keeper_state (self->keeper);
  struct marjoram_config_give give;

  if (!state)
    return;
  give.state = pack_state (state);
  marjoram_host_links_reply (self->parts->links, host, session,
                             MARJORAM_FRAME_CONFIG_GIVE, &give);
  marjoram_bytes_release (give.state);
}

/* Of all upstreams to a keeper, of those of its region to a host.  */
static void
give_news (struct keeper_role *self, const char *host, uint64_t session,
           const struct marjoram_host_beat *beat)
{
  struct marjoram_news_batch all;
  struct marjoram_news_batch part;

  marjoram_registrar_all (self->registrar, now_of (self), &all);
  pick_region (self->parts->settings, beat->region, &all, &part);
  marjoram_host_links_reply (self->parts->links, host, session,
                             MARJORAM_FRAME_NEWS, beat->keeper ? &all : &part);
  free (part.items.items);
  free (all.items.items);
}

static void
give_crashes (struct keeper_role *self, const char *host, uint64_t session)
{
  struct marjoram_crash_report all;

  if (marjoram_crash_list_count (self->crashes) == 0)
    return;
  marjoram_crash_list_all (self->crashes, &all);
  marjoram_host_links_reply (self->parts->links, host, session,
                             MARJORAM_FRAME_CRASHES, &all);
  marjoram_wire_clear (&marjoram_crash_report_layout, &all);
}

/* The sender has told the hosts of its own region.  A keeper passes it on in
   its own region only, so that no host hears it from each keeper.  */
static void
hear_crashes (struct keeper_role *self, const char *host,
              const struct marjoram_crash_report *report)
{
  const char *region = self->parts->settings->region;
  const struct marjoram_listed_host *sender
      = marjoram_host_list_find (self->parts->hosts, host);

  marjoram_crash_list_hear (self->crashes, now_of (self), report);
  if (sender && strcmp (sender->beat.region, region) != 0)
    marjoram_host_links_tell_in (self->parts->links, false, region,
                                 MARJORAM_FRAME_CRASHES, report);
}

/* Whether HOST, which lacks the state, is to be given it now; if so, that is
   noted.  */
static bool
take_turn (struct keeper_role *self, const char *host, bool first,
           const struct marjoram_host_beat *beat)
{
  bool near = strcmp (beat->region, self->parts->settings->region) == 0;
  int64_t now = now_of (self);
  struct given *given;

  if (!near && (first || now < self->chosen_at + GIVE_FAR_MS))
    return false;
  HASH_FIND_STR (self->given, host, given);
  if (!given)
    {
      given = marjoram_alloc (sizeof *given + strlen (host) + 1);
      memcpy (given->host, host, strlen (host) + 1);
      HASH_ADD_STR (self->given, host, given);
    }
  else if (!first && now < given->at + GIVE_AGAIN_MS)
    return false;
  given->at = now;
  return true;
}

static void
role_beat (struct marjoram_role *role, const char *host, uint64_t session,
           bool first, const struct marjoram_host_beat *beat)
{
  struct keeper_role *self = self_of (role);
  const struct marjoram_state *state = marjoram_keeper_state (self->keeper);

  if (beat->config_number > 0)
    marjoram_keeper_heard (self->keeper, beat->config_number);
  if (first)
    {
      give_news (self, host, session, beat);
      give_crashes (self, host, session);
    }
  if (beat->keeper || !state || beat->config_number >= state->number)
    return;
  if (take_turn (self, host, first, beat))
    give_state (self, host, session);
}

static void
role_frame (struct marjoram_role *role, const char *host, uint64_t session,
            enum marjoram_frame_type type, void *message)
{
  struct keeper_role *self = self_of (role);
  const struct marjoram_news_batch *batch = message;
  const struct marjoram_news_seen *seen = message;
  int64_t now = now_of (self);

  if (type == MARJORAM_FRAME_KEEPER)
    marjoram_keeper_receive (self->keeper, now, host, message);
  else if (type == MARJORAM_FRAME_NEWS)
    {
      marjoram_registrar_hear (self->registrar, now, batch);
      if (batch->ticket)
        {
          const struct marjoram_news_seen reply = { batch->ticket };

          marjoram_host_links_reply (self->parts->links, host, session,
                                     MARJORAM_FRAME_NEWS_SEEN, &reply);
        }
    }
  else if (type == MARJORAM_FRAME_NEWS_SEEN)
    marjoram_registrar_seen (self->registrar, seen->ticket);
  else if (type == MARJORAM_FRAME_CRASHES)
    hear_crashes (self, host, message);
  marjoram_wire_destroy (marjoram_frame_layout (type), message);
}

static void
role_session_closed (struct marjoram_role *role, const char *host,
                     uint64_t session)
{
  (void)role;
  (void)host;
  (void)session;
}

static void
role_link_lost (struct marjoram_role *role, const char *host)
{
  (void)role;
  (void)host;
}

static void
role_fill_beat (struct marjoram_role *role, struct marjoram_host_beat *beat)
{
  struct keeper_role *self = self_of (role);
  const struct marjoram_state *state = marjoram_keeper_state (self->keeper);

  beat->ready = self->stopped_at == 0;
  beat->leaving = self->stopped_at != 0;
  beat->config_number = state ? state->number : 0;
}

static void
role_ask (struct marjoram_role *role, uint64_t ask, const char *method,
          const char *target, const char *body, size_t size)
{
  struct keeper_role *self = self_of (role);

  if (self->stopped_at)
    reg_answer (self, ask, STATUS_UNAVAILABLE, NULL, 0);
  else
    marjoram_registrar_receive (self->registrar, now_of (self), ask, method,
                                target, body, size);
}

static json_t *
role_report (struct marjoram_role *role, int64_t now)
{
  struct keeper_role *self = self_of (role);
  const struct marjoram_state *state = marjoram_keeper_chosen (self->keeper);
  const struct marjoram_file *routes
      = state ? marjoram_state_file (state, MARJORAM_FILE_ROUTES) : NULL;
  struct marjoram_names zones = marjoram_agreed_evacuations (state);
  json_t *report = json_pack (
      "{s:s, s:I, s:o, s:o, s:o}", "role", "keeper", "config_version",
      (json_int_t)(routes ? routes->version : 0), "evacuated",
      marjoram_gateway_report_zones (&zones), "keeper",
      marjoram_gateway_report_keeper (self->keeper), "upstreams",
      marjoram_gateway_report_upstreams (self->registry, now));

  marjoram_names_clear (&zones);
  return report;
}

static void
role_reload (struct marjoram_role *role)
{
  (void)role;
}

static void
take_care (struct keeper_role *self, int64_t now)
{
  struct marjoram_keeper_change change;

  if (now < self->cared_at + CARE_EVERY_MS)
    return;
  self->cared_at = now;
  if (!marjoram_keeper_care_tick (self->care, now, self->keeper,
                                  self->parts->hosts, &change))
    return;
  marjoram_event (MARJORAM_EVENT_KEEPER, "state=%s old=%s new=%s id=%s",
                  *change.old ? "replacing" : "adding",
                  *change.old ? change.old : "-", change.new,
                  change.change_id);
  marjoram_keeper_care_apply (&change, self->keeper, now, CARE_REQUEST);
}

static void
role_tick (struct marjoram_role *role, int64_t now)
{
  struct keeper_role *self = self_of (role);

  if (now < self->ticked_at + TICK_KEEPER_MS / 2)
    return;
  self->ticked_at = now;
  marjoram_keeper_tick (self->keeper, now);
  marjoram_registrar_tick (self->registrar, now);
  marjoram_registry_tick (self->registry, now);
  marjoram_crash_list_tick (self->crashes, now);
  take_care (self, now);
}

static void
role_stop (struct marjoram_role *role, int64_t now)
{
  self_of (role)->stopped_at = now;
}

static bool
role_finished (struct marjoram_role *role, int64_t now)
{
  return now >= self_of (role)->stopped_at + LINGER_MS;
}

static void
role_destroy (struct marjoram_role *role)
{
  struct keeper_role *self = self_of (role);
  struct given *given;
  struct given *next;

  marjoram_keeper_destroy (self->keeper);
  marjoram_disk_destroy (self->disk);
  marjoram_registrar_destroy (self->registrar);
  marjoram_registry_destroy (self->registry);
  marjoram_keeper_care_destroy (self->care);
  marjoram_crash_list_destroy (self->crashes);
  marjoram_random_destroy (self->random);
  HASH_ITER (hh, self->given, given, next)
  {
    /* The list macros mislead it.  NOLINTNEXTLINE(clang-analyzer-*) */
    HASH_DELETE (hh, self->given, given);
    free (given);
  }
  free (self);
}

static const struct marjoram_role_ops role_ops = {
  .frame = role_frame,
  .beat = role_beat,
  .session_closed = role_session_closed,
  .link_lost = role_link_lost,
  .fill_beat = role_fill_beat,
  .ask = role_ask,
  .report = role_report,
  .reload = role_reload,
  .tick = role_tick,
  .stop = role_stop,
  .finished = role_finished,
  .destroy = role_destroy,
};

static bool
create_keeper (struct keeper_role *self, struct marjoram_error *err)
{
  const struct marjoram_gateway_settings *settings = self->parts->settings;
  struct marjoram_keeper_options options = { 0 };

  self->disk = marjoram_disk_create (self->parts->base, settings->data_folder,
                                     &disk_ops, self, err);
  if (!self->disk)
    return false;
  options.slot = settings->ip;
  options.store_id = marjoram_disk_id (self->disk);
  options.incarnation = marjoram_disk_incarnation (self->disk);
  options.record = marjoram_disk_read (self->disk);
  /* A keeper that starts empty later on must not help to form a second first
     state beside the one that the others hold.  */
  if (settings->first_start)
    {
      options.first = (const char *const *)settings->seeds;
      options.first_count = settings->seed_count;
    }
  self->keeper = marjoram_keeper_create (&options, &keeper_ops, self,
                                         self->random, err);
  marjoram_bytes_release (options.record);
  return self->keeper != NULL;
}

static void
create_registrar (struct keeper_role *self)
{
  const struct marjoram_registrar_options options = {
    .dialect = self->parts->dialect,
    .registry = self->registry,
    .hosts = self->parts->hosts,
    .metrics = self->parts->metrics,
    .lookup_valid_s = self->parts->settings->lookup_valid_s,
    .knows_zone = knows_zone,
    .context = self,
  };

  self->registrar = marjoram_registrar_create (&options, &registrar_ops, self);
}

struct marjoram_role *
marjoram_keeper_role_create (const struct marjoram_role_parts *parts,
                             struct marjoram_error *err)
{
  struct keeper_role *self = marjoram_alloc (sizeof *self);
  uint64_t seed;

  randombytes_buf (&seed, sizeof seed);
  self->role.ops = &role_ops;
  self->parts = parts;
  self->random = marjoram_random_create (seed);
  self->registry = marjoram_registry_create ();
  self->crashes = marjoram_crash_list_create ();
  self->care = marjoram_keeper_care_create (
      parts->settings->ip, (size_t)parts->settings->disk_losses);
  create_registrar (self);
  if (create_keeper (self, err))
    return &self->role;
  role_destroy (&self->role);
  return NULL;
}
