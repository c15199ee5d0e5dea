/*
 * Keeps the router in step with the controller of the same instance: reports what the router did and takes its
 * orders, many times a second over the loopback interface.
 */
package rhubarbspool.router

import com.google.common.util.concurrent.ListenableFuture
import io.netty.channel.EventLoop
import rhubarbspool.edge.Channels
import rhubarbspool.edge.ProcessClock
import rhubarbspool.model.Address
import rhubarbspool.protocol.ConfigurationInForce
import rhubarbspool.protocol.LocalGrpc
import rhubarbspool.protocol.RouterOrders
import rhubarbspool.protocol.RouterReport
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit

/** Asks [controller] on [loop]; [report] adds what the router has to say, [applied] follows each answer. */
internal class ControllerLink(
    private val loop: EventLoop,
    private val channels: Channels,
    private val controller: Address,
    private val view: RouterView,
    private val report: (RouterReport.Builder) -> Unit,
    private val applied: () -> Unit,
) {
    /** Starts to ask. */
    fun start() = ask()

    private fun ask() {
        val askedAt = ProcessClock.monotonic()
        val builder = RouterReport.newBuilder()
            .setViewSequence(view.sequence)
            .setControllerRun(view.controllerRun)
            .addAllConfigurations(
                view.configurations.map { (service, numbered) ->
                    ConfigurationInForce.newBuilder().setService(service.text).setVersion(numbered.number).build()
                },
            )
        report(builder)
        val stub = LocalGrpc.newFutureStub(channels.channel(controller))
            .withDeadlineAfter(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
        val future = stub.synchronise(builder.build())
        future.addListener({ loop.execute { answered(future, askedAt) } }, Runnable::run)
    }

    private fun answered(future: ListenableFuture<RouterOrders>, askedAt: Long) {
        try {
            view.apply(future.get(), askedAt)
            channels.answered(controller)
            applied()
        } catch (_: ExecutionException) {
            channels.missed(controller)
        }
        loop.schedule(::ask, INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val INTERVAL_MILLISECONDS = 50L
        const val TIMEOUT_MILLISECONDS = 500L
    }
}
