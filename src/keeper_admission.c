/* What a keeper grants to entry hosts: leases on the customers' keys and units
   of the customers' quotas.  */
#include "keeper_role_private.h"

#include "address.h"
#include "cleanup.h"
#include "gateway_report.h"

#include <stdio.h>
#include <string.h>

enum
{
  /* Minimum time between two rounds of confirmation.  All leases that were
     requested before a round are granted by it.  */
  ROUND_INTERVAL_MS = 250,
  ROUND_TIMEOUT_MS = 400,
  /* Interval of the rounds if no host asks for a lease.  */
  IDLE_ROUND_INTERVAL_MS = 600,
  /* Units are granted only while this keeper knows that its configuration and
     its membership were the latest so short a time ago.  */
  CONFIRMED_VALID_MS = 2500,
  /* A store that becomes a member takes over a part of the quotas, of which
     the one before may still grant for CONFIRMED_VALID_MS.  */
  NEW_MEMBER_DELAY_MS = 3000,
  LEASE_WAITERS_MAX = 4096
};

struct lease_waiter
{
  STAILQ_ENTRY (lease_waiter) link;
  char host[MARJORAM_IP_MAX];
  uint64_t session;
  int64_t asked_at;
};

STAILQ_HEAD (lease_waiters, lease_waiter);

struct marjoram_keeper_admission
{
  struct marjoram_keeper_role *role;
  struct lease_waiters waiting; /* for the next round */
  struct lease_waiters asked;   /* before the current round */
  size_t waiter_count;
  bool in_round;
  int64_t round_at;     /* start of the latest round */
  int64_t confirmed_at; /* start of the latest round that confirmed this
                           keeper's state as the newest */
  bool is_member;
  int64_t member_since;
  marjoram_quota_shares *shares;
  uint64_t shares_number; /* state that the shares are configured from */
  bool has_customers;
};

/* Whether this store is a member in the chosen state, and in the latest one
   that it has accepted.  One that has only accepted to be a member would count
   the time until the store before it grants nothing from too early on.  */
static bool
is_decided_member (const struct marjoram_keeper_role *role)
{
  return marjoram_keeper_is_member (role->keeper)
         && marjoram_keeper_store_step (role->keeper) == MARJORAM_STORE_MEMBER;
}

marjoram_keeper_admission *
marjoram_keeper_admission_create (struct marjoram_keeper_role *role)
{
  marjoram_keeper_admission *admission = marjoram_alloc (sizeof *admission);

  admission->role = role;
  STAILQ_INIT (&admission->waiting);
  STAILQ_INIT (&admission->asked);
  admission->confirmed_at = INT64_MIN / 2;
  admission->round_at = INT64_MIN / 2;
  /* A member that restarts owned the same part before.  */
  admission->is_member = is_decided_member (role);
  admission->member_since = INT64_MIN / 2;
  admission->shares
      = marjoram_quota_shares_create (role->parts->settings->quota_allowance);
  return admission;
}

static void
clear_waiters (marjoram_keeper_admission *admission,
               struct lease_waiters *waiters)
{
  struct lease_waiter *waiter;

  while ((waiter = STAILQ_FIRST (waiters)))
    {
      STAILQ_REMOVE_HEAD (waiters, link);
      admission->waiter_count--;
      free (waiter);
    }
}

void
marjoram_keeper_admission_destroy (marjoram_keeper_admission *admission)
{
  if (!admission)
    return;
  clear_waiters (admission, &admission->waiting);
  clear_waiters (admission, &admission->asked);
  marjoram_quota_shares_destroy (admission->shares);
  free (admission);
}

/* ---- Leases.  ---- */

static void
start_round (marjoram_keeper_admission *admission, int64_t now)
{
  admission->in_round = true;
  admission->round_at = now;
  STAILQ_CONCAT (&admission->asked, &admission->waiting);
  marjoram_keeper_confirm (admission->role->keeper, now);
}

static void
start_round_if_due (marjoram_keeper_admission *admission, int64_t now)
{
  const int64_t age = now - admission->round_at;
  const bool idle = STAILQ_EMPTY (&admission->waiting);

  if (age >= (admission->in_round ? ROUND_TIMEOUT_MS
              : idle              ? IDLE_ROUND_INTERVAL_MS
                                  : ROUND_INTERVAL_MS))
    start_round (admission, now);
}

void
marjoram_keeper_admission_ask_lease (marjoram_keeper_admission *admission,
                                     const char *host, uint64_t session,
                                     const struct marjoram_lease_ask *ask)
{
  struct lease_waiter *waiter;

  if (admission->waiter_count == LEASE_WAITERS_MAX)
    return;
  waiter = marjoram_alloc (sizeof *waiter);
  admission->waiter_count++;
  snprintf (waiter->host, sizeof waiter->host, "%s", host);
  waiter->session = session;
  waiter->asked_at = ask->asked_at;
  STAILQ_INSERT_TAIL (&admission->waiting, waiter, link);
  start_round_if_due (admission, marjoram_keeper_role_now (admission->role));
}

void
marjoram_keeper_admission_confirmed (marjoram_keeper_admission *admission,
                                     int64_t started_at, uint64_t number)
{
  const struct marjoram_state *state
      = marjoram_keeper_chosen_state (admission->role->keeper);
  struct lease_waiter *waiter;

  /* A read of the configuration may have started a later round instead.  */
  if (started_at < admission->round_at)
    return;
  admission->in_round = false;
  if (state && number <= state->number)
    admission->confirmed_at = started_at;
  STAILQ_FOREACH (waiter, &admission->asked, link)
  {
    const struct marjoram_lease_grant grant = { waiter->asked_at, number };

    marjoram_host_links_reply (admission->role->parts->links, waiter->host,
                               waiter->session, MARJORAM_FRAME_LEASE_GRANT,
                               &grant);
  }
  clear_waiters (admission, &admission->asked);
}

/* ---- Quotas.  ---- */

static bool
may_grant_units (const marjoram_keeper_admission *admission, int64_t now)
{
  return admission->is_member
         && now >= admission->member_since + NEW_MEMBER_DELAY_MS
         && now < admission->confirmed_at + CONFIRMED_VALID_MS;
}

/* Asks the other member keepers for units if this share runs short.  */
static void
borrow (marjoram_keeper_admission *admission, int64_t now,
        const char *customer)
{
  const struct marjoram_keeper_role *role = admission->role;
  const struct marjoram_state *state
      = marjoram_keeper_chosen_state (role->keeper);
  const struct marjoram_keeper_member *members
      = state ? state->members.items : NULL;
  struct marjoram_quota_ask ask
      = { .customer = (char *)customer, .asked_at = now, .from_keeper = true };
  int64_t units;

  if (!state || state->members.count < 2)
    return;
  units = marjoram_quota_shares_borrow (admission->shares, now, customer);
  ask.units = units / (int64_t)(state->members.count - 1);
  for (size_t i = 0; ask.units > 0 && i < state->members.count; i++)
    if (strcmp (members[i].slot, role->parts->settings->ip) != 0)
      marjoram_host_links_send (role->parts->links, members[i].slot,
                                MARJORAM_FRAME_QUOTA_ASK, &ask);
}

void
marjoram_keeper_admission_ask_quota (marjoram_keeper_admission *admission,
                                     const char *host, uint64_t session,
                                     const struct marjoram_quota_ask *ask)
{
  const int64_t now = marjoram_keeper_role_now (admission->role);
  struct marjoram_quota_grant grant = { .customer = ask->customer,
                                        .asked_at = ask->asked_at,
                                        .asked_units = ask->units };

  if (!ask->customer || !may_grant_units (admission, now))
    return;
  marjoram_quota_shares_add (admission->shares, now, ask->customer,
                             ask->given_back);
  if (ask->units <= 0)
    return;
  if (ask->from_keeper)
    grant.units = marjoram_quota_shares_lend (admission->shares, now,
                                              ask->customer, ask->units);
  else
    {
      grant.units = marjoram_quota_shares_take (
          admission->shares, now, ask->customer, ask->units, &grant.wait_ms);
      borrow (admission, now, ask->customer);
    }
  if (!ask->from_keeper || grant.units > 0)
    marjoram_host_links_reply (admission->role->parts->links, host, session,
                               MARJORAM_FRAME_QUOTA_GRANT, &grant);
}

/* Units lent by another keeper.  */
void
marjoram_keeper_admission_granted (marjoram_keeper_admission *admission,
                                   const struct marjoram_quota_grant *grant)
{
  const int64_t now = marjoram_keeper_role_now (admission->role);

  if (grant->customer && grant->asked_at <= now
      && now < grant->asked_at + MARJORAM_QUOTA_VALID_MS)
    marjoram_quota_shares_add (admission->shares, now, grant->customer,
                               grant->units);
}

/* ---- Configuration.  ---- */

static void
update_member (marjoram_keeper_admission *admission, int64_t now)
{
  const bool is_member = is_decided_member (admission->role);

  if (is_member && !admission->is_member)
    admission->member_since = now;
  admission->is_member = is_member;
}

static void
update_shares (marjoram_keeper_admission *admission, int64_t now)
{
  struct marjoram_keeper_role *role = admission->role;
  const struct marjoram_state *state
      = marjoram_keeper_chosen_state (role->keeper);
  const struct marjoram_route_table *table;

  if (!state || state->number == admission->shares_number)
    return;
  table = marjoram_registrar_table (role->registrar);
  admission->shares_number = state->number;
  admission->has_customers = table && table->customers.count > 0;
  if (table)
    marjoram_quota_shares_configure (admission->shares, now, table,
                                     state->members.count);
}

void
marjoram_keeper_admission_tick (marjoram_keeper_admission *admission,
                                int64_t now)
{
  update_member (admission, now);
  update_shares (admission, now);
  if (admission->has_customers)
    start_round_if_due (admission, now);
}

void
marjoram_keeper_admission_reload (marjoram_keeper_admission *admission)
{
  marjoram_quota_shares_set_allowance (
      admission->shares, admission->role->parts->settings->quota_allowance);
  admission->shares_number = 0;
}

json_t *
marjoram_keeper_admission_report (const marjoram_keeper_admission *admission)
{
  return marjoram_gateway_report_shares (admission->shares);
}
