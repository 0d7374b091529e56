#include "account.h"

#include "cleanup.h"

#include <inttypes.h>
#include <string.h>
#include <uthash.h>

enum
{
  FIELDS_MAX = 6,
  KEY_MAX_BYTES = 512,
  MSEC_PER_SEC = 1000,
  PERCENT = 100
};

enum outcome
{
  OUTCOME_IN_TIME,
  OUTCOME_LATE,
  OUTCOME_REFUSED, /* not run */
  OUTCOME_CALLER_LEFT,
  OUTCOME_FAILED,
  OUTCOME_COUNT
};

struct group
{
  char *key;
  size_t requests;
  size_t outcomes[OUTCOME_COUNT];
  int64_t total_ms;
  double first_arrival;
  double last_arrival;
  UT_hash_handle hh;
};

struct marjoram_account
{
  char *by;
  const char *field_names[FIELDS_MAX];
  size_t field_count;
  bool counts_outcomes;
  size_t requests;
  size_t served; /* within the objective */
  struct group *groups;
};

marjoram_account *
marjoram_account_create (const char *by)
{
  marjoram_account *account = marjoram_alloc (sizeof *account);
  char *state = NULL;
  char *name;

  account->by = marjoram_strdup (by);
  for (name = strtok_r (account->by, ",", &state);
       name && account->field_count < FIELDS_MAX;
       name = strtok_r (NULL, ",", &state))
    account->field_names[account->field_count++] = name;
  if (account->field_count > 0 && !name)
    return account;
  marjoram_account_destroy (account);
  return NULL;
}

void
marjoram_account_destroy (marjoram_account *account)
{
  struct group *group;
  struct group *next;

  if (!account)
    return;
  HASH_ITER (hh, account->groups, group, next)
  {
    /* False positive in uthash.  NOLINTNEXTLINE(clang-analyzer-*) */
    HASH_DELETE (hh, account->groups, group);
    free (group->key);
    free (group);
  }
  free (account->by);
  free (account);
}

static bool
is_late (const struct marjoram_log_line *line)
{
  int64_t objective = marjoram_log_line_number (line, "objective_ms", 0);

  return objective > 0
         && marjoram_log_line_number (line, "first_ms", 0) > objective;
}

/* Error responses of the upstream don't count as served.  */
static bool
served_successfully (const struct marjoram_log_line *line)
{
  const char *outcome = marjoram_log_line_get (line, "outcome");

  return outcome && strcmp (outcome, "done") == 0
         && marjoram_log_line_number (line, "status", 0) / 100 == 2;
}

static enum outcome
outcome_of (const struct marjoram_log_line *line)
{
  const char *outcome = marjoram_log_line_get (line, "outcome");

  if (served_successfully (line))
    return is_late (line) ? OUTCOME_LATE : OUTCOME_IN_TIME;
  if (outcome && strcmp (outcome, "not-run") == 0)
    return OUTCOME_REFUSED;
  return outcome && strcmp (outcome, "caller-left") == 0 ? OUTCOME_CALLER_LEFT
                                                         : OUTCOME_FAILED;
}

static void
write_cause (const struct marjoram_log_line *line, char *text, size_t size)
{
  const char *outcome = marjoram_log_line_get (line, "outcome");
  const char *reason = marjoram_log_line_get (line, "reason");
  const char *limit = marjoram_log_line_get (line, "limit");

  if (served_successfully (line))
    snprintf (text, size, "late");
  else if (reason && strcmp (reason, "none") != 0)
    snprintf (text, size, "%s/%s/%s", outcome, reason, limit ? limit : "none");
  else
    snprintf (text, size, "%s/%" PRId64, outcome,
              marjoram_log_line_number (line, "status", 0));
}

static double
arrival_time (const struct marjoram_log_line *line)
{
  return line->at
         - (double)marjoram_log_line_number (line, "ms", 0) / MSEC_PER_SEC;
}

static void
write_field (const struct marjoram_log_line *line, const char *name,
             char *text, size_t size)
{
  const char *value = marjoram_log_line_get (line, name);

  if (strcmp (name, "cause") == 0)
    write_cause (line, text, size);
  else if (strcmp (name, "second") == 0)
    snprintf (text, size, "%.0f", arrival_time (line));
  else
    snprintf (text, size, "%s", value ? value : "-");
}

static void
write_key (const marjoram_account *account,
           const struct marjoram_log_line *line, char key[KEY_MAX_BYTES])
{
  size_t used = 0;

  for (size_t i = 0; i < account->field_count && used < KEY_MAX_BYTES; i++)
    {
      char text[KEY_MAX_BYTES / FIELDS_MAX];

      write_field (line, account->field_names[i], text, sizeof text);
      used += (size_t)snprintf (key + used, KEY_MAX_BYTES - used, "%s%s",
                                i > 0 ? "  " : "", text);
    }
}

static struct group *
find_group (marjoram_account *account, const char *key, double at)
{
  struct group *group;

  HASH_FIND_STR (account->groups, key, group);
  if (group)
    return group;
  group = marjoram_alloc (sizeof *group);
  group->key = marjoram_strdup (key);
  group->first_arrival = group->last_arrival = at;
  HASH_ADD_KEYPTR (hh, account->groups, group->key, strlen (group->key),
                   group);
  return group;
}

void
marjoram_account_add (marjoram_account *account,
                      const struct marjoram_log_line *line)
{
  const char *event = marjoram_log_line_get (line, "event");
  const enum outcome outcome = outcome_of (line);
  char key[KEY_MAX_BYTES] = "";
  struct group *group;
  double at = arrival_time (line);

  if (strcmp (event, "request") != 0
      || marjoram_log_line_number (line, "forwarded", 0) != 0)
    return;
  account->requests++;
  if (outcome == OUTCOME_IN_TIME)
    account->served++;
  if (outcome == OUTCOME_IN_TIME && !account->counts_outcomes)
    return;
  write_key (account, line, key);
  group = find_group (account, key, at);
  group->requests++;
  group->outcomes[outcome]++;
  group->total_ms += marjoram_log_line_number (line, "ms", 0);
  if (at < group->first_arrival)
    group->first_arrival = at;
  if (at > group->last_arrival)
    group->last_arrival = at;
}

void
marjoram_account_count_outcomes (marjoram_account *account)
{
  account->counts_outcomes = true;
}

size_t
marjoram_account_requests (const marjoram_account *account)
{
  return account->requests;
}

static int
compare_groups (struct group *a, struct group *b)
{
  if (a->requests != b->requests)
    return a->requests < b->requests ? 1 : -1;
  return strcmp (a->key, b->key);
}

static void
print_causes (const marjoram_account *account, FILE *out)
{
  const struct group *group;
  const struct group *next;

  fprintf (out, "%9s %6s %8s %14s %14s  group\n", "requests", "share",
           "mean ms", "first arrival", "last arrival");
  HASH_ITER (hh, account->groups, group, next)
  {
    fprintf (out, "%9zu %5.1f%% %8" PRId64 " %14.3f %14.3f  %s\n",
             group->requests,
             PERCENT * (double)group->requests / (double)account->requests,
             group->total_ms / (int64_t)group->requests, group->first_arrival,
             group->last_arrival, group->key);
  }
}

static void
print_outcomes (const marjoram_account *account, FILE *out)
{
  const struct group *group;
  const struct group *next;

  fprintf (out, "%9s %8s %9s %9s %9s %9s %9s  group\n", "requests", "in time",
           "late", "refused", "left", "failed", "mean ms");
  HASH_ITER (hh, account->groups, group, next)
  {
    fprintf (out, "%9zu %7.1f%% %9zu %9zu %9zu %9zu %9" PRId64 "  %s\n",
             group->requests,
             PERCENT * (double)group->outcomes[OUTCOME_IN_TIME]
                 / (double)group->requests,
             group->outcomes[OUTCOME_LATE], group->outcomes[OUTCOME_REFUSED],
             group->outcomes[OUTCOME_CALLER_LEFT],
             group->outcomes[OUTCOME_FAILED],
             group->total_ms / (int64_t)group->requests, group->key);
  }
}

void
marjoram_account_print (marjoram_account *account, FILE *out)
{
  fprintf (out, "%zu requests, %zu served in time\n", account->requests,
           account->served);
  HASH_SORT (account->groups, compare_groups);
  if (account->counts_outcomes)
    print_outcomes (account, out);
  else
    print_causes (account, out);
}
