/* Fault: a restarted holder uses its share immediately, although its predecessor may
   not have been in force. */
#define LENDING 0
#define PROBES 0
#define FAULT_SAME_HOST
#include "credit.inc.pml"
