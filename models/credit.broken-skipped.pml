/* Fault: a holder that folds two records in one step continues to use its share,
   although another node may have held it in between. */
#define LENDING 0
#define PROBES 0
#define FAULT_SKIPPED_RECORD
#include "credit.inc.pml"
