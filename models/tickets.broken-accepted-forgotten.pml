/* The successor forgets which handovers it accepted once their tickets expired. It must be rejected. */
#define FAULT_ACCEPTED_FORGOTTEN
#include "tickets.inc.pml"
