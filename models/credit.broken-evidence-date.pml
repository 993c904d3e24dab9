/* Fault: evidence is dated from the time when the majority is complete instead of the
   time when the probes were sent. */
#define LENDING 0
#define RECORDS 1
#define FAULT_LATE_EVIDENCE
#include "credit.inc.pml"
