/* Fault: a new incarnation on the same host accepts tickets of the previous one. */
#define FAULT_INCARNATION
#include "tickets.inc.pml"
