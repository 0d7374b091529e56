#include "host_state.h"

#include "cleanup.h"

#include <string.h>

enum
{
  /* Exceeds the time after which a keeper aborts an apply by itself.  */
  APPLY_TIMEOUT_MS = 12000
};

/* A pending apply or keeper replacement, received from the control interface
   of this host or relayed by a host that is not a keeper.  */
struct marjoram_relayed
{
  uint64_t number;
  uint64_t operator_request; /* 0 if relayed by another host */
  char *peer;
  uint64_t peer_session;
  uint64_t peer_request;
  char *keeper; /* slot it was forwarded to; null if local */
  int64_t started;
  UT_hash_handle hh;
};

static struct marjoram_relayed *
relayed_create (marjoram_host *host, int64_t now)
{
  struct marjoram_relayed *relayed = marjoram_alloc (sizeof *relayed);

  relayed->number = ++host->next_relayed;
  relayed->started = now;
  HASH_ADD (hh, host->relayed, number, sizeof relayed->number, relayed);
  return relayed;
}

static void
relayed_destroy (marjoram_host *host, struct marjoram_relayed *relayed)
{
  /* False positive in uthash.  NOLINTNEXTLINE(clang-analyzer-unix.*) */
  HASH_DEL (host->relayed, relayed);
  free (relayed->peer);
  free (relayed->keeper);
  free (relayed);
}

static void
answer_peer (marjoram_host *host, const struct marjoram_relayed *relayed,
             const struct marjoram_apply_answer *answer)
{
  struct marjoram_applied applied = { 0 };

  applied.request = relayed->peer_request;
  applied.outcome = answer->outcome;
  applied.result = answer->result;
  applied.number = answer->number;
  applied.version = answer->version;
  applied.digest = (char *)answer->digest;
  applied.message = (char *)answer->message;
  host->ops->reply (host->context, relayed->peer, relayed->peer_session,
                    MARJORAM_FRAME_APPLIED, &applied);
}

void
marjoram_apply_answered (marjoram_host *host, uint64_t request,
                         const struct marjoram_apply_answer *answer)
{
  struct marjoram_relayed *relayed;

  HASH_FIND (hh, host->relayed, &request, sizeof request, relayed);
  if (!relayed)
    return;
  if (answer->outcome == MARJORAM_APPLY_DECIDED
      && answer->result >= MARJORAM_CHANGE_CONFLICT)
    marjoram_counters_add (host->counters, MARJORAM_COUNTER_CONFIG_REFUSED, 1);
  if (relayed->peer)
    answer_peer (host, relayed, answer);
  else
    host->ops->applied (host->context, relayed->operator_request, answer);
  relayed_destroy (host, relayed);
}

static void
answer_failure (marjoram_host *host, uint64_t number,
                enum marjoram_apply_outcome outcome, const char *message)
{
  struct marjoram_apply_answer answer = { 0 };

  answer.outcome = outcome;
  answer.message = message;
  marjoram_apply_answered (host, number, &answer);
}

static const char *
reachable_keeper (const marjoram_host *host)
{
  const struct marjoram_settings *settings = host->settings;
  const struct marjoram_link *link;

  for (int i = 0;
       host->config && i < marjoram_config_slot_count (host->config); i++)
    {
      const struct marjoram_slot *slot
          = marjoram_config_slot (host->config, i);

      link = marjoram_link_find (host, slot->name);
      if (slot->keeper && link && link->up)
        return slot->name;
    }
  for (size_t i = 0; i < settings->first_keeper_count; i++)
    {
      link = marjoram_link_find (host, settings->first_keepers[i]);
      if (link && link->up)
        return link->slot;
    }
  return NULL;
}

static void
relay_to_keeper (marjoram_host *host, struct marjoram_relayed *relayed,
                 struct marjoram_apply *apply)
{
  const char *keeper = reachable_keeper (host);

  if (!keeper)
    {
      answer_failure (host, relayed->number, MARJORAM_APPLY_NOT_RUN,
                      "no keeper is reachable from this host; apply at "
                      "another host, or retry when the links are up");
      return;
    }
  relayed->keeper = marjoram_strdup (keeper);
  apply->request = relayed->number;
  host->ops->send (host->context, keeper, MARJORAM_FRAME_APPLY, apply);
}

void
marjoram_host_apply (marjoram_host *host, int64_t now, uint64_t request,
                     const char *change_id, const struct marjoram_file *file)
{
  struct marjoram_relayed *relayed = relayed_create (host, now);
  struct marjoram_apply apply = { 0 };

  host->now = now;
  relayed->operator_request = request;
  if (host->keeper)
    {
      marjoram_keeper_apply (host->keeper, now, relayed->number, change_id,
                             file);
      return;
    }
  apply.change_id = (char *)change_id;
  apply.file = marjoram_wire_pack (&marjoram_file_layout, file);
  relay_to_keeper (host, relayed, &apply);
  marjoram_bytes_release (apply.file);
}

void
marjoram_host_replace (marjoram_host *host, int64_t now, uint64_t request,
                       const char *change_id, const char *old, const char *new)
{
  struct marjoram_relayed *relayed = relayed_create (host, now);
  struct marjoram_apply apply = { 0 };

  host->now = now;
  relayed->operator_request = request;
  if (host->keeper)
    {
      marjoram_keeper_replace (host->keeper, now, relayed->number, change_id,
                               old, new);
      return;
    }
  apply.change_id = (char *)change_id;
  apply.old_keeper = (char *)old;
  apply.new_keeper = (char *)new;
  relay_to_keeper (host, relayed, &apply);
}

void
marjoram_apply_frame (marjoram_host *host, int64_t now, const char *slot,
                      uint64_t session, const struct marjoram_apply *apply)
{
  struct marjoram_relayed *relayed = relayed_create (host, now);
  struct marjoram_file *file = NULL;

  relayed->peer = marjoram_strdup (slot);
  relayed->peer_session = session;
  relayed->peer_request = apply->request;
  if (!host->keeper || !apply->change_id)
    {
      answer_failure (host, relayed->number, MARJORAM_APPLY_NOT_RUN,
                      "the receiving host is not a keeper; check [host] "
                      "role_keeper there");
      return;
    }
  if (!apply->file)
    {
      marjoram_keeper_replace (host->keeper, now, relayed->number,
                               apply->change_id,
                               apply->old_keeper ? apply->old_keeper : "",
                               apply->new_keeper ? apply->new_keeper : "");
      return;
    }
  file = marjoram_wire_unpack (&marjoram_file_layout,
                               marjoram_bytes_data (apply->file),
                               marjoram_bytes_size (apply->file), NULL);
  if (file && file->name && file->text && file->digest)
    marjoram_keeper_apply (host->keeper, now, relayed->number,
                           apply->change_id, file);
  else
    answer_failure (host, relayed->number, MARJORAM_APPLY_NOT_RUN,
                    "the file was received incomplete; apply it again");
  marjoram_wire_destroy (&marjoram_file_layout, file);
}

void
marjoram_applied_frame (marjoram_host *host,
                        const struct marjoram_applied *applied)
{
  struct marjoram_apply_answer answer = { 0 };

  answer.outcome = applied->outcome <= MARJORAM_APPLY_UNKNOWN
                       ? (enum marjoram_apply_outcome)applied->outcome
                       : MARJORAM_APPLY_UNKNOWN;
  answer.result = (enum marjoram_change_result)applied->result;
  answer.number = applied->number;
  answer.version = applied->version;
  answer.digest = applied->digest;
  answer.message = applied->message ? applied->message : "";
  marjoram_apply_answered (host, applied->request, &answer);
}

/* Ends applies whose keeper did not answer in time or was disconnected.  The
   keeper may have accepted the change, so the outcome is unknown; resending
   the same change id returns it.  */
void
marjoram_applies_tick (marjoram_host *host, int64_t now)
{
  struct marjoram_relayed *relayed;
  struct marjoram_relayed *next;

  HASH_ITER (hh, host->relayed, relayed, next)
  {
    const struct marjoram_link *link
        = relayed->keeper ? marjoram_link_find (host, relayed->keeper) : NULL;

    if (now - relayed->started >= APPLY_TIMEOUT_MS
        || (relayed->keeper && (!link || !link->up)))
      answer_failure (host, relayed->number, MARJORAM_APPLY_UNKNOWN,
                      "no response from the keeper; resend the same change "
                      "id to get the outcome");
  }
}

void
marjoram_applies_destroy (marjoram_host *host)
{
  struct marjoram_relayed *relayed;
  struct marjoram_relayed *next;

  HASH_ITER (hh, host->relayed, relayed, next)
  {
    relayed_destroy (host, relayed);
  }
}
