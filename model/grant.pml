/* At most once by granted key time, for one range of keys and one key.

   A log of grants and snapshots, with retention. Hosts read it record by record,
   with any pause between two steps, crash and come back under a new incarnation,
   and append records that are lost, or land late, or land after the crash.

   Checked: the key starts at most once; "not run" is said only of a key that never
   starts.

   Mutants, each of which must fail:
     NO_READBACK  a host trusts a claim that it has not read back
     SAME_INC     a host that comes back keeps its incarnation
     NO_VOID      a claim that overlaps the last valid one is taken for valid
     STALE_SNAP   a reader takes over a snapshot that does not cover what it missed
     NO_LOST      a reader that the retention passed goes on as if nothing was missed
     EARLY_NO     "not run" is said of a key time that is still open */

#ifndef MAXLOG
#define MAXLOG 4
#endif
#define HOSTS 2
#define NOBODY 0

mtype = { none, claim, snap };

mtype kind[MAXLOG];
byte who[MAXLOG];      /* claim: incarnation; snap: holder of the key */
byte low[MAXLOG];      /* claim: from; snap: end of the last valid claim */
byte high[MAXLOG];     /* claim: until; snap: number of records covered */
byte nlog = 0;
byte first = 0;        /* records before it have aged out */

mtype fkind;           /* an append on its way */
byte fwho;
byte flow;
byte fhigh;

#define key 1          /* the key's time */
byte next_inc = 1;
byte starts = 0;
byte crashes = 0;
byte snaps = 0;
bool said_no = false;

inline apply(i) {
  if
#ifdef NO_VOID
  :: true ->
#else
  :: low[i] >= end ->
#endif
     end = high[i];
     if
     :: key >= low[i] && key < high[i] -> holder = who[i]
     :: else -> skip
     fi
  :: else -> skip
  fi
}

inline fly(k, w, l, h) { fkind = k; fwho = w; flow = l; fhigh = h }

proctype host() {
  byte inc, pos, need, end, holder, j, width;
  bool based, started;

  d_step { inc = next_inc; next_inc++; pos = first; need = first; based = (first == 0) }
  do
  :: d_step { pos < nlog -> /* read one record */
       if
       :: pos < first ->
#ifndef NO_LOST
          based = false;
#endif
          pos = first; need = first
       :: pos >= first && kind[pos] == claim ->
          if :: based -> apply(pos) :: else -> skip fi;
          pos++
       :: pos >= first && kind[pos] == snap ->
          if
#ifdef STALE_SNAP
          :: !based ->
#else
          :: !based && high[pos] >= need ->
#endif
             end = low[pos]; holder = who[pos]; based = true;
             j = high[pos];
             do
             :: j < pos -> if :: kind[j] == claim -> apply(j) :: else -> skip fi; j++
             :: else -> break
             od;
             j = 0
          :: else -> skip
          fi;
          pos++
       fi }
  :: atomic { based && end <= key && nlog < MAXLOG && fkind == none -> /* claim from the end on */
     if :: width = 1 :: width = 2 fi;
     d_step {
       fly(claim, inc, end, end + width);
#ifdef NO_READBACK
       if :: key >= end && key < end + width -> holder = inc :: else -> skip fi;
#endif
       width = 0 } }
  :: d_step { based && nlog < MAXLOG && end > 0 && snaps < 1 && fkind == none -> snaps++; fly(snap, holder, end, pos) }
  :: d_step { based && holder == inc && !started -> /* the submission is here */
       started = true; starts++; assert(starts <= 1); assert(!said_no) }
#ifdef EARLY_NO
  :: d_step { based && holder == NOBODY && !said_no -> said_no = true; assert(starts == 0) }
#else
  :: d_step { based && key < end && holder == NOBODY && !said_no -> said_no = true; assert(starts == 0) }
#endif
  :: d_step { crashes < 1 ->
       crashes++; started = false; end = 0; holder = NOBODY;
#ifndef SAME_INC
       inc = next_inc; next_inc++;
#endif
       pos = first; need = first; based = (first == 0) }
  od
}

proctype log() {
  do
  :: d_step { fkind != none && nlog < MAXLOG ->
       kind[nlog] = fkind; who[nlog] = fwho; low[nlog] = flow; high[nlog] = fhigh; nlog++;
       fkind = none; fwho = 0; flow = 0; fhigh = 0 }
  :: d_step { fkind != none -> fkind = none; fwho = 0; flow = 0; fhigh = 0 } /* lost */
  :: d_step { first < nlog -> first++ }
  od
}

init {
  atomic {
    fkind = none;
    run host(); run host(); run log()
  }
}
