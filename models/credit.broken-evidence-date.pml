/* Evidence is dated from when the majority is complete. */
#define LENDING 0
#define RECORDS 1
#define LATE_EVIDENCE
#include "credit.inc.pml"
