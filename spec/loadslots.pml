/*
 * Loads from the weight store by static shares (src/keeper/storeloadshare.cpp, docs/design/orders.md).
 *
 * Each target's agent may begin LIMIT / T loads in a window, T being the most targets that it was told of
 * during the last window. Targets come and go, agents restart without memory, and each is told the count
 * of now or of up to LAG ago, each another one.
 *
 * Property: all loads begun in any window together are at most LIMIT.
 */
#ifndef AGENTS
#define AGENTS 3
#endif
#ifndef LIMIT
#define LIMIT 4
#endif
#ifndef CHANGES
#define CHANGES 2 /* targets that come or go */
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef END
#define END 7
#endif
#define WINDOW 3 /* ticks */
#define LAG 1    /* ticks */

typedef Agent {
    bool present;         /* its target is registered */
    byte began[WINDOW];   /* loads by age */
    byte own[WINDOW];     /* those that it remembers */
    byte told[WINDOW];    /* most targets by age of the news */
    byte wait;            /* ticks until it may load */
};

Agent agent[AGENTS];
byte targets = 0;
byte before = 0;          /* targets at the last tick */
byte now = 0;
byte changes = 0;
byte restarts = 0;

#define ME agent[i]
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define SUM(list) (list[0] + list[1] + list[2])
#ifdef BROKEN_FALL_AT_ONCE
#define COUNT(x) x.told[0]
#else
#define COUNT(x) MAX(x.told[0], MAX(x.told[1], x.told[2]))
#endif

inline checkLimit() {
    sum = 0;
    for (k : 0 .. AGENTS - 1) {
        sum = sum + SUM(agent[k].began)
    }
    assert(sum <= LIMIT);
    sum = 0;
    k = 0
}

inline load(i) {
    ME.present && ME.wait == 0 && COUNT(ME) > 0 && SUM(ME.own) < LIMIT / COUNT(ME) ->
    ME.began[0]++;
    ME.own[0]++;
    checkLimit()
}

inline forget(i) {
    for (k : 0 .. WINDOW - 1) {
        ME.own[k] = 0;
        ME.told[k] = 0
    }
    k = 0
}

inline leave(i) {
    ME.present && changes < CHANGES ->
    changes++;
    targets--;
    ME.present = false
}

/* Who comes waits until all count with it and have done so for a window. */
inline come(i) {
    !ME.present && changes < CHANGES ->
    changes++;
    targets++;
    ME.present = true;
#ifndef BROKEN_NO_WAIT_ON_RETURN
    ME.wait = WINDOW + LAG;
#endif
    ME.told[0] = MAX(ME.told[0], targets)
}

inline restart(i) {
    ME.present && restarts < RESTARTS ->
    restarts++;
    forget(i);
    ME.told[0] = targets;
#ifndef BROKEN_NO_WAIT_AFTER_RESTART
    ME.wait = MAX(ME.wait, WINDOW)
#endif
}

/* Each is told the count of now, or of the last tick. */
inline tell(i) {
    if
    :: ME.told[0] = targets
    :: ME.told[0] = before
    fi
}

inline tick() {
    now++;
    for (i : 0 .. AGENTS - 1) {
        for (k : 1 .. WINDOW - 1) {
            ME.began[WINDOW - k] = ME.began[WINDOW - k - 1];
            ME.own[WINDOW - k] = ME.own[WINDOW - k - 1];
            ME.told[WINDOW - k] = ME.told[WINDOW - k - 1]
        }
        ME.began[0] = 0;
        ME.own[0] = 0;
        ME.wait = (ME.wait > 0 -> ME.wait - 1 : 0);
        tell(i)
    }
    before = targets;
    i = 0;
    k = 0
}

init {
    byte i, k, sum;
    atomic {
        for (i : 0 .. AGENTS - 1) {
            ME.present = (i > 0); /* The first target is away at first, and has been for long. */
            targets = targets + (i > 0);
            for (k : 0 .. WINDOW - 1) {
                ME.told[k] = AGENTS - 1
            }
        }
        before = targets;
        i = 0;
        k = 0
    }
end:
    do
    :: atomic { now < END -> tick() }
    :: atomic { select (i : 0 .. AGENTS - 1); if :: load(i) :: else -> skip fi; i = 0 }
    :: atomic {
        select (i : 0 .. AGENTS - 1);
        if
        :: leave(i)
        :: come(i)
        :: restart(i)
        :: else -> skip
        fi;
        i = 0
    }
    od
}
