#ifndef KQ_BASE_STR_H
#define KQ_BASE_STR_H

/* str: strings with a length, a growable byte buffer, and allocation.
 *
 * A KqStr points to bytes that it doesn't own; they need not end with a NUL. A KqBuf owns
 * its bytes. The contents of a buffer that has been written to are followed by a NUL that
 * isn't counted in `len`, so that buf.ptr can be passed to C functions. The program
 * aborts when memory runs out, as in GLib. */

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
/* Compares secrets (tokens, digests) in a time that depends on the lengths only. A
 * comparison that stops at the first difference tells by its duration how many leading
 * bytes are right, so that a secret can be found byte by byte. The length of a token is
 * not secret. */
bool kq_str_eq_secret (KqStr a, KqStr b);
int kq_str_cmp (KqStr a, KqStr b); /* as memcmp; a prefix sorts first */
bool kq_str_has_prefix (KqStr s, KqStr prefix);
bool kq_str_has_suffix (KqStr s, KqStr suffix);
/* Splits *s at the first sep: returns the part before it and sets *s to the part after
 * it. Without a sep returns the whole string, and *s becomes empty. */
KqStr kq_str_cut (KqStr *s, char sep);
KqStr kq_str_trim (KqStr s); /* without white space at both ends */
/* Parses a decimal integer; false if the string is anything else or out of range. */
bool kq_str_to_i64 (KqStr s, int64_t *out);
bool kq_str_to_u64 (KqStr s, uint64_t *out);
/* Copies s and a NUL to `to`; false, and nothing is copied, if they don't fit. */
bool kq_str_copy (KqStr s, char *to, size_t size);
char *kq_str_dup (KqStr s); /* NUL-terminated copy; free it with free () */
KqStr kq_str_own (KqStr s); /* the same as a KqStr; free its ptr with free () */
/* Frees a string that kq_str_own has allocated, and sets it to the empty one. */
void kq_str_drop (KqStr *s);
uint64_t kq_str_hash (KqStr s);
uint64_t kq_hash2 (uint64_t a, uint64_t b); /* one hash of two numbers */

void kq_buf_init (KqBuf *b);
void kq_buf_free (KqBuf *b);
void kq_buf_clear (KqBuf *b);                /* keeps the memory */
void kq_buf_reserve (KqBuf *b, size_t more); /* room for `more` bytes and a NUL */
void kq_buf_add (KqBuf *b, const void *ptr, size_t len);
void kq_buf_add_str (KqBuf *b, KqStr s);
/* Appends s unless the buffer would hold more than `max` bytes; false: not appended. */
bool kq_buf_add_bounded (KqBuf *b, KqStr s, size_t max);
void kq_buf_printf (KqBuf *b, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
void kq_buf_drop (KqBuf *b, size_t len); /* removes the first `len` bytes */
KqStr kq_buf_str (const KqBuf *b);

/* Both abort if memory runs out. */
void *kq_alloc (size_t size); /* zeroed */
void *kq_realloc (void *ptr, size_t size);

/* A name of limited length, stored inline in structs that are copied by value. */
#define KQ_NAME_MAX 63
typedef struct
{
  uint8_t len;
  char bytes[KQ_NAME_MAX];
} KqName;

KqStr kq_name_str (const KqName *n);
/* Truncates s to KQ_NAME_MAX bytes; callers must check the length of external input. */
KqName kq_name (KqStr s);
bool kq_name_eq (const KqName *a, const KqName *b);
/* Whether s has 1 to KQ_NAME_MAX bytes, all of a-z A-Z 0-9 . _ - */
bool kq_name_valid (KqStr s);

#endif
