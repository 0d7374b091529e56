/* How callers, upstreams and operators speak, as an interface: it turns their
   headers, bodies and paths into the product's own types and back.  It holds
   no state and decides nothing.  */
#ifndef MARJORAM_DIALECT_H
#define MARJORAM_DIALECT_H

#include "header_list.h"
#include "route_table.h"

enum
{
  MARJORAM_ID_MAX = 96,         /* bytes of an id, NUL included */
  MARJORAM_PROMPT_PARTS_MAX = 8 /* further ones are not told apart */
};

/* A part of a prompt that other requests may share.  */
struct marjoram_prompt_part
{
  uint64_t id;
  int64_t tokens;
};

/* Items are malloc'd.  */
struct marjoram_prompt_parts
{
  struct marjoram_prompt_part *items;
  size_t count;
};

/* What the headers of a caller's request say.  Counts are 0 if not given.  */
struct marjoram_call_facts
{
  char id[MARJORAM_ID_MAX]; /* of this one attempt of the caller; "" if none */
  int64_t patience_ms;      /* how long the caller waits; 0 if not told */
  int64_t prompt_tokens;
  int64_t answer_tokens_max;
  int64_t answer_tokens_hint;
  struct marjoram_prompt_part parts[MARJORAM_PROMPT_PARTS_MAX];
  size_t part_count;
  char last_event[MARJORAM_ID_MAX]; /* resume after this event; "" if none */
};

/* What is told to an upstream beside the caller's own headers.  */
struct marjoram_run_facts
{
  int64_t patience_ms;    /* how long its answer is still of use */
  const char *upstream;   /* id of the one that is meant */
  const char *last_event; /* resume after it; null: as the caller said */
  int urgency;            /* 0 (first) to 9; -1: none */
  /* IP:port of another upstream, from which it copies what that one keeps of
     the prompt; null: from none.  */
  const char *copy_from;
};

/* What the headers of an upstream's answer say.  */
struct marjoram_answer_facts
{
  char id[MARJORAM_ID_MAX];       /* echo of the caller's; "" if none */
  char upstream[MARJORAM_ID_MAX]; /* who answered; "" if not told */
  bool signed_by_upstream;
  bool not_run;        /* the upstream says that it did not run the request */
  bool wrong_upstream; /* another one has the address that was meant */
  int64_t cold_ms;     /* how long it stays cold; -1 if not told */
};

enum marjoram_news_state
{
  MARJORAM_NEWS_READY,
  MARJORAM_NEWS_LEAVING, /* serves what it has, wants nothing new */
  MARJORAM_NEWS_GONE
};

/* What an upstream says of itself.  */
struct marjoram_upstream_news
{
  char id[MARJORAM_ID_MAX];
  char service[MARJORAM_ID_MAX];
  char address[MARJORAM_ID_MAX]; /* IP:port, for requests */
  char zone[MARJORAM_ID_MAX];
  enum marjoram_news_state state;
  int64_t born;     /* of its start, ms since the epoch; 0 if not told */
  int64_t sequence; /* grows with each news of one life */
  int64_t cold_ms;  /* how much longer it is cold */
  int64_t ends_ms;  /* until it is gone whatever it runs; -1 if not known */
  int64_t slots;
};

enum marjoram_ask_kind
{
  MARJORAM_ASK_UNKNOWN,
  MARJORAM_ASK_READY,  /* does this host take requests? */
  MARJORAM_ASK_LOOKUP, /* where should a caller connect? */
  MARJORAM_ASK_NEWS,   /* an upstream's heartbeat, or its leave */
  MARJORAM_ASK_CONFIG_SET,
  MARJORAM_ASK_CONFIG_GET,
  MARJORAM_ASK_EVACUATE,
  MARJORAM_ASK_RESTORE /* ends an evacuation */
};

/* One call to a host's own interface.  */
struct marjoram_ask
{
  enum marjoram_ask_kind kind;
  char zone[MARJORAM_ID_MAX];   /* EVACUATE, RESTORE, LOOKUP */
  char region[MARJORAM_ID_MAX]; /* LOOKUP */
  char host[MARJORAM_ID_MAX];   /* LOOKUP: whose routes are asked for */
  struct marjoram_upstream_news news;
};

struct marjoram_dialect;

struct marjoram_dialect_ops
{
  void (*read_call) (const struct marjoram_header_list *headers,
                     struct marjoram_call_facts *facts);
  /* Whether a caller's header may go to an upstream, and an upstream's to a
     caller, as it stands.  */
  bool (*passes_to_upstream) (const char *name);
  bool (*passes_to_caller) (const char *name);
  void (*write_run) (const struct marjoram_run_facts *facts,
                     struct marjoram_header_list *headers);
  void (*read_answer) (int status, const struct marjoram_header_list *headers,
                       struct marjoram_answer_facts *facts);
  /* False with ERR set if the call is known but can't be read.  */
  bool (*read_ask) (const char *method, const char *target, const char *body,
                    size_t size, struct marjoram_ask *ask,
                    struct marjoram_error *err);
  /* Null with ERR set if TEXT is no configuration.  */
  struct marjoram_route_table *(*read_config) (const char *text, size_t size,
                                               struct marjoram_error *err);
  /* The body of an answer to LOOKUP, malloc'd.  */
  char *(*write_lookup) (const char *const *addresses, size_t count,
                         int64_t valid_s);
  /* An engine's answer to KEPT_TARGET: the parts of prompts that it keeps.
     False if it can't be read; parts that can't are left out.  */
  bool (*read_kept) (const char *body, size_t size,
                     struct marjoram_prompt_parts *parts);
};

struct marjoram_dialect
{
  const struct marjoram_dialect_ops *ops;
  /* The path that asks an engine what it keeps.  */
  const char *kept_target;
};

#endif
