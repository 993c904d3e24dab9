/*
 * Tickets with handover. One ticket of one workspace, issued by the first
 * incarnation on host A (OLD). NEW is a second incarnation on host A, SUCC is the
 * successor named in a planned stop. A caller presents the ticket RETRIES + 1
 * times; each attempt goes through any entry node to any of the three nodes,
 * because an entry node may hold an old or a new view of the directory.
 *
 * Calls, answers and handovers can be lost (dropped by the receiver's side),
 * delayed and reordered (a receiver takes any message of its channel, at any
 * time), and handovers duplicated (the message stays in the channel). An
 * execution pauses between the check and the run, and between the run and its
 * report, because other processes may take steps there. OLD and SUCC can crash.
 *
 * Faults that the broken variants define before including this file:
 *   FAULT_BOTH_ACCEPT        the stopping node goes on accepting after handover
 *   FAULT_INCARNATION        a new incarnation accepts tickets of the old one
 *   FAULT_LOST_CONNECTION    "not run" is said after a lost connection
 *   FAULT_CONNECT            "not run" is said because the owner is unreachable
 *   FAULT_FORGET             markers are dropped before their ticket expires
 *   FAULT_REACCEPT           a duplicated handover replaces the newer state
 *   FAULT_ACCEPTED_FORGOTTEN accepted handovers are forgotten after expiry
 *   FAULT_RUNNING_DROPPED    executions under way are left out of the handover
 *   FAULT_UNSENT_HANDOVER    the successor accepts without having got a handover
 */

#ifndef RETRIES
#define RETRIES 3
#endif

#define OLD 0
#define NEW 1
#define SUCC 2
#define NODES 3

#define UNUSED 0
#define RUNNING 1
#define RAN 2
#define MAYBE 3

bool alive[NODES];      /* the process exists */
bool holds[NODES];      /* holds the key and markers of OLD's tickets */
bool sealed[NODES];
bool closed[NODES];
bool expired[NODES];    /* expired by the clock this node uses to start tickets */
byte mark[NODES];       /* UNUSED, RUNNING, RAN or MAYBE */
bool took;              /* SUCC remembers the handover it accepted */
bool sent;              /* the handover is in the network */
byte handed;            /* marker in the handover */
bool handedExpired;     /* expiry by OLD's clock at the seal */

byte runs;              /* executions of the action at the upstream */
byte pending;           /* executions started and not yet run */

chan call[NODES] = [RETRIES + 1] of { byte };

#define accepts(n) (alive[n] && holds[n] && !sealed[n])

/* A marker may be dropped. */
#ifdef FAULT_FORGET
#define droppable(n) (mark[n] == RAN || mark[n] == MAYBE)
#else
#define droppable(n) (expired[n] && (mark[n] == RAN || mark[n] == MAYBE))
#endif

inline checkOneAcceptor() {
  assert(accepts(OLD) + accepts(NEW) + accepts(SUCC) <= 1)
}

/* Every place that tells the caller "not run" goes through here. */
inline sayNotRun() {
  assert(runs == 0 && pending == 0)
}

/* decide answers a call at node n; go is set if n must run it. */
inline decide(n, go) {
  go = false;
  if
  :: !alive[n] ->
#ifdef FAULT_CONNECT
    sayNotRun();
#endif
    skip /* the entry node answers may-have-run: an earlier attempt may have run */
  :: alive[n] && !accepts(n) -> skip /* elsewhere, or may-have-run */
  :: accepts(n) && mark[n] != UNUSED -> skip /* replay, wait, or the kept outcome */
  :: accepts(n) && mark[n] == UNUSED && expired[n] -> skip /* may-have-run, expired */
  :: accepts(n) && mark[n] == UNUSED && !expired[n] && closed[n] ->
    sayNotRun()
  :: accepts(n) && mark[n] == UNUSED && !expired[n] && !closed[n] ->
    mark[n] = RUNNING;
    pending++;
    go = true
  fi
}

/* server handles the calls that reach node n, one execution at a time. */
proctype server(byte n) {
  bool go;
end:
  do
  :: atomic {
      call[n]?[_] -> call[n]?_;
      decide(n, go)
    };
    if
    :: !go -> skip
    :: go ->
      /* The pause between check and run: a stop or crash may come here. */
      if
      :: atomic { alive[n] -> /* the upstream refuses: proof of not run */
          pending--;
          if
          :: mark[n] == RUNNING -> mark[n] = UNUSED; sayNotRun()
          :: else -> skip /* sealed meanwhile: handed over as may-have-run */
          fi
        }
      :: atomic { /* a crash does not recall what the upstream already has */
          runs++;
          pending--;
          assert(runs <= 1)
        };
        if
        :: atomic { alive[n] && mark[n] == RUNNING -> mark[n] = RAN }
        :: atomic { alive[n] && mark[n] == RUNNING -> mark[n] = MAYBE } /* answer broke off */
        :: atomic { !(alive[n] && mark[n] == RUNNING) -> skip }
        fi
      fi;
      go = false
    fi
  od
}

/* caller presents the ticket; an entry node forwards it to any of the nodes. */
proctype caller() {
  byte attempt;
  attempt = 0;
  do
  :: attempt <= RETRIES ->
    attempt++;
    if
    :: call[OLD]!0
    :: call[NEW]!0
    :: call[SUCC]!0
    :: skip /* the call is lost on the way: may-have-run */
    fi;
    if
    :: skip /* the answer comes, or the caller goes on without it */
    :: atomic { /* the connection of the entry node breaks after the call was sent */
#ifdef FAULT_LOST_CONNECTION
        sayNotRun();
#endif
        skip
      }
    fi
  :: attempt > RETRIES -> break
  od
}

/* stop is the planned stop of OLD: close, then seal with or without waiting. */
proctype stop() {
end_close:
  atomic { accepts(OLD) -> closed[OLD] = true };
end_seal:
  atomic {
    accepts(OLD) ->
#ifdef FAULT_RUNNING_DROPPED
    handed = (mark[OLD] == RUNNING -> UNUSED : mark[OLD]);
#else
    handed = (mark[OLD] == RUNNING -> MAYBE : mark[OLD]);
    mark[OLD] = handed;
#endif
    handedExpired = expired[OLD];
#ifdef FAULT_BOTH_ACCEPT
    closed[OLD] = false;
#else
    sealed[OLD] = true;
#endif
    sent = true
  }
}

/* network delivers the handover to SUCC at any time, any number of times. */
proctype network() {
end:
  do
#ifdef FAULT_UNSENT_HANDOVER
  :: atomic { alive[SUCC] && !took -> took = true; holds[SUCC] = true; checkOneAcceptor() }
#endif
  :: atomic {
      sent && alive[SUCC] ->
      if
#ifdef FAULT_REACCEPT
      :: true ->
#else
      :: !took ->
#endif
        took = true;
        holds[SUCC] = true;
        mark[SUCC] = handed;
        expired[SUCC] = handedExpired;
        checkOneAcceptor()
#ifndef FAULT_REACCEPT
      :: took -> skip
#endif
      fi
    }
  :: atomic { sent -> sent = false } /* the last copy is lost */
  od
}

/* clocks lets tickets expire; a marker is dropped only after that. */
proctype clocks() {
end:
  do
  :: atomic { !expired[OLD] -> expired[OLD] = true }
  :: atomic { holds[SUCC] && !expired[SUCC] -> expired[SUCC] = true }
  :: atomic { droppable(OLD) -> mark[OLD] = UNUSED }
  :: atomic { droppable(SUCC) -> mark[SUCC] = UNUSED }
#ifdef FAULT_ACCEPTED_FORGOTTEN
  :: atomic {
      took && expired[SUCC] && mark[SUCC] != RUNNING ->
      took = false;
      holds[SUCC] = false;
      mark[SUCC] = UNUSED
    }
#endif
  od
}

/* crash ends OLD or SUCC; all their state is lost. */
proctype crash() {
end:
  do
  :: atomic { alive[OLD] -> alive[OLD] = false; holds[OLD] = false; mark[OLD] = UNUSED }
  :: atomic { alive[SUCC] -> alive[SUCC] = false; holds[SUCC] = false; mark[SUCC] = UNUSED }
  od
}

/* restart brings up the new incarnation once the old process has ended. */
proctype restart() {
end:
  atomic {
    !alive[OLD] ->
    alive[NEW] = true;
#ifdef FAULT_INCARNATION
    holds[NEW] = true;
#endif
    checkOneAcceptor()
  }
}

init {
  atomic {
    alive[OLD] = true;
    holds[OLD] = true;
    alive[SUCC] = true;
    run server(OLD);
    run server(NEW);
    run server(SUCC);
    run caller();
    run stop();
    run network();
    run clocks();
    run crash();
    run restart()
  }
}
