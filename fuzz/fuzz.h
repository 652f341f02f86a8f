#ifndef KQ_FUZZ_FUZZ_H
#define KQ_FUZZ_FUZZ_H

/* fuzz: what reads bytes that others wrote, one entry each. libFuzzer calls them with
 * any bytes (driver.c, `make fuzz`); tests/corpus_test.c with the files of fuzz/corpus.
 * An entry aborts when a property doesn't hold; the sanitizers tell the rest. */

#include "base/str.h"

typedef struct
{
  const char *name; /* also the folder under fuzz/corpus */
  void (*run) (KqStr data);
} KqFuzzTarget;

void kq_fuzz_frame (KqStr data);    /* a message between nodes, without its length */
void kq_fuzz_block (KqStr data);    /* a journal value */
void kq_fuzz_record (KqStr data);   /* job and claim records: type, version, body */
void kq_fuzz_table (KqStr data);    /* a packed table, head and tail */
void kq_fuzz_row (KqStr data);      /* a row's fields: kind and JSON */
void kq_fuzz_settings (KqStr data); /* kumquatd.toml */
void kq_fuzz_worker (KqStr data);   /* workers' answers, and calls to them */
void kq_fuzz_hosts (KqStr data);    /* the platform's host list */

void kq_fuzz_platform (KqStr data); /* what a fleet reads: configuration, entries, lists,
                                       jobs, agent items, what was learned, settings */

/* Stops the program when the property doesn't hold, also in a build without asserts. */
void kq_fuzz_check (bool holds, const char *property);

#endif
