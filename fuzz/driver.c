/* driver: calls one entry point from libFuzzer; the Makefile sets KQ_FUZZ_ENTRY. */

#include "fuzz.h"

#ifndef KQ_FUZZ_ENTRY
#define KQ_FUZZ_ENTRY kq_fuzz_frame
#endif

/* libFuzzer requires this name. NOLINTBEGIN(readability-identifier-naming) */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  KQ_FUZZ_ENTRY (kq_str_n ((const char *)data, size));
  return 0;
}
/* NOLINTEND(readability-identifier-naming) */
