/* An entry node says "not run" after it lost a connection. It must be rejected. */
#define FAULT_LOST_CONNECTION
#include "tickets.inc.pml"
