#include "lib_hosts.h"

#include "cleanup.h"
#include "compress.h"
#include "gateway_message.h"
#include "log.h"
#include "state_packed.h"

#include <stdio.h>
#include <string.h>
#include <sys/queue.h>

enum
{
  STEP_MS = 50,
  LONG_LEASE_MS = 60000,
  START_MS = 1000000,
  PROBES_MAX = 64,
  PROBE_NAME_MAX = 32
};

static const char *const slots[HOSTS_MAX]
    = { "a-1", "a-2", "a-3", "b-1", "b-2", "b-3" };

struct frame
{
  int from;
  int to;
  uint64_t incarnation;
  uint64_t session; /* opened by the sender; 0 for a reply */
  enum marjoram_frame_type type;
  marjoram_bytes *packed;
  TAILQ_ENTRY (frame) next;
};

/* A probe without a result.  */
struct probe
{
  char upstream[PROBE_NAME_MAX];
  uint64_t incarnation;
};

struct node
{
  struct test_hosts *hosts;
  int index;
  marjoram_host *host;
  struct marjoram_settings settings;
  marjoram_counters *counters;
  marjoram_random *random;
  uint64_t incarnation;
  bool wanted[HOSTS_MAX];
  uint64_t session[HOSTS_MAX];     /* own session to each host; 0 if down */
  struct probe probes[PROBES_MAX]; /* oldest first */
  int probe_count;
};

struct test_hosts
{
  int64_t now;
  int count;
  struct node nodes[HOSTS_MAX];
  bool cut[HOSTS_MAX][HOSTS_MAX];
  TAILQ_HEAD (, frame) pending_frames;
  uint64_t next_session;
  uint64_t next_call;
  uint64_t sequence;
  struct test_run runs[RUNS_MAX];
  int run_count;
  struct test_reply replies[REPLIES_MAX];
};

static int
slot_index (const char *slot)
{
  for (int i = 0; i < HOSTS_MAX; i++)
    if (strcmp (slots[i], slot) == 0)
      return i;
  return -1;
}

/* ---- Operations.  ---- */

static struct test_reply *
find_reply (void *context, uint64_t call)
{
  const struct node *node = context;

  return &node->hosts->replies[call % REPLIES_MAX];
}

static void
op_head (void *context, uint64_t call, const struct marjoram_head *head,
         const struct marjoram_answer_info *info, int64_t length)
{
  struct test_reply *reply = find_reply (context, call);

  (void)length;
  reply->status = (int)head->status;
  reply->replayed = info->replayed;
  snprintf (reply->zone, sizeof reply->zone, "%s", info->zone);
}

static void
op_data (void *context, uint64_t call, marjoram_bytes *bytes)
{
  struct test_reply *reply = find_reply (context, call);

  strncat (reply->body, (const char *)marjoram_bytes_data (bytes),
           marjoram_bytes_size (bytes));
}

static void
op_end (void *context, uint64_t call)
{
  struct test_reply *reply = find_reply (context, call);

  reply->ended = true;
  reply->outcome = MARJORAM_OUTCOME_DONE;
}

static void
op_abort (void *context, uint64_t call)
{
  find_reply (context, call)->aborted = true;
}

static void
op_refusal (void *context, uint64_t call,
            const struct marjoram_refusal *refusal)
{
  struct test_reply *reply = find_reply (context, call);

  reply->refused = true;
  reply->outcome = refusal->outcome;
  reply->reason = refusal->reason;
  reply->retry_ms = refusal->retry_ms;
  reply->runs_before = ((const struct node *)context)->hosts->run_count;
}

static void
op_run (void *context, uint64_t attempt, const struct marjoram_run *run)
{
  const struct node *node = context;
  struct test_hosts *hosts = node->hosts;
  struct test_run *new_run = &hosts->runs[hosts->run_count++ % RUNS_MAX];

  memset (new_run, 0, sizeof *new_run);
  new_run->host = node->index;
  new_run->attempt = attempt;
  new_run->open = true;
  snprintf (new_run->address, sizeof new_run->address, "%s", run->address);
  snprintf (new_run->id, sizeof new_run->id, "%s", run->id);
  marjoram_log (MARJORAM_LOG_DEBUG, "%lld: %s runs %s at %s, body %.*s",
                (long long)hosts->now, slots[node->index], run->id,
                run->address, (int)marjoram_bytes_size (run->body),
                (const char *)marjoram_bytes_data (run->body));
  snprintf (new_run->key, sizeof new_run->key, "%s", run->key ? run->key : "");
  snprintf (new_run->body, sizeof new_run->body, "%.*s",
            (int)marjoram_bytes_size (run->body),
            (const char *)marjoram_bytes_data (run->body));
}

static struct test_run *
find_run (void *context, uint64_t attempt)
{
  const struct node *node = context;
  struct test_hosts *hosts = node->hosts;

  for (int i = 0; i < hosts->run_count && i < RUNS_MAX; i++)
    if (hosts->runs[i].host == node->index && hosts->runs[i].attempt == attempt
        && hosts->runs[i].open)
      return &hosts->runs[i];
  return NULL;
}

static void
op_resume (void *context, uint64_t attempt, const char *address,
           const char *id, uint64_t offset)
{
  struct test_run *run = find_run (context, attempt);

  (void)address;
  (void)id;
  (void)offset;
  if (run)
    run->resumes++;
}

static void
op_cancel (void *context, uint64_t attempt)
{
  struct test_run *run = find_run (context, attempt);

  if (!run)
    return;
  run->open = false;
  run->cancelled = true;
}

static void
op_probe (void *context, const char *upstream, uint64_t incarnation,
          const char *address)
{
  struct node *node = context;
  struct probe *probe;

  (void)address;
  for (int i = 0; i < node->probe_count; i++)
    if (node->probes[i].incarnation == incarnation
        && strcmp (node->probes[i].upstream, upstream) == 0)
      return;
  if (node->probe_count == PROBES_MAX)
    abort ();
  probe = &node->probes[node->probe_count++];
  probe->incarnation = incarnation;
  snprintf (probe->upstream, sizeof probe->upstream, "%s", upstream);
}

static void
op_order (void *context, const struct marjoram_order *order)
{
  (void)context;
  (void)order;
}

static void
op_connect (void *context, const char *slot, const char *address, bool wanted)
{
  struct node *node = context;
  int index = slot_index (slot);

  (void)address;
  if (index >= 0)
    node->wanted[index] = wanted;
}

static void
enqueue_frame (struct test_hosts *hosts, int from, int to, uint64_t session,
               enum marjoram_frame_type type, const void *message)
{
  struct frame *frame = marjoram_alloc (sizeof *frame);

  frame->from = from;
  frame->to = to;
  frame->session = session;
  frame->incarnation = hosts->nodes[from].incarnation;
  frame->type = type;
  frame->packed = marjoram_wire_pack (marjoram_frame_layout (type), message);
  TAILQ_INSERT_TAIL (&hosts->pending_frames, frame, next);
}

static void
op_send (void *context, const char *slot, enum marjoram_frame_type type,
         const void *message)
{
  const struct node *node = context;
  int to = slot_index (slot);

  if (to >= 0 && to < node->hosts->count && node->session[to])
    enqueue_frame (node->hosts, node->index, to, node->session[to], type,
                   message);
}

static void
op_reply (void *context, const char *slot, uint64_t session,
          enum marjoram_frame_type type, const void *message)
{
  const struct node *node = context;
  int to = slot_index (slot);

  if (to >= 0 && to < node->hosts->count
      && node->hosts->nodes[to].session[node->index] == session)
    enqueue_frame (node->hosts, node->index, to, 0, type, message);
}

static void
break_session (struct test_hosts *hosts, int from, int to)
{
  struct node *node = &hosts->nodes[from];
  uint64_t session = node->session[to];

  if (!session)
    return;
  node->session[to] = 0;
  marjoram_host_link_down (node->host, hosts->now, slots[to]);
  marjoram_host_session_closed (hosts->nodes[to].host, hosts->now, slots[from],
                                session);
}

/* Queued frames of the closed session are dropped on delivery.  */
static void
op_reconnect (void *context, const char *slot)
{
  struct node *node = context;
  int to = slot_index (slot);

  if (to >= 0)
    node->session[to] = 0;
}

static void
op_persist (void *context, uint64_t ticket, marjoram_bytes *record)
{
  (void)context;
  (void)ticket;
  (void)record;
}

static void
op_applied (void *context, uint64_t request,
            const struct marjoram_apply_answer *answer)
{
  (void)context;
  (void)request;
  (void)answer;
}

static void
op_drained (void *context)
{
  (void)context;
}

static const struct marjoram_host_ops ops = {
  .reply_head = op_head,
  .reply_data = op_data,
  .reply_end = op_end,
  .reply_abort = op_abort,
  .reply_refusal = op_refusal,
  .run = op_run,
  .resume = op_resume,
  .cancel = op_cancel,
  .probe = op_probe,
  .order = op_order,
  .connect = op_connect,
  .send = op_send,
  .reply = op_reply,
  .reconnect = op_reconnect,
  .persist = op_persist,
  .applied = op_applied,
  .drained = op_drained,
};

/* ---- Creation.  ---- */

static int64_t
wall_time (const struct test_hosts *hosts)
{
  return hosts->now + TEST_WALL_OFFSET;
}

static void
node_start (struct node *node)
{
  struct marjoram_host_options options = { 0 };

  node->incarnation++;
  options.settings = &node->settings;
  options.incarnation = node->incarnation;
  options.counters = node->counters;
  options.random = node->random;
  node->host = marjoram_host_create (&options, &ops, node, node->hosts->now,
                                     wall_time (node->hosts), NULL);
}

static void
node_create (struct test_hosts *hosts, int index, uint64_t seed)
{
  struct node *node = &hosts->nodes[index];

  node->hosts = hosts;
  node->index = index;
  node->counters = marjoram_counters_create ();
  node->random
      = marjoram_random_create (seed * HOSTS_MAX + (uint64_t)index + 1);
  node->settings.slot = (char *)slots[index];
  node->settings.zone = (char *)(index < 3 ? "a" : "b");
  node->settings.cluster = (char *)"t";
  node->settings.max_requests = 1000;
  node->settings.drain_limit_ms = 60000;
  node->settings.claim_retention_ms = 3600000;
  node_start (node);
}

struct test_hosts *
test_hosts_create (int count, uint64_t seed)
{
  struct test_hosts *hosts = marjoram_alloc (sizeof *hosts);

  hosts->now = START_MS;
  hosts->count = count;
  TAILQ_INIT (&hosts->pending_frames);
  for (int i = 0; i < count; i++)
    node_create (hosts, i, seed);
  return hosts;
}

static void
frame_destroy (struct test_hosts *hosts, struct frame *frame)
{
  TAILQ_REMOVE (&hosts->pending_frames, frame, next);
  marjoram_bytes_release (frame->packed);
  free (frame);
}

void
test_hosts_destroy (struct test_hosts *hosts)
{
  struct frame *frame;

  for (int i = 0; i < hosts->count; i++)
    {
      marjoram_host_destroy (hosts->nodes[i].host);
      marjoram_counters_destroy (hosts->nodes[i].counters);
      marjoram_random_destroy (hosts->nodes[i].random);
    }
  while ((frame = TAILQ_FIRST (&hosts->pending_frames)))
    /* False positive in TAILQ.  NOLINTNEXTLINE(clang-analyzer-unix.*) */
    frame_destroy (hosts, frame);
  free (hosts);
}

marjoram_host *
test_host (struct test_hosts *hosts, int index)
{
  return hosts->nodes[index].host;
}

int64_t
test_now (const struct test_hosts *hosts)
{
  return hosts->now;
}

/* ---- Links and time.  ---- */

static void
open_sessions (struct test_hosts *hosts)
{
  for (int from = 0; from < hosts->count; from++)
    for (int to = 0; to < hosts->count; to++)
      {
        struct node *node = &hosts->nodes[from];

        if (!node->wanted[to] || node->session[to] || hosts->cut[from][to])
          continue;
        node->session[to] = ++hosts->next_session;
        marjoram_host_link_up (node->host, hosts->now, slots[to],
                               hosts->nodes[to].incarnation);
      }
}

static void
deliver_one (struct test_hosts *hosts, const struct frame *frame)
{
  const struct marjoram_layout *layout = marjoram_frame_layout (frame->type);
  void *message
      = marjoram_wire_unpack (layout, marjoram_bytes_data (frame->packed),
                              marjoram_bytes_size (frame->packed), NULL);

  marjoram_host_frame (hosts->nodes[frame->to].host, hosts->now,
                       slots[frame->from], frame->session, frame->incarnation,
                       frame->type, message);
  marjoram_wire_destroy (layout, message);
}

static bool
is_deliverable (const struct test_hosts *hosts, const struct frame *frame)
{
  const struct node *sender = &hosts->nodes[frame->from];

  if (hosts->cut[frame->from][frame->to])
    return false;
  if (frame->incarnation != sender->incarnation)
    return false;
  return frame->session == 0 || sender->session[frame->to] == frame->session;
}

void
test_deliver (struct test_hosts *hosts)
{
  struct frame *frame;

  open_sessions (hosts);
  while ((frame = TAILQ_FIRST (&hosts->pending_frames)))
    {
      /* False positive in TAILQ.  NOLINTNEXTLINE(clang-analyzer-unix.*) */
      if (is_deliverable (hosts, frame))
        deliver_one (hosts, frame);
      frame_destroy (hosts, frame);
      open_sessions (hosts);
    }
}

void
test_advance_clock (struct test_hosts *hosts, int64_t msec)
{
  for (int64_t end = hosts->now + msec; hosts->now < end;)
    {
      hosts->now += STEP_MS;
      for (int i = 0; i < hosts->count; i++)
        marjoram_host_tick (hosts->nodes[i].host, hosts->now,
                            wall_time (hosts));
      test_deliver (hosts);
    }
}

void
test_stall (struct test_hosts *hosts, int64_t msec)
{
  hosts->now += msec;
  for (int i = 0; i < hosts->count; i++)
    marjoram_host_note_time (hosts->nodes[i].host, hosts->now);
}

void
test_cut (struct test_hosts *hosts, int a, int b, bool cut)
{
  marjoram_log (MARJORAM_LOG_DEBUG, "%lld: %s and %s %s",
                (long long)hosts->now, slots[a], slots[b],
                cut ? "disconnected" : "reconnected");
  hosts->cut[a][b] = cut;
  hosts->cut[b][a] = cut;
  if (!cut)
    return;
  break_session (hosts, a, b);
  break_session (hosts, b, a);
}

void
test_drop (struct test_hosts *hosts, int a, int b)
{
  struct frame *frame;
  struct frame *next;

  for (frame = TAILQ_FIRST (&hosts->pending_frames); frame; frame = next)
    {
      next = TAILQ_NEXT (frame, next);
      if (frame->from == a && frame->to == b)
        frame_destroy (hosts, frame);
    }
}

void
test_restart (struct test_hosts *hosts, int host)
{
  struct node *node = &hosts->nodes[host];

  marjoram_log (MARJORAM_LOG_DEBUG, "%lld: %s restarts", (long long)hosts->now,
                slots[host]);
  for (int i = 0; i < hosts->count; i++)
    if (i != host)
      {
        node->session[i] = 0;
        break_session (hosts, i, host);
      }
  /* Its connections to upstreams are closed.  */
  for (int i = 0; i < hosts->run_count && i < RUNS_MAX; i++)
    if (hosts->runs[i].host == host)
      hosts->runs[i].open = false;
  marjoram_host_destroy (node->host);
  memset (node->wanted, 0, sizeof node->wanted);
  node_start (node);
}

void
test_forge (struct test_hosts *hosts, int host, const char *slot,
            uint64_t session, enum marjoram_frame_type type,
            const void *message)
{
  marjoram_host_frame (hosts->nodes[host].host, hosts->now, slot, session, 1,
                       type, message);
}

/* ---- Configuration.  ---- */

static void
add_file (struct marjoram_state *state, const char *name, uint64_t version,
          const char *body)
{
  struct marjoram_file *files = state->files.items;
  struct marjoram_file *file = &files[state->files.count++];
  char text[4096];

  snprintf (text, sizeof text, "[file]\nname = %s\nversion = %llu\n%s", name,
            (unsigned long long)version, body);
  file->name = marjoram_strdup (name);
  file->version = version;
  file->text = marjoram_strdup (text);
  file->digest = marjoram_digest (text, strlen (text));
}

static void
sites_text (char *text, size_t size, int slot_count)
{
  size_t used = (size_t)snprintf (
      text, size,
      "[cluster t]\n[region ra]\n[region rb]\n[zone a]\nregion = ra\n%s",
      slot_count > 3 ? "[zone b]\nregion = rb\n" : "");

  for (int i = 0; i < slot_count; i++)
    used += (size_t)snprintf (text + used, size - used,
                              "[slot %s]\nzone = %c\npeer = 127.9.1.%d:7000\n"
                              "entry = 127.9.1.%d:8080\nkeeper = %s\n",
                              slots[i], slots[i][0], i + 1, i + 1,
                              i == 0 ? "yes" : "no");
}

static const char default_callers[]
    = "[caller free]\ntoken = free-0123456789abcdef\nhome = ra\n"
      "rate = 100000\nburst = 100000\n"
      "[caller bound]\ntoken = bound-0123456789abcdef\nhome = ra\n"
      "regions = ra\nrate = 100000\nburst = 100000\n";

static const char works[]
    = "[model m]\ndeadline_ms = 30000\n[service s]\ndeadline_ms = 30000\n";

static void
configure (struct test_hosts *hosts, uint64_t number, const char *callers,
           int slot_count)
{
  struct marjoram_state *state = marjoram_state_copy (NULL);
  struct marjoram_heartbeat heartbeat
      = { .incarnation = 1, .config_number = number };
  struct marjoram_state_piece piece = { .number = number };
  struct marjoram_packed_state packed;
  char text[4096];

  state->number = number;
  state->files.items = marjoram_alloc (3 * sizeof (struct marjoram_file));
  sites_text (text, sizeof text, slot_count);
  add_file (state, "sites", 1, text);
  add_file (state, "works", 1, works);
  add_file (state, "callers", number, callers);
  packed = marjoram_packed_state_make (state);
  piece.bytes = marjoram_compress (packed.bytes, NULL);
  piece.size = marjoram_bytes_size (piece.bytes);
  for (int i = 0; i < hosts->count; i++)
    {
      test_forge (hosts, i, "b-9", 0, MARJORAM_FRAME_HEARTBEAT, &heartbeat);
      test_forge (hosts, i, "b-9", 0, MARJORAM_FRAME_STATE_PIECE, &piece);
    }
  marjoram_bytes_release (piece.bytes);
  marjoram_packed_state_clear (&packed);
  marjoram_state_destroy (state);
}

void
test_configure (struct test_hosts *hosts, uint64_t number, const char *callers)
{
  configure (hosts, number, callers ? callers : default_callers, HOSTS_MAX);
}

void
test_remove_zone (struct test_hosts *hosts, uint64_t number)
{
  configure (hosts, number, default_callers, HOSTS_MAX / 2);
}

static void
announce (struct test_hosts *hosts, int host, const char *name,
          const char *zone, int port, uint64_t incarnation, bool leaving,
          int64_t lease_ms)
{
  struct marjoram_work_name names[2] = { { (char *)"m" }, { (char *)"s" } };
  struct marjoram_announcement a = { 0 };
  char address[32];

  snprintf (address, sizeof address, "127.9.0.1:%d", port);
  a.name = (char *)name;
  a.zone = (char *)zone;
  a.address = address;
  a.incarnation = incarnation;
  a.sequence = ++hosts->sequence;
  a.engine = true;
  a.leaving = leaving;
  a.slots = 8;
  a.lease_ms = (uint64_t)lease_ms;
  a.works.items = names;
  a.works.count = 2;
  marjoram_host_announce (hosts->nodes[host].host, hosts->now, &a);
}

void
test_announce (struct test_hosts *hosts, int host, const char *name,
               const char *zone, int port, uint64_t incarnation, bool leaving)
{
  announce (hosts, host, name, zone, port, incarnation, leaving,
            LONG_LEASE_MS);
}

void
test_announce_lease (struct test_hosts *hosts, int host, const char *name,
                     const char *zone, int port, int64_t lease_ms)
{
  announce (hosts, host, name, zone, port, 1, false, lease_ms);
}

/* ---- Requests and runs.  ---- */

uint64_t
test_send (struct test_hosts *hosts, int host, const char *caller,
           const char *body, const char *key, bool stream, int64_t deadline_ms)
{
  struct marjoram_call *call = marjoram_alloc (sizeof *call);
  char token[64];

  snprintf (token, sizeof token, "%s-0123456789abcdef", caller);
  call->number = ++hosts->next_call;
  call->token = marjoram_strdup (token);
  call->work = marjoram_strdup ("m");
  call->method = marjoram_strdup ("POST");
  call->path = marjoram_strdup ("/v1/completions");
  call->body = marjoram_bytes_create (body, strlen (body));
  call->key = key ? marjoram_strdup (key) : NULL;
  call->idempotent = key == NULL;
  call->stream = stream;
  call->deadline_ms = deadline_ms;
  call->answer_tokens = 1;
  memset (&hosts->replies[call->number % REPLIES_MAX], 0,
          sizeof hosts->replies[0]);
  marjoram_host_call (hosts->nodes[host].host, hosts->now, call);
  return hosts->next_call;
}

struct test_reply *
test_reply (struct test_hosts *hosts, uint64_t call)
{
  return &hosts->replies[call % REPLIES_MAX];
}

int
test_runs (const struct test_hosts *hosts)
{
  return hosts->run_count;
}

struct test_run *
test_run (struct test_hosts *hosts, int index)
{
  return &hosts->runs[index % RUNS_MAX];
}

void
test_head (struct test_hosts *hosts, struct test_run *run)
{
  struct marjoram_header type = { (char *)"Content-Type", (char *)"text/x" };
  struct marjoram_head head = { 0, 200, { &type, 1 }, NULL, NULL };

  marjoram_host_run_head (hosts->nodes[run->host].host, hosts->now,
                          run->attempt, &head);
}

void
test_data (struct test_hosts *hosts, struct test_run *run, const char *body)
{
  marjoram_bytes *bytes = marjoram_bytes_create (body, strlen (body));

  marjoram_host_run_data (hosts->nodes[run->host].host, hosts->now,
                          run->attempt, bytes);
  marjoram_bytes_release (bytes);
}

void
test_limit_answers (struct test_hosts *hosts, size_t bytes)
{
  for (int i = 0; i < HOSTS_MAX; i++)
    hosts->nodes[i].settings.max_answers = bytes;
}

void
test_answer (struct test_hosts *hosts, struct test_run *run, const char *body)
{
  run->open = false;
  test_head (hosts, run);
  test_data (hosts, run, body);
  marjoram_host_run_end (hosts->nodes[run->host].host, hosts->now,
                         run->attempt);
}

void
test_fail (struct test_hosts *hosts, struct test_run *run,
           enum marjoram_run_failure failure)
{
  run->open = false;
  run->refused = failure == MARJORAM_RUN_REFUSED
                 || failure == MARJORAM_RUN_UNSENT
                 || failure == MARJORAM_RUN_NOT_STARTED;
  marjoram_host_run_failed (hosts->nodes[run->host].host, hosts->now,
                            run->attempt, failure);
}

void
test_probed (struct test_hosts *hosts, int host, const char *upstream,
             bool alive)
{
  struct node *node = &hosts->nodes[host];
  uint64_t incarnation;

  for (int i = 0; i < node->probe_count; i++)
    {
      if (strcmp (node->probes[i].upstream, upstream) != 0)
        continue;
      incarnation = node->probes[i].incarnation;
      node->probe_count--;
      memmove (&node->probes[i], &node->probes[i + 1],
               (size_t)(node->probe_count - i) * sizeof node->probes[i]);
      marjoram_host_probed (node->host, hosts->now, upstream, incarnation,
                            alive);
      return;
    }
}
