#include "key_lease.h"

#include "cleanup.h"

enum
{
  /* Part of the period at which a lease is renewed; the remainder tolerates a
     lost answer and the fetch of a new configuration.  */
  RENEWALS_PER_PERIOD = 5,
  RENEW_MIN_MS = 100,
  /* A keeper answers after one round trip to a majority of the keepers.  */
  ANSWER_TIMEOUT_MS = 400
};

struct marjoram_key_lease
{
  int64_t lease_ms;
  int64_t ends_at;
  int64_t asked_at; /* of the last ask */
  int unanswered;
  uint64_t number; /* of this host's state */
  /* The latest answer, which counts once this host has that state.  */
  int64_t confirmed_asked_at;
  uint64_t confirmed_number;
};

marjoram_key_lease *
marjoram_key_lease_create (int64_t lease_ms)
{
  marjoram_key_lease *lease = marjoram_alloc (sizeof *lease);

  lease->lease_ms = lease_ms;
  lease->ends_at = INT64_MIN;
  lease->asked_at = INT64_MIN;
  return lease;
}

void
marjoram_key_lease_destroy (marjoram_key_lease *lease)
{
  free (lease);
}

/* A shorter period ends the lease at once: it was granted for longer.  */
void
marjoram_key_lease_set_period (marjoram_key_lease *lease, int64_t lease_ms)
{
  if (lease_ms == lease->lease_ms)
    return;
  lease->lease_ms = lease_ms;
  lease->ends_at = INT64_MIN;
  lease->asked_at = INT64_MIN;
  lease->confirmed_asked_at = 0;
  lease->confirmed_number = 0;
}

static int64_t
ask_interval (const marjoram_key_lease *lease)
{
  int64_t renew_ms = lease->lease_ms / RENEWALS_PER_PERIOD;

  if (renew_ms < RENEW_MIN_MS)
    renew_ms = RENEW_MIN_MS;
  return lease->unanswered > 0 && renew_ms > ANSWER_TIMEOUT_MS
             ? ANSWER_TIMEOUT_MS
             : renew_ms;
}

bool
marjoram_key_lease_ask (marjoram_key_lease *lease, int64_t now)
{
  if (lease->lease_ms <= 0
      || (lease->asked_at != INT64_MIN
          && now < lease->asked_at + ask_interval (lease)))
    return false;
  lease->asked_at = now;
  lease->unanswered++;
  return true;
}

int
marjoram_key_lease_unanswered (const marjoram_key_lease *lease)
{
  return lease->unanswered;
}

static void
extend (marjoram_key_lease *lease)
{
  int64_t ends_at = lease->confirmed_asked_at + lease->lease_ms;

  if (lease->confirmed_number > 0 && lease->number >= lease->confirmed_number
      && ends_at > lease->ends_at)
    lease->ends_at = ends_at;
}

void
marjoram_key_lease_confirmed (marjoram_key_lease *lease, int64_t now,
                              int64_t asked_at, uint64_t number)
{
  if (lease->lease_ms <= 0 || asked_at > now || number == 0
      || asked_at < lease->confirmed_asked_at)
    return;
  lease->unanswered = 0;
  lease->confirmed_asked_at = asked_at;
  lease->confirmed_number = number;
  extend (lease);
}

void
marjoram_key_lease_set_number (marjoram_key_lease *lease, uint64_t number)
{
  lease->number = number;
  extend (lease);
}

bool
marjoram_key_lease_is_valid (const marjoram_key_lease *lease, int64_t now)
{
  return lease->lease_ms <= 0 || now < lease->ends_at;
}

bool
marjoram_key_lease_is_current (const marjoram_key_lease *lease, int64_t now)
{
  return marjoram_key_lease_is_valid (lease, now)
         && lease->number >= lease->confirmed_number;
}

int64_t
marjoram_key_lease_left_ms (const marjoram_key_lease *lease, int64_t now)
{
  if (lease->lease_ms <= 0)
    return INT64_MAX;
  return lease->ends_at == INT64_MIN ? -1 : lease->ends_at - now;
}
