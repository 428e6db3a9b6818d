/*
 * Calls with keys against a key that is withdrawn (src/feed, docs/design/system.md).
 *
 * One entry, one key, one call at a time. The entry reads the desired state. The store answers with what
 * is new, or holds the read and says at the end that nothing is; the answer comes at any later time or
 * never. A read that was held for its whole time is good up to its end, any other from its begin. A call is checked
 * when it is admitted and again before it is written. The process may be suspended at any step, and the
 * bound may change while it runs.
 *
 * Property: no call is written later than the bound after the withdrawal was confirmed. A bound that is
 * shortened counts from then on; one that is lengthened counts for withdrawals after it only.
 *
 * From the second check to the write at most MARGIN passes: a process that is suspended for longer right
 * there is outside of this model, and of what a check before a write can do.
 */
#ifndef END
#define END 9 /* of time */
#endif
#ifndef CHANGES
#define CHANGES 1 /* of the bound */
#endif
#define LONG 5
#define SHORT 3
#define MARGIN 1
#define HOLD 2         /* of a read that is held; others are answered at once */

byte now = 0;
byte clock = 0;        /* what the process's clock shows */
bool suspended = false;

bool withdrawn = false;
byte withdrawnAt = 0;
byte due = 0;          /* last time at which the withdrawn key may work */

byte bound = LONG;
byte earlier = LONG;   /* bound of reads that began before boundFrom */
byte boundFrom = 0;
byte changes = 0;

bool reading = false;
byte readBegan = 0;
byte readStart = 0;    /* the same in the store's time */
byte hold = 0;
bool records = false;  /* the answer has some */
bool served = false;
bool answer = false;   /* the key is withdrawn */
bool lateAnswer = false; /* of a read that was given up, still on its way */
bool lateValue = false;

bool known = false;    /* the entry knows of the withdrawal */
bool confirmed = false;
byte confirmedAt = 0;
byte until = 0;        /* keyed calls are refused from here on */

bool admitted = false;
bool writing = false;
byte writeBy = 0;

#define FRESH (!known && clock < until)
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

inline confirm(from) {
    if
    :: confirmed && from <= confirmedAt -> skip
    :: else ->
        confirmed = true;
        confirmedAt = from;
        until = MAX(until, from + (from < boundFrom -> earlier : bound) - MARGIN)
    fi
}

inline take(value, from) {
    reading = false;
    served = false;
    known = known || value;
    confirm(from);
    records = false
}

inline changeBound() {
    changes++;
    earlier = (confirmed && confirmedAt >= boundFrom -> bound : MIN(bound, earlier));
    bound = (bound == LONG -> SHORT : LONG);
    earlier = MIN(bound, earlier);
    boundFrom = clock;
#ifdef BROKEN_LOOSENED_AT_ONCE
    until = (confirmed -> MAX(until, confirmedAt + bound - MARGIN) : 0);
#endif
#ifndef BROKEN_TIGHTENED_LATER
    until = (confirmed -> MIN(until, confirmedAt + bound - MARGIN) : 0);
#endif
    /* The read in work is given up. */
    /* The rule: what is shortened holds from then on. */
    lateAnswer = served;
    lateValue = (served -> answer : false);
    reading = false;
    served = false;
    if
    :: withdrawn -> due = MIN(due, MAX(now + MARGIN, withdrawnAt + bound))
    :: else -> skip
    fi
}

inline tick() {
    now++;
#ifdef BROKEN_CLOCK_STANDS_STILL
    if
    :: !suspended -> clock++
    :: else -> skip
    fi
#else
    clock++
#endif
}

init {
    if
    :: bound = LONG
    :: bound = SHORT
    fi;
    earlier = bound;
end:
    do
    :: atomic { now < END && !(writing && now >= writeBy) -> tick() }
    :: atomic { !suspended -> suspended = true }
    :: atomic { suspended -> suspended = false }
    :: atomic { !withdrawn -> withdrawn = true; withdrawnAt = now; due = now + bound }

    /* Reads. A cut of the store is one whose answers never come. */
    :: atomic { !suspended && !reading ->
        reading = true;
        readBegan = clock;
        readStart = now;
        records = false;
        if
        :: hold = 0
        :: hold = HOLD
        fi
    }
    :: atomic { reading && !served && withdrawn && !known -> served = true; answer = true; records = true }
#ifdef BROKEN_HELD_FOR_LESS
    :: atomic { reading && !served && !(withdrawn && !known) -> served = true; answer = withdrawn }
#else
    :: atomic { reading && !served && !(withdrawn && !known) && now >= readStart + hold ->
        served = true;
        answer = withdrawn
    }
#endif
    :: atomic { !suspended && reading && served ->
        if
#ifdef BROKEN_AGE_FROM_ANSWER
        :: true -> take(answer, clock)
#else
        :: !records && clock >= readBegan + hold -> take(answer, readBegan + hold)
        :: else -> take(answer, readBegan)
#endif
        fi
    }
    :: atomic { !suspended && reading ->  /* given up */
        lateAnswer = served;
        lateValue = (served -> answer : false);
        reading = false;
        served = false
    }
#ifdef BROKEN_LATE_ANSWER_TAKEN
    :: atomic { !suspended && reading && lateAnswer -> lateAnswer = false; take(lateValue, readBegan) }
#endif
    :: atomic { !suspended && changes < CHANGES -> changeBound() }

    /* Calls. */
    :: atomic { !suspended && !admitted && FRESH -> admitted = true }
    :: atomic { !suspended && admitted && !writing ->
        if
#ifdef BROKEN_NO_SECOND_CHECK
        :: true -> writing = true; writeBy = now + MARGIN
#else
        :: FRESH -> writing = true; writeBy = now + MARGIN
        :: !FRESH -> admitted = false
#endif
        fi
    }
    :: atomic { writing -> assert(!withdrawn || now <= due); writing = false; admitted = false; writeBy = 0 }
    od
}
