/* Fault: markers are removed before their ticket has expired. */
#define FAULT_FORGET
#include "tickets.inc.pml"
