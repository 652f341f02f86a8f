#ifndef KQ_PORT_JSON_READER_H
#define KQ_PORT_JSON_READER_H

/* json_reader: reads the fields of the platform's JSON, and escapes keys in URLs.
 *
 * A field that is missing, of the wrong type or out of range reads as zero or empty and
 * sets the reader's `bad`, which the caller checks once at the end. Unsigned 64-bit
 * numbers are decimal strings in the JSON, because many JSON readers hold numbers as
 * doubles. */

#include "base/str.h"

#include <jansson.h>

typedef struct
{
  const json_t *at; /* the object whose fields are read */
  bool bad;         /* a field was invalid */
} KqJsonReader;

/* NULL when the text isn't a JSON object. Strings may hold NUL characters. Freed by
 * json_decref.
 */
json_t *kq_json_parse (KqStr text);
/* Counts the arrays and objects in a JSON text, and all values. Parsed, an empty object
 * takes a hundred times the memory of its text. If the text isn't valid, the numbers are
 * at least those that a parser has read when it finds out. */
void kq_json_count (KqStr text, size_t *containers, size_t *values);
/* Whether the field exists; doesn't set `bad`. */
bool kq_json_has (const KqJsonReader *r, const char *key);
KqStr kq_json_str (KqJsonReader *r, const char *key);    /* points into the JSON */
KqName kq_json_name (KqJsonReader *r, const char *key);  /* "" or a valid name */
uint64_t kq_json_u64 (KqJsonReader *r, const char *key); /* a decimal string */
int64_t kq_json_i64 (KqJsonReader *r, const char *key, int64_t min, int64_t max);
double kq_json_double (KqJsonReader *r, const char *key);
bool kq_json_bool (KqJsonReader *r, const char *key);
KqJsonReader kq_json_object (KqJsonReader *r, const char *key);
/* The field's array; *n receives the number of its elements. */
const json_t *kq_json_array (KqJsonReader *r, const char *key, size_t *n);
/* The i-th element, which must be an object. */
KqJsonReader kq_json_element (const json_t *array, size_t i);
/* Sets r->bad if the inner reader's is set. */
void kq_json_propagate (KqJsonReader *r, const KqJsonReader *inner);

/* Appends s with every byte except a-z A-Z 0-9 . _ - ~ / written as %XX. */
void kq_url_escape (KqBuf *out, KqStr s);
/* Appends s with each %XX decoded; an invalid escape is copied unchanged. */
void kq_url_unescape (KqBuf *out, KqStr s);

#endif
