#ifndef KQ_TABLE_TABLE_H
#define KQ_TABLE_TABLE_H

/* table: the configuration table that operators edit: its rows, their validation, and the
 * whole table at one revision.
 *
 * A KqTable is immutable: a change creates a new one. Every field of every row kind is
 * described once, in row_fields.c (name, type, range, default, meaning); parsing,
 * validation, printing and the manual page are derived from there. */

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
  KQ_ROW_POLICY, /* one row, named "default": settings of the scheduler */
  KQ_ROW_KINDS
} KqRowKind;

typedef struct
{
  int64_t weight;         /* share of slots against other services; 1-1000 */
  int64_t deadline_ms;    /* deadline of a request that names none */
  int64_t queue_max;      /* most requests waiting at one owner */
  int64_t in_flight_max;  /* most requests of one owner at runners; 0: only slots limit */
  int64_t caller_percent; /* most of the queue one caller may fill */
  int64_t short_percent;  /* slots kept free of long requests */
  int64_t retry_percent;  /* retries in percent of first tries */
  int64_t claim_ttl_s;    /* how long an idempotency key is remembered */
  int64_t silent_ms;      /* a response without a byte for so long counts as lost */
  int64_t body_max_mb;
  bool non_idempotent; /* requests of every method aren't idempotent, not only POST and
                          PATCH */
  bool far;            /* requests may be sent to another region */
  KqName home;         /* region of its claims; "": the first one of the settings */
  /* Safeguards; each can be disabled, to compare the results. */
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
  KqSize size;           /* size of a job that declares none */
  int64_t run_ms;        /* expected run time; 0: unknown */
  int64_t checkpoint_ms; /* how often tasks of the class checkpoint; 0: never */
  int64_t attempts_max;  /* failures before the job fails */
  bool latency_critical;
  bool movable; /* may be evicted for others */
} KqClassRow;

typedef struct
{
  int64_t weight; /* share of what isn't guaranteed to any team; 1-1000 */
  KqSize guaranteed;
  KqSize limit; /* upper bound; a member of 0: no limit */
} KqTeamRow;

typedef enum
{
  KQ_WORKER_NORMAL,
  KQ_WORKER_DRAIN,   /* no new work; running tasks may finish */
  KQ_WORKER_EVACUATE /* no new work; running tasks are moved */
} KqWorkerMode;

typedef struct
{
  KqWorkerMode mode;
  KqSize reserved; /* kept free of tasks */
} KqWorkerRow;

typedef struct
{
  KqName token;   /* "": none; never printed */
  int64_t weight; /* share within a service */
} KqCallerRow;

typedef struct
{
  int64_t urgent_percent; /* capacity reserved for urgent jobs */
  int64_t evictions_max;  /* most evictions of one job */
  int64_t held_percent;   /* most workers that may be excluded as bad at a time */
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
  uint64_t revision; /* revision of the table in which the row last changed */
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
  size_t offset; /* offset of the field in KqRow */
  int64_t min;
  int64_t max;
  int64_t fallback; /* default of INT, BOOL and MODE; names default to "" */
  const char *meaning;
} KqRowField;

/* The fields of a kind, in their fixed order; new ones come at the end. */
const KqRowField *kq_row_fields (KqRowKind kind, int *n);
const KqRowField *kq_row_field (KqRowKind kind, KqStr name); /* NULL: none */
/* Writes the allowed values as text, for error messages and manual pages. */
void kq_row_field_allowed (const KqRowField *f, char *out, size_t size);
/* Appends the value as text; a token as "set" or "". */
void kq_row_field_text (const KqRow *row, const KqRowField *f, KqBuf *out);

/* An error in a row: the result (501-504), the field, and the allowed values. */
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
/* Sets the fields of *row that the JSON object names; if all are valid, checks the row.
 * Returns the number of errors; the first `max` of them are written to `faults`. */
int kq_row_set (KqRow *row, const json_t *fields, KqRowFault *faults, int max);
/* Sets one field from its value as text (command line, CSV). Returns KQ_OK, or the result
 * that is also set in *fault; doesn't check the row. */
KqResult kq_row_set_text (KqRow *row, KqStr field, KqStr value, KqRowFault *fault);
/* Checks the row's name, the range of every field, and the consistency between fields.
 * Returns false and sets *fault at the first error. */
bool kq_row_check (const KqRow *row, KqRowFault *fault);
/* Returns a new JSON object of all fields. A caller's token is included only if `secrets`
 * is set; otherwise "has_token" says whether there is one. kq_row_set ignores
 * "has_token", so that the object may be written back. */
json_t *kq_row_to_json (const KqRow *row, bool secrets);

/* Most rows of a table: the packed table must fit into a few values of the store. */
#define KQ_TABLE_ROWS_MAX 10000

KqTable *kq_table_new (uint64_t revision); /* empty; the caller holds one reference */
KqTable *kq_table_ref (KqTable *t);
void kq_table_unref (KqTable *t);
uint64_t kq_table_revision (const KqTable *t);
/* Returns the row, which lives as long as the table; NULL if there is no such row.
 * O(log rows). */
const KqRow *kq_table_find (const KqTable *t, KqRowKind kind, KqStr name);
/* The policy row, or the defaults if the table has none. */
const KqPolicyRow *kq_table_policy (const KqTable *t);
size_t kq_table_size (const KqTable *t); /* number of rows */
/* The i-th row, in order of kind and name. */
const KqRow *kq_table_row (const KqTable *t, size_t i);

/* The change of one row. All changes of one call take effect, or none. */
typedef struct
{
  KqRow row; /* the new row; for a removal only kind and name count */
  bool remove;
  uint64_t expect; /* the row's revision that the operator saw; 0: it must not exist;
                      UINT64_MAX: any */
  /* `row` was made by setting some fields in a copy of the row at revision
   * `base_revision` (0: the row didn't exist; the copy held the defaults). If the row's
   * revision is another one by now, the copied fields would undo later changes: CONFLICT,
   * whatever `expect` is. */
  bool derived;
  uint64_t base_revision;
} KqRowChange;

/* Returns a new table with the changes applied, at revision `revision`. On an error (a
 * row check, CONFLICT, NOT_FOUND, TOO_LARGE) returns NULL and sets *why to the result and
 * *which to the index of the change. */
KqTable *kq_table_change (const KqTable *t, uint64_t revision, const KqRowChange *c,
                          size_t n, KqResult *why, size_t *which);

/* Serializes the whole table (msgpack with a digest), and reads it back. Reading checks
 * every row again: a table with an invalid row is rejected (NULL, *why is set). */
void kq_table_pack (const KqTable *t, KqBuf *out);
KqTable *kq_table_unpack (KqStr bytes, KqResult *why);

#endif
