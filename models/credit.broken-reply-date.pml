/* Fault: credit is dated from the arrival of the answer instead of the request. */
#define NODES 2
#define PROBES 0
#define RECORDS 1
#define CRASHES 0
#define FAULT_LATE_CREDIT
#include "credit.inc.pml"
