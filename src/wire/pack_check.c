#include "wire/pack_check.h"

/* What follows the first byte of an object: a length field, and as many bytes or objects
 * as it says. */
typedef struct
{
  size_t length_bytes;     /* size of the length field */
  size_t objects_per_unit; /* objects per unit of length: 1: array, 2: map, 0: bytes */
  size_t fixed;            /* length given by the first byte, added to the field's */
} Format;

/* Formats of the first bytes 0xc0 to 0xdf. */
static const Format formats[32] = {
  { 0, 0, 0 }, { 0, 0, 0 }, { 0, 0, 0 },                            /* nil, bool */
  { 0, 0, 0 }, { 1, 0, 0 }, { 2, 0, 0 }, { 4, 0, 0 },               /* bin */
  { 1, 0, 1 }, { 2, 0, 1 }, { 4, 0, 1 },                            /* ext */
  { 0, 0, 4 }, { 0, 0, 8 },                                         /* float */
  { 0, 0, 1 }, { 0, 0, 2 }, { 0, 0, 4 }, { 0, 0, 8 },               /* unsigned */
  { 0, 0, 1 }, { 0, 0, 2 }, { 0, 0, 4 }, { 0, 0, 8 },               /* signed */
  { 0, 0, 2 }, { 0, 0, 3 }, { 0, 0, 5 }, { 0, 0, 9 }, { 0, 0, 17 }, /* fixext */
  { 1, 0, 0 }, { 2, 0, 0 }, { 4, 0, 0 },                            /* str */
  { 2, 1, 0 }, { 4, 1, 0 },                                         /* array */
  { 2, 2, 0 }, { 4, 2, 0 },                                         /* map */
};

static Format
format_of (uint8_t first)
{
  if (first >= 0xc0 && first <= 0xdf)
    return formats[first - 0xc0];
  if (first >= 0xa0 && first < 0xc0)
    return (Format){ 0, 0, first & 0x1f }; /* fixstr */
  if (first >= 0x90 && first < 0xa0)
    return (Format){ 0, 1, first & 0x0f }; /* fixarray */
  if (first >= 0x80 && first < 0x90)
    return (Format){ 0, 2, first & 0x0f }; /* fixmap */
  return (Format){ 0 };                    /* fixint */
}

bool
kq_pack_counts_fit (KqStr data)
{
  size_t at = 0;
  size_t expected = 1; /* objects announced and not yet read */
  while (expected > 0)
    {
      Format f;
      uint64_t n = 0;
      if (data.len - at < expected)
        return false;
      f = format_of ((uint8_t)data.ptr[at++]);
      expected--;
      if (data.len - at < f.length_bytes)
        return false;
      for (size_t i = 0; i < f.length_bytes; i++)
        n = n << 8 | (uint8_t)data.ptr[at++];
      n += f.fixed;
      if (n > data.len - at)
        return false;
      if (f.objects_per_unit > 0)
        expected += n * f.objects_per_unit;
      else
        at += n;
    }
  return true;
}
