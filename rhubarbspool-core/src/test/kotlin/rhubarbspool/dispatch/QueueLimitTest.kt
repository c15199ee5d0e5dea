/*
 * The queue limit by load: as many as can be answered in time while the servers keep up, hardly any under overload.
 */
package rhubarbspool.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class QueueLimitTest : FunSpec({
    data class LimitCase(val what: String, val load: PoolLoad, val inTime: Int, val byLoad: Int)

    listOf(
        LimitCase("an idle pool", PoolLoad(600, 200.0, 4.0, 0.0), 8, 10),
        LimitCase("a full pool", PoolLoad(600, 200.0, 4.0, 20.0), 8, 10),
        LimitCase("a pool with a third more load than capacity", PoolLoad(600, 200.0, 4.0, 26.0), 8, 5),
        LimitCase("a pool with twice the load of its capacity", PoolLoad(600, 200.0, 4.0, 40.0), 8, 1),
        LimitCase("a pool that can't answer in time", PoolLoad(200, 300.0, 4.0, 1.0), 2, 2),
        LimitCase("a pool without servers", PoolLoad(600, 200.0, 0.0, 1.0), 2, 2),
    ).forEach { case ->
        test("limit of ${case.what}") {
            QueueLimit.IN_TIME.limitFor(case.load) shouldBe case.inTime
            QueueLimit.BY_LOAD.limitFor(case.load) shouldBe case.byLoad
        }
    }
})
