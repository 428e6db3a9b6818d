/*
 * Pooled shares of a customer's allowance (docs/design/allowances.md).
 *
 * Three entries hold one share each. An entry uses its own share and those of the peers that it is in
 * touch with, and is charged with what they report. Checks that all entries together never spend more
 * than the burst, what accrues, and one request for each entry and each restart.
 *
 * Time is abstracted: a peer may be taken for silent at any moment; a Tick accrues one token for each
 * share. Reports within a group of the network arrive at any time or never; a process that is frozen
 * takes no step. All requests cost one token; spending ahead of acknowledgements is limited to one.
 */
#define ENTRIES 3
#ifndef SHARE
#define SHARE 1 /* burst of one share */
#endif
#ifndef DROPS
#define DROPS 1
#endif
#ifndef TICKS
#define TICKS 0
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif
#ifndef CUTS
#define CUTS 1
#endif

typedef Entry {
    bit incarnation;
    short level;
    byte spent;                   /* by this incarnation */
    bool pooled[ENTRIES];
    byte known[ENTRIES];          /* incarnation + 1 of the peer; 0: never heard */
    byte charged[ENTRIES];        /* what the peer had spent when it was last pooled */
    byte credit[ENTRIES];         /* what a dropped peer took along and has accrued */
    bool behind[ENTRIES];         /* the peer has not acknowledged all that was spent */
    bool newest[ENTRIES];         /* the peer has spent nothing since it was heard */
    bool fresh[ENTRIES];          /* the peer was heard since it last dropped this entry */
};

Entry entry[ENTRIES];
byte group[ENTRIES];              /* entries in one group reach each other */
byte total = 0;
byte accrued = 0;
byte drops = 0;
byte restarts = 0;
byte cuts = 0;

#define ME entry[i]
#define PEER entry[j]
#define USED(x) (1 + x.pooled[0] + x.pooled[1] + x.pooled[2])
#define BEHIND(x) ((x.pooled[0] && x.behind[0]) || (x.pooled[1] && x.behind[1]) || (x.pooled[2] && x.behind[2]))
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define MIN(a, b) ((a) < (b) -> (a) : (b))

inline checkBound() {
    assert(total <= ENTRIES * SHARE + ENTRIES * accrued + ENTRIES + restarts)
}

/* The level goes down by the dropped share, but what the peer has not heard of stays. */
inline drop(i, j) {
    if
    :: ME.pooled[j] ->
        unheard = BEHIND(ME);
        ME.credit[j] = MAX(ME.level, 0) / USED(ME);
#ifndef BROKEN_SILENCE_KEEPS_SHARE
        if
        :: ME.level + unheard >= 0 -> ME.level = (ME.level + unheard) * (USED(ME) - 1) / USED(ME) - unheard
        :: else -> skip
        fi;
#endif
        ME.pooled[j] = false;
        ME.behind[j] = false;
        PEER.fresh[i] = false;
        unheard = 0
    :: else -> skip
    fi
}

inline spend(i) {
#ifdef BROKEN_NO_LIMIT_AHEAD
    ME.level > 0 ->
#else
    ME.level > 0 && !BEHIND(ME) ->
#endif
    ME.level--;
    ME.spent++;
    total++;
    for (k : 0 .. ENTRIES - 1) {
        ME.behind[k] = ME.pooled[k];
        entry[k].newest[i] = false
    }
    k = 0
}

inline silence(i, j) {
    i != j && ME.pooled[j] && drops < DROPS ->
    drops++;
    drop(i, j)
}

inline join(i, j) {
    ME.pooled[j] = true;
    ME.level = ME.level - MAX(PEER.spent - ME.charged[j] - ME.credit[j], 0);
    ME.charged[j] = PEER.spent;
    ME.credit[j] = 0
}

/* Entry i takes in the newest report of entry j. */
inline hear(i, j) {
    if
    :: ME.known[j] == 0 -> ME.charged[j] = PEER.spent /* spent before it was met */
    :: ME.known[j] == 2 - PEER.incarnation ->
        drop(i, j);
        ME.charged[j] = 0;
        ME.credit[j] = 0
    :: else -> skip
    fi;
    ME.known[j] = 1 + PEER.incarnation;
    ME.newest[j] = true;
    ME.fresh[j] = true;
    if
    :: ME.pooled[j] ->
        ME.level = ME.level - (PEER.spent - ME.charged[j]);
        ME.charged[j] = PEER.spent
    :: else -> skip
    fi;
    if
    :: PEER.known[i] == 1 + ME.incarnation && PEER.fresh[i] ->
        if
        :: ME.pooled[j] && PEER.newest[i] -> ME.behind[j] = false
        :: !ME.pooled[j] -> join(i, j)
        :: else -> skip
        fi
    :: else -> skip
    fi
}

/* A report reaches all entries of the group. */
inline report(j) {
    for (i : 0 .. ENTRIES - 1) {
        if
        :: i != j && group[i] == group[j] -> hear(i, j)
        :: else -> skip
        fi
    }
}

inline restart(i) {
    restarts < RESTARTS && ME.incarnation == 0 ->
    restarts++;
    ME.incarnation = 1;
#ifdef BROKEN_RESTART_KEEPS_BUCKET
    ME.level = ENTRIES * SHARE;
#else
    ME.level = 0;
#endif
    ME.spent = 0;
    for (k : 0 .. ENTRIES - 1) {
        ME.pooled[k] = false;
        ME.known[k] = 0;
        ME.charged[k] = 0;
        ME.credit[k] = 0;
        ME.behind[k] = false;
        ME.newest[k] = false;
        ME.fresh[k] = false;
        entry[k].fresh[i] = false
    }
    k = 0
}

inline tick() {
    accrued < TICKS ->
    accrued++;
    for (k : 0 .. ENTRIES - 1) {
#ifdef BROKEN_SILENCE_KEEPS_RATE
        entry[k].level = MIN(SHARE * ENTRIES, entry[k].level + ENTRIES);
#else
        entry[k].level = MIN(SHARE * USED(entry[k]), entry[k].level + USED(entry[k]));
#endif
        for (m : 0 .. ENTRIES - 1) {
            if
            :: k != m && !entry[k].pooled[m] -> entry[k].credit[m]++
            :: else -> skip
            fi
        }
    }
    k = 0;
    m = 0
}

inline cut(i, j) {
    cuts < CUTS && group[i] != j ->
    cuts++;
    group[i] = j
}

init {
    byte i, j, k, m;
    short unheard;
    atomic {
        for (i : 0 .. ENTRIES - 1) {
            ME.level = ENTRIES * SHARE;
            for (j : 0 .. ENTRIES - 1) {
                ME.pooled[j] = (i != j);
                ME.known[j] = (i != j);
                ME.newest[j] = true;
                ME.fresh[j] = true
            }
        }
        i = 0;
        j = 0
    }
    do
    :: atomic {
        select (i : 0 .. ENTRIES - 1);
        if
        :: spend(i)
        :: restart(i)
        :: else -> skip
        fi;
        checkBound();
        i = 0
    }
    :: atomic {
        select (j : 0 .. ENTRIES - 1);
        report(j);
        i = 0;
        j = 0
    }
    :: atomic {
        select (i : 0 .. ENTRIES - 1);
        select (j : 0 .. ENTRIES - 1);
        if
        :: silence(i, j)
        :: cut(i, j)
        :: else -> skip
        fi;
        i = 0;
        j = 0
    }
    :: atomic { tick() }
    od
}
