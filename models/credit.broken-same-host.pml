/* A restarted holder starts at once although its predecessor may not have been in force. */
#define LENDING 0
#define PROBES 0
#define SAME_HOST
#include "credit.inc.pml"
