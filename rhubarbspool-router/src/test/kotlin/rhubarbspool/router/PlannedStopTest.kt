/*
 * A planned stop must not interrupt requests of callers that connect before or during it.
 */
package rhubarbspool.router

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import rhubarbspool.standins.ServerBehaviour
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

class PlannedStopTest : FunSpec({
    test("a router that is stopped under load serves every request of a connected caller") {
        TestSystem(ServerBehaviour(serviceMilliseconds = 20.0)).use { system ->
            val stopping = AtomicBoolean()
            val unserved = AtomicInteger()
            val served = AtomicInteger()
            val callers = List(8) { number ->
                Thread {
                    while (!stopping.get()) requestOnNewConnection(system, "key-$number", served, unserved)
                }.also(Thread::start)
            }
            Thread.sleep(300)
            system.routers[0].stop()
            stopping.set(true)
            callers.forEach(Thread::join)
            unserved.get() shouldBe 0
            (served.get() > 20) shouldBe true
        }
    }

    test("callers that have connected and send a moment after the stop began are served") {
        TestSystem(ServerBehaviour(serviceMilliseconds = 20.0)).use { system ->
            val stop = Thread { system.routers[0].stop() }.also(Thread::start)
            Thread.sleep(400)
            val sockets = List(20) { runCatching { system.connect(0) }.getOrNull() }.filterNotNull()
            Thread.sleep(200)
            val text = "GET /ledger/boats/late HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
            val answers = sockets.map { socket ->
                CompletableFuture.supplyAsync { runCatching { socket.use { it.exchange(text) } }.getOrDefault("") }
            }.map { it.get() }
            stop.join()
            answers.filter { "HTTP/1.1 200" !in it }.shouldBeEmpty()
        }
    }
})

/** Sends one request on a new connection; once connected, it must be served. */
private fun requestOnNewConnection(system: TestSystem, key: String, served: AtomicInteger, unserved: AtomicInteger) {
    val socket = runCatching { system.connect(0) }.getOrNull() ?: return Thread.sleep(5)
    val text = "GET /ledger/boats/$key HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
    val answer = runCatching { socket.use { it.exchange(text) } }.getOrDefault("")
    if ("HTTP/1.1 200" in answer) {
        served.incrementAndGet()
    } else {
        unserved.incrementAndGet()
        println("not served: ${answer.lines().firstOrNull { "rhubarbspool-error" in it } ?: answer}")
    }
}
