/* The ticket protocol as implemented in internal/ticket. */
#include "tickets.inc.pml"
