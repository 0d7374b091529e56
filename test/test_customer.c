/* Tests of customers: their configuration, keys, leases on keys, homes and
   quotas at an entry host.  */
#include "suite.h"

#include "cleanup.h"
#include "customer_index.h"
#include "key_lease.h"
#include "lib_gateway.h"
#include "platform.h"
#include "quota_share.h"
#include "route_file.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  LEASE_MS = 4500,
  SOON = 1000
};

#define REST                                                                  \
  "\"routes\":[],\"services\":[],\"limits\":{\"max_header_bytes\":1,"         \
  "\"max_body_bytes\":1,\"header_timeout_ms\":1,\"idle_timeout_ms\":1}"

static struct marjoram_route_table *
read_customers (const char *customers, struct marjoram_error *err)
{
  char text[4096];
  struct marjoram_route_table *table;

  snprintf (text, sizeof text, "{\"version\":7,%s,\"tenants\":[%s]}", REST,
            customers);
  table = marjoram_platform_dialect ()->ops->read_config (text, strlen (text),
                                                          err);
  if (table && marjoram_route_table_check (table, err))
    return table;
  marjoram_route_table_destroy (table);
  return NULL;
}

static const struct marjoram_customer_rule *
customer_at (const struct marjoram_route_table *table, size_t i)
{
  ck_assert_uint_gt (table->customers.count, i);
  return &((const struct marjoram_customer_rule *)table->customers.items)[i];
}

/* ---- Configuration.  ---- */

START_TEST (customers_are_read)
{
  struct marjoram_error err = { 0 };
  struct marjoram_route_table *table = read_customers (
      "{\"name\":\"c1\",\"api_keys\":[\"k1\",\"k2\"],\"priority\":2,"
      "\"unit\":\"tokens\",\"plain_tokens\":200,\"rate_per_s\":29000,"
      "\"burst\":30000,\"home_regions\":[\"r1\"]},"
      "{\"name\":\"c2\",\"api_keys\":[]}",
      &err);
  const struct marjoram_customer_rule *c;

  ck_assert_msg (table != NULL, "%s", err.message);
  c = customer_at (table, 0);
  ck_assert_str_eq (c->name, "c1");
  ck_assert_uint_eq (c->keys.count, 2);
  ck_assert (c->has_priority);
  ck_assert_int_eq (c->priority, 2);
  ck_assert (marjoram_customer_has_quota (c));
  ck_assert_int_eq (marjoram_customer_cost (c, 1460, 80), 1540);
  ck_assert_int_eq (marjoram_customer_cost (c, 0, 0), 200);
  ck_assert (marjoram_customer_allows (c, "r1"));
  ck_assert (!marjoram_customer_allows (c, "r2"));
  c = customer_at (table, 1);
  ck_assert (!c->has_priority);
  ck_assert (!marjoram_customer_has_quota (c));
  ck_assert (marjoram_customer_allows (c, "r2"));
  ck_assert_int_eq (marjoram_customer_cost (c, 1460, 80), 1);
  marjoram_route_table_destroy (table);
}
END_TEST

START_TEST (invalid_customers_are_rejected_without_their_keys)
{
  static const struct
  {
    const char *customers;
    const char *named; /* in the error */
  } cases[] = {
    { "{\"name\":\"c1\",\"api_keys\":[\"SECRET\"]},"
      "{\"name\":\"c2\",\"api_keys\":[\"x\",\"SECRET\"]}",
      "c2" },
    { "{\"name\":\"c1\",\"api_keys\":[\"SECRET\"]},"
      "{\"name\":\"c1\",\"api_keys\":[]}",
      "c1" },
    { "{\"name\":\"\",\"api_keys\":[\"SECRET\"]}", "name" },
    { "{\"name\":\"c1\",\"api_keys\":[\"SECRET\",\"\"]}", "c1" },
    { "{\"name\":\"c1\",\"rate_per_s\":-1,\"api_keys\":[\"SECRET\"]}", "c1" },
    { "{\"name\":\"c1\",\"unit\":\"bytes\",\"api_keys\":[\"SECRET\"]}",
      "bytes" },
    { "{\"name\":\"c1\",\"api_keys\":\"SECRET\"}", "api_keys" },
    { "{\"api_keys\":[\"SECRET\"]}", "name" },
    { "{\"name\":\"long-name-"
      "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
      "\",\"api_keys\":[\"SECRET\"]}",
      "long-name-" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct marjoram_error err = { 0 };

      ck_assert_msg (!read_customers (cases[i].customers, &err), "case %zu",
                     i);
      ck_assert_msg (strstr (err.message, cases[i].named), "case %zu: %s", i,
                     err.message);
      ck_assert_ptr_null (strstr (err.message, "SECRET"));
    }
}
END_TEST

START_TEST (a_key_listed_twice_by_one_customer_is_accepted)
{
  struct marjoram_error err = { 0 };
  struct marjoram_route_table *table
      = read_customers ("{\"name\":\"c1\",\"api_keys\":[\"k\",\"k\"]}", &err);

  ck_assert_msg (table != NULL, "%s", err.message);
  marjoram_route_table_destroy (table);
}
END_TEST

START_TEST (customers_are_read_from_a_route_file)
{
  static const char text[]
      = "[routes]\nversion = 3\n[service app]\n"
        "[route open]\nhost = a.example\nprefix = /open/\n"
        "kind = idempotent\ntimeout_ms = 500\nservices = app\npublic = yes\n"
        "[customer c1]\nkeys = k1, k2\npriority = 1\nunit = tokens\n"
        "rate_per_s = 100\nburst = 50\nplain_tokens = 20\nhomes = r1, r2\n"
        "[customer c2]\n";
  struct marjoram_error err = { 0 };
  struct marjoram_route_table *table
      = marjoram_route_file_read (text, strlen (text), &err);
  const struct marjoram_customer_rule *c;

  ck_assert_msg (table != NULL, "%s", err.message);
  ck_assert (marjoram_route_table_check (table, &err));
  ck_assert (
      ((const struct marjoram_route_rule *)table->routes.items)->public);
  c = customer_at (table, 0);
  ck_assert_uint_eq (c->keys.count, 2);
  ck_assert_str_eq (c->keys.items[1], "k2");
  ck_assert_int_eq (c->unit, MARJORAM_QUOTA_TOKENS);
  ck_assert_double_eq (c->burst, 50);
  ck_assert_uint_eq (c->homes.count, 2);
  ck_assert (!customer_at (table, 1)->has_priority);
  ck_assert_uint_eq (customer_at (table, 1)->keys.count, 0);
  marjoram_route_table_destroy (table);
}
END_TEST

START_TEST (keys_are_found_among_thousands)
{
  enum
  {
    CUSTOMERS = 3000
  };
  struct marjoram_customer_rule *rules
      = marjoram_alloc (CUSTOMERS * sizeof *rules);
  const struct marjoram_route_table table
      = { .customers = { rules, CUSTOMERS } };
  marjoram_customer_index *index;
  char names[CUSTOMERS][16];
  char *keys[CUSTOMERS];
  struct marjoram_key_digest digest;

  for (int i = 0; i < CUSTOMERS; i++)
    {
      snprintf (names[i], sizeof names[i], "key-%d", i);
      keys[i] = names[i];
      rules[i].keys = (struct marjoram_names){ &keys[i], 1 };
    }
  index = marjoram_customer_index_create (&table);
  for (int i = 0; i < CUSTOMERS; i++)
    {
      marjoram_key_digest (names[i], &digest);
      ck_assert_ptr_eq (marjoram_customer_index_find (index, &digest),
                        &rules[i]);
    }
  marjoram_key_digest ("key-", &digest);
  ck_assert_ptr_null (marjoram_customer_index_find (index, &digest));
  marjoram_customer_index_destroy (index);
  free (rules);
}
END_TEST

/* ---- Leases.  ---- */

START_TEST (a_lease_is_counted_from_the_moment_of_asking)
{
  marjoram_key_lease *lease = marjoram_key_lease_create (LEASE_MS);

  marjoram_key_lease_set_number (lease, 3);
  ck_assert (!marjoram_key_lease_is_valid (lease, 0));
  ck_assert (marjoram_key_lease_ask (lease, 100));
  ck_assert (!marjoram_key_lease_ask (lease, 101));
  marjoram_key_lease_confirmed (lease, 400, 100, 3);
  ck_assert (marjoram_key_lease_is_valid (lease, 100 + LEASE_MS - 1));
  ck_assert (!marjoram_key_lease_is_valid (lease, 100 + LEASE_MS));
  marjoram_key_lease_destroy (lease);
}
END_TEST

/* A host that is suspended after asking must not take the late answer for a
   fresh one.  */
START_TEST (an_answer_after_the_lease_period_grants_nothing)
{
  marjoram_key_lease *lease = marjoram_key_lease_create (LEASE_MS);

  marjoram_key_lease_set_number (lease, 3);
  marjoram_key_lease_ask (lease, 100);
  marjoram_key_lease_confirmed (lease, 100 + LEASE_MS, 100, 3);
  ck_assert (!marjoram_key_lease_is_valid (lease, 100 + LEASE_MS));
  marjoram_key_lease_destroy (lease);
}
END_TEST

START_TEST (a_lease_waits_for_the_confirmed_configuration)
{
  marjoram_key_lease *lease = marjoram_key_lease_create (LEASE_MS);

  marjoram_key_lease_set_number (lease, 3);
  marjoram_key_lease_ask (lease, 100);
  marjoram_key_lease_confirmed (lease, 200, 100, 3);
  marjoram_key_lease_ask (lease, 1100);
  marjoram_key_lease_confirmed (lease, 1200, 1100, 4);
  ck_assert (marjoram_key_lease_is_valid (lease, 100 + LEASE_MS - 1));
  ck_assert (!marjoram_key_lease_is_current (lease, 1200));
  ck_assert (!marjoram_key_lease_is_valid (lease, 100 + LEASE_MS));
  marjoram_key_lease_set_number (lease, 4);
  ck_assert (marjoram_key_lease_is_valid (lease, 1100 + LEASE_MS - 1));
  ck_assert (marjoram_key_lease_is_current (lease, 1200));
  marjoram_key_lease_destroy (lease);
}
END_TEST

START_TEST (an_unanswered_ask_is_repeated_soon)
{
  marjoram_key_lease *lease = marjoram_key_lease_create (LEASE_MS);
  int asks = 0;

  for (int64_t now = 0; now < 2000; now += 25)
    asks += marjoram_key_lease_ask (lease, now);
  ck_assert_int_eq (asks, 5);
  ck_assert_int_eq (marjoram_key_lease_unanswered (lease), 5);
  marjoram_key_lease_confirmed (lease, 2000, 1600, 1);
  ck_assert_int_eq (marjoram_key_lease_unanswered (lease), 0);
  marjoram_key_lease_destroy (lease);
}
END_TEST

START_TEST (without_a_period_keys_need_no_lease)
{
  marjoram_key_lease *lease = marjoram_key_lease_create (0);

  ck_assert (!marjoram_key_lease_ask (lease, 100));
  ck_assert (marjoram_key_lease_is_current (lease, 100));
  marjoram_key_lease_destroy (lease);
}
END_TEST

/* ---- Requests at an entry host.  ---- */

static struct gateway_fixture f;

static void
open_customers (void)
{
  gateway_fixture_open (&f);
  gateway_fixture_configure_customers (&f);
}

static void
close_customers (void)
{
  gateway_fixture_close (&f);
}

START_TEST (a_valid_key_is_replaced_by_the_customers_name)
{
  gateway_fixture_keyed (&f, SOON, "/get/x", "Bearer key-1");
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert_ptr_null (strstr (f.seen.message, "key-1"));
  ck_assert_ptr_null (strstr (f.seen.message, "forged"));
  ck_assert_ptr_nonnull (
      strstr (f.seen.message, "Marjoramproxy-Tenant: c1\r\n"));
}
END_TEST

START_TEST (requests_without_a_known_key_are_refused)
{
  static const char *const credentials[]
      = { NULL,    "Bearer nobody", "Bearer ",        "Basic key-1",
          "key-1", "Bearer key-1 ", "Bearer \x80\xff" };

  for (size_t i = 0; i < sizeof credentials / sizeof *credentials; i++)
    {
      gateway_fixture_keyed (&f, SOON, "/get/x", credentials[i]);
      ck_assert_int_eq (f.seen.refusals, (int)i + 1);
      ck_assert_int_eq (f.seen.why.status, 401);
      ck_assert_int_eq (f.seen.why.outcome, MARJORAM_OUTCOME_NOT_RUN);
    }
  ck_assert_int_eq (f.seen.sends, 0);
}
END_TEST

START_TEST (a_public_route_needs_no_key_and_passes_none_on)
{
  gateway_fixture_keyed (&f, SOON, "/open/x", NULL);
  ck_assert_int_eq (f.seen.sends, 1);
  gateway_fixture_keyed (&f, SOON, "/open/x", "Bearer key-1");
  ck_assert_int_eq (f.seen.sends, 2);
  ck_assert_ptr_null (strstr (f.seen.message, "key-1"));
  ck_assert_ptr_null (strstr (f.seen.message, "forged"));
}
END_TEST

START_TEST (without_customers_credentials_are_passed_on)
{
  gateway_fixture_configure (&f);
  gateway_fixture_keyed (&f, SOON, "/get/x", "Bearer key-1");
  ck_assert_ptr_nonnull (strstr (f.seen.message, "Bearer key-1"));
}
END_TEST

START_TEST (a_key_taken_away_stops_a_waiting_request)
{
  uint64_t sends;

  gateway_fixture_keyed (&f, SOON, "/get/x", "Bearer key-1");
  sends = (uint64_t)f.seen.sends;
  gateway_fixture_configure_keys (&f, "key-new");
  gateway_fixture_head (&f, SOON, 503, NULL, false, true);
  gateway_fixture_end (&f, SOON, MARJORAM_HTTP_COMPLETE);
  ck_assert_uint_eq ((uint64_t)f.seen.sends, sends);
  ck_assert_int_eq (f.seen.why.status, 401);
  gateway_fixture_keyed (&f, SOON + 3000, "/get/x", "Bearer key-new");
  ck_assert_uint_eq ((uint64_t)f.seen.sends, sends + 1);
}
END_TEST

/* The caller's region is none of the customer's homes; the route allows it. */
START_TEST (homes_of_the_customer_bind_too)
{
  gateway_fixture_keyed (&f, SOON, "/ask/x", "Bearer key-far");
  ck_assert_int_eq (f.seen.sends, 0);
  ck_assert_int_eq (f.seen.forwards, 1);
  ck_assert_str_eq (f.seen.customer, "far");
}
END_TEST

START_TEST (homes_of_route_and_customer_may_leave_no_region)
{
  gateway_fixture_keyed (&f, SOON, "/home/x", "Bearer key-near");
  ck_assert_int_eq (f.seen.sends + f.seen.forwards, 0);
  ck_assert_int_eq (f.seen.why.reason, MARJORAM_REASON_RESIDENCY);
}
END_TEST

START_TEST (a_forwarded_request_names_its_customer)
{
  gateway_fixture_forwarded_for (&f, SOON, "/get/x", "c1");
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert_ptr_nonnull (
      strstr (f.seen.message, "Marjoramproxy-Tenant: c1\r\n"));
  gateway_fixture_forwarded_for (&f, SOON, "/get/x", NULL);
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert_int_eq (f.seen.why.status, 503);
}
END_TEST

START_TEST (the_customers_priority_replaces_the_routes)
{
  gateway_fixture_keyed (&f, SOON, "/ask/x", "Bearer key-1");
  ck_assert_ptr_nonnull (
      strstr (f.seen.message, "Marjoramproxy-Request-Urgency: 3\r\n"));
}
END_TEST

static void
open_leased (void)
{
  gateway_fixture_open_leased (&f, LEASE_MS);
  gateway_fixture_configure_customers (&f);
}

START_TEST (keys_need_a_lease_where_revocation_is_bounded)
{
  marjoram_key_lease *lease = marjoram_gateway_key_lease (f.gateway);

  gateway_fixture_keyed (&f, SOON, "/get/x", "Bearer key-1");
  ck_assert_int_eq (f.seen.why.status, 503);
  ck_assert_int_gt (f.seen.why.retry_ms, 0);
  /* What needs no key is served all the same.  */
  gateway_fixture_keyed (&f, SOON, "/open/x", NULL);
  ck_assert_int_eq (f.seen.sends, 1);
  marjoram_key_lease_set_number (lease, 5);
  marjoram_key_lease_ask (lease, SOON);
  marjoram_key_lease_confirmed (lease, SOON, SOON, 5);
  gateway_fixture_keyed (&f, SOON, "/get/x", "Bearer key-1");
  ck_assert_int_eq (f.seen.sends, 2);
  gateway_fixture_keyed (&f, SOON + LEASE_MS, "/get/x", "Bearer key-1");
  ck_assert_int_eq (f.seen.sends, 2);
  ck_assert_int_eq (f.seen.why.status, 503);
}
END_TEST

/* A newer configuration that this host still fetches may have the key.  */
START_TEST (an_unknown_key_is_not_denied_while_a_newer_state_is_known)
{
  marjoram_key_lease *lease = marjoram_gateway_key_lease (f.gateway);

  marjoram_key_lease_set_number (lease, 5);
  marjoram_key_lease_ask (lease, SOON);
  marjoram_key_lease_confirmed (lease, SOON, SOON, 5);
  marjoram_key_lease_confirmed (lease, SOON + 1, SOON + 1, 6);
  gateway_fixture_keyed (&f, SOON + 2, "/get/x", "Bearer nobody");
  ck_assert_int_eq (f.seen.why.status, 503);
  marjoram_key_lease_set_number (lease, 6);
  gateway_fixture_keyed (&f, SOON + 2, "/get/x", "Bearer nobody");
  ck_assert_int_eq (f.seen.why.status, 401);
}
END_TEST

/* ---- Quotas at an entry host.  ---- */

START_TEST (a_request_is_sent_once_its_quota_is_granted)
{
  gateway_fixture_keyed (&f, SOON, "/get/x", "Bearer key-quota");
  ck_assert_int_eq (f.seen.sends, 0);
  ck_assert_int_eq (f.seen.asks, 1);
  ck_assert_int_eq (f.seen.asked_units, 200);
  gateway_fixture_grant (&f, SOON + 2, 200, 0);
  ck_assert_int_eq (f.seen.sends, 1);
}
END_TEST

START_TEST (a_request_over_the_quota_is_refused_at_once)
{
  gateway_fixture_keyed (&f, SOON, "/get/x", "Bearer key-quota");
  gateway_fixture_grant (&f, SOON + 2, 150, 700);
  ck_assert_int_eq (f.seen.sends, 0);
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_int_eq (f.seen.why.status, 429);
  ck_assert_int_eq (f.seen.why.retry_ms, 700);
  ck_assert_int_eq (f.seen.why.outcome, MARJORAM_OUTCOME_NOT_RUN);
}
END_TEST

START_TEST (without_an_answer_the_quota_is_unknown_and_nothing_runs)
{
  gateway_fixture_keyed (&f, SOON, "/get/x", "Bearer key-quota");
  for (int64_t now = SOON; now < SOON + 800; now += 25)
    marjoram_gateway_tick (f.gateway, now);
  ck_assert_int_eq (f.seen.sends, 0);
  ck_assert_int_eq (f.seen.refusals, 1);
  ck_assert_int_eq (f.seen.why.status, 503);
}
END_TEST

START_TEST (a_repeat_is_not_charged_again)
{
  gateway_fixture_keyed (&f, SOON, "/ask/x", "Bearer key-quota");
  gateway_fixture_grant (&f, SOON + 2, 200, 0);
  gateway_fixture_head (&f, SOON + 5, 503, NULL, false, true);
  gateway_fixture_end (&f, SOON + 5, MARJORAM_HTTP_COMPLETE);
  ck_assert_int_eq (f.seen.sends, 2);
  ck_assert_int_eq (f.seen.asks, 1);
}
END_TEST

START_TEST (a_forwarded_request_is_charged_where_it_was_received)
{
  gateway_fixture_forwarded_for (&f, SOON, "/get/x", "limited");
  ck_assert_int_eq (f.seen.sends, 1);
  ck_assert_int_eq (f.seen.asks, 0);
}
END_TEST

START_TEST (units_of_a_refused_request_serve_the_next)
{
  f.evacuated = true;
  f.link_up = false;
  gateway_fixture_keyed (&f, SOON, "/get/x", "Bearer key-quota");
  gateway_fixture_grant (&f, SOON + 2, 200, 0);
  ck_assert_int_eq (f.seen.refusals, 1);
  f.evacuated = false;
  gateway_fixture_keyed (&f, SOON + 10, "/get/x", "Bearer key-quota");
  ck_assert_int_eq (f.seen.asks, 1);
  ck_assert_int_eq (f.seen.sends, 1);
}
END_TEST

/* Guards against units of different seconds that add up to more than a window
   may hold.  */
START_TEST (units_that_are_not_spent_in_time_are_void)
{
  gateway_fixture_keyed (&f, SOON, "/get/x", "Bearer key-quota");
  gateway_fixture_grant (&f, SOON + 2, 600, 0);
  gateway_fixture_keyed (&f, SOON + MARJORAM_QUOTA_VALID_MS - 1, "/get/x",
                         "Bearer key-quota");
  ck_assert_int_eq (f.seen.asks, 1);
  gateway_fixture_keyed (&f, SOON + MARJORAM_QUOTA_VALID_MS, "/get/x",
                         "Bearer key-quota");
  ck_assert_int_eq (f.seen.asks, 2);
}
END_TEST

START_TEST (a_caller_that_leaves_while_waiting_is_forgotten)
{
  uint64_t call
      = gateway_fixture_keyed (&f, SOON, "/get/x", "Bearer key-quota");

  marjoram_gateway_caller_disconnected (f.gateway, SOON + 1, call);
  gateway_fixture_grant (&f, SOON + 2, 200, 0);
  ck_assert_int_eq (f.seen.sends, 0);
  ck_assert_uint_eq (marjoram_gateway_request_count (f.gateway), 0);
}
END_TEST

Suite *
suite (void)
{
  Suite *s = suite_create ("customer");
  TCase *config = tcase_create ("configuration");
  TCase *leases = tcase_create ("leases");
  TCase *keys = tcase_create ("keys");
  TCase *leased = tcase_create ("leased");
  TCase *quotas = tcase_create ("quotas");

  tcase_add_test (config, customers_are_read);
  tcase_add_test (config, invalid_customers_are_rejected_without_their_keys);
  tcase_add_test (config, a_key_listed_twice_by_one_customer_is_accepted);
  tcase_add_test (config, customers_are_read_from_a_route_file);
  tcase_add_test (config, keys_are_found_among_thousands);
  suite_add_tcase (s, config);
  tcase_add_test (leases, a_lease_is_counted_from_the_moment_of_asking);
  tcase_add_test (leases, an_answer_after_the_lease_period_grants_nothing);
  tcase_add_test (leases, a_lease_waits_for_the_confirmed_configuration);
  tcase_add_test (leases, an_unanswered_ask_is_repeated_soon);
  tcase_add_test (leases, without_a_period_keys_need_no_lease);
  suite_add_tcase (s, leases);
  tcase_add_checked_fixture (keys, open_customers, close_customers);
  tcase_add_test (keys, a_valid_key_is_replaced_by_the_customers_name);
  tcase_add_test (keys, requests_without_a_known_key_are_refused);
  tcase_add_test (keys, a_public_route_needs_no_key_and_passes_none_on);
  tcase_add_test (keys, without_customers_credentials_are_passed_on);
  tcase_add_test (keys, a_key_taken_away_stops_a_waiting_request);
  tcase_add_test (keys, homes_of_the_customer_bind_too);
  tcase_add_test (keys, homes_of_route_and_customer_may_leave_no_region);
  tcase_add_test (keys, a_forwarded_request_names_its_customer);
  tcase_add_test (keys, the_customers_priority_replaces_the_routes);
  suite_add_tcase (s, keys);
  tcase_add_checked_fixture (leased, open_leased, close_customers);
  tcase_add_test (leased, keys_need_a_lease_where_revocation_is_bounded);
  tcase_add_test (leased,
                  an_unknown_key_is_not_denied_while_a_newer_state_is_known);
  suite_add_tcase (s, leased);
  tcase_add_checked_fixture (quotas, open_customers, close_customers);
  tcase_add_test (quotas, a_request_is_sent_once_its_quota_is_granted);
  tcase_add_test (quotas, a_request_over_the_quota_is_refused_at_once);
  tcase_add_test (quotas,
                  without_an_answer_the_quota_is_unknown_and_nothing_runs);
  tcase_add_test (quotas, a_repeat_is_not_charged_again);
  tcase_add_test (quotas,
                  a_forwarded_request_is_charged_where_it_was_received);
  tcase_add_test (quotas, units_of_a_refused_request_serve_the_next);
  tcase_add_test (quotas, units_that_are_not_spent_in_time_are_void);
  tcase_add_test (quotas, a_caller_that_leaves_while_waiting_is_forgotten);
  suite_add_tcase (s, quotas);
  return s;
}
