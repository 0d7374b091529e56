#include "order.h"

#include "cleanup.h"

enum
{
  /* The holder's lease ends this much earlier by its own clock than by the
     voters', in percent: clocks of two machines don't run equally fast.  */
  DRIFT_PERCENT = 10,
  RENEWALS_PER_LEASE = 4,
  ASKS_PER_LEASE = 16
};

enum kind
{
  KIND_ASK,    /* for a new lease, or to renew it */
  KIND_GRANT,  /* answers ASK */
  KIND_REFUSE, /* likewise; FENCE is the highest known */
  KIND_RELEASE /* an asker that got no majority gives its grants back */
};

struct marjoram_order_message
{
  uint64_t kind;
  uint64_t incarnation; /* of the sender */
  uint64_t fence;
  uint64_t round; /* of ASK, given back in GRANT */
  bool held;      /* ASK: a majority has granted FENCE before */
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
raise_to (uint64_t *number, uint64_t value)
{
  if (value > *number)
    *number = value;
}

/* What this host promised as a voter.  */
struct promise
{
  uint64_t fence;
  int holder;    /* -1 if there is none, or the lease was given back */
  int64_t until; /* no other holder before that */
};

/* This host as asker and holder.  */
struct bid
{
  uint64_t fence; /* 0 if there is none */
  uint64_t round;
  bool held;        /* a majority has granted it */
  uint64_t votes;   /* a bit for each slot, of the latest round */
  int64_t asked;    /* when the latest round was sent */
  int64_t until;    /* end of the lease by this host's clock */
  int64_t unfenced; /* from when on engines that ignore fences get orders */
  int64_t next;     /* when to ask again */
};

struct marjoram_orders
{
  struct marjoram_orders_options options;
  struct marjoram_orders_ops ops;
  void *context;
  bool started;
  int64_t started_at;
  bool awake;
  uint64_t highest;     /* fence granted or heard of: new ones are higher */
  uint64_t relay_floor; /* highest fence known to have been held */
  struct promise promise;
  struct bid bid;
};

marjoram_orders *
marjoram_orders_create (const struct marjoram_orders_options *options,
                        const struct marjoram_orders_ops *ops, void *context)
{
  marjoram_orders *orders = marjoram_alloc (sizeof *orders);

  orders->options = *options;
  orders->ops = *ops;
  orders->context = context;
  orders->promise.holder = -1;
  return orders;
}

void
marjoram_orders_destroy (marjoram_orders *orders)
{
  free (orders);
}

static int64_t
settle_time (const marjoram_orders *orders)
{
  return orders->options.lease_ms + orders->options.longest_order_ms;
}

/* Stops a restarted host from helping a second holder while the first one's
   lease, which it granted before and has forgotten, still runs: it stays
   silent until that lease and its last order must have ended.  */
static void
wake_up (marjoram_orders *orders, int64_t now)
{
  if (!orders->started)
    {
      orders->started = true;
      orders->started_at = now;
    }
  if (orders->awake || now < orders->started_at + settle_time (orders))
    return;
  orders->awake = true;
}

static void
send_kind (marjoram_orders *orders, int to, enum kind kind, uint64_t fence)
{
  struct marjoram_order_message message
      = { .kind = kind,
          .incarnation = orders->options.incarnation,
          .fence = fence,
          .round = orders->bid.round,
          .held = orders->bid.held };

  orders->ops.send (orders->context, to, &message);
}

static void
send_all (marjoram_orders *orders, enum kind kind, uint64_t fence)
{
  for (int i = 0; i < orders->options.slot_count; i++)
    if (i != orders->options.self)
      send_kind (orders, i, kind, fence);
}

/* Whether this voter grants FENCE to ASKER; if so it has promised it.  */
static bool
grant (marjoram_orders *orders, int64_t now, int asker, uint64_t fence)
{
  struct promise *promise = &orders->promise;
  bool renewal = fence == promise->fence && asker == promise->holder;
  bool taken = promise->holder >= 0 && promise->holder != asker
               && now < promise->until;

  if (!orders->awake || taken || (!renewal && fence <= orders->highest))
    return false;
  if (!renewal)
    orders->highest = fence;
  promise->fence = fence;
  promise->holder = asker;
  promise->until = now + orders->options.lease_ms;
  return true;
}

static void
lose_bid (marjoram_orders *orders)
{
  bool held = orders->bid.held;

  orders->bid.fence = 0;
  orders->bid.held = false;
  if (held)
    orders->ops.lease (orders->context, 0);
}

static bool
has_majority (const marjoram_orders *orders)
{
  return __builtin_popcountll (orders->bid.votes)
         > orders->options.slot_count / 2;
}

/* The lease counts from when it was asked for, so that it ends here before it
   ends at any voter.  */
static void
count_votes (marjoram_orders *orders)
{
  struct bid *bid = &orders->bid;
  int64_t lease = orders->options.lease_ms * (100 - DRIFT_PERCENT) / 100;

  if (bid->fence == 0 || !has_majority (orders))
    return;
  bid->until = bid->asked + lease;
  if (bid->held)
    return;
  bid->held = true;
  raise_to (&orders->relay_floor, bid->fence);
  bid->unfenced = bid->asked + settle_time (orders);
  orders->ops.lease (orders->context, bid->fence);
}

static void
ask (marjoram_orders *orders, int64_t now)
{
  struct bid *bid = &orders->bid;

  bid->votes = 0;
  bid->round++;
  bid->asked = now;
  bid->next = now + orders->options.lease_ms / RENEWALS_PER_LEASE;
  if (grant (orders, now, orders->options.self, bid->fence))
    bid->votes |= (uint64_t)1 << orders->options.self;
  send_all (orders, KIND_ASK, bid->fence);
  count_votes (orders);
}

/* Without a lease, hosts ask one after the other by their ordinals, so that
   they seldom split the votes.  */
static int64_t
turn (const marjoram_orders *orders)
{
  return orders->options.self * orders->options.lease_ms / ASKS_PER_LEASE;
}

static void
give_back (marjoram_orders *orders, int64_t now)
{
  struct promise *promise = &orders->promise;

  send_all (orders, KIND_RELEASE, orders->bid.fence);
  if (promise->holder == orders->options.self)
    *promise = (struct promise){ .holder = -1 };
  lose_bid (orders);
  orders->bid.next
      = now + orders->options.lease_ms / RENEWALS_PER_LEASE + turn (orders);
}

/* Numbers are at least the asker's wall clock.  If all voters that could know
   the last number have restarted, they were silent for so long that the clock
   is past it.  */
static void
bid_anew (marjoram_orders *orders, int64_t now)
{
  uint64_t clock = orders->options.incarnation + (now - orders->started_at);
  uint64_t next = orders->highest + 1;

  if (now < orders->promise.until + turn (orders) || now < orders->bid.next)
    return;
  orders->bid.fence = next > clock ? next : clock;
  ask (orders, now);
}

void
marjoram_orders_tick (marjoram_orders *orders, int64_t now)
{
  struct bid *bid = &orders->bid;

  wake_up (orders, now);
  if (!orders->awake)
    return;
  if (bid->held && now >= bid->until)
    lose_bid (orders);
  if (bid->fence == 0)
    bid_anew (orders, now);
  else if (now >= bid->next && bid->held)
    ask (orders, now);
  else if (now >= bid->next)
    give_back (orders, now);
}

static void
hear_ask (marjoram_orders *orders, int64_t now, int from,
          const struct marjoram_order_message *message)
{
  struct marjoram_order_message reply
      = { .kind = KIND_GRANT,
          .incarnation = orders->options.incarnation,
          .fence = message->fence,
          .round = message->round };

  if (message->held)
    raise_to (&orders->relay_floor, message->fence);
  if (!orders->awake)
    return;
  if (!grant (orders, now, from, message->fence))
    {
      reply.kind = KIND_REFUSE;
      reply.fence = orders->highest;
    }
  orders->ops.send (orders->context, from, &reply);
}

/* Stops a late grant of an earlier round from prolonging the lease: its voter
   counts from that round, and may have let the lease end.  */
static void
hear_grant (marjoram_orders *orders, int from,
            const struct marjoram_order_message *message)
{
  if (message->fence != orders->bid.fence
      || message->round != orders->bid.round)
    return;
  orders->bid.votes |= (uint64_t)1 << from;
  count_votes (orders);
}

static void
hear_release (marjoram_orders *orders, int from, uint64_t fence)
{
  struct promise *promise = &orders->promise;

  if (promise->holder != from || promise->fence != fence)
    return;
  *promise = (struct promise){ .holder = -1 };
}

void
marjoram_orders_receive (marjoram_orders *orders, int64_t now, int from,
                         const struct marjoram_order_message *message)
{
  wake_up (orders, now);
  if (from < 0 || from >= orders->options.slot_count
      || from == orders->options.self)
    return;
  switch (message->kind)
    {
    case KIND_ASK:
      hear_ask (orders, now, from, message);
      break;
    case KIND_GRANT:
      hear_grant (orders, from, message);
      break;
    case KIND_REFUSE:
      raise_to (&orders->highest, message->fence);
      break;
    case KIND_RELEASE:
      hear_release (orders, from, message->fence);
      break;
    default:
      break;
    }
}

/* Stops a holder that was frozen past its lease: thawed, it sees the time
   here, before the order leaves.  */
uint64_t
marjoram_orders_fence (const marjoram_orders *orders, int64_t now,
                       bool honoured)
{
  const struct bid *bid = &orders->bid;

  if (!bid->held || now >= bid->until)
    return 0;
  if (!honoured && now < bid->unfenced)
    return 0;
  return bid->fence;
}

bool
marjoram_orders_may_relay (marjoram_orders *orders, int64_t now,
                           uint64_t fence)
{
  wake_up (orders, now);
  if (!orders->awake || fence == 0 || fence < orders->relay_floor)
    return false;
  raise_to (&orders->relay_floor, fence);
  raise_to (&orders->highest, fence);
  return true;
}
