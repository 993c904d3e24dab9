/* A new incarnation on the same host accepts tickets of the old one. It must be rejected. */
#define FAULT_INCARNATION
#include "tickets.inc.pml"
