/* A reclaimed share is in force as soon as its record is folded. */
#define LENDING 0
#define RECORDS 1
#define AT_ONCE
#include "credit.inc.pml"
