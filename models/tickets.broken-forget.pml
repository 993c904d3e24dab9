/* Markers are dropped before their ticket expires. It must be rejected. */
#define FAULT_FORGET
#include "tickets.inc.pml"
