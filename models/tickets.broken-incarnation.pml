/* Fault: a new incarnation on the same host accepts tickets of the previous one. The
   checker must reject it. */
#define FAULT_INCARNATION
#include "tickets.inc.pml"
