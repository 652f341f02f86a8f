#ifndef KQ_TABLE_TABLE_H
#define KQ_TABLE_TABLE_H

/* table: the operators' table: rows, their checks, and one whole table at a revision.
 *
 * A KqTable never changes once made: a change makes a new one. Every field of every row
 * kind is described once, in row_fields.c (name, type, range, default, meaning); parsing,
 * checks, printing and the manual page come from there. */

#include "base/result.h"
#include "base/str.h"
#include "port/worker.h"

#include <jansson.h>

typedef enum
{
  KQ_ROW_SERVICE,
  KQ_ROW_CLASS, /* a job class */
  KQ_ROW_TEAM,
  KQ_ROW_WORKER, /* an operator's override for one worker */
  KQ_ROW_CALLER,
  KQ_ROW_POLICY, /* one row, named "default": switches of the scheduler */
  KQ_ROW_KINDS
} KqRowKind;

typedef struct
{
  int64_t weight;         /* share of slots against other services; 1-1000 */
  int64_t deadline_ms;    /* of a request that names none */
  int64_t queue_max;      /* requests waiting per owner */
  int64_t in_flight_max;  /* sent to runners per owner; 0: only slots limit */
  int64_t caller_percent; /* most of the queue one caller may fill */
  int64_t short_percent;  /* slots kept free of long requests */
  int64_t retry_percent;  /* retries in percent of first tries */
  int64_t claim_ttl_s;    /* how long an idempotency key is remembered */
  int64_t silent_ms;      /* a runner's answer without a byte for so long is lost */
  int64_t body_max_mb;
  bool non_idempotent; /* every method, not only POST and PATCH */
  bool far;            /* may be sent to the far region */
  KqName home;         /* region of its claims; "" the entry node's */
  /* Safeguards; each can be switched off to compare. */
  bool admission;
  bool fairness;
  bool short_slots;
  bool choice;
  bool limit;
  bool outlier;
  bool retry;
} KqServiceRow;

typedef struct
{
  KqSize size;           /* of a job that declares none */
  int64_t run_ms;        /* expected; 0: unknown */
  int64_t checkpoint_ms; /* how often tasks of the class checkpoint; 0: never */
  int64_t attempts_max;  /* failures before the job fails */
  bool latency_critical;
  bool movable; /* may be evicted for others */
} KqClassRow;

typedef struct
{
  int64_t weight; /* share of what nobody is guaranteed; 1-1000 */
  KqSize guaranteed;
  KqSize limit; /* never beyond; 0: no limit of that kind */
} KqTeamRow;

typedef enum
{
  KQ_WORKER_NORMAL,
  KQ_WORKER_DRAIN,   /* no new work; what runs may finish */
  KQ_WORKER_EVACUATE /* no new work; what runs is moved */
} KqWorkerMode;

typedef struct
{
  KqWorkerMode mode;
  KqSize reserved; /* kept free of tasks */
} KqWorkerRow;

typedef struct
{
  KqName token;   /* "" none; never printed */
  int64_t weight; /* share within a service */
} KqCallerRow;

typedef struct
{
  int64_t urgent_percent; /* room kept for urgent jobs */
  int64_t evictions_max;  /* evictions one job may suffer */
  int64_t held_percent;   /* most workers held back as bad at a time */
  bool learned_sizes;
  bool interference;
  bool throttle;
  bool quotas;
  bool eviction;
  bool bad_workers;
  bool spread;
} KqPolicyRow;

typedef struct
{
  KqRowKind kind;
  KqName name;
  uint64_t revision; /* of the table in which the row last changed */
  union
  {
    KqServiceRow service;
    KqClassRow job_class;
    KqTeamRow team;
    KqWorkerRow worker;
    KqCallerRow caller;
    KqPolicyRow policy;
  } u;
} KqRow;

typedef struct KqTable KqTable;

typedef enum
{
  KQ_FIELD_INT,
  KQ_FIELD_BOOL,
  KQ_FIELD_NAME,  /* "" or a valid name */
  KQ_FIELD_TOKEN, /* "" or 16 to KQ_NAME_MAX bytes of a name */
  KQ_FIELD_MODE   /* KqWorkerMode, as "normal", "drain", "evacuate" */
} KqFieldType;

/* The description of one field of one row kind. */
typedef struct
{
  KqRowKind kind;
  const char *name;
  KqFieldType type;
  size_t offset; /* in KqRow */
  int64_t min;
  int64_t max;
  int64_t fallback; /* default of INT, BOOL and MODE; names default to "" */
  const char *meaning;
} KqRowField;

/* The fields of a kind, in their fixed order; new ones come at the end. */
const KqRowField *kq_row_fields (KqRowKind kind, int *n);
const KqRowField *kq_row_field (KqRowKind kind, KqStr name); /* NULL: none */
/* Allowed values in words, for faults and manual pages. */
void kq_row_field_allowed (const KqRowField *f, char *out, size_t size);
/* The value as text; a token as "set" or "". */
void kq_row_field_text (const KqRow *row, const KqRowField *f, KqBuf *out);

/* A fault in a row: which field, which result (501-504), what is allowed. */
typedef struct
{
  KqResult code;
  KqName field;
  char allowed[96];
} KqRowFault;

const char *kq_row_kind_name (KqRowKind k); /* "service", "class", ... */
bool kq_row_kind_parse (KqStr s, KqRowKind *out);
/* A row with every field at its default. */
KqRow kq_row_default (KqRowKind kind, KqStr name);
/* Reads the fields given in a JSON object over *row (unset fields stay). Returns the
 * number of faults (all of them, up to max, are in faults). */
int kq_row_set (KqRow *row, const json_t *fields, KqRowFault *faults, int max);
/* The same for one field given as text (command line, CSV). */
KqResult kq_row_set_text (KqRow *row, KqStr field, KqStr value, KqRowFault *fault);
/* Checks a whole row: name, every field's range, and fields against each other. False
 * and *fault on the first fault. */
bool kq_row_check (const KqRow *row, KqRowFault *fault);
/* A new JSON object of all fields; a caller's token is shown only when `secrets`;
 * otherwise "has_token" tells whether there is one (kq_row_set ignores it, so that an
 * object read may be written back). */
json_t *kq_row_to_json (const KqRow *row, bool secrets);

/* More rows than this make no table: packed it must fit into few values of the store. */
#define KQ_TABLE_ROWS_MAX 10000

KqTable *kq_table_new (uint64_t revision); /* empty */
KqTable *kq_table_ref (KqTable *t);
void kq_table_unref (KqTable *t);
uint64_t kq_table_revision (const KqTable *t);
/* NULL when there is none. O(log rows). */
const KqRow *kq_table_find (const KqTable *t, KqRowKind kind, KqStr name);
/* The policy row, or the defaults. */
const KqPolicyRow *kq_table_policy (const KqTable *t);
/* Rows sorted by kind and name. */
size_t kq_table_size (const KqTable *t);
const KqRow *kq_table_row (const KqTable *t, size_t i);

/* One change of several rows: all or none. */
typedef struct
{
  KqRow row; /* the new row; for a removal only kind and name count */
  bool remove;
  uint64_t expect; /* the row's revision the operator saw; 0: must not exist;
                      UINT64_MAX: whatever it is */
  /* `row` was made by setting some fields over a row of that revision (0: over the
   * defaults, the row wasn't there). If the row is another one by now, fields that this
   * change doesn't name would go back to old values: CONFLICT, whatever was expected. */
  bool derived;
  uint64_t based;
} KqRowChange;

/* A new table with the changes at revision `revision`; NULL and *why, *which on
 * CONFLICT, NOT_FOUND or TOO_LARGE. */
KqTable *kq_table_change (const KqTable *t, uint64_t revision, const KqRowChange *c,
                          size_t n, KqResult *why, size_t *which);

/* The whole table as bytes (msgpack with a digest), and back. Reading checks every row
 * again; a table with one bad row is refused whole. */
void kq_table_pack (const KqTable *t, KqBuf *out);
KqTable *kq_table_unpack (KqStr bytes, KqResult *why);

#endif
