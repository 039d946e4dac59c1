/* grant.inc with hosts that crash and restart.

   Mutants, each of which must fail:
     NO_READBACK  a host relies on a claim that it has not read back from the log
     SAME_INC     a restarted host keeps its incarnation
     NO_VOID      a claim that overlaps the last valid one is treated as valid
     EARLY_NO     "not run" is reported for a key time that may still be granted */

#define MAXLOG 4
#define CRASHES
#include "grant.inc"
