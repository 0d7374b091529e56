/* Protocol adapter interface: translates headers, bodies and paths of callers,
   upstreams and operators to and from internal types.  Adapters are stateless
   and make no routing decisions.  */
#ifndef MARJORAM_DIALECT_H
#define MARJORAM_DIALECT_H

#include "header_list.h"
#include "load_features.h"
#include "route_table.h"

enum
{
  MARJORAM_ID_MAX = 96, /* bytes, including the NUL */
  /* Parts of a prompt that are kept: the first ones and the last one.  */
  MARJORAM_PROMPT_PARTS_MAX = 64
};

/* A part of a prompt that requests may share.  */
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

/* Parsed headers of a caller's request.  Counts are 0 if not given.  */
struct marjoram_call_metadata
{
  char id[MARJORAM_ID_MAX];  /* id of this attempt of the caller; "" if none */
  int64_t caller_timeout_ms; /* 0 if not given */
  int64_t prompt_tokens;
  int64_t answer_tokens_max;
  int64_t answer_tokens_hint;
  struct marjoram_prompt_part parts[MARJORAM_PROMPT_PARTS_MAX];
  size_t part_count;
  size_t parts_ignored;             /* between the last two of PARTS */
  char last_event[MARJORAM_ID_MAX]; /* resume after this event; "" if none */
  /* Id of the caller's attempt that brought the first event of the stream that
     is resumed; "" if none.  */
  char resumes[MARJORAM_ID_MAX];
};

/* Added to the caller's headers in a request to an upstream.  */
struct marjoram_run_metadata
{
  int64_t caller_timeout_ms; /* remaining time of the caller's timeout */
  const char *upstream;      /* id of the intended upstream */
  const char *last_event; /* resume after it; null: as the caller requested */
  int urgency;            /* 0 (most urgent) to 9; -1: none */
  /* IP:port of the upstream to copy the cached prompt from; null if none.  */
  const char *copy_from;
  const char *customer; /* null if none */
};

/* Parsed headers of an upstream's response.  */
struct marjoram_response_metadata
{
  char id[MARJORAM_ID_MAX];       /* echo of the caller's id; "" if none */
  char upstream[MARJORAM_ID_MAX]; /* id of the responder; "" if not given */
  bool signed_by_upstream;
  bool not_run;
  bool wrong_upstream; /* another upstream now has the address */
  bool leaving;        /* the responder accepts no new requests */
  int64_t cold_ms;     /* remaining warm-up time; -1 if not given */
  /* Requests per second that the responder accepts from all hosts together;
     negative if it states no limit.  */
  double rate_limit;
  /* Refusals per second for want of room that the responder tolerates, from
     all hosts together, without failing; negative if it states none.  */
  double refusals_tolerated;
};

enum marjoram_upstream_state
{
  MARJORAM_UPSTREAM_READY,
  MARJORAM_UPSTREAM_LEAVING, /* drains: accepts no new requests */
  MARJORAM_UPSTREAM_GONE
};

struct marjoram_upstream_heartbeat
{
  char id[MARJORAM_ID_MAX];
  char service[MARJORAM_ID_MAX];
  char address[MARJORAM_ID_MAX]; /* IP:port, for requests */
  char zone[MARJORAM_ID_MAX];
  char build[MARJORAM_ID_MAX]; /* version of its software; "" if not given */
  enum marjoram_upstream_state state;
  int64_t started_at; /* start time in ms since the epoch; 0 if not given */
  int64_t sequence;   /* increases with each heartbeat since its start */
  int64_t cold_ms;    /* remaining warm-up time */
  int64_t ends_ms;    /* time until it is terminated; -1 if unknown */
  int64_t slots;
};

enum marjoram_api_request_kind
{
  MARJORAM_API_UNKNOWN,
  MARJORAM_API_READY,     /* readiness check of this host */
  MARJORAM_API_LOOKUP,    /* entry addresses for a caller */
  MARJORAM_API_HEARTBEAT, /* an upstream's heartbeat or departure */
  MARJORAM_API_CONFIG_SET,
  MARJORAM_API_CONFIG_GET,
  MARJORAM_API_EVACUATE,
  MARJORAM_API_RESTORE /* ends an evacuation */
};

/* A request to a host's HTTP API.  */
struct marjoram_api_request
{
  enum marjoram_api_request_kind kind;
  char zone[MARJORAM_ID_MAX];   /* EVACUATE, RESTORE, LOOKUP */
  char region[MARJORAM_ID_MAX]; /* LOOKUP */
  char host[MARJORAM_ID_MAX];   /* LOOKUP: host name of the routes */
  struct marjoram_upstream_heartbeat heartbeat;
};

struct marjoram_dialect;

struct marjoram_dialect_ops
{
  void (*read_call) (const struct marjoram_header_list *headers,
                     struct marjoram_call_metadata *metadata);
  /* The customer's key in a request; null if there is none or several.  */
  const char *(*read_key) (const struct marjoram_header_list *headers);
  /* Whether a header holds a key or a customer's name.  Where keys are
     checked, such headers of a caller must not be forwarded.  */
  bool (*is_credential) (const char *name);
  /* Whether a header is forwarded unchanged to upstreams or to callers.  */
  bool (*passes_to_upstream) (const char *name);
  bool (*passes_to_caller) (const char *name);
  void (*write_run) (const struct marjoram_run_metadata *metadata,
                     struct marjoram_header_list *headers);
  void (*read_answer) (int status, const struct marjoram_header_list *headers,
                       struct marjoram_response_metadata *metadata);
  /* Whether STATUS tells callers that their request did not run and never
     will.  */
  bool (*promises_not_run) (int status);
  /* False with ERR set if the path is known but the request is malformed.  */
  bool (*read_api_request) (const char *method, const char *target,
                            const char *body, size_t size,
                            struct marjoram_api_request *request,
                            struct marjoram_error *err);
  /* Null with ERR set if TEXT is not a valid configuration.  */
  struct marjoram_route_table *(*read_config) (const char *text, size_t size,
                                               struct marjoram_error *err);
  /* The body of a LOOKUP response, malloc'd.  */
  char *(*write_lookup) (const char *const *addresses, size_t count,
                         int64_t valid_s);
  /* The body of a HEARTBEAT response, malloc'd.  KEEPER (IP:port) is to
     receive the upstream's later heartbeats; NULL for any.  */
  char *(*write_heartbeat_response) (const char *keeper);
  /* Parses the cached prompt parts in an engine's response.  Skips invalid
     parts; false if the body is malformed.  */
  bool (*read_cached_prompts) (const char *body, size_t size,
                               struct marjoram_prompt_parts *parts);
  /* Enables in FEATURES what the platform's TERM of service needs; unknown
     terms need nothing.  */
  void (*read_term) (const char *term,
                     struct marjoram_load_features *features);
};

struct marjoram_dialect
{
  const struct marjoram_dialect_ops *ops;
  /* Path on an engine that lists its cached prompt parts.  */
  const char *cached_prompts_target;
};

#endif
