#include <celeryroute/detail/budget/budgettable.h>

#include <budgetmeter.h>

#include <CppUTest/TestHarness.h>

using namespace celeryroute;
using namespace std::chrono_literals;

TEST_GROUP(BudgetTable)
{
    static constexpr BudgetLimits Limits{100.0, 1000.0};
    TimePoint now{};
    BudgetTable one{"one"};
    BudgetTable two{"two"};

    void setup() override
    {
        one.setCustomer("yard", Limits, now);
        two.setCustomer("yard", Limits, now);
    }
    // Applies a division to both budget tables and waits for the end of the handover.
    void divide(std::uint64_t epoch, std::uint64_t base, double fractionOne, double fractionTwo)
    {
        one.applyDivision({epoch, base, fractionOne}, now);
        two.applyDivision({epoch, base, fractionTwo}, now);
        pass(ShareHandover);
    }
    // Advances the time while both budget tables confirm their division every second.
    void pass(Duration duration)
    {
        for (const TimePoint end = now + duration; now < end;) {
            now = std::min(end, now + 1s);
            one.confirm(now);
            two.confirm(now);
            one.tick({}, now);
            two.tick({}, now);
        }
    }
    bool reserve(BudgetTable & budgets, double tokens)
    {
        return std::holds_alternative<Reservation>(budgets.reserve("yard", tokens, now));
    }
    ResultCode refusal(BudgetTable & budgets, double tokens)
    {
        return std::get<BudgetRefusal>(budgets.reserve("yard", tokens, now)).code;
    }
    LoanMessage loanFromOneToTwo()
    {
        LoanRequest request{"yard", 100.0, one.epoch(), 1, 1.0, 0.0};
        return *one.receive("two", request, now);
    }
};

TEST(BudgetTable, newIncarnation_startsEmptyAndFillsAtItsShareOfTheRate)
{
    divide(10, 0, 0.5, 0.5);
    CHECK_FALSE(reserve(one, 1.0));
    pass(2s);
    CHECK(reserve(one, 100.0));
    CHECK_FALSE(reserve(one, 1.0));
}

TEST(BudgetTable, refusals_carryReasonAndRetryAfter)
{
    CHECK(refusal(one, 1.0) == ResultCode::StateStale);
    divide(10, 0, 0.5, 0.5);
    CHECK(refusal(one, 1001.0) == ResultCode::RequestExceedsBurst);
    const auto outcome = std::get<BudgetRefusal>(one.reserve("yard", 50.0, now));
    CHECK(outcome.code == ResultCode::RateExceeded);
    CHECK(outcome.retryAfter == 1s);
    CHECK(outcome.loanMayHelp);
}

TEST(BudgetTable, lateRefund_neverAdmitsMoreThanAnExactReservation)
{
    divide(10, 0, 1.0, 0.0);
    pass(10s);
    simulation::BudgetMeter meter;
    const auto early = std::get<Reservation>(one.reserve("yard", 1000.0, now));
    meter.record(1, now, 10.0);
    pass(20s);
    CHECK(reserve(one, 1000.0));
    meter.record(2, now, 1000.0);
    one.settle(early.id, 10.0, now);
    CHECK_FALSE(reserve(one, 1.0));
    DOUBLES_EQUAL(0.0, meter.overshoot(Limits), 0.0);
}

TEST(BudgetTable, promptRefund_isComplete)
{
    divide(10, 0, 1.0, 0.0);
    pass(10s);
    const auto reservation = std::get<Reservation>(one.reserve("yard", 1000.0, now));
    one.settle(reservation.id, 100.0, now);
    one.settle(reservation.id, 100.0, now);
    CHECK(reserve(one, 900.0));
    CHECK_FALSE(reserve(one, 1.0));
}

TEST(BudgetTable, loan_isDebitedBeforeItIsCreditedAndCreditedOnce)
{
    divide(10, 0, 1.0, 0.0);
    pass(5s);
    const LoanMessage loan = loanFromOneToTwo();
    const double left = one.find("yard")->bucket().tokens();
    DOUBLES_EQUAL(0.0, two.find("yard")->bucket().tokens(), 0.0);
    const auto &transfer = std::get<LoanTransfer>(loan.body);
    for (int repetition = 0; repetition < 3; ++repetition) {
        CHECK(two.receive("one", transfer, now).has_value());
    }
    DOUBLES_EQUAL(500.0, left + two.find("yard")->bucket().tokens(), 1e-6);
    DOUBLES_EQUAL(1.0, one.find("yard")->bucket().rateFraction() + two.find("yard")->bucket().rateFraction(), 1e-9);
}

TEST(BudgetTable, unacknowledgedLoan_isResentUntilAcknowledged)
{
    divide(10, 0, 1.0, 0.0);
    const LoanMessage loan = loanFromOneToTwo();
    now += 300ms;
    const auto repeats = one.tick({}, now);
    LONGS_EQUAL(1, repeats.size());
    CHECK(repeats[0] == loan);
    const auto ack = two.receive("one", std::get<LoanTransfer>(loan.body), now);
    one.receive("two", std::get<LoanAck>(ack->body), now);
    LONGS_EQUAL(0, one.unacknowledgedLoans());
}

TEST(BudgetTable, loanOfAnEarlierEpochOrToAnotherIncarnation_isNotCredited)
{
    divide(10, 0, 1.0, 0.0);
    pass(5s);
    const auto late = std::get<LoanTransfer>(loanFromOneToTwo().body);
    divide(20, 10, 0.5, 0.5);
    const BudgetSlice before = {two.find("yard")->bucket().rateFraction(), 0.0, 0.0};
    CHECK_FALSE(two.receive("one", late, now).has_value());
    DOUBLES_EQUAL(before.rateFraction, two.find("yard")->bucket().rateFraction(), 0.0);
    auto misdirected = std::get<LoanTransfer>(loanFromOneToTwo().body);
    misdirected.taker = "two-before-its-restart";
    CHECK_FALSE(two.receive("one", misdirected, now).has_value());
}

TEST(BudgetTable, pausedEntry_spendsNothingAfterItsShareWasReassigned)
{
    divide(10, 0, 0.9, 0.1);
    pass(10s);
    two.applyDivision({20, 10, 1.0}, now); // `one` is paused from here on and does not read this division.
    const TimePoint paused = now;
    for (int second = 0; second < 4; ++second) {
        now += 1s;
        two.confirm(now);
        CHECK(two.find("yard")->bucket().capacity() <= 100.0);
    }
    now += 60s;
    two.confirm(now);
    two.tick({}, now);
    CHECK(refusal(one, 1.0) == ResultCode::StateStale);
    CHECK(now - paused > ShareValidity);
    DOUBLES_EQUAL(1000.0, two.find("yard")->bucket().capacity(), 1e-9);
    one.applyDivision({20, 10, 0.0}, now);
    one.confirm(now);
    CHECK(refusal(one, 1.0) == ResultCode::RateExceeded);
}

TEST(BudgetTable, pausedEntry_accruesNothingBeyondItsValidity)
{
    divide(10, 0, 0.9, 0.1);
    pass(10s);
    CHECK(reserve(one, 800.0));
    const double before = one.find("yard")->bucket().tokens();
    now += 600s;
    one.applyDivision({20, 10, 0.5}, now);
    one.confirm(now);
    const double accrued = one.find("yard")->bucket().tokens() - before;
    CHECK(accrued <= 90.0 * toSeconds(ShareValidity) + 1e-6);
}

TEST(BudgetTable, logOutageWithConfirmation_losesNoAccrual)
{
    divide(10, 0, 1.0, 0.0);
    now += ShareValidity + 2s;
    one.confirm(now);
    CHECK(reserve(one, 500.0));
}

TEST(BudgetTable, divisionAfterAMissedOne_keepsNothingOfTheOldShare)
{
    divide(10, 0, 0.9, 0.1);
    pass(10s);
    one.applyDivision({30, 20, 0.9}, now);
    one.confirm(now);
    CHECK(refusal(one, 1.0) == ResultCode::RateExceeded);
}

TEST(BudgetTable, handover_keepsTheSmallerOfOldAndNewShare)
{
    divide(10, 0, 0.8, 0.2);
    pass(20s);
    one.applyDivision({20, 10, 0.5}, now);
    two.applyDivision({20, 10, 0.5}, now);
    DOUBLES_EQUAL(500.0, one.find("yard")->bucket().capacity(), 1e-9);
    DOUBLES_EQUAL(200.0, two.find("yard")->bucket().capacity(), 1e-9);
    CHECK(reserve(one, 500.0));
    CHECK(reserve(two, 200.0));
    pass(ShareHandover);
    two.tick({}, now);
    DOUBLES_EQUAL(500.0, two.find("yard")->bucket().capacity(), 1e-9);
}

TEST(BudgetTable, olderDivision_hasNoEffect)
{
    divide(20, 0, 0.5, 0.5);
    one.applyDivision({10, 0, 1.0}, now);
    LONGS_EQUAL(20, one.epoch());
    DOUBLES_EQUAL(0.5, one.find("yard")->bucket().rateFraction(), 0.0);
}

TEST(BudgetTable, customerRemovedAndAddedAgain_keepsWhatWasNotLent)
{
    divide(10, 0, 0.5, 0.5);
    const LoanMessage loan = loanFromOneToTwo();
    const double kept = one.find("yard")->bucket().rateFraction();
    one.removeCustomer("yard", now);
    CHECK(refusal(one, 1.0) == ResultCode::RateExceeded);
    one.setCustomer("yard", Limits, now);
    DOUBLES_EQUAL(kept, one.find("yard")->bucket().rateFraction(), 0.0);
    CHECK(kept < 0.5);
}

TEST(BudgetTable, limitsLowered_tokensBeyondTheNewBurstAreLost)
{
    divide(10, 0, 1.0, 0.0);
    pass(20s);
    one.setCustomer("yard", {10.0, 100.0}, now);
    CHECK(refusal(one, 101.0) == ResultCode::RequestExceedsBurst);
    CHECK(reserve(one, 100.0));
    CHECK_FALSE(reserve(one, 1.0));
}

TEST(BudgetTable, plannedStop_lendsTheWholeBudget)
{
    divide(10, 0, 0.5, 0.5);
    pass(4s);
    for (const LoanMessage &message : one.handOver({"two"}, now)) {
        const auto ack = two.receive("one", std::get<LoanTransfer>(message.body), now);
        one.receive("two", std::get<LoanAck>(ack->body), now);
    }
    DOUBLES_EQUAL(0.0, one.find("yard")->bucket().rateFraction(), 1e-12);
    DOUBLES_EQUAL(1.0, two.find("yard")->bucket().rateFraction(), 1e-12);
    LONGS_EQUAL(0, one.unacknowledgedLoans());
}

TEST(BudgetTable, loanMessages_roundTripThroughTheirEncoding)
{
    divide(10, 0, 1.0, 0.0);
    const auto transfer = std::get<LoanTransfer>(loanFromOneToTwo().body);
    CHECK(fromProto(toProto(transfer)) == transfer);
    const LoanAck ack{transfer.id};
    CHECK(fromProto(toProto(ack)) == ack);
    const LoanRequest request{"yard", 5.0, 10, 3, 0.5, 0.25};
    CHECK(fromProto(toProto(request)) == request);
    proto::LendTransfer damaged = toProto(transfer);
    damaged.set_transfer_id("one#ten#1");
    CHECK_FALSE(fromProto(damaged).has_value());
    damaged = toProto(transfer);
    damaged.set_tokens(-1.0);
    CHECK_FALSE(fromProto(damaged).has_value());
}
