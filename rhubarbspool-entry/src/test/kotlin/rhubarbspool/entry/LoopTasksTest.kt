/*
 * A task that fails ends neither its own later runs nor other tasks.
 */
package rhubarbspool.entry

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.netty.channel.DefaultEventLoop
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

class LoopTasksTest : FunSpec({
    data class FailureCase(val what: String, val fail: () -> Unit)

    // Guards against loops that end without a log line when a callback fails.
    listOf(
        FailureCase("an exception") { error("failed") },
        FailureCase("a stack overflow") { throw StackOverflowError() },
        FailureCase("an assertion") { throw AssertionError() },
    ).forEach { case ->
        test("a repeated task goes on after ${case.what}") {
            val loop = DefaultEventLoop()
            val runs = AtomicInteger()
            val tasks = LoopTasks(loop, DecisionLog { 0 })
            loop.execute {
                tasks.repeat("test", fallback = 5) {
                    runs.incrementAndGet()
                    case.fail()
                    5
                }
            }
            eventually(5.seconds) { runs.get() shouldBeGreaterThan 3 }
            loop.shutdownGracefully().await()
        }

        test("a callback that fails with ${case.what} fails no other one") {
            val loop = DefaultEventLoop()
            val tasks = LoopTasks(loop, DecisionLog { 0 })
            val future = CompletableFuture<Int>()
            var result: Int? = null
            tasks.onResult("first", future) { _, _ -> case.fail() }
            tasks.onResult("second", future) { value, _ -> result = value }
            future.complete(7)
            result shouldBe 7
            tasks.guarded("third", case.fail) shouldBe false
            loop.shutdownGracefully().await()
        }
    }
})
