/* Fault: markers are removed before their ticket has expired. The checker must reject
   it. */
#define FAULT_FORGET
#include "tickets.inc.pml"
