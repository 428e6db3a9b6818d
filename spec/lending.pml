/*
 * Lending of budget shares between entries.
 *
 * Checks that the capacity which may be spent at all entries together never exceeds the customer's
 * burst, under loss, repetition and delay of messages, restart, pause and new divisions. With
 * tokens of each bucket never above its capacity and rate moving along with capacity, the bound
 * burst + rate * T for every time window follows (docs/design/budgets.md).
 *
 * Time is abstracted: a share's validity may end at any moment (Expire), and a handover ends only
 * once no entry of an earlier division is valid any more, which the code achieves by waiting longer
 * than the validity lasts. A pause is an entry that takes no step.
 */
#define ENTRIES 3
#define EPOCHS 3
#ifndef TRANSFERS
#define TRANSFERS 1
#endif
#define BURST 2

typedef Entry {
    byte epoch;      /* division last read; 0: none */
    byte capacity;
    bool settled;     /* the handover is over */
    bool valid;      /* confirmed recently enough to spend */
    bit incarnation;
    byte firstEpoch; /* first division that can name this incarnation */
};

typedef Transfer {
    byte epoch;      /* 0: unused */
    byte giver;
    byte taker;
    bit takerIncarnation;
    byte amount;
    bool inNetwork;
    bool credited;   /* in the ledger of the taker's incarnation */
};

Entry entry[ENTRIES];
Transfer transfer[TRANSFERS];
byte newestEpoch = 0;

/* Divisions name incarnations: a restarted entry has no part in those appended before. */
#ifdef BROKEN_RESTART_KEEPS_SHARE
#define SHARE(i) FRACTION(entry[i].epoch, i)
#else
#define SHARE(i) (entry[i].epoch < entry[i].firstEpoch -> 0 : FRACTION(entry[i].epoch, i))
#endif

/* Entry 2 takes the place of entry 0 in division 2; division 3 gives entry 0 everything. */
#define FRACTION(e, i) \
    ((e) == 1 -> ((i) == 2 -> 0 : 1) : \
    ((e) == 2 -> ((i) == 0 -> 0 : 1) : \
     ((i) == 0 -> 2 : 0)))
#define MIN(a, b) ((a) < (b) -> (a) : (b))

#ifdef BROKEN_NO_VALIDITY
#define SPENDABLE(i) entry[i].capacity
#else
#define SPENDABLE(i) (entry[i].valid -> entry[i].capacity : 0)
#endif

#define OUTDATED(i, e) (entry[i].epoch < (e) && entry[i].valid)

#ifdef BROKEN_NO_HANDOVER
#define HANDOVER_OVER(e) true
#else
#define HANDOVER_OVER(e) (!OUTDATED(0, e) && !OUTDATED(1, e) && !OUTDATED(2, e))
#endif

#define TAKER entry[transfer[k].taker]

#ifdef BROKEN_OLD_EPOCH
#define SAME_EPOCH(k) true
#else
#define SAME_EPOCH(k) (TAKER.epoch == transfer[k].epoch)
#endif

#ifdef BROKEN_CREDIT_TWICE
#define UNCREDITED(k) true
#else
#define UNCREDITED(k) (!transfer[k].credited)
#endif

#define ADDRESSED(k) (transfer[k].inNetwork && transfer[k].takerIncarnation == TAKER.incarnation)

inline checkBound() {
    assert(SPENDABLE(0) + SPENDABLE(1) + SPENDABLE(2) <= BURST)
}

inline appendDivision() {
    newestEpoch < EPOCHS -> newestEpoch++
}

/* The next division in order; both holdings bound what is kept. */
inline readNext(i) {
    entry[i].epoch < newestEpoch ->
    entry[i].epoch++;
    entry[i].capacity = MIN(entry[i].capacity, SHARE(i));
    entry[i].settled = false
}

/* A snapshot that skips divisions: nothing is kept. */
inline readSnapshot(i) {
    entry[i].epoch + 1 < newestEpoch ->
    entry[i].epoch = newestEpoch;
#ifdef BROKEN_SKIP_KEEPS
    entry[i].capacity = MIN(entry[i].capacity, SHARE(i));
#else
    entry[i].capacity = 0;
#endif
    entry[i].settled = false
}

inline confirmDivision(i) {
    newestEpoch > 0 && entry[i].epoch == newestEpoch && !entry[i].valid -> entry[i].valid = true
}

inline expireDivision(i) {
    entry[i].valid -> entry[i].valid = false
}

inline endHandover(i) {
    entry[i].epoch > 0 && !entry[i].settled && HANDOVER_OVER(entry[i].epoch) ->
    entry[i].capacity = SHARE(i);
    entry[i].settled = true
}

inline restart(i) {
    entry[i].epoch > 0 && entry[i].incarnation == 0 ->
    entry[i].epoch = 0;
    entry[i].capacity = 0;
    entry[i].settled = false;
    entry[i].valid = false;
    entry[i].incarnation = 1;
    entry[i].firstEpoch = newestEpoch + 1
}

inline lend(i, j, k) {
    i != j && transfer[k].epoch == 0 && entry[i].settled && entry[i].valid && entry[i].capacity > 0 ->
    transfer[k].epoch = entry[i].epoch;
    transfer[k].giver = i;
    transfer[k].taker = j;
    transfer[k].takerIncarnation = entry[j].incarnation;
    transfer[k].amount = 1;
    transfer[k].inNetwork = true;
#ifndef BROKEN_NO_DEBIT
    entry[i].capacity = entry[i].capacity - transfer[k].amount;
#endif
    skip
}

/* The message stays in the network, so it may arrive again at any later time. */
inline deliver(k) {
    ADDRESSED(k) && TAKER.settled && SAME_EPOCH(k) && UNCREDITED(k) && TAKER.capacity < 2 * BURST ->
    TAKER.capacity = TAKER.capacity + transfer[k].amount;
    transfer[k].credited = true
}

inline lose(k) {
    transfer[k].inNetwork -> transfer[k].inNetwork = false
}

inline repeatLoan(k) {
    transfer[k].epoch > 0 && !transfer[k].inNetwork && entry[transfer[k].giver].epoch == transfer[k].epoch ->
    transfer[k].inNetwork = true
}

active proctype Fleet() {
    byte i, j, k;
    do
    :: atomic {
        select (i : 0 .. ENTRIES - 1);
        if
        :: appendDivision()
        :: readNext(i)
        :: readSnapshot(i)
        :: confirmDivision(i)
        :: expireDivision(i)
        :: endHandover(i)
        :: restart(i)
        :: else -> skip
        fi;
        checkBound();
        i = 0
    }
    :: atomic {
        select (i : 0 .. ENTRIES - 1);
        select (j : 0 .. ENTRIES - 1);
        select (k : 0 .. TRANSFERS - 1);
        if
        :: lend(i, j, k)
        :: else -> skip
        fi;
        i = 0;
        j = 0;
        k = 0
    }
    :: atomic {
        select (k : 0 .. TRANSFERS - 1);
        if
        :: deliver(k)
        :: lose(k)
        :: repeatLoan(k)
        :: else -> skip
        fi;
        checkBound();
        k = 0
    }
    od
}
