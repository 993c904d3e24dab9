/* Fault: a call is charged when it is checked, and may be sent any time later. */
#define NODES 2
#define PROBES 0
#define RECORDS 1
#define CRASHES 0
#define FAULT_PAUSE
#include "credit.inc.pml"
