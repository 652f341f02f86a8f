#ifndef KQ_PORT_TEXT_H
#define KQ_PORT_TEXT_H

/* text: reading the platform's JSON, and writing keys into URLs.
 *
 * A reader never fails in between: the first field that is missing, of the wrong type or
 * out of range sets `bad`, later reads give zero, and the caller checks `bad` once at
 * the end. Numbers of 64 bits without sign travel as decimal strings, because JSON's
 * numbers don't hold them everywhere. */

#include "base/str.h"

#include <jansson.h>

typedef struct
{
  const json_t *at;
  bool bad;
} KqJsonReader;

/* NULL when the text isn't one JSON object. Freed by json_decref. */
json_t *kq_json_parse (KqStr text);
bool kq_json_has (const KqJsonReader *r, const char *key);
KqStr kq_json_str (KqJsonReader *r, const char *key);    /* points into the JSON */
KqName kq_json_name (KqJsonReader *r, const char *key);  /* "" or a valid name */
uint64_t kq_json_u64 (KqJsonReader *r, const char *key); /* a decimal string */
int64_t kq_json_i64 (KqJsonReader *r, const char *key, int64_t min, int64_t max);
double kq_json_double (KqJsonReader *r, const char *key);
bool kq_json_bool (KqJsonReader *r, const char *key);
KqJsonReader kq_json_object (KqJsonReader *r, const char *key);
/* An array's elements; their number goes to *n. */
const json_t *kq_json_array (KqJsonReader *r, const char *key, size_t *n);
/* The i-th element, which must be an object. */
KqJsonReader kq_json_element (const json_t *array, size_t i);
/* Takes over the fault of an inner reader. */
void kq_json_join (KqJsonReader *r, const KqJsonReader *inner);

/* Appends s with every byte but a-z A-Z 0-9 . _ - ~ / written as %XX. */
void kq_url_escape (KqBuf *out, KqStr s);
/* Appends s with each %XX turned back; a broken escape is copied as it is. */
void kq_url_unescape (KqBuf *out, KqStr s);

#endif
