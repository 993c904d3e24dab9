/* Fault: a holder uses a share as soon as it has folded the record that assigns it,
   without acknowledgements of a majority. */
#define LENDING 0
#define RECORDS 1
#define FAULT_NO_MAJORITY
#include "credit.inc.pml"
