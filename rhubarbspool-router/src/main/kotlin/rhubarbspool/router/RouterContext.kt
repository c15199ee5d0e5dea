/*
 * State shared by the parts of one router. Everything runs on one event loop, so no locks are needed.
 */
package rhubarbspool.router

import io.netty.channel.EventLoop
import rhubarbspool.edge.HttpClient
import rhubarbspool.gate.CrashSuspects
import rhubarbspool.model.InstanceName
import rhubarbspool.model.ServiceName

/** Shared state and clients of one router. */
internal class RouterContext(
    val instance: InstanceName,
    val loop: EventLoop,
    val view: RouterView,
    val recorder: OnceRecorder,
    val serverClient: HttpClient,
    val metrics: RouterMetrics,
) {
    private val suspectsByService = HashMap<ServiceName, CrashSuspects>()
    private var lastId = 0L

    /** Crash suspects of [service]. */
    fun suspects(service: ServiceName): CrashSuspects = suspectsByService.getOrPut(service) { CrashSuspects() }

    /** Returns an id that is unique within this process. */
    fun nextId(): Long = ++lastId
}
