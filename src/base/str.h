#ifndef KQ_BASE_STR_H
#define KQ_BASE_STR_H

/* str: length-counted strings and a growable byte buffer.
 *
 * A KqStr points at bytes it doesn't own; it need not end in NUL. A KqBuf owns its
 * bytes; its contents are always followed by one NUL that doesn't count, so that
 * buf.ptr can be given to C functions. Allocation failure aborts (GLib's rule). */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  const char *ptr;
  size_t len;
} KqStr;

typedef struct
{
  char *ptr;
  size_t len;
  size_t capacity;
} KqBuf;

/* A KqStr from a literal, at compile time. */
#define KQ_STR(lit)                                                                      \
  (KqStr)                                                                                \
  {                                                                                      \
    (lit), sizeof (lit) - 1                                                              \
  }
/* The two arguments of a "%.*s" conversion. */
#define KQ_STR_ARG(s) (int)(s).len, (s).ptr

KqStr kq_str (const char *cstr); /* NULL gives the empty string */
KqStr kq_str_n (const char *ptr, size_t len);
bool kq_str_eq (KqStr a, KqStr b);
/* Compares secrets (tokens, digests). Comparing that stops at the first difference lets
 * whoever tries many values learn from the time taken how many leading bytes were right,
 * and so find a secret byte by byte. Here the time depends on the lengths only, and the
 * length of a token is no secret. */
bool kq_str_eq_secret (KqStr a, KqStr b);
int kq_str_cmp (KqStr a, KqStr b); /* bytewise, as memcmp; shorter first */
bool kq_str_has_prefix (KqStr s, KqStr prefix);
bool kq_str_has_suffix (KqStr s, KqStr suffix);
/* Cuts s at the first sep: returns what stands before it and moves *s behind it.
 * Without a sep the whole string is returned and *s becomes empty. */
KqStr kq_str_cut (KqStr *s, char sep);
KqStr kq_str_trim (KqStr s);
/* A decimal integer that fills the whole string; false otherwise or when out of range. */
bool kq_str_to_i64 (KqStr s, int64_t *out);
bool kq_str_to_u64 (KqStr s, uint64_t *out);
/* Copies s and a NUL to `to`; false when that doesn't fit: nothing is copied then. */
bool kq_str_copy (KqStr s, char *to, size_t size);
char *kq_str_dup (KqStr s); /* NUL-terminated copy, freed with free () */
KqStr kq_str_own (KqStr s); /* the same as a KqStr; its ptr is freed with free () */
uint64_t kq_str_hash (KqStr s);
uint64_t kq_hash2 (uint64_t a, uint64_t b); /* mixes two numbers into one */

void kq_buf_init (KqBuf *b);
void kq_buf_free (KqBuf *b);
void kq_buf_clear (KqBuf *b); /* keeps the memory */
void kq_buf_reserve (KqBuf *b, size_t more);
void kq_buf_add (KqBuf *b, const void *ptr, size_t len);
void kq_buf_add_str (KqBuf *b, KqStr s);
/* Adds s unless the buffer would then hold more than `most` bytes; false: not added. */
bool kq_buf_add_most (KqBuf *b, KqStr s, size_t most);
void kq_buf_printf (KqBuf *b, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
void kq_buf_drop (KqBuf *b, size_t len); /* removes bytes at the front */
KqStr kq_buf_str (const KqBuf *b);

/* Allocation that aborts when memory is out; zeroed. */
void *kq_alloc (size_t size);
void *kq_realloc (void *ptr, size_t size);

/* A fixed-size name, for structs that are copied by value (ids, classes, services). */
#define KQ_NAME_MAX 63
typedef struct
{
  uint8_t len;
  char bytes[KQ_NAME_MAX];
} KqName;

KqStr kq_name_str (const KqName *n);
/* Cuts at KQ_NAME_MAX; callers check the length of what comes from outside. */
KqName kq_name (KqStr s);
bool kq_name_eq (const KqName *a, const KqName *b);
/* 1 to KQ_NAME_MAX bytes of a-z A-Z 0-9 . _ - */
bool kq_name_valid (KqStr s);

#endif
