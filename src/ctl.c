#include "ctl_private.h"

#include "address.h"
#include "cleanup.h"
#include "config.h"
#include "config_file.h"
#include "control_client.h"
#include "control_proof.h"
#include "ini_key.h"
#include "secret.h"
#include "settings.h"

#include <event2/http.h>
#include <string.h>

enum
{
  STATUS_OK = 200,
  PATH_MAX_BYTES = 1024
};

enum marjoram_ctl_status
marjoram_ctl_error (struct marjoram_ctl_call *call,
                    enum marjoram_ctl_status status, const char *text)
{
  fprintf (call->errors, "marjoramctl: %s\n", text);
  return status;
}

void
marjoram_ctl_print_object (struct marjoram_ctl_call *call, json_t *object)
{
  if (call->options->json)
    {
      json_dumpf (object, call->out, JSON_INDENT (2));
      fputc ('\n', call->out);
    }
  else
    marjoram_ctl_print (call->out, object);
  json_decref (object);
}

/* Returns the path of the operand whose file is called NAME; null if none.  */
static const char *
find_operand_path (struct marjoram_ctl_call *call, const char *name,
                   size_t length)
{
  for (int i = 0; i < call->arg_count; i++)
    if (call->names[i] && strlen (call->names[i]) == length
        && strncmp (call->names[i], name, length) == 0)
      return call->args[i];
  return NULL;
}

/* Prints FAULTS with the file names replaced by the paths of the operands.  */
static void
print_faults (struct marjoram_ctl_call *call, const char *faults)
{
  while (*faults)
    {
      size_t length = strcspn (faults, "\n");
      size_t name = strcspn (faults, ":\n");
      const char *path = find_operand_path (call, faults, name);

      if (path)
        fprintf (call->errors, "%s%.*s\n", path, (int)(length - name),
                 faults + name);
      else
        fprintf (call->errors, "%.*s\n", (int)length, faults);
      faults += length + (faults[length] == '\n');
    }
}

/* Prints a response.  Without --json, its faults go to the error stream.
   Takes ownership of OBJECT.  */
static void
print_response (struct marjoram_ctl_call *call, json_t *object)
{
  const char *faults = json_string_value (json_object_get (object, "faults"));

  if (faults && !call->options->json)
    {
      print_faults (call, faults);
      json_object_del (object, "faults");
    }
  marjoram_ctl_print_object (call, object);
}

/* Loads operand INDEX and stores its file name for print_faults.  */
static bool
load_operand (struct marjoram_ctl_call *call, int index,
              struct marjoram_file *file, struct marjoram_error *err)
{
  if (!marjoram_config_file_load (call->args[index], file, err))
    return false;
  call->names[index] = marjoram_strdup (file->name);
  return true;
}

static bool
load_files (struct marjoram_ctl_call *call, struct marjoram_state *state)
{
  struct marjoram_error err;
  bool valid = true;

  for (int i = 0; i < call->arg_count; i++)
    {
      struct marjoram_file file = { 0 };

      if (!load_operand (call, i, &file, &err))
        {
          fprintf (call->errors, "%s\n", err.message);
          valid = false;
        }
      else if (marjoram_state_file (state, file.name))
        {
          fprintf (
              call->errors,
              "%s: duplicate file name \"%s\"; give each file once or rename "
              "one\n",
              call->args[i], file.name);
          valid = false;
        }
      else
        marjoram_state_set_file (state, &file);
      marjoram_wire_clear (&marjoram_file_layout, &file);
    }
  return valid;
}

static enum marjoram_ctl_status
run_check (struct marjoram_ctl_call *call)
{
  marjoram_auto (marjoram_state_cleanup) struct marjoram_state *state
      = marjoram_state_copy (NULL);
  marjoram_auto_free char *faults = NULL;
  marjoram_config *config;

  if (!load_files (call, state))
    return MARJORAM_CTL_REFUSED;
  config = marjoram_config_create (state, &faults, NULL);
  if (!config)
    {
      print_faults (call, faults);
      return MARJORAM_CTL_REFUSED;
    }
  marjoram_ctl_print_object (
      call, json_pack ("{sbsssisisisisi}", "valid", 1, "cluster",
                       marjoram_config_cluster (config), "regions",
                       marjoram_config_region_count (config), "zones",
                       marjoram_config_zone_count (config), "slots",
                       marjoram_config_slot_count (config), "works",
                       marjoram_config_work_count (config), "callers",
                       marjoram_config_caller_count (config)));
  marjoram_config_release (config);
  return MARJORAM_CTL_DONE;
}

static enum marjoram_ctl_status
run_new_secret (struct marjoram_ctl_call *call)
{
  struct marjoram_error err;

  if (!marjoram_secret_create (call->args[0], &err))
    return marjoram_ctl_error (call, MARJORAM_CTL_REFUSED, err.message);
  marjoram_ctl_print_object (call,
                             json_pack ("{ss}", "secret_file", call->args[0]));
  return MARJORAM_CTL_DONE;
}

/* Sends the call to the first reachable host.  Once a host may have received
   it, no other host is tried, since the call could run twice.  */
static enum marjoram_control_result
call_first_reachable_host (struct marjoram_ctl_call *call, const char *method,
                           const char *path, const char *body,
                           struct marjoram_control_answer *answer,
                           struct marjoram_error *err)
{
  enum marjoram_control_result result = MARJORAM_CONTROL_UNREACHED;

  for (size_t i = 0; i < call->host_count; i++)
    {
      call->target.address = call->hosts[i];
      result = marjoram_control_request (&call->target, method, path, body,
                                         answer, err);
      if (result != MARJORAM_CONTROL_UNREACHED)
        break;
      marjoram_control_answer_clear (answer);
      fprintf (call->errors, "marjoramctl: %s\n", err->message);
    }
  return result;
}

static enum marjoram_ctl_status
report_refusal (struct marjoram_ctl_call *call,
                const struct marjoram_control_answer *answer)
{
  json_t *object = json_loadb (answer->body, answer->size, 0, NULL);
  const char *message = json_string_value (
      json_object_get (json_object_get (object, "error"), "message"));

  fprintf (call->errors, "marjoramctl: %s: %s\n", answer->slot,
           message ? message
                   : "call rejected without a message; see the host's log");
  json_decref (object);
  return MARJORAM_CTL_REFUSED;
}

/* Runs a query and prints the response unchanged.  */
static enum marjoram_ctl_status
query (struct marjoram_ctl_call *call, const char *path)
{
  struct marjoram_control_answer answer;
  struct marjoram_error err;
  enum marjoram_control_result result
      = call_first_reachable_host (call, "GET", path, NULL, &answer, &err);
  enum marjoram_ctl_status status = MARJORAM_CTL_DONE;
  json_t *object;

  if (result == MARJORAM_CONTROL_UNREACHED)
    return MARJORAM_CTL_UNREACHABLE;
  if (result == MARJORAM_CONTROL_UNKNOWN)
    status = marjoram_ctl_error (call, MARJORAM_CTL_UNREACHABLE, err.message);
  else if (answer.status != STATUS_OK)
    status = report_refusal (call, &answer);
  else
    {
      object = json_loadb (answer.body, answer.size, 0, NULL);
      if (object)
        marjoram_ctl_print_object (call, object);
      else
        fwrite (answer.body, 1, answer.size, call->out);
    }
  marjoram_control_answer_clear (&answer);
  return status;
}

static enum marjoram_ctl_status
run_status (struct marjoram_ctl_call *call)
{
  return query (call, "/control/status");
}

static enum marjoram_ctl_status
run_upstreams (struct marjoram_ctl_call *call)
{
  return query (call, "/control/upstreams");
}

static enum marjoram_ctl_status
run_counters (struct marjoram_ctl_call *call)
{
  return query (call, "/control/counters");
}

static enum marjoram_ctl_status
run_explain (struct marjoram_ctl_call *call)
{
  const struct marjoram_ctl_options *o = call->options;
  const char *const names[]
      = { "caller", "work", "class", "deadline_ms", "prompt_tokens" };
  const char *const values[]
      = { o->caller, o->work, o->class, o->deadline_ms, o->prompt_tokens };
  char path[PATH_MAX_BYTES] = "/control/explain";

  if (!o->caller || !o->work)
    return marjoram_ctl_error (call, MARJORAM_CTL_USAGE,
                               "explain needs --caller NAME and --work NAME");
  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    {
      marjoram_auto_free char *value = evhttp_encode_uri (values[i]);
      size_t used = strlen (path);

      snprintf (path + used, sizeof path - used, "%c%s=%s", i ? '&' : '?',
                names[i], value);
    }
  return query (call, path);
}

static enum marjoram_ctl_status
run_diff (struct marjoram_ctl_call *call)
{
  struct marjoram_file file = { 0 };
  struct marjoram_control_answer answer;
  struct marjoram_error err;
  enum marjoram_control_result result;
  enum marjoram_ctl_status status = MARJORAM_CTL_DONE;
  json_t *object;

  if (!load_operand (call, 0, &file, &err))
    return marjoram_ctl_error (call, MARJORAM_CTL_REFUSED, err.message);
  result = call_first_reachable_host (call, "POST", "/control/diff", file.text,
                                      &answer, &err);
  marjoram_wire_clear (&marjoram_file_layout, &file);
  if (result == MARJORAM_CONTROL_UNREACHED)
    return MARJORAM_CTL_UNREACHABLE;
  if (result == MARJORAM_CONTROL_UNKNOWN)
    status = marjoram_ctl_error (call, MARJORAM_CTL_UNREACHABLE, err.message);
  else if (answer.status != STATUS_OK)
    status = report_refusal (call, &answer);
  else
    {
      object = json_loadb (answer.body, answer.size, 0, NULL);
      if (!json_is_true (json_object_get (object, "valid")))
        status = MARJORAM_CTL_REFUSED;
      print_response (call, object);
    }
  marjoram_control_answer_clear (&answer);
  return status;
}

static enum marjoram_ctl_status
change_status (const json_t *object)
{
  const char *outcome
      = json_string_value (json_object_get (object, "outcome"));
  const char *result = json_string_value (json_object_get (object, "result"));

  if (!outcome || strcmp (outcome, "unknown") == 0)
    return MARJORAM_CTL_UNKNOWN;
  if (strcmp (outcome, "not-run") == 0)
    return MARJORAM_CTL_NOT_RUN;
  if (result
      && (strcmp (result, "accepted") == 0 || strcmp (result, "same") == 0))
    return MARJORAM_CTL_DONE;
  return MARJORAM_CTL_REFUSED;
}

static void
print_resend_hint (struct marjoram_ctl_call *call, const char *id)
{
  fprintf (
      call->errors,
      "marjoramctl: the change may still take effect; run the same command "
      "again with --change-id %s, on this or another host, until it "
      "succeeds or is rejected\n",
      id);
}

/* Sends a change with the given or a generated change id.  The id is printed
   first so that the change can be resent if the response is lost.  */
static enum marjoram_ctl_status
send_change (struct marjoram_ctl_call *call, const char *path,
             const char *body)
{
  char generated_id[MARJORAM_NONCE_TEXT + 1];
  const char *id = call->options->change_id;
  marjoram_auto_free char *target = NULL;
  struct marjoram_control_answer answer;
  struct marjoram_error err;
  enum marjoram_control_result result;
  enum marjoram_ctl_status status = MARJORAM_CTL_REFUSED;
  json_t *object;

  if (!id)
    {
      marjoram_control_nonce_generate (generated_id);
      id = generated_id;
    }
  fprintf (call->errors, "change id: %s\n", id);
  fflush (call->errors);
  if (asprintf (&target, "%s%cchange_id=%s", path,
                strchr (path, '?') ? '&' : '?', id)
      < 0)
    abort ();
  result
      = call_first_reachable_host (call, "POST", target, body, &answer, &err);
  if (result == MARJORAM_CONTROL_UNREACHED)
    return MARJORAM_CTL_UNREACHABLE;
  if (result == MARJORAM_CONTROL_UNKNOWN)
    status = marjoram_ctl_error (call, MARJORAM_CTL_UNKNOWN, err.message);
  else if (answer.status != STATUS_OK)
    report_refusal (call, &answer);
  else
    {
      object = json_loadb (answer.body, answer.size, 0, NULL);
      status = change_status (object);
      json_object_set_new (object, "change_id", json_string (id));
      print_response (call, object);
    }
  if (status == MARJORAM_CTL_UNKNOWN)
    print_resend_hint (call, id);
  marjoram_control_answer_clear (&answer);
  return status;
}

static enum marjoram_ctl_status
run_apply (struct marjoram_ctl_call *call)
{
  struct marjoram_file file = { 0 };
  struct marjoram_error err;
  enum marjoram_ctl_status status;

  if (!load_operand (call, 0, &file, &err))
    return marjoram_ctl_error (call, MARJORAM_CTL_REFUSED, err.message);
  status = send_change (call, "/control/apply", file.text);
  marjoram_wire_clear (&marjoram_file_layout, &file);
  return status;
}

static enum marjoram_ctl_status
run_replace_keeper (struct marjoram_ctl_call *call)
{
  char path[PATH_MAX_BYTES];

  if (!marjoram_name_valid (call->args[0], false)
      || !marjoram_name_valid (call->args[1], false))
    return marjoram_ctl_error (
        call, MARJORAM_CTL_USAGE,
        "replace-keeper needs the names of two slots; give the same "
        "name twice to replace a keeper that lost its disk");
  snprintf (path, sizeof path, "/control/replace-keeper?old=%s&new=%s",
            call->args[0], call->args[1]);
  return send_change (call, path, NULL);
}

static enum marjoram_ctl_status
run_drain (struct marjoram_ctl_call *call)
{
  struct marjoram_control_answer answer;
  struct marjoram_error err;
  enum marjoram_control_result result;
  enum marjoram_ctl_status status = MARJORAM_CTL_DONE;

  if (call->host_count > 1)
    return marjoram_ctl_error (
        call, MARJORAM_CTL_USAGE,
        "drain needs exactly one --host: the host to drain");
  result = call_first_reachable_host (call, "POST", "/control/drain", NULL,
                                      &answer, &err);
  if (result == MARJORAM_CONTROL_UNREACHED)
    return MARJORAM_CTL_UNREACHABLE;
  if (result == MARJORAM_CONTROL_UNKNOWN)
    status = marjoram_ctl_error (call, MARJORAM_CTL_UNKNOWN, err.message);
  else if (answer.status != STATUS_OK)
    status = report_refusal (call, &answer);
  else
    marjoram_ctl_print_object (call,
                               json_loadb (answer.body, answer.size, 0, NULL));
  marjoram_control_answer_clear (&answer);
  return status;
}

static const struct command
{
  const char *name;
  int min_operands;
  int max_operands;
  bool online;
  enum marjoram_ctl_status (*run) (struct marjoram_ctl_call *call);
  const char *usage;
} commands[] = {
  { "check", 1, MARJORAM_CTL_OPERANDS_MAX, false, run_check,
    "check FILE...          validate a complete set of files offline" },
  { "diff", 1, 1, true, run_diff,
    "diff FILE              show what applying FILE would change" },
  { "apply", 1, 1, true, run_apply,
    "apply FILE             apply FILE atomically" },
  { "status", 0, 0, true, run_status,
    "status                 show the configuration in force and the hosts" },
  { "upstreams", 0, 0, true, run_upstreams,
    "upstreams              list the upstreams known to the host's zone" },
  { "explain", 0, 0, true, run_explain,
    "explain                show how a request would be routed and why" },
  { "counters", 0, 0, true, run_counters,
    "counters               print the host's counters" },
  { "drain", 0, 0, true, run_drain,
    "drain                  accept no new requests, finish those in "
    "progress" },
  { "replace-keeper", 2, 2, true, run_replace_keeper,
    "replace-keeper OLD NEW replace the keeper of slot OLD by slot NEW" },
  { "gateway", 1, 1, false, marjoram_ctl_gateway,
    "gateway ADDRESS        show the status of a host in the role entry or "
    "keeper" },
  { "routes", 1, 2, false, marjoram_ctl_routes,
    "routes ADDRESS [FILE]  show the routes in force at a keeper's control "
    "address, or apply FILE" },
  { "evacuate", 2, 2, false, marjoram_ctl_evacuate,
    "evacuate ADDRESS ZONE  stop sending requests to ZONE's upstreams" },
  { "restore", 2, 2, false, marjoram_ctl_restore,
    "restore ADDRESS ZONE   end the evacuation of ZONE" },
  { "account", 1, MARJORAM_CTL_OPERANDS_MAX, false, marjoram_ctl_account,
    "account LOG...         summarize failed and late requests by cause from "
    "event logs of entry hosts; - reads standard input" },
  { "new-secret", 1, 1, false, run_new_secret,
    "new-secret FILE        create a new owner's secret" },
};

void
marjoram_ctl_help (FILE *out)
{
  for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
    fprintf (out, "  %s\n", commands[i].usage);
}

static const struct command *
find_command (const char *name)
{
  for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
    if (strcmp (commands[i].name, name) == 0)
      return &commands[i];
  return NULL;
}

/* Reads address and secret, if not given, from the daemon settings.  */
static enum marjoram_ctl_status
load_target_settings (struct marjoram_ctl_call *call, char **secret)
{
  marjoram_auto_free char *faults = NULL;
  struct marjoram_settings *settings
      = marjoram_settings_load (call->options->settings, &faults, NULL);

  if (!settings)
    {
      fputs (faults, call->errors);
      return MARJORAM_CTL_REFUSED;
    }
  if (call->host_count == 0)
    {
      snprintf (call->address, sizeof call->address, "%s",
                settings->control_address);
      call->hosts[call->host_count++] = call->address;
    }
  if (!*secret)
    *secret = marjoram_strdup (settings->secret);
  marjoram_settings_destroy (settings);
  return MARJORAM_CTL_DONE;
}

static enum marjoram_ctl_status
parse_hosts (struct marjoram_ctl_call *call)
{
  for (size_t i = 0; i < call->options->host_count; i++)
    {
      marjoram_auto_free char *address
          = marjoram_address_parse (call->options->hosts[i]);

      if (!address)
        return marjoram_ctl_error (
            call, MARJORAM_CTL_USAGE,
            "--host needs an IP address and a port, for example "
            "10.0.0.1:7001");
      call->hosts[call->host_count++] = call->options->hosts[i];
    }
  return MARJORAM_CTL_DONE;
}

static enum marjoram_ctl_status
run_online (struct marjoram_ctl_call *call, const struct command *command)
{
  marjoram_auto_free char *secret = NULL;
  struct marjoram_error err;
  enum marjoram_ctl_status status = parse_hosts (call);

  if (status)
    return status;
  if (call->options->secret_file)
    {
      secret = marjoram_secret_read (call->options->secret_file, &err);
      if (!secret)
        return marjoram_ctl_error (call, MARJORAM_CTL_REFUSED, err.message);
    }
  if (call->options->settings)
    status = load_target_settings (call, &secret);
  else if (!secret || call->host_count == 0)
    status = marjoram_ctl_error (
        call, MARJORAM_CTL_USAGE,
        "no host given; use --settings FILE, or --host IP:PORT and "
        "--secret-file FILE");
  if (status)
    return status;
  call->target.secret = secret;
  call->target.timeout_ms = call->options->timeout_ms;
  return command->run (call);
}

enum marjoram_ctl_status
marjoram_ctl_run (const struct marjoram_ctl_options *options, int arg_count,
                  char *const *args, FILE *out, FILE *errors)
{
  struct marjoram_ctl_call call = { .options = options,
                                    .arg_count = arg_count - 1,
                                    .args = args + 1,
                                    .out = out,
                                    .errors = errors };
  const struct command *command;
  enum marjoram_ctl_status status;

  if (arg_count < 1)
    return marjoram_ctl_error (&call, MARJORAM_CTL_USAGE,
                               "missing command; see --help");
  command = find_command (args[0]);
  if (!command)
    return marjoram_ctl_error (&call, MARJORAM_CTL_USAGE,
                               "no such command; see --help");
  if (call.arg_count < command->min_operands
      || call.arg_count > command->max_operands)
    {
      fprintf (errors, "usage: marjoramctl [OPTION]... %s\n", command->usage);
      return MARJORAM_CTL_USAGE;
    }
  status
      = command->online ? run_online (&call, command) : command->run (&call);
  for (int i = 0; i < call.arg_count; i++)
    free (call.names[i]);
  return status;
}
