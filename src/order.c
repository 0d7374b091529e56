#include "order.h"

#include "cleanup.h"

enum
{
  /* Margin by which the holder's lease ends before the voters', in percent;
     allows for clock drift between machines.  */
  DRIFT_PERCENT = 10,
  RENEWALS_PER_LEASE = 4,
  STAGGER_SLOTS_PER_LEASE = 16
};

enum kind
{
  KIND_REQUEST, /* requests or renews a lease */
  KIND_GRANT,   /* reply to KIND_REQUEST */
  KIND_REFUSE,  /* reply to KIND_REQUEST; FENCE is the highest known */
  KIND_RELEASE  /* returns grants after failing to get a majority */
};

struct marjoram_order_message
{
  uint64_t kind;
  uint64_t incarnation; /* of the sender */
  uint64_t fence;
  uint64_t round; /* of KIND_REQUEST, echoed in KIND_GRANT */
  bool held;      /* of KIND_REQUEST: a majority has already granted FENCE */
};

static const struct marjoram_field order_fields[] = {
  { MARJORAM_WIRE_UINT (struct marjoram_order_message, kind) },
  { MARJORAM_WIRE_UINT (struct marjoram_order_message, incarnation) },
  { MARJORAM_WIRE_UINT (struct marjoram_order_message, fence) },
  { MARJORAM_WIRE_UINT (struct marjoram_order_message, round) },
  { MARJORAM_WIRE_BOOL (struct marjoram_order_message, held) },
};
const struct marjoram_layout marjoram_order_layout
    = { "marjoram_order_message", sizeof (struct marjoram_order_message),
        order_fields, sizeof order_fields / sizeof *order_fields };

static void
update_max (uint64_t *number, uint64_t value)
{
  if (value > *number)
    *number = value;
}

/* State of this host as a voter.  */
struct vote
{
  uint64_t fence;
  int holder;    /* -1 if none, or the lease was released */
  int64_t until; /* no other holder is granted before this time */
};

/* State of this host as candidate and holder.  */
struct candidacy
{
  uint64_t fence; /* 0 if none */
  uint64_t round;
  bool held;      /* granted by a majority */
  uint64_t votes; /* bit mask of the slots that granted the current round */
  int64_t requested_at;  /* time of the current round */
  int64_t until;         /* end of the lease by this host's clock */
  int64_t unfenced_from; /* for engines that do not check fences */
  int64_t next_request;
};

struct marjoram_orders
{
  struct marjoram_orders_options options;
  struct marjoram_orders_ops ops;
  void *context;
  bool started;
  int64_t started_at;
  bool may_vote;
  uint64_t highest; /* highest fence granted or seen; new ones are higher */
  uint64_t relay_floor; /* highest fence known to have been held */
  struct vote vote;
  struct candidacy candidacy;
};

marjoram_orders *
marjoram_orders_create (const struct marjoram_orders_options *options,
                        const struct marjoram_orders_ops *ops, void *context)
{
  marjoram_orders *orders = marjoram_alloc (sizeof *orders);

  orders->options = *options;
  orders->ops = *ops;
  orders->context = context;
  orders->vote.holder = -1;
  return orders;
}

void
marjoram_orders_destroy (marjoram_orders *orders)
{
  free (orders);
}

static int64_t
settle_ms (const marjoram_orders *orders)
{
  return orders->options.lease_ms + orders->options.longest_order_ms;
}

/* A restarted host has lost its votes.  It does not vote until any lease it
   may have granted, and the last order under it, must have ended.  */
static void
update_may_vote (marjoram_orders *orders, int64_t now)
{
  if (!orders->started)
    {
      orders->started = true;
      orders->started_at = now;
    }
  if (orders->may_vote || now < orders->started_at + settle_ms (orders))
    return;
  orders->may_vote = true;
}

static void
send_message (marjoram_orders *orders, int to, enum kind kind, uint64_t fence)
{
  struct marjoram_order_message message
      = { .kind = kind,
          .incarnation = orders->options.incarnation,
          .fence = fence,
          .round = orders->candidacy.round,
          .held = orders->candidacy.held };

  orders->ops.send (orders->context, to, &message);
}

static void
broadcast (marjoram_orders *orders, enum kind kind, uint64_t fence)
{
  for (int i = 0; i < orders->options.slot_count; i++)
    if (i != orders->options.self)
      send_message (orders, i, kind, fence);
}

/* Grants FENCE to CANDIDATE and records the vote, or returns false.  */
static bool
grant (marjoram_orders *orders, int64_t now, int candidate, uint64_t fence)
{
  struct vote *vote = &orders->vote;
  bool renewal = fence == vote->fence && candidate == vote->holder;
  bool held_by_other
      = vote->holder >= 0 && vote->holder != candidate && now < vote->until;

  if (!orders->may_vote || held_by_other
      || (!renewal && fence <= orders->highest))
    return false;
  if (!renewal)
    orders->highest = fence;
  vote->fence = fence;
  vote->holder = candidate;
  vote->until = now + orders->options.lease_ms;
  return true;
}

static void
abandon_candidacy (marjoram_orders *orders)
{
  bool held = orders->candidacy.held;

  orders->candidacy.fence = 0;
  orders->candidacy.held = false;
  if (held)
    orders->ops.lease (orders->context, 0);
}

static bool
has_majority (const marjoram_orders *orders)
{
  return __builtin_popcountll (orders->candidacy.votes)
         > orders->options.slot_count / 2;
}

/* The lease is counted from the request, so that it ends here before it ends
   at any voter.  */
static void
count_votes (marjoram_orders *orders)
{
  struct candidacy *candidacy = &orders->candidacy;
  int64_t lease = orders->options.lease_ms * (100 - DRIFT_PERCENT) / 100;

  if (candidacy->fence == 0 || !has_majority (orders))
    return;
  candidacy->until = candidacy->requested_at + lease;
  if (candidacy->held)
    return;
  candidacy->held = true;
  update_max (&orders->relay_floor, candidacy->fence);
  candidacy->unfenced_from = candidacy->requested_at + settle_ms (orders);
  orders->ops.lease (orders->context, candidacy->fence);
}

static void
request_lease (marjoram_orders *orders, int64_t now)
{
  struct candidacy *candidacy = &orders->candidacy;

  candidacy->votes = 0;
  candidacy->round++;
  candidacy->requested_at = now;
  candidacy->next_request
      = now + orders->options.lease_ms / RENEWALS_PER_LEASE;
  if (grant (orders, now, orders->options.self, candidacy->fence))
    candidacy->votes |= (uint64_t)1 << orders->options.self;
  broadcast (orders, KIND_REQUEST, candidacy->fence);
  count_votes (orders);
}

/* Staggers the requests of hosts by ordinal to avoid split votes.  */
static int64_t
stagger_ms (const marjoram_orders *orders)
{
  return orders->options.self * orders->options.lease_ms
         / STAGGER_SLOTS_PER_LEASE;
}

static void
release_grants (marjoram_orders *orders, int64_t now)
{
  struct vote *vote = &orders->vote;

  broadcast (orders, KIND_RELEASE, orders->candidacy.fence);
  if (vote->holder == orders->options.self)
    *vote = (struct vote){ .holder = -1 };
  abandon_candidacy (orders);
  orders->candidacy.next_request
      = now + orders->options.lease_ms / RENEWALS_PER_LEASE
        + stagger_ms (orders);
}

/* A fence is at least the candidate's wall clock.  If all voters that knew the
   last fence have restarted, the clock has passed it while they did not
   vote.  */
static void
start_candidacy (marjoram_orders *orders, int64_t now)
{
  uint64_t clock = orders->options.incarnation + (now - orders->started_at);
  uint64_t next_fence = orders->highest + 1;

  if (now < orders->vote.until + stagger_ms (orders)
      || now < orders->candidacy.next_request)
    return;
  orders->candidacy.fence = next_fence > clock ? next_fence : clock;
  request_lease (orders, now);
}

void
marjoram_orders_tick (marjoram_orders *orders, int64_t now)
{
  struct candidacy *candidacy = &orders->candidacy;

  update_may_vote (orders, now);
  if (!orders->may_vote)
    return;
  if (candidacy->held && now >= candidacy->until)
    abandon_candidacy (orders);
  if (candidacy->fence == 0)
    start_candidacy (orders, now);
  else if (now >= candidacy->next_request && candidacy->held)
    request_lease (orders, now);
  else if (now >= candidacy->next_request)
    release_grants (orders, now);
}

static void
handle_request (marjoram_orders *orders, int64_t now, int from,
                const struct marjoram_order_message *message)
{
  struct marjoram_order_message reply
      = { .kind = KIND_GRANT,
          .incarnation = orders->options.incarnation,
          .fence = message->fence,
          .round = message->round };

  if (message->held)
    update_max (&orders->relay_floor, message->fence);
  if (!orders->may_vote)
    return;
  if (!grant (orders, now, from, message->fence))
    {
      reply.kind = KIND_REFUSE;
      reply.fence = orders->highest;
    }
  orders->ops.send (orders->context, from, &reply);
}

/* Ignores grants of earlier rounds, whose voters count from that round and may
   have let the lease expire.  */
static void
handle_grant (marjoram_orders *orders, int from,
              const struct marjoram_order_message *message)
{
  if (message->fence != orders->candidacy.fence
      || message->round != orders->candidacy.round)
    return;
  orders->candidacy.votes |= (uint64_t)1 << from;
  count_votes (orders);
}

static void
handle_release (marjoram_orders *orders, int from, uint64_t fence)
{
  struct vote *vote = &orders->vote;

  if (vote->holder != from || vote->fence != fence)
    return;
  *vote = (struct vote){ .holder = -1 };
}

void
marjoram_orders_receive (marjoram_orders *orders, int64_t now, int from,
                         const struct marjoram_order_message *message)
{
  update_may_vote (orders, now);
  if (from < 0 || from >= orders->options.slot_count
      || from == orders->options.self)
    return;
  switch (message->kind)
    {
    case KIND_REQUEST:
      handle_request (orders, now, from, message);
      break;
    case KIND_GRANT:
      handle_grant (orders, from, message);
      break;
    case KIND_REFUSE:
      update_max (&orders->highest, message->fence);
      break;
    case KIND_RELEASE:
      handle_release (orders, from, message->fence);
      break;
    default:
      break;
    }
}

/* Compares with the current time, so that a holder that was suspended past its
   lease sends no order.  */
uint64_t
marjoram_orders_fence (const marjoram_orders *orders, int64_t now,
                       bool engine_checks_fence)
{
  const struct candidacy *candidacy = &orders->candidacy;

  if (!candidacy->held || now >= candidacy->until)
    return 0;
  if (!engine_checks_fence && now < candidacy->unfenced_from)
    return 0;
  return candidacy->fence;
}

bool
marjoram_orders_may_relay (marjoram_orders *orders, int64_t now,
                           uint64_t fence)
{
  update_may_vote (orders, now);
  if (!orders->may_vote || fence == 0 || fence < orders->relay_floor)
    return false;
  update_max (&orders->relay_floor, fence);
  update_max (&orders->highest, fence);
  return true;
}
