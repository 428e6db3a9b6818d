/*
 * Permits for loads from the weight store (src/keeper/storepermitledger.cpp, docs/design/orders.md).
 *
 * Each entry may have granted its part of LIMIT at a time: LIMIT / M, and one of the remainder by its rank, M being
 * the entries that it counts. An agent begins a load within VALIDITY ticks of its request, or the order is in doubt
 * and is carried out up to LATE ticks later or never. A permit counts until a window after the load has begun, as
 * the agent says, and for as long as it may still begin. Messages are lost; entries start and end.
 *
 * Property: all loads begun in any window together are at most LIMIT.
 */
#ifndef ENTRIES
#define ENTRIES 2
#endif
#ifndef LIMIT
#define LIMIT 1
#endif
#ifndef CHANGES
#define CHANGES 3 /* entries that start or end */
#endif
#ifndef END
#define END 8
#endif
#define WINDOW 2   /* ticks */
#define VALIDITY 1 /* ticks, from the grant until the load at the latest, unless the order is late */
#define LATE 1     /* ticks */
#define LAG 1      /* ticks until all others count an entry that has started */
#define HOLDING (WINDOW + VALIDITY + LATE)
#ifndef PERMITS
#define PERMITS 2 /* that exist at a time */
#endif

mtype = { FREE, GRANTED, BEGUN, VOID };

typedef Permit {
    mtype state;      /* at the agent */
    byte entry;
    byte left;        /* ticks within which the load may begin */
    byte began;       /* ticks for which it is in the window */
    byte counts;      /* ticks for which the entry counts it; 0 when it does not */
};

typedef Entry {
    bool present;
    byte wait;             /* ticks until it may grant */
    byte counted[ENTRIES]; /* ticks for which it counts each other entry */
};

Permit permit[PERMITS];
Entry entry[ENTRIES];
byte now = 0;
byte changes = 0;

#define ME entry[i]

inline countShare(i) {
    members = 1;
    rank = 0;
    for (k : 0 .. ENTRIES - 1) {
        if
        :: k != i && ME.counted[k] > 0 ->
            members++;
            rank = rank + (k < i)
        :: else -> skip
        fi
    }
    k = 0;
#ifdef BROKEN_REMAINDER_FOR_ALL
    share = LIMIT / members + (LIMIT % members > 0)
#else
    share = LIMIT / members + (rank < LIMIT % members)
#endif
}

inline grant(i) {
    countShare(i);
    used = 0;
    for (k : 0 .. PERMITS - 1) {
        used = used + (permit[k].entry == i && permit[k].counts > 0)
    }
    k = 0;
    if
    :: ME.present && ME.wait == 0 && used < share ->
        for (k : 0 .. PERMITS - 1) {
            if
            :: permit[k].state == FREE && permit[k].counts == 0 && used < 100 ->
                permit[k].state = GRANTED;
                permit[k].entry = i;
                permit[k].left = VALIDITY + LATE;
                permit[k].counts = HOLDING + 1;
                used = 100
            :: else -> skip
            fi
        }
    :: else -> skip
    fi;
    used = 0;
    members = 0;
    rank = 0;
    share = 0;
    k = 0
}

inline begin(p) {
    permit[p].state == GRANTED && permit[p].left > 0 ->
    permit[p].state = BEGUN;
    permit[p].left = 0;
    permit[p].began = WINDOW;
    used = 0;
    for (k : 0 .. PERMITS - 1) {
        used = used + (permit[k].began > 0)
    }
    assert(used <= LIMIT);
    used = 0;
    k = 0
}

/* The agent gives a permit up. An order in doubt is not given up before it is void. */
inline giveUp(p) {
    permit[p].state == GRANTED ->
#ifdef BROKEN_DOUBT_IS_UNUSED
    permit[p].counts = 0 /* and yet the order may be carried out */
#else
    permit[p].state = VOID;
    permit[p].left = 0
#endif
}

/* The entry learns what became of a permit; a message that is lost is this step not taken. */
inline tell(p) {
    if
    :: permit[p].state == BEGUN && permit[p].counts > WINDOW ->
#ifdef BROKEN_BEGUN_IS_FREE
        permit[p].counts = 0
#else
        permit[p].counts = WINDOW
#endif
    :: permit[p].state == VOID -> permit[p].counts = 0
    :: else -> skip
    fi
}

inline start(i) {
    !ME.present && changes < CHANGES ->
    changes++;
    ME.present = true;
#ifndef BROKEN_NO_WAIT_AT_START
    ME.wait = LAG + HOLDING + 1;
#endif
    for (k : 0 .. ENTRIES - 1) {
        ME.counted[k] = (entry[k].present -> HOLDING + LAG : 0)
    }
    k = 0
}

/* It forgets what it has granted, and may start anew. */
inline stop(i) {
    ME.present && changes < CHANGES ->
    changes++;
    ME.present = false;
    ME.wait = 0;
    for (k : 0 .. PERMITS - 1) {
        if
        :: permit[k].entry == i -> permit[k].counts = 0
        :: else -> skip
        fi
    }
    k = 0
}

inline tick() {
    now++;
    for (p : 0 .. PERMITS - 1) {
        permit[p].began = (permit[p].began > 0 -> permit[p].began - 1 : 0);
        permit[p].counts = (permit[p].counts > 0 -> permit[p].counts - 1 : 0);
        permit[p].left = (permit[p].left > 0 -> permit[p].left - 1 : 0);
        if
        :: permit[p].state == GRANTED && permit[p].left == 0 -> permit[p].state = VOID
        :: else -> skip
        fi;
        if
        :: permit[p].state != GRANTED && permit[p].began == 0 && permit[p].counts == 0 -> permit[p].state = FREE
        :: else -> skip
        fi
    }
    p = 0;
    for (i : 0 .. ENTRIES - 1) {
        for (k : 0 .. ENTRIES - 1) {
            if
            :: entry[k].present -> ME.counted[k] = HOLDING + LAG
#ifdef BROKEN_END_FREES_AT_ONCE
            :: else -> ME.counted[k] = 0
#else
            :: else -> ME.counted[k] = (ME.counted[k] > 0 -> ME.counted[k] - 1 : 0)
#endif
            fi
        }
        ME.wait = (ME.wait > 0 -> ME.wait - 1 : 0)
    }
    i = 0;
    k = 0
}

init {
    byte i, k, p, used, members, rank, share;
    atomic {
        for (p : 0 .. PERMITS - 1) {
            permit[p].state = FREE
        }
        for (i : 0 .. ENTRIES - 1) {
            ME.present = (i > 0); /* The first one is away at first, and has been for long. */
            for (k : 1 .. ENTRIES - 1) {
                ME.counted[k] = HOLDING + LAG
            }
        }
        i = 0;
        k = 0;
        p = 0
    }
end:
    do
    :: atomic { now < END -> tick() }
    :: atomic { select (i : 0 .. ENTRIES - 1); grant(i); i = 0 }
    :: atomic {
        select (p : 0 .. PERMITS - 1);
        if
        :: begin(p)
        :: giveUp(p)
        :: else -> skip
        fi;
        p = 0
    }
    :: atomic { select (p : 0 .. PERMITS - 1); tell(p); p = 0 }
    :: atomic {
        select (i : 0 .. ENTRIES - 1);
        if
        :: start(i)
        :: stop(i)
        :: else -> skip
        fi;
        i = 0
    }
    od
}
