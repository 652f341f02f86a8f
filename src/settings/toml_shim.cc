#include "settings/toml_shim.h"

extern "C"
{
#include "settings/toml_check.h"
}

#include <cstdio>
#include <stdexcept>
#include <string_view>

/* The parser asserts that a key begins with a letter, which would abort the process for a
 * damaged file. The exception turns the failed assertion into a syntax error. */
[[noreturn]] static void
assertion_failed ()
{
  throw std::runtime_error ("not a key or a value");
}

#define TOML_ASSERT(expr) ((expr) ? (void)0 : assertion_failed ())
#define TOML_ASSERT_ASSUME(expr) TOML_ASSERT (expr)
#include <toml++/toml.h>

namespace
{

KqStr
str (std::string_view s)
{
  return KqStr{ s.data (), s.size () };
}

int
line_of (const toml::node &n)
{
  return (int)n.source ().begin.line;
}

struct Walker
{
  KqTomlVisit visit;
  void *data;
  KqTomlValue value;

  void
  emit (KqTomlType type, const toml::node &n)
  {
    value.type = type;
    value.line = line_of (n);
    visit (data, &value);
  }

  void
  scalar (const toml::node &n)
  {
    if (auto s = n.as_string ())
      {
        value.text = str (s->get ());
        emit (KQ_TOML_STRING, n);
        value.text = KqStr{ "", 0 };
      }
    else if (auto i = n.as_integer ())
      {
        value.number = i->get ();
        emit (KQ_TOML_INTEGER, n);
        value.number = 0;
      }
    else
      emit (KQ_TOML_OTHER, n);
  }

  void
  string_array (const toml::array &a)
  {
    if (!a.empty () && !a.is_homogeneous (toml::node_type::string))
      {
        emit (KQ_TOML_OTHER, a);
        return;
      }
    emit (KQ_TOML_STRINGS, a);
    for (const toml::node &e : a)
      {
        value.element++;
        scalar (e);
      }
    value.element = -1;
  }

  void
  section (std::string_view name, int index, const toml::table &t)
  {
    value = KqTomlValue{};
    value.section = str (name);
    value.index = index;
    value.element = -1;
    value.key = KqStr{ "", 0 };
    emit (KQ_TOML_SECTION, t);
    for (auto &&[key, node] : t)
      {
        value.key = str (key.str ());
        if (auto a = node.as_array ())
          string_array (*a);
        else
          scalar (node);
      }
  }

  void
  top_level (std::string_view name, const toml::node &n)
  {
    if (auto t = n.as_table ())
      {
        section (name, -1, *t);
        return;
      }
    auto a = n.as_array ();
    if (a != nullptr && !a->empty () && a->is_homogeneous (toml::node_type::table))
      {
        int index = 0;
        for (const toml::node &e : *a)
          section (name, index++, *e.as_table ());
        return;
      }
    value = KqTomlValue{};
    value.section = KqStr{ "", 0 };
    value.index = -1;
    value.element = -1;
    value.key = str (name);
    scalar (n);
  }
};

} // namespace

extern "C" int
kq_toml_read (KqStr text, KqTomlVisit visit, void *data, char *why, size_t why_size)
{
  const char *reason;
  int bad_line = kq_toml_check (text, &reason);
  if (bad_line != 0)
    {
      std::snprintf (why, why_size, "%s", reason);
      return bad_line;
    }
  try
    {
      toml::table root = toml::parse (std::string_view (text.ptr, text.len));
      Walker walker{ visit, data, {} };
      for (auto &&[key, node] : root)
        walker.top_level (key.str (), node);
      return 0;
    }
  catch (const toml::parse_error &e)
    {
      int line = (int)e.source ().begin.line;
      std::snprintf (why, why_size, "%s", std::string (e.description ()).c_str ());
      return line > 0 ? line : 1;
    }
  catch (const std::exception &e)
    {
      std::snprintf (why, why_size, "%s", e.what ());
      return 1;
    }
}
