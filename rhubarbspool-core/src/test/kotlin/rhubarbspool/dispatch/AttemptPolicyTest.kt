/*
 * What follows from each end of a call, for requests that may be repeated and those that may not.
 */
package rhubarbspool.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.boolean
import io.kotest.property.arbitrary.enum
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import rhubarbspool.errors.ErrorKind

private data class AttemptCase(
    val name: String,
    val outcome: CallOutcome,
    val state: AttemptState,
    val hasRetryBudget: Boolean,
    val expected: NextStep,
)

class AttemptPolicyTest : FunSpec({
    val once = AttemptState(false, 1, 0, 2, 1_000, false)
    val repeatable = once.copy(repeatable = true)
    val unknown = NextStep.Fail(ErrorKind.OUTCOME_UNKNOWN)
    val notRun = once.copy(runs = 0, refusals = 1)
    val retryAtOnce = NextStep.Retry(0)

    withData<AttemptCase>(
        { it.name },
        AttemptCase("an answer is passed on", CallOutcome.ANSWERED, once, true, NextStep.RelayAnswer),
        AttemptCase(
            "a fault is passed on when it can't be repeated",
            CallOutcome.FAULTY,
            once,
            true,
            NextStep.RelayAnswer,
        ),
        AttemptCase("a fault is tried elsewhere", CallOutcome.FAULTY, repeatable, true, retryAtOnce),
        AttemptCase("a fault without budget is passed on", CallOutcome.FAULTY, repeatable, false, NextStep.RelayAnswer),
        AttemptCase("a lost booking is not sent again", CallOutcome.BROKEN, once, true, unknown),
        AttemptCase("a lost read is sent again", CallOutcome.BROKEN, repeatable, true, retryAtOnce),
        AttemptCase("a read at its last server", CallOutcome.BROKEN, repeatable.copy(runs = 2), true, unknown),
        AttemptCase("a booking that was refused goes elsewhere", CallOutcome.SHED, notRun, true, retryAtOnce),
        AttemptCase(
            "a booking that was refused for good has not run",
            CallOutcome.SHED,
            notRun,
            false,
            NextStep.Fail(ErrorKind.REJECTED),
        ),
        AttemptCase("a refusal after a run promises nothing", CallOutcome.SHED, repeatable, false, unknown),
        AttemptCase("a key on the move", CallOutcome.MISDIRECTED, notRun, true, NextStep.Retry(150)),
        AttemptCase(
            "a key whose move has stalled is refused before the deadline",
            CallOutcome.MISDIRECTED,
            notRun.copy(refusals = 3),
            true,
            NextStep.Fail(ErrorKind.REJECTED),
        ),
        AttemptCase("no connection", CallOutcome.UNREACHABLE, notRun, false, retryAtOnce),
        AttemptCase(
            "no connection and no time",
            CallOutcome.UNREACHABLE,
            notRun.copy(remainingMilliseconds = 10),
            true,
            NextStep.Fail(ErrorKind.SERVER_UNREACHABLE),
        ),
    ) { case ->
        AttemptPolicy.nextStep(case.outcome, case.state) { case.hasRetryBudget } shouldBe case.expected
    }

    test("a request that can't be repeated is never sent again once it may have run") {
        checkAll(Arb.enum<CallOutcome>(), Arb.int(0..3), Arb.boolean()) { outcome, refusals, hasRetryBudget ->
            val next = AttemptPolicy.nextStep(outcome, once.copy(refusals = refusals)) { hasRetryBudget }
            val mayHaveRun = outcome in setOf(CallOutcome.ANSWERED, CallOutcome.FAULTY, CallOutcome.BROKEN)
            (mayHaveRun && next is NextStep.Retry) shouldBe false
        }
    }
})
