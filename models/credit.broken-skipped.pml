/* A holder that folds two records at once goes on although another node held the share in between. */
#define LENDING 0
#define PROBES 0
#define SKIPPED
#include "credit.inc.pml"
