/* Fault: the successor ignores credit that its predecessor has lent. */
#define NODES 3
#define PROBES 0
#define RECORDS 1
#define CRASHES 0
#define FAULT_NO_RESERVE
#include "credit.inc.pml"
