#ifndef KQ_REVIEW_STORE_TEST_H
#define KQ_REVIEW_STORE_TEST_H

#include <stdbool.h>
#include <stdint.h>

/* From now on writes that hold the text get no answer and are carried out after ms, if
 * their conditions hold then; text "": no longer. done is called for each of them. */
void store_lose_writes (const char *text, int64_t ms, void (*done) (bool carried_out));
/* The writes since that call, and those of them that were lost. */
void store_counts (int *writes, int *lost);

#endif
