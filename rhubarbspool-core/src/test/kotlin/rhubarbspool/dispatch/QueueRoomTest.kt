/*
 * The room for waiting by load: as many as can wait while the servers keep up, hardly any beyond.
 */
package rhubarbspool.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class QueueRoomTest : FunSpec({
    data class RoomCase(val what: String, val load: PoolLoad, val inTime: Int, val byLoad: Int)

    listOf(
        RoomCase("an idle pool", PoolLoad(600, 200.0, 4, 0.0), 8, 10),
        RoomCase("a full pool", PoolLoad(600, 200.0, 4, 20.0), 8, 10),
        RoomCase("a pool with a third too much", PoolLoad(600, 200.0, 4, 26.0), 8, 5),
        RoomCase("a pool with twice what it can do", PoolLoad(600, 200.0, 4, 40.0), 8, 1),
        RoomCase("a pool that can't answer in time", PoolLoad(200, 300.0, 4, 1.0), 2, 2),
        RoomCase("a pool without servers", PoolLoad(600, 200.0, 0, 1.0), 2, 2),
    ).forEach { case ->
        test("room of ${case.what}") {
            QueueRoom.IN_TIME.of(case.load) shouldBe case.inTime
            QueueRoom.BY_LOAD.of(case.load) shouldBe case.byLoad
        }
    }
})
