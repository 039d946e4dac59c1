/* grant.inc with hosts that crash and come back.

   Mutants, each of which must fail:
     NO_READBACK  a host trusts a claim that it has not read back
     SAME_INC     a host that comes back keeps its incarnation
     NO_VOID      a claim that overlaps the last valid one is taken for valid
     EARLY_NO     "not run" is said of a key time that is still open */

#define MAXLOG 4
#define CRASHES
#include "grant.inc"
