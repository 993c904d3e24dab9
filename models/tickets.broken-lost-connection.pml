/* Fault: an entry node reports "not run" after it lost the connection. */
#define FAULT_LOST_CONNECTION
#include "tickets.inc.pml"
