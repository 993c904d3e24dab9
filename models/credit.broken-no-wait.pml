/* Fault: the successor does not wait until evidence has lapsed at all other nodes after
   a majority has acknowledged the record. */
#define LENDING 0
#define RECORDS 1
#define FAULT_NO_WAIT
#include "credit.inc.pml"
