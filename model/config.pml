/* Configuration on the log: operators that amend concurrently, snapshots, readers that
   start late, and agents that receive the configuration from entries over links.

   The model has one document. An amendment names the version that it is based on. Every
   reader accepts the amendment if and only if that is the current version in log order.

   Checked: no process returns to an older version; a reader that has read a record gives
   it the same verdict as a reader of the whole log; of the amendments based on the same
   version, at most one is accepted.

   Mutants, each of which must fail:
     NO_BASE     amendments are accepted whatever version they are based on
     STALE_SNAP  a late reader restores a snapshot that does not cover the records it missed
     NO_LOST     a reader continues although retention removed records that it has not read
     ANY_VERSION an agent accepts any version that it receives */

#define MAXLOG 4
#define READERS 2
#define NO_VERSION 0 /* a version is the offset of its amendment plus one */

mtype = { none, amendment, snapshot };

mtype kind[MAXLOG];
byte base[MAXLOG];             /* amendment: base version; snapshot: its version */
byte covers[MAXLOG];           /* snapshot: number of records covered */
bool verdict[MAXLOG];          /* whether an amendment is accepted in log order */
byte log_length = 0;
byte first = 0;                /* retention has removed the records before it */
byte log_version = NO_VERSION; /* the version after the whole log */
byte winners[MAXLOG + 1];      /* number of accepted amendments by base version */

byte version[READERS]; /* the version in force at each entry */
byte agent_version = NO_VERSION;
byte crashes = 0;

inline apply_amendment(i) {
  if
#ifdef NO_BASE
  :: true ->
#else
  :: base[i] == local_version ->
#endif
     assert(verdict[i]); assert(i + 1 > local_version); local_version = i + 1
  :: else -> assert(!verdict[i])
  fi
}

proctype entry(byte id) {
  byte pos, required, local_version, j;
  bool initialized;

  d_step { pos = first; required = first; initialized = (first == 0); local_version = NO_VERSION }
  do
  :: d_step { pos < log_length ->
       if
       :: pos < first ->
#ifndef NO_LOST
          initialized = false;
#endif
          pos = first; required = first
       :: pos >= first && kind[pos] == amendment ->
          if :: initialized -> apply_amendment(pos) :: else -> skip fi;
          pos++
       :: pos >= first && kind[pos] == snapshot ->
          if
#ifdef STALE_SNAP
          :: !initialized ->
#else
          :: !initialized && covers[pos] >= required ->
#endif
             assert(base[pos] >= local_version);
             local_version = base[pos]; initialized = true;
             j = covers[pos];
             if :: j < required -> j = required :: else -> skip fi; /* the missed records are gone */
             do
             :: j < pos -> if :: kind[j] == amendment -> apply_amendment(j) :: else -> skip fi; j++
             :: else -> break
             od;
             j = 0
          :: else -> skip
          fi;
          pos++
       fi;
       assert(local_version >= version[id]);
       version[id] = local_version }
  :: d_step { initialized && log_length < MAXLOG && local_version > 0 -> /* append a snapshot */
       kind[log_length] = snapshot; base[log_length] = local_version; covers[log_length] = pos; log_length++ }
  :: d_step { crashes < 1 -> /* replaced by a new process without state */
       crashes++; local_version = NO_VERSION; version[id] = NO_VERSION;
       pos = first; required = first; initialized = (first == 0) }
  od
}

/* operator amends the version in force at an entry; any time may pass in between. */
proctype operator(byte id) {
  byte base_version;
  base_version = version[id];
  d_step { log_length < MAXLOG ->
    kind[log_length] = amendment; base[log_length] = base_version;
    verdict[log_length] = (base_version == log_version);
#ifdef NO_BASE
    verdict[log_length] = true;
#endif
    if
    :: verdict[log_length] -> winners[base_version]++; assert(winners[base_version] <= 1); log_version = log_length + 1
    :: else -> skip
    fi;
    log_length++ }
}

proctype agent() {
  byte received;
  do
  :: atomic { if :: received = version[0] :: received = version[1] fi } /* sent now, applied later */
     d_step {
#ifdef ANY_VERSION
       if :: true ->
#else
       if :: received > agent_version ->
#endif
          assert(received >= agent_version); agent_version = received
       :: else -> skip
       fi }
  od
}

proctype log() {
  do
  :: d_step { first < log_length -> first++ }
  od
}

init {
  atomic {
    run entry(0); run entry(1); run operator(0); run operator(1);
    run agent(); run log()
  }
}
