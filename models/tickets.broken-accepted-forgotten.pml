/* Fault: the successor forgets which handovers it has accepted once their tickets have
   expired. */
#define FAULT_ACCEPTED_FORGOTTEN
#include "tickets.inc.pml"
