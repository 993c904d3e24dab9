/* A successor does not wait F after the majority has acknowledged. */
#define LENDING 0
#define RECORDS 1
#define NO_WAIT
#include "credit.inc.pml"
