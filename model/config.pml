/* Configuration on the log: racing operators, snapshots, late starters, and agents
   that follow entries over links.

   One document. An amendment carries the version that it was made from and is
   accepted by every reader exactly if that is the current version in log order.

   Checked: no process goes back to an older version; every reader that has seen a
   record gives it the verdict that the whole log gives it; one winner for each
   version that amendments were made from.

   Mutants, each of which must fail:
     NO_BASE     amendments are accepted whatever they were made from
     STALE_SNAP  a late starter takes a snapshot that does not cover what it missed
     NO_LOST     a reader that the retention passed goes on as if nothing was missed
     ANY_VERSION an agent takes any version that it is sent */

#define MAXLOG 4
#define READERS 2
#define NOVERSION 0      /* versions are offsets plus one */

mtype = { none, amend, snap };

mtype kind[MAXLOG];
byte base[MAXLOG];       /* amend: made from; snap: version */
byte cover[MAXLOG];      /* snap: number of records covered */
bool truth[MAXLOG];      /* the verdict in log order */
byte nlog = 0;
byte first = 0;
byte current = NOVERSION;/* by the whole log */
byte won[MAXLOG + 1];    /* winners by the version they were made from */

byte version[READERS];   /* in force at each entry */
byte agent_version = NOVERSION;
byte crashes = 0;

inline judge(i) {
  if
#ifdef NO_BASE
  :: true ->
#else
  :: base[i] == mine ->
#endif
     assert(truth[i]); assert(i + 1 > mine); mine = i + 1
  :: else -> assert(!truth[i])
  fi
}

proctype entry(byte id) {
  byte pos, need, mine, j;
  bool based;

  d_step { pos = first; need = first; based = (first == 0); mine = NOVERSION }
  do
  :: d_step { pos < nlog ->
       if
       :: pos < first ->
#ifndef NO_LOST
          based = false;
#endif
          pos = first; need = first
       :: pos >= first && kind[pos] == amend ->
          if :: based -> judge(pos) :: else -> skip fi;
          pos++
       :: pos >= first && kind[pos] == snap ->
          if
#ifdef STALE_SNAP
          :: !based ->
#else
          :: !based && cover[pos] >= need ->
#endif
             assert(base[pos] >= mine);
             mine = base[pos]; based = true;
             j = cover[pos];
             if :: j < need -> j = need :: else -> skip fi; /* what was missed is gone */
             do
             :: j < pos -> if :: kind[j] == amend -> judge(j) :: else -> skip fi; j++
             :: else -> break
             od;
             j = 0
          :: else -> skip
          fi;
          pos++
       fi;
       assert(mine >= version[id]);
       version[id] = mine }
  :: d_step { based && nlog < MAXLOG && mine > 0 -> /* snapshot */
       kind[nlog] = snap; base[nlog] = mine; cover[nlog] = pos; nlog++ }
  :: d_step { crashes < 1 -> /* replaced by a new process that knows nothing */
       crashes++; mine = NOVERSION; version[id] = NOVERSION;
       pos = first; need = first; based = (first == 0) }
  od
}

/* operator amends what it sees in force at an entry, after any pause. */
proctype operator(byte id) {
  byte from;
  from = version[id];
  d_step { nlog < MAXLOG ->
    kind[nlog] = amend; base[nlog] = from;
    truth[nlog] = (from == current);
#ifdef NO_BASE
    truth[nlog] = true;
#endif
    if
    :: truth[nlog] -> won[from]++; assert(won[from] <= 1); current = nlog + 1
    :: else -> skip
    fi;
    nlog++ }
}

proctype agent() {
  byte got;
  do
  :: atomic { if :: got = version[0] :: got = version[1] fi } /* sent, and read later */
     d_step {
#ifdef ANY_VERSION
       if :: true ->
#else
       if :: got > agent_version ->
#endif
          assert(got >= agent_version); agent_version = got
       :: else -> skip
       fi }
  od
}

proctype log() {
  do
  :: d_step { first < nlog -> first++ }
  od
}

init {
  atomic {
    run entry(0); run entry(1); run operator(0); run operator(1);
    run agent(); run log()
  }
}
