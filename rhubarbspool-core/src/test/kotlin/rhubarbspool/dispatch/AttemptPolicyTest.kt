/*
 * The next step after each outcome of a call, for repeatable and once-only requests.
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
        AttemptCase("a response is relayed", CallOutcome.ANSWERED, once, true, NextStep.RelayAnswer),
        AttemptCase(
            "a fault is relayed when the request isn't repeatable",
            CallOutcome.FAULTY,
            once,
            true,
            NextStep.RelayAnswer,
        ),
        AttemptCase("a fault is retried at another server", CallOutcome.FAULTY, repeatable, true, retryAtOnce),
        AttemptCase("a fault without budget is relayed", CallOutcome.FAULTY, repeatable, false, NextStep.RelayAnswer),
        AttemptCase("a booking that may have run is not retried", CallOutcome.BROKEN, once, true, unknown),
        AttemptCase("a read whose connection broke is retried", CallOutcome.BROKEN, repeatable, true, retryAtOnce),
        AttemptCase("a read without attempts left", CallOutcome.BROKEN, repeatable.copy(runs = 2), true, unknown),
        AttemptCase("a booking that was shed is retried elsewhere", CallOutcome.SHED, notRun, true, retryAtOnce),
        AttemptCase(
            "a booking that was shed without retry budget fails as not run",
            CallOutcome.SHED,
            notRun,
            false,
            NextStep.Fail(ErrorKind.REJECTED),
        ),
        AttemptCase("a refusal after a possible run is unknown", CallOutcome.SHED, repeatable, false, unknown),
        AttemptCase("a moving key is retried later", CallOutcome.MISDIRECTED, notRun, true, NextStep.Retry(150)),
        AttemptCase(
            "a key whose move has stalled is rejected before the deadline",
            CallOutcome.MISDIRECTED,
            notRun.copy(refusals = 3),
            true,
            NextStep.Fail(ErrorKind.REJECTED),
        ),
        AttemptCase("an unreachable server needs no budget", CallOutcome.UNREACHABLE, notRun, false, retryAtOnce),
        AttemptCase(
            "an unreachable server without time for another attempt",
            CallOutcome.UNREACHABLE,
            notRun.copy(remainingMilliseconds = 10),
            true,
            NextStep.Fail(ErrorKind.SERVER_UNREACHABLE),
        ),
    ) { case ->
        AttemptPolicy.nextStep(case.outcome, case.state) { case.hasRetryBudget } shouldBe case.expected
    }

    test("a once-only request is never retried after it may have run") {
        checkAll(Arb.enum<CallOutcome>(), Arb.int(0..3), Arb.boolean()) { outcome, refusals, hasRetryBudget ->
            val next = AttemptPolicy.nextStep(outcome, once.copy(refusals = refusals)) { hasRetryBudget }
            val mayHaveRun = outcome in setOf(CallOutcome.ANSWERED, CallOutcome.FAULTY, CallOutcome.BROKEN)
            (mayHaveRun && next is NextStep.Retry) shouldBe false
        }
    }
})
