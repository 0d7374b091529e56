/* Tests of customers in the configuration.  */
#include "suite.h"

#include "cleanup.h"
#include "platform.h"
#include "route_file.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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

Suite *
suite (void)
{
  Suite *s = suite_create ("customer");
  TCase *config = tcase_create ("configuration");

  tcase_add_test (config, customers_are_read);
  tcase_add_test (config, invalid_customers_are_rejected_without_their_keys);
  tcase_add_test (config, a_key_listed_twice_by_one_customer_is_accepted);
  tcase_add_test (config, customers_are_read_from_a_route_file);
  suite_add_tcase (s, config);
  return s;
}
