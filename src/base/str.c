#include "base/str.h"

#include <assert.h>
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

void *
kq_alloc (size_t size)
{
  void *p = calloc (1, size > 0 ? size : 1);
  if (p == NULL)
    abort ();
  return p;
}

void *
kq_realloc (void *ptr, size_t size)
{
  void *p = realloc (ptr, size > 0 ? size : 1);
  if (p == NULL)
    abort ();
  return p;
}

KqStr
kq_str (const char *cstr)
{
  return (KqStr){ cstr != NULL ? cstr : "", cstr != NULL ? strlen (cstr) : 0 };
}

KqStr
kq_str_n (const char *ptr, size_t len)
{
  return (KqStr){ ptr, len };
}

bool
kq_str_eq (KqStr a, KqStr b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.ptr, b.ptr, a.len) == 0);
}

bool
kq_str_eq_secret (KqStr a, KqStr b)
{
  unsigned diff = a.len != b.len;
  for (size_t i = 0; i < a.len && i < b.len; i++)
    diff |= (unsigned char)a.ptr[i] ^ (unsigned char)b.ptr[i];
  return diff == 0;
}

int
kq_str_cmp (KqStr a, KqStr b)
{
  size_t n = a.len < b.len ? a.len : b.len;
  int c = n > 0 ? memcmp (a.ptr, b.ptr, n) : 0;
  if (c != 0)
    return c;
  return (a.len > b.len) - (a.len < b.len);
}

bool
kq_str_has_prefix (KqStr s, KqStr prefix)
{
  return s.len >= prefix.len && kq_str_eq (kq_str_n (s.ptr, prefix.len), prefix);
}

bool
kq_str_has_suffix (KqStr s, KqStr suffix)
{
  if (s.len < suffix.len)
    return false;
  return kq_str_eq (kq_str_n (s.ptr + s.len - suffix.len, suffix.len), suffix);
}

KqStr
kq_str_cut (KqStr *s, char sep)
{
  const char *p = s->len > 0 ? memchr (s->ptr, sep, s->len) : NULL;
  KqStr part = *s;
  if (p == NULL)
    {
      *s = kq_str_n (s->ptr + s->len, 0);
      return part;
    }
  part.len = (size_t)(p - s->ptr);
  s->ptr = p + 1;
  s->len -= part.len + 1;
  return part;
}

static bool
is_space (char c)
{
  return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

KqStr
kq_str_trim (KqStr s)
{
  while (s.len > 0 && is_space (s.ptr[0]))
    {
      s.ptr++;
      s.len--;
    }
  while (s.len > 0 && is_space (s.ptr[s.len - 1]))
    s.len--;
  return s;
}

bool
kq_str_copy (KqStr s, char *to, size_t size)
{
  if (s.len >= size)
    return false;
  if (s.len > 0)
    memcpy (to, s.ptr, s.len);
  to[s.len] = '\0';
  return true;
}

/* Buffer for a number and the NUL that strtoll needs; longer strings are no valid
 * numbers. */
#define NUMBER_MAX_BYTES 40

static bool
copy_number (KqStr s, char out[NUMBER_MAX_BYTES])
{
  return s.len > 0 && !is_space (s.ptr[0]) && kq_str_copy (s, out, NUMBER_MAX_BYTES);
}

bool
kq_str_to_i64 (KqStr s, int64_t *out)
{
  char text[NUMBER_MAX_BYTES];
  char *end;
  if (!copy_number (s, text))
    return false;
  errno = 0;
  long long v = strtoll (text, &end, 10);
  if (errno != 0 || *end != '\0' || end == text)
    return false;
  *out = v;
  return true;
}

bool
kq_str_to_u64 (KqStr s, uint64_t *out)
{
  char text[NUMBER_MAX_BYTES];
  char *end;
  if (!copy_number (s, text) || text[0] == '-')
    return false;
  errno = 0;
  unsigned long long v = strtoull (text, &end, 10);
  if (errno != 0 || *end != '\0' || end == text)
    return false;
  *out = v;
  return true;
}

char *
kq_str_dup (KqStr s)
{
  char *p = kq_alloc (s.len + 1);
  if (s.len > 0)
    memcpy (p, s.ptr, s.len);
  return p;
}

KqStr
kq_str_own (KqStr s)
{
  return kq_str_n (kq_str_dup (s), s.len);
}

void
kq_str_drop (KqStr *s)
{
  free ((char *)s->ptr);
  *s = (KqStr){ 0 };
}

uint64_t
kq_str_hash (KqStr s)
{
  return XXH3_64bits (s.ptr, s.len);
}

uint64_t
kq_hash2 (uint64_t a, uint64_t b)
{
  uint64_t pair[2] = { a, b };
  return XXH3_64bits (pair, sizeof pair);
}

void
kq_buf_init (KqBuf *b)
{
  *b = (KqBuf){ 0 };
}

void
kq_buf_free (KqBuf *b)
{
  free (b->ptr);
  *b = (KqBuf){ 0 };
}

void
kq_buf_clear (KqBuf *b)
{
  b->len = 0;
  if (b->ptr != NULL)
    b->ptr[0] = '\0';
}

void
kq_buf_reserve (KqBuf *b, size_t more)
{
  size_t need = b->len + more + 1;
  size_t cap = b->capacity > 0 ? b->capacity : 64;
  if (need <= b->capacity)
    return;
  while (cap < need)
    cap *= 2;
  b->ptr = kq_realloc (b->ptr, cap);
  b->capacity = cap;
}

void
kq_buf_add (KqBuf *b, const void *ptr, size_t len)
{
  kq_buf_reserve (b, len);
  if (len > 0)
    memcpy (b->ptr + b->len, ptr, len);
  b->len += len;
  b->ptr[b->len] = '\0';
}

void
kq_buf_add_str (KqBuf *b, KqStr s)
{
  kq_buf_add (b, s.ptr, s.len);
}

bool
kq_buf_add_bounded (KqBuf *b, KqStr s, size_t max)
{
  if (s.len > max || b->len > max - s.len)
    return false;
  kq_buf_add_str (b, s);
  return true;
}

void
kq_buf_printf (KqBuf *b, const char *fmt, ...)
{
  va_list ap;
  va_start (ap, fmt);
  int n = vsnprintf (NULL, 0, fmt, ap);
  va_end (ap);
  assert (n >= 0);
  kq_buf_reserve (b, (size_t)n);
  va_start (ap, fmt);
  vsnprintf (b->ptr + b->len, (size_t)n + 1, fmt, ap);
  va_end (ap);
  b->len += (size_t)n;
}

void
kq_buf_drop (KqBuf *b, size_t len)
{
  assert (len <= b->len);
  if (len == 0)
    return;
  memmove (b->ptr, b->ptr + len, b->len - len);
  b->len -= len;
  b->ptr[b->len] = '\0';
}

KqStr
kq_buf_str (const KqBuf *b)
{
  return kq_str_n (b->ptr != NULL ? b->ptr : "", b->len);
}

KqStr
kq_name_str (const KqName *n)
{
  return kq_str_n (n->bytes, n->len);
}

KqName
kq_name (KqStr s)
{
  KqName n = { 0 };
  n.len = (uint8_t)(s.len > KQ_NAME_MAX ? KQ_NAME_MAX : s.len);
  if (n.len > 0)
    memcpy (n.bytes, s.ptr, n.len);
  return n;
}

bool
kq_name_eq (const KqName *a, const KqName *b)
{
  return kq_str_eq (kq_name_str (a), kq_name_str (b));
}

bool
kq_name_valid (KqStr s)
{
  if (s.len == 0 || s.len > KQ_NAME_MAX)
    return false;
  for (size_t i = 0; i < s.len; i++)
    {
      char c = s.ptr[i];
      bool ok = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
                || c == '.' || c == '_' || c == '-';
      if (!ok)
        return false;
    }
  return true;
}
