#ifndef KQ_SETTINGS_TOML_CHECK_H
#define KQ_SETTINGS_TOML_CHECK_H

/* toml_check: refuses what the parser can't be given.
 *
 * toml++ 3.3 asks of characters outside of strings and comments whether they are white
 * space, and runs into undefined behaviour for most letters beyond ASCII: one umlaut in
 * a key or behind a number is enough. No setting needs them, so they are refused
 * everywhere but behind a '#' of their line that stands in no string. There the parser is
 * in a comment or done with the text, and asks nothing; strings of several lines, in
 * which a '#' opens no comment, are refused. */

#include "base/str.h"

/* 0, or the line of the first fault, with a sentence in *why. */
int kq_toml_check (KqStr text, const char **why);

#endif
