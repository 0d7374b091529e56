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
  PATH_TEXT_MAX = 1024
};

enum marjoram_ctl_status
marjoram_ctl_complain (struct marjoram_ctl_call *call,
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

/* The path of the operand that holds the file NAME.  */
static const char *
path_of (struct marjoram_ctl_call *run, const char *name, size_t length)
{
  for (int i = 0; i < run->arg_count; i++)
    if (run->names[i] && strlen (run->names[i]) == length
        && strncmp (run->names[i], name, length) == 0)
      return run->args[i];
  return NULL;
}

/* Faults name the file as it calls itself; people look for its path.  */
static void
print_faults (struct marjoram_ctl_call *run, const char *faults)
{
  while (*faults)
    {
      size_t length = strcspn (faults, "\n");
      size_t name = strcspn (faults, ":\n");
      const char *path = path_of (run, faults, name);

      if (path)
        fprintf (run->errors, "%s%.*s\n", path, (int)(length - name),
                 faults + name);
      else
        fprintf (run->errors, "%.*s\n", (int)length, faults);
      faults += length + (faults[length] == '\n');
    }
}

/* Prints an answer that may hold faults: those go where errors go, unless JSON
   is wanted.  Takes over OBJECT.  */
static void
print_answer (struct marjoram_ctl_call *run, json_t *object)
{
  const char *faults = json_string_value (json_object_get (object, "faults"));

  if (faults && !run->options->json)
    {
      print_faults (run, faults);
      json_object_del (object, "faults");
    }
  marjoram_ctl_print_object (run, object);
}

/* Loads operand INDEX and notes the name that faults will give it.  */
static bool
load_operand (struct marjoram_ctl_call *run, int index,
              struct marjoram_file *file, struct marjoram_error *err)
{
  if (!marjoram_config_file_load (run->args[index], file, err))
    return false;
  run->names[index] = marjoram_strdup (file->name);
  return true;
}

/* Reads the operands as one state.  */
static bool
load_files (struct marjoram_ctl_call *run, struct marjoram_state *state)
{
  struct marjoram_error err;
  bool good = true;

  for (int i = 0; i < run->arg_count; i++)
    {
      struct marjoram_file file = { 0 };

      if (!load_operand (run, i, &file, &err))
        {
          fprintf (run->errors, "%s\n", err.message);
          good = false;
        }
      else if (marjoram_state_file (state, file.name))
        {
          fprintf (run->errors,
                   "%s: a file named \"%s\" was given already; give each file "
                   "once, or another name\n",
                   run->args[i], file.name);
          good = false;
        }
      else
        marjoram_state_set_file (state, &file);
      marjoram_wire_clear (&marjoram_file_layout, &file);
    }
  return good;
}

static enum marjoram_ctl_status
run_check (struct marjoram_ctl_call *run)
{
  marjoram_auto (marjoram_state_cleanup) struct marjoram_state *state
      = marjoram_state_copy (NULL);
  marjoram_auto_free char *faults = NULL;
  marjoram_config *config;

  if (!load_files (run, state))
    return MARJORAM_CTL_REFUSED;
  config = marjoram_config_create (state, &faults, NULL);
  if (!config)
    {
      print_faults (run, faults);
      return MARJORAM_CTL_REFUSED;
    }
  marjoram_ctl_print_object (
      run, json_pack ("{sbsssisisisisi}", "valid", 1, "cluster",
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
run_new_secret (struct marjoram_ctl_call *run)
{
  struct marjoram_error err;

  if (!marjoram_secret_create (run->args[0], &err))
    return marjoram_ctl_complain (run, MARJORAM_CTL_REFUSED, err.message);
  marjoram_ctl_print_object (run,
                             json_pack ("{ss}", "secret_file", run->args[0]));
  return MARJORAM_CTL_DONE;
}

/* Asks the first host that can be reached.  A host that may have taken the
   call is never followed by another one.  */
static enum marjoram_control_result
ask (struct marjoram_ctl_call *run, const char *method, const char *path,
     const char *body, struct marjoram_control_answer *answer,
     struct marjoram_error *err)
{
  enum marjoram_control_result result = MARJORAM_CONTROL_UNREACHED;

  for (size_t i = 0; i < run->host_count; i++)
    {
      run->target.address = run->hosts[i];
      result = marjoram_control_ask (&run->target, method, path, body, answer,
                                     err);
      if (result != MARJORAM_CONTROL_UNREACHED)
        break;
      marjoram_control_answer_clear (answer);
      fprintf (run->errors, "marjoramctl: %s\n", err->message);
    }
  return result;
}

/* The host's own refusal of a call.  */
static enum marjoram_ctl_status
refused (struct marjoram_ctl_call *run,
         const struct marjoram_control_answer *answer)
{
  json_t *object = json_loadb (answer->body, answer->size, 0, NULL);
  const char *message = json_string_value (
      json_object_get (json_object_get (object, "error"), "message"));

  fprintf (run->errors, "marjoramctl: %s: %s\n", answer->slot,
           message ? message : "refused without a reason; see its log");
  json_decref (object);
  return MARJORAM_CTL_REFUSED;
}

/* Runs a query whose answer is printed as it is.  */
static enum marjoram_ctl_status
query (struct marjoram_ctl_call *run, const char *path)
{
  struct marjoram_control_answer answer;
  struct marjoram_error err;
  enum marjoram_control_result result
      = ask (run, "GET", path, NULL, &answer, &err);
  enum marjoram_ctl_status status = MARJORAM_CTL_DONE;
  json_t *object;

  if (result == MARJORAM_CONTROL_UNREACHED)
    return MARJORAM_CTL_UNREACHABLE;
  if (result == MARJORAM_CONTROL_UNKNOWN)
    status
        = marjoram_ctl_complain (run, MARJORAM_CTL_UNREACHABLE, err.message);
  else if (answer.status != STATUS_OK)
    status = refused (run, &answer);
  else
    {
      object = json_loadb (answer.body, answer.size, 0, NULL);
      if (object)
        marjoram_ctl_print_object (run, object);
      else
        fwrite (answer.body, 1, answer.size, run->out);
    }
  marjoram_control_answer_clear (&answer);
  return status;
}

static enum marjoram_ctl_status
run_status (struct marjoram_ctl_call *run)
{
  return query (run, "/control/status");
}

static enum marjoram_ctl_status
run_upstreams (struct marjoram_ctl_call *run)
{
  return query (run, "/control/upstreams");
}

static enum marjoram_ctl_status
run_counters (struct marjoram_ctl_call *run)
{
  return query (run, "/control/counters");
}

static enum marjoram_ctl_status
run_explain (struct marjoram_ctl_call *run)
{
  const struct marjoram_ctl_options *o = run->options;
  const char *const names[]
      = { "caller", "work", "class", "deadline_ms", "prompt_tokens" };
  const char *const values[]
      = { o->caller, o->work, o->class, o->deadline_ms, o->prompt_tokens };
  char path[PATH_TEXT_MAX] = "/control/explain";

  if (!o->caller || !o->work)
    return marjoram_ctl_complain (
        run, MARJORAM_CTL_USAGE,
        "explain needs --caller NAME and --work NAME");
  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    {
      marjoram_auto_free char *value = evhttp_encode_uri (values[i]);
      size_t used = strlen (path);

      snprintf (path + used, sizeof path - used, "%c%s=%s", i ? '&' : '?',
                names[i], value);
    }
  return query (run, path);
}

static enum marjoram_ctl_status
run_diff (struct marjoram_ctl_call *run)
{
  struct marjoram_file file = { 0 };
  struct marjoram_control_answer answer;
  struct marjoram_error err;
  enum marjoram_control_result result;
  enum marjoram_ctl_status status = MARJORAM_CTL_DONE;
  json_t *object;

  if (!load_operand (run, 0, &file, &err))
    return marjoram_ctl_complain (run, MARJORAM_CTL_REFUSED, err.message);
  result = ask (run, "POST", "/control/diff", file.text, &answer, &err);
  marjoram_wire_clear (&marjoram_file_layout, &file);
  if (result == MARJORAM_CONTROL_UNREACHED)
    return MARJORAM_CTL_UNREACHABLE;
  if (result == MARJORAM_CONTROL_UNKNOWN)
    status
        = marjoram_ctl_complain (run, MARJORAM_CTL_UNREACHABLE, err.message);
  else if (answer.status != STATUS_OK)
    status = refused (run, &answer);
  else
    {
      object = json_loadb (answer.body, answer.size, 0, NULL);
      if (!json_is_true (json_object_get (object, "valid")))
        status = MARJORAM_CTL_REFUSED;
      print_answer (run, object);
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
tell_resend (struct marjoram_ctl_call *run, const char *id)
{
  fprintf (run->errors,
           "marjoramctl: the change may yet take effect; run the same command "
           "again with --change-id %s, also at another host, until it is "
           "answered\n",
           id);
}

/* Sends a change under the id given, or a new one, which is printed before it
   goes out: whoever loses the answer can send it again.  */
static enum marjoram_ctl_status
change (struct marjoram_ctl_call *run, const char *path, const char *body)
{
  char made[MARJORAM_NONCE_TEXT + 1];
  const char *id = run->options->change_id;
  marjoram_auto_free char *target = NULL;
  struct marjoram_control_answer answer;
  struct marjoram_error err;
  enum marjoram_control_result result;
  enum marjoram_ctl_status status = MARJORAM_CTL_REFUSED;
  json_t *object;

  if (!id)
    {
      marjoram_control_nonce_make (made);
      id = made;
    }
  fprintf (run->errors, "change id: %s\n", id);
  fflush (run->errors);
  if (asprintf (&target, "%s%cchange_id=%s", path,
                strchr (path, '?') ? '&' : '?', id)
      < 0)
    abort ();
  result = ask (run, "POST", target, body, &answer, &err);
  if (result == MARJORAM_CONTROL_UNREACHED)
    return MARJORAM_CTL_UNREACHABLE;
  if (result == MARJORAM_CONTROL_UNKNOWN)
    status = marjoram_ctl_complain (run, MARJORAM_CTL_UNKNOWN, err.message);
  else if (answer.status != STATUS_OK)
    refused (run, &answer);
  else
    {
      object = json_loadb (answer.body, answer.size, 0, NULL);
      status = change_status (object);
      json_object_set_new (object, "change_id", json_string (id));
      print_answer (run, object);
    }
  if (status == MARJORAM_CTL_UNKNOWN)
    tell_resend (run, id);
  marjoram_control_answer_clear (&answer);
  return status;
}

static enum marjoram_ctl_status
run_apply (struct marjoram_ctl_call *run)
{
  struct marjoram_file file = { 0 };
  struct marjoram_error err;
  enum marjoram_ctl_status status;

  if (!load_operand (run, 0, &file, &err))
    return marjoram_ctl_complain (run, MARJORAM_CTL_REFUSED, err.message);
  status = change (run, "/control/apply", file.text);
  marjoram_wire_clear (&marjoram_file_layout, &file);
  return status;
}

static enum marjoram_ctl_status
run_replace (struct marjoram_ctl_call *run)
{
  char path[PATH_TEXT_MAX];

  if (!marjoram_name_valid (run->args[0], false)
      || !marjoram_name_valid (run->args[1], false))
    return marjoram_ctl_complain (
        run, MARJORAM_CTL_USAGE,
        "replace-keeper needs two slots' names; give the same "
        "one twice after its disk was lost");
  snprintf (path, sizeof path, "/control/replace-keeper?old=%s&new=%s",
            run->args[0], run->args[1]);
  return change (run, path, NULL);
}

static enum marjoram_ctl_status
run_drain (struct marjoram_ctl_call *run)
{
  struct marjoram_control_answer answer;
  struct marjoram_error err;
  enum marjoram_control_result result;
  enum marjoram_ctl_status status = MARJORAM_CTL_DONE;

  if (run->host_count > 1)
    return marjoram_ctl_complain (
        run, MARJORAM_CTL_USAGE,
        "drain needs just one --host: the one to drain");
  result = ask (run, "POST", "/control/drain", NULL, &answer, &err);
  if (result == MARJORAM_CONTROL_UNREACHED)
    return MARJORAM_CTL_UNREACHABLE;
  if (result == MARJORAM_CONTROL_UNKNOWN)
    status = marjoram_ctl_complain (run, MARJORAM_CTL_UNKNOWN, err.message);
  else if (answer.status != STATUS_OK)
    status = refused (run, &answer);
  else
    marjoram_ctl_print_object (run,
                               json_loadb (answer.body, answer.size, 0, NULL));
  marjoram_control_answer_clear (&answer);
  return status;
}

static const struct command
{
  const char *name;
  int least; /* operands */
  int most;
  bool online;
  enum marjoram_ctl_status (*run) (struct marjoram_ctl_call *run);
  const char *usage;
} commands[] = {
  { "check", 1, MARJORAM_CTL_OPERANDS_MAX, false, run_check,
    "check FILE...          check the whole set of files, offline" },
  { "diff", 1, 1, true, run_diff,
    "diff FILE              show what applying FILE would change" },
  { "apply", 1, 1, true, run_apply,
    "apply FILE             put FILE in force, as a whole" },
  { "status", 0, 0, true, run_status,
    "status                 configuration in force, on which host" },
  { "upstreams", 0, 0, true, run_upstreams,
    "upstreams              upstreams known to the host's zone" },
  { "explain", 0, 0, true, run_explain,
    "explain                where a request would go and why" },
  { "counters", 0, 0, true, run_counters,
    "counters               the host's counters" },
  { "drain", 0, 0, true, run_drain,
    "drain                  take no new requests, finish those in progress" },
  { "replace-keeper", 2, 2, true, run_replace,
    "replace-keeper OLD NEW keeper of slot NEW in place of OLD" },
  { "gateway", 1, 1, false, marjoram_ctl_gateway,
    "gateway ADDRESS        a host in the role entry or keeper: what it "
    "knows" },
  { "routes", 1, 2, false, marjoram_ctl_routes,
    "routes ADDRESS [FILE]  show the routes in force at a keeper's control "
    "address, or put FILE in force" },
  { "evacuate", 2, 2, false, marjoram_ctl_evacuate,
    "evacuate ADDRESS ZONE  nothing more is sent to ZONE's upstreams" },
  { "restore", 2, 2, false, marjoram_ctl_restore,
    "restore ADDRESS ZONE   ends the evacuation of ZONE" },
  { "account", 1, MARJORAM_CTL_OPERANDS_MAX, false, marjoram_ctl_account,
    "account LOG...         why requests were not served or came late, from "
    "logs of hosts in the role entry; - reads standard input" },
  { "new-secret", 1, 1, false, run_new_secret,
    "new-secret FILE        make a new owner's secret" },
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

/* Address and secret from a daemon's settings, unless they were given.  */
static enum marjoram_ctl_status
use_settings (struct marjoram_ctl_call *run, char **secret)
{
  marjoram_auto_free char *faults = NULL;
  struct marjoram_settings *settings
      = marjoram_settings_load (run->options->settings, &faults, NULL);

  if (!settings)
    {
      fputs (faults, run->errors);
      return MARJORAM_CTL_REFUSED;
    }
  if (run->host_count == 0)
    {
      snprintf (run->address, sizeof run->address, "%s",
                settings->control_address);
      run->hosts[run->host_count++] = run->address;
    }
  if (!*secret)
    *secret = marjoram_strdup (settings->secret);
  marjoram_settings_destroy (settings);
  return MARJORAM_CTL_DONE;
}

static enum marjoram_ctl_status
use_hosts (struct marjoram_ctl_call *run)
{
  for (size_t i = 0; i < run->options->host_count; i++)
    {
      marjoram_auto_free char *address
          = marjoram_address_parse (run->options->hosts[i]);

      if (!address)
        return marjoram_ctl_complain (
            run, MARJORAM_CTL_USAGE,
            "--host needs an IP number and a port, for example "
            "10.0.0.1:7001");
      run->hosts[run->host_count++] = run->options->hosts[i];
    }
  return MARJORAM_CTL_DONE;
}

static enum marjoram_ctl_status
run_online (struct marjoram_ctl_call *run, const struct command *command)
{
  marjoram_auto_free char *secret = NULL;
  struct marjoram_error err;
  enum marjoram_ctl_status status = use_hosts (run);

  if (status)
    return status;
  if (run->options->secret_file)
    {
      secret = marjoram_secret_read (run->options->secret_file, &err);
      if (!secret)
        return marjoram_ctl_complain (run, MARJORAM_CTL_REFUSED, err.message);
    }
  if (run->options->settings)
    status = use_settings (run, &secret);
  else if (!secret || run->host_count == 0)
    status = marjoram_ctl_complain (
        run, MARJORAM_CTL_USAGE,
        "say which host: --settings FILE, or --host IP:port "
        "and --secret-file FILE");
  if (status)
    return status;
  run->target.secret = secret;
  run->target.timeout_ms = run->options->timeout_ms;
  return command->run (run);
}

enum marjoram_ctl_status
marjoram_ctl_run (const struct marjoram_ctl_options *options, int arg_count,
                  char *const *args, FILE *out, FILE *errors)
{
  struct marjoram_ctl_call run = { .options = options,
                                   .arg_count = arg_count - 1,
                                   .args = args + 1,
                                   .out = out,
                                   .errors = errors };
  const struct command *command;
  enum marjoram_ctl_status status;

  if (arg_count < 1)
    return marjoram_ctl_complain (&run, MARJORAM_CTL_USAGE,
                                  "no command; see --help");
  command = find_command (args[0]);
  if (!command)
    return marjoram_ctl_complain (&run, MARJORAM_CTL_USAGE,
                                  "no such command; see --help");
  if (run.arg_count < command->least || run.arg_count > command->most)
    {
      fprintf (errors, "usage: marjoramctl [OPTION]... %s\n", command->usage);
      return MARJORAM_CTL_USAGE;
    }
  status = command->online ? run_online (&run, command) : command->run (&run);
  for (int i = 0; i < run.arg_count; i++)
    free (run.names[i]);
  return status;
}
