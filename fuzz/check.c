#include "fuzz.h"

#include <stdio.h>
#include <stdlib.h>

void
kq_fuzz_check (bool holds, const char *property)
{
  if (holds)
    return;
  fprintf (stderr, "fuzz: doesn't hold: %s\n", property);
  abort ();
}
