/* The stopping node goes on accepting after it has handed over. It must be rejected. */
#define FAULT_BOTH_ACCEPT
#include "tickets.inc.pml"
