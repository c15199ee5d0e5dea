/*
 * The retries of all instances together stay within the retry budget of the service.
 */
package rhubarbspool.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual

private data class AllowanceCase(val instances: Int, val requestsPerSecond: Int, val slack: Double)

class RetryAllowanceTest : FunSpec({
    withData(
        AllowanceCase(1, 10, 141.0),
        AllowanceCase(25, 2, 141.0),
        AllowanceCase(25, 0, 141.0),
        AllowanceCase(141, 5, 346.0),
    ) { (instances, requestsPerSecond, slack) ->
        val allowances = List(instances) { RetryAllowance(RATIO, WINDOW) }
        val retries = ArrayList<Long>()
        (0L until 60_000L step 1_000).forEach { now ->
            allowances.forEach { allowance ->
                repeat(requestsPerSecond) { allowance.recordRequest() }
                repeat(20) { if (allowance.tryAcquire(slack / instances, now)) retries += now }
            }
        }
        val mostInWindow = retries.distinct().ifEmpty {
            listOf(
                0L
            )
        }.maxOf { from -> retries.count { it in from until from + WINDOW } }
        val requests = instances * requestsPerSecond * WINDOW / 1_000
        mostInWindow.toDouble() shouldBeLessThanOrEqual RATIO * requests + slack
    }
})

private const val RATIO = 0.2
private const val WINDOW = 10_000L
