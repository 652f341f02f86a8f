#ifndef KQ_SETTINGS_TOML_CHECK_H
#define KQ_SETTINGS_TOML_CHECK_H

/* toml_check: rejects texts that must not reach the TOML parser.
 *
 * toml++ 3.3 tests characters outside of strings and comments for white space, which is
 * undefined behaviour for most non-ASCII characters: one umlaut in a key or after a
 * number is enough. No setting needs them, so they are allowed only in comments, which
 * the parser doesn't test: after a '#' that isn't within a string of its line.
 * Multi-line strings are rejected, because a '#' in them starts no comment. */

#include "base/str.h"

/* Returns 0, or the line of the first fault with a static text in *why. */
int kq_toml_check (KqStr text, const char **why);

#endif
