#ifndef KQ_SETTINGS_TOML_SHIM_H
#define KQ_SETTINGS_TOML_SHIM_H

/* toml_shim: C interface to toml++. Reads a TOML text and calls back for each value.
 *
 * The settings use two levels only, so a value is identified by its section, the
 * section's index if it is in an array of tables, and its key. Deeper tables and arrays
 * are passed as one value of type KQ_TOML_OTHER, which no key accepts. */

#include "base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum
  {
    KQ_TOML_SECTION, /* start of a section; key is "" */
    KQ_TOML_STRING,
    KQ_TOML_INTEGER,
    KQ_TOML_STRINGS, /* start of an array; its elements follow as STRING, same key */
    KQ_TOML_OTHER    /* a float, a boolean, a date, a table, a mixed array */
  } KqTomlType;

  typedef struct
  {
    KqTomlType type;
    KqStr section; /* "": the value is outside of any section */
    int index;     /* of the section in an array of tables; -1: an ordinary section */
    KqStr key;
    int element;    /* index in a STRINGS array; -1: not an element */
    KqStr text;     /* of a STRING */
    int64_t number; /* of an INTEGER */
    int line;
  } KqTomlValue;

  /* The texts in *v are valid until kq_toml_read returns. */
  typedef void (*KqTomlVisit) (void *data, const KqTomlValue *v);

  /* Returns 0, or the line of the first syntax error (1 if it has none) with a message in
   * why; nothing is visited then. Safe for any bytes: toml_check rejects what the parser
   * can't handle. */
  int kq_toml_read (KqStr text, KqTomlVisit visit, void *data, char *why,
                    size_t why_size);

#ifdef __cplusplus
}
#endif

#endif
