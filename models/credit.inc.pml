/*
 * Credit, shares, epochs, reclaim and fresh evidence (docs/design.md, 6.2 and
 * 6.4) with one share, three nodes that are also the panel, and a borrower.
 * Each step is atomic. Loss is a step that never happens, delay a step that
 * happens after ticks (a read of the log has none), and a pause is a node that takes no step. Timers count
 * down per tick, so that no absolute time is kept.
 *
 * A variant defines one fault and includes this file.
 */
#ifndef N
#define N       3
#endif
#define F       2       /* ticks of evidence */
#define TERM    3       /* ticks of credit */
#define B       2       /* burst; the rate is one call per tick */
#ifndef RECORDS
#define RECORDS 2       /* share records after the first */
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef LOANS
#define LOANS   1
#endif
#ifndef LENDING
#define LENDING 1
#endif
#ifndef PROBES
#define PROBES 1
#endif

#define majority(mask) ((((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1)) >= 2)
#define bit(n) (1 << (n))

byte log = 0;                   /* last record in the log */
byte owner[RECORDS + 1];
bool gone[RECORDS + 1];         /* the incarnation that the record names has crashed */

byte folded[N];
bool counted[N];
byte evid[N];                   /* ticks of evidence left */
byte prov[N]; byte prom[N]; byte proh[N]; /* probe round: validity, answers, highest offset */
byte acks[N]; byte wait[N];     /* acknowledgements of the record that makes n holder */
bool in_force[N];
byte lvl[N]; byte rsv[N];       /* level; ticks for which the predecessor's credit counts as out */
bool ready[N];                  /* a call was checked and not yet sent (fault PAUSE only) */

byte st[LOANS];                 /* 0 free, 1 asked, 2 granted, 3 held, 4 returned */
byte bt[LOANS]; byte amt[LOANS];/* borrower: ticks left, credit left */
byte ot[LOANS]; byte oam[LOANS]; byte from[LOANS]; /* holder: ticks, credit out */

byte bucket = B;                /* what rate x T + B still allows; the exact check of every window */
byte crashes = 0;
byte n; byte m; byte k; byte x;

#define holder(i) (owner[folded[i]] == (i) && !gone[folded[i]])
#define can_use(i) (holder(i) && in_force[i] && evid[i] > 0)
#define one_user() \
    assert(!(can_use(0) && can_use(1)) && !(N > 2 && (can_use(1) || can_use(0)) && can_use(N - 1)))

inline use() { assert(bucket > 0); bucket-- }

/* out sets x to the credit that node i counts as out. */
inline out(i) {
    x = (rsv[i] > 0 -> B : 0);
    k = 0;
    do
    :: k < LOANS -> x = x + ((ot[k] > 0 && from[k] == i) -> oam[k] : 0); k++
    :: else -> k = 0; break
    od
}

inline drop_loans(i) {
    k = 0;
    do
    :: k < LOANS ->
        if
        :: from[k] == i -> ot[k] = 0; oam[k] = 0
        :: else
        fi;
        k++
    :: else -> k = 0; break
    od
}

inline fold(i, to) {
    if
    :: folded[i] < to ->
        x = folded[i];
        folded[i] = to;
        acks[i] = 0; wait[i] = 0;
        if
#ifndef SKIPPED
        /* Another node may have held the share in a record that was skipped. */
        :: in_force[i] && (!holder(i) || to > x + 1) ->
#else
        :: in_force[i] && !holder(i) ->
#endif
             in_force[i] = false; lvl[i] = 0; rsv[i] = 0; drop_loans(i)
        :: else
        fi;
        x = 0
    :: else
    fi
}

inline activate(i) {
    in_force[i] = true; lvl[i] = 0; acks[i] = 0; wait[i] = 0;
#ifndef NO_RESERVE
    rsv[i] = (LENDING -> TERM : 0)
#else
    rsv[i] = 0
#endif
}

inline tick() {
    n = 0;
    do
    :: n < N ->
        out(n);
        if
        :: LENDING && in_force[n] && lvl[n] + x < B -> lvl[n]++
        :: else
        fi;
        evid[n] = (evid[n] > 0 -> evid[n] - 1 : 0);
        prov[n] = (prov[n] > 0 -> prov[n] - 1 : 0);
        if
        :: prov[n] == 0 -> prom[n] = 0; proh[n] = 0
        :: else
        fi;
        wait[n] = (wait[n] > 1 -> wait[n] - 1 : wait[n]);
        rsv[n] = (LENDING && rsv[n] > 0 -> rsv[n] - 1 : 0);
        n++
    :: else -> n = 0; break
    od;
    do
    :: k < LOANS ->
        bt[k] = (bt[k] > 0 -> bt[k] - 1 : 0);
        ot[k] = (ot[k] > 0 -> ot[k] - 1 : 0);
        if
        :: ot[k] == 0 -> oam[k] = 0
        :: else
        fi;
#ifndef LATE_DATE
        if
        :: bt[k] == 0 && st[k] != 4 -> st[k] = 0; amt[k] = 0
        :: else
        fi;
#else
        if
        :: bt[k] == 0 && st[k] == 3 -> st[k] = 0; amt[k] = 0
        :: else
        fi;
#endif
        k++
    :: else -> k = 0; break
    od;
    bucket = (bucket < B -> bucket + 1 : B)
}

inline crash(i) {
    crashes++;
    x = 0;
    do
    :: x <= log -> gone[x] = gone[x] || owner[x] == i; x++
    :: else -> x = 0; break
    od;
    folded[i] = 0; counted[i] = false; evid[i] = 0;
    prov[i] = 0; prom[i] = 0; proh[i] = 0; acks[i] = 0; wait[i] = 0;
    in_force[i] = false; lvl[i] = 0; rsv[i] = 0; ready[i] = false;
    drop_loans(i)
}

/* At once after an earlier incarnation on the same host only if that one had
 * the share from the first record on: otherwise nobody knows whether its own
 * predecessor had stopped. */
#ifndef SAME_HOST
#define restarted(i) (folded[i] == 1 && owner[1] == (i) && owner[0] == (i) && gone[0])
#else
#define restarted(i) (folded[i] > 0 && owner[folded[i]] == (i) && owner[folded[i] - 1] == (i) && gone[folded[i] - 1])
#endif

active proctype system() {
    atomic {
        owner[0] = 0; in_force[0] = true;
        counted[0] = true; counted[1] = true; counted[N - 1] = true
    }
end:
    do
    :: atomic { tick(); one_user() }

    :: atomic { log < RECORDS -> log++;
        if
        :: owner[log] = 0
        :: owner[log] = 1
        :: N > 2 -> owner[log] = N - 1
        fi }
    :: atomic { crashes < CRASHES ->
        if
        :: crash(0)
        :: crash(1)
        :: N > 2 -> crash(N - 1)
        fi }

    /* one node's own steps */
    :: atomic {
        if
        :: n = 0
        :: n = 1
        :: N > 2 -> n = N - 1
        fi;
        if
        :: log <= RECORDS -> fold(n, log); counted[n] = true; evid[n] = F
        :: PROBES && n == 0 && prov[n] == 0 -> prov[n] = F; proh[n] = folded[n]; prom[n] = (counted[n] -> bit(n) : 0)
        :: prov[n] > 0 && proh[n] > folded[n] -> fold(n, proh[n])
        :: prov[n] > 0 && majority(prom[n]) && folded[n] >= proh[n] ->
#ifdef LATE_EVIDENCE
            evid[n] = F;
#else
            evid[n] = (evid[n] > prov[n] -> evid[n] : prov[n]);
#endif
            prov[n] = 0; prom[n] = 0; proh[n] = 0
#ifdef COUNT_AFTER_CATCH_UP
        :: !counted[n] && counted[0] -> fold(n, folded[0]); counted[n] = true
#endif
        :: holder(n) && !in_force[n] && wait[n] == 0 && majority(acks[n]) -> acks[n] = 0;
#ifdef NO_WAIT
            wait[n] = 1
#else
            wait[n] = F + 1
#endif
        :: holder(n) && !in_force[n] && wait[n] == 1 -> activate(n)
        :: holder(n) && !in_force[n] && restarted(n) -> activate(n)
#ifdef AT_ONCE
        :: holder(n) && !in_force[n] -> activate(n)
#endif
#ifdef PAUSE
        :: can_use(n) && lvl[n] > 0 && !ready[n] -> lvl[n]--; ready[n] = true
        :: ready[n] -> ready[n] = false; use()
#else
        :: can_use(n) && lvl[n] > 0 -> lvl[n]--; use()
#endif
        :: else
        fi;
        one_user(); n = 0 }

    /* member m answers node n: a probe, or with an acknowledgement */
    :: atomic {
        if
        :: n = 0
        :: n = 1
        :: N > 2 -> n = N - 1
        fi;
        if
        :: m = 0
        :: m = 1
        :: N > 2 -> m = N - 1
        fi;
        if
        :: counted[m] && n != m && prov[n] > 0 -> prom[n] = prom[n] | bit(m);
            proh[n] = (proh[n] > folded[m] -> proh[n] : folded[m])
        :: counted[m] && holder(n) && !in_force[n] && wait[n] == 0 && folded[m] >= folded[n] ->
            acks[n] = acks[n] | bit(m)
        :: else
        fi;
        n = 0; m = 0 }

    /* loans */
    :: atomic {
#if LOANS > 1
        if
        :: k = 0
        :: k = 1
        fi;
#endif
        if
        :: LENDING && st[k] == 0 && ot[k] == 0 -> st[k] = 1; bt[k] = TERM
        :: st[k] == 1 ->
            if
            :: n = 0
            :: n = 1
            :: N > 2 -> n = N - 1
            fi;
            if
            :: can_use(n) && lvl[n] > 0 && ot[k] == 0 ->
                if
                :: x = 1
                :: x = lvl[n]
                fi;
                lvl[n] = lvl[n] - x; amt[k] = x; oam[k] = x; from[k] = n; ot[k] = TERM; st[k] = 2
            :: else
            fi;
            n = 0
        :: st[k] == 2 -> st[k] = 3;
#ifdef LATE_DATE
            bt[k] = TERM
#endif
        :: st[k] == 3 && amt[k] > 0 -> amt[k]--; use()
        :: st[k] == 3 && ot[k] > 0 && oam[k] > amt[k] -> oam[k] = amt[k] /* reported */
        :: st[k] == 3 && amt[k] > 0 -> st[k] = 4
#ifdef CREDIT_FIRST
        :: st[k] == 4 && amt[k] > 0 && bt[k] > 0 -> amt[k]--; use()
#endif
        :: st[k] == 4 -> /* arrives in time, or after the credit counted as used */
            if
            :: ot[k] > 0 -> lvl[from[k]] = lvl[from[k]] + (oam[k] < amt[k] -> oam[k] : amt[k])
            :: else
            fi;
            st[k] = 0; amt[k] = 0; bt[k] = 0; oam[k] = 0; ot[k] = 0
        :: st[k] == 4 -> st[k] = 0; amt[k] = 0; bt[k] = 0 /* lost */
        :: else
        fi;
        k = 0; x = 0 }
    od
}
