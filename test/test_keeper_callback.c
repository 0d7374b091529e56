/* A keeper whose owner makes requests from its callback for answers.  */
#include "suite.h"

#include "cleanup.h"
#include "keeper.h"
#include "keeper_request.h"

#include <stdio.h>
#include <string.h>

enum
{
  TICK_MS = 50,
  ANSWERS_MAX = 16,
  FIRST_VERSION = 5,
  BOOTSTRAP_MS = 2000
};

static marjoram_keeper *keeper;
static marjoram_random *random_source;
static int64_t now;
static uint64_t ticket; /* of the latest write; 0 once persisted */
static uint64_t last_request;
static int answers[ANSWERS_MAX]; /* by request */
static enum marjoram_change_result results[ANSWERS_MAX];
static void (*react) (uint64_t request,
                      const struct marjoram_apply_answer *answer);

static void
on_send (void *context, const char *slot,
         const struct marjoram_keeper_message *message)
{
  (void)context;
  (void)slot;
  (void)message;
}

static void
on_persist (void *context, uint64_t number, marjoram_bytes *record)
{
  (void)context;
  ticket = number;
  marjoram_bytes_release (record);
}

static void
on_chosen (void *context, const struct marjoram_state *state)
{
  (void)context;
  (void)state;
}

static void
on_answered (void *context, uint64_t request,
             const struct marjoram_apply_answer *answer)
{
  (void)context;
  ck_assert_uint_lt (request, ANSWERS_MAX);
  answers[request]++;
  results[request] = answer->result;
  if (react)
    react (request, answer);
}

static bool
on_valid (void *context, const struct marjoram_state *state,
          struct marjoram_error *err)
{
  (void)context;
  (void)state;
  (void)err;
  return true;
}

static const struct marjoram_keeper_ops ops = { .send = on_send,
                                                .persist = on_persist,
                                                .chosen = on_chosen,
                                                .answered = on_answered,
                                                .valid = on_valid };

static void
run (int64_t ms)
{
  for (const int64_t end = now + ms; now < end; now += TICK_MS)
    {
      marjoram_keeper_tick (keeper, now);
      while (ticket)
        {
          const uint64_t number = ticket;

          ticket = 0;
          marjoram_keeper_persisted (keeper, now, number, true);
        }
    }
}

static void
setup (void)
{
  static const char *const first[] = { "k0" };
  const struct marjoram_keeper_options options = { .slot = "k0",
                                                   .store_id = "store",
                                                   .first = first,
                                                   .first_count = 1,
                                                   .incarnation = 1 };

  now = TICK_MS;
  ticket = 0;
  last_request = 0;
  react = NULL;
  memset (answers, 0, sizeof answers);
  random_source = marjoram_random_create (1);
  keeper = marjoram_keeper_create (&options, &ops, NULL, random_source, NULL);
}

static void
teardown (void)
{
  marjoram_keeper_destroy (keeper);
  marjoram_random_destroy (random_source);
}

/* Returns the number of the request.  */
static uint64_t
apply (uint64_t version, const char *text)
{
  const struct marjoram_file file
      = { (char *)"zones", version, NULL, (char *)text };
  char id[MARJORAM_NAME_MAX];

  snprintf (id, sizeof id, "%llu-%s", (unsigned long long)version, text);
  marjoram_keeper_apply (keeper, now, ++last_request, id, &file);
  return last_request;
}

/* Applies a change that lost against another one again, on top of that.  */
static void
apply_again (uint64_t request, const struct marjoram_apply_answer *answer)
{
  (void)request;
  if (answer->result == MARJORAM_CHANGE_CONFLICT)
    apply (answer->version + 1, "again");
}

/* Guards against a request that is completed and freed once more from within
   its own callback.  */
START_TEST (changes_that_lose_are_applied_again_from_their_callback)
{
  run (BOOTSTRAP_MS);
  react = apply_again;
  apply (FIRST_VERSION, "a");
  apply (FIRST_VERSION, "b");
  apply (FIRST_VERSION, "c");
  run (BOOTSTRAP_MS);
  ck_assert_uint_ge (last_request, 4);
  for (uint64_t i = 1; i <= last_request; i++)
    ck_assert_msg (answers[i] == 1, "request %llu: %d answers",
                   (unsigned long long)i, answers[i]);
  ck_assert_int_eq (results[1], MARJORAM_CHANGE_ACCEPTED);
  ck_assert_int_eq (results[last_request], MARJORAM_CHANGE_ACCEPTED);
}
END_TEST

static void
apply_same (uint64_t request, const struct marjoram_apply_answer *answer)
{
  (void)answer;
  if (request == 1)
    apply (FIRST_VERSION, "a");
}

/* Guards against a change that a callback sends once more and that nobody
   answers, as it is decided already.  */
START_TEST (decided_change_is_answered_when_sent_again_from_its_callback)
{
  run (BOOTSTRAP_MS);
  react = apply_same;
  apply (FIRST_VERSION, "a");
  run (BOOTSTRAP_MS);
  ck_assert_int_eq (answers[1], 1);
  ck_assert_int_eq (answers[2], 1);
}
END_TEST

static void
apply_after_expiry (uint64_t request,
                    const struct marjoram_apply_answer *answer)
{
  if (answer->outcome == MARJORAM_APPLY_NOT_RUN && request <= 2)
    apply (FIRST_VERSION, request == 1 ? "a" : "b");
}

/* Guards against requests that are lost or answered twice when a callback
   adds others during the walk over expired ones.  */
START_TEST (expired_requests_are_applied_again_from_their_callback)
{
  react = apply_after_expiry;
  marjoram_keeper_destroy (keeper);
  keeper = marjoram_keeper_create (
      &(struct marjoram_keeper_options){
          .slot = "k0", .store_id = "store", .incarnation = 1 },
      &ops, NULL, random_source, NULL);
  apply (FIRST_VERSION, "a");
  apply (FIRST_VERSION, "b");
  run (MARJORAM_KEEPER_APPLY_TIMEOUT_MS + BOOTSTRAP_MS);
  ck_assert_uint_eq (last_request, 4);
  ck_assert_int_eq (answers[1], 1);
  ck_assert_int_eq (answers[2], 1);
  run (MARJORAM_KEEPER_APPLY_TIMEOUT_MS + BOOTSTRAP_MS);
  ck_assert_int_eq (answers[3], 1);
  ck_assert_int_eq (answers[4], 1);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("keeper_callback");
  TCase *c = tcase_create ("keeper_callback");

  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_test (c, changes_that_lose_are_applied_again_from_their_callback);
  tcase_add_test (
      c, decided_change_is_answered_when_sent_again_from_its_callback);
  tcase_add_test (c, expired_requests_are_applied_again_from_their_callback);
  suite_add_tcase (s, c);
  return s;
}
