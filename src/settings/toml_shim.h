#ifndef KQ_SETTINGS_TOML_SHIM_H
#define KQ_SETTINGS_TOML_SHIM_H

/* toml_shim: toml++ behind C: one pass over a TOML text, one call for each value.
 *
 * The settings use two levels only, so a value is named by its section, the section's
 * number when it stands in an array of tables, and its key. Whatever lies deeper is
 * given as one value of type TABLE or ARRAY, which no key accepts. */

#include "base/str.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum
  {
    KQ_TOML_SECTION, /* a section begins; key is "" */
    KQ_TOML_STRING,
    KQ_TOML_INTEGER,
    KQ_TOML_STRINGS, /* an array begins; its elements follow as STRING, of the same key */
    KQ_TOML_OTHER    /* a float, a boolean, a date, a table, a mixed array */
  } KqTomlType;

  typedef struct
  {
    KqTomlType type;
    KqStr section; /* "" for a value outside of any section */
    int index;     /* in an array of tables; -1: a plain section */
    KqStr key;
    int element; /* of a STRINGS array; -1 otherwise */
    KqStr text;
    int64_t number;
    int line;
  } KqTomlValue;

  typedef void (*KqTomlVisit) (void *data, const KqTomlValue *v);

  /* Returns 0, or the line of the first fault of syntax (1 when it has none) with the
   * parser's words in why. Visits nothing then. Safe for any bytes: what the parser
   * can't be given, toml_check refuses first. */
  int kq_toml_read (KqStr text, KqTomlVisit visit, void *data, char *why,
                    size_t why_size);

#ifdef __cplusplus
}
#endif

#endif
