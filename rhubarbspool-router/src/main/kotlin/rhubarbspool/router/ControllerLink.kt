/*
 * Synchronises the router with the controller of the same instance: sends reports and applies the orders in response,
 * many times a second over the loopback interface.
 */
package rhubarbspool.router

import io.grpc.stub.StreamObserver
import io.netty.channel.EventLoop
import rhubarbspool.edge.Channels
import rhubarbspool.edge.ProcessClock
import rhubarbspool.model.Address
import rhubarbspool.protocol.ConfigurationInForce
import rhubarbspool.protocol.LocalGrpc
import rhubarbspool.protocol.RouterOrders
import rhubarbspool.protocol.RouterReport
import java.util.concurrent.TimeUnit

/** Reports to [controller] on [loop]; [report] fills in a report, [onApplied] runs after each applied response. */
internal class ControllerLink(
    private val loop: EventLoop,
    private val channels: Channels,
    private val controller: Address,
    private val view: RouterView,
    private val report: (RouterReport.Builder) -> Unit,
    private val onApplied: () -> Unit,
) {
    private var reports: StreamObserver<RouterReport>? = null
    private var lastResponseAt = ProcessClock.monotonic()

    /** Starts to report periodically. */
    fun start() {
        loop.scheduleWithFixedDelay(::sendReport, 0, INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    /** Reports at once, used when the controller waits for a release. */
    fun reportNow() = sendReport()

    private fun sendReport() {
        val now = ProcessClock.monotonic()
        if (now - lastResponseAt > SILENCE_MILLISECONDS) reconnect()
        val stream = reports ?: LocalGrpc.newStub(channels.channel(controller)).synchronise(OrdersObserver())
            .also {
                reports = it
                lastResponseAt = now
            }
        val builder = RouterReport.newBuilder()
            .setViewSequence(view.sequence)
            .setControllerRun(view.controllerRun)
            .setAskedAt(now)
            .addAllConfigurations(
                view.configurations.map { (service, versioned) ->
                    ConfigurationInForce.newBuilder().setService(service.text).setVersion(versioned.version).build()
                },
            )
        report(builder)
        stream.onNext(builder.build())
    }

    /** Replaces the channel, which has been silent for longer than any lease lasts. */
    private fun reconnect() {
        reports = null
        channels.replace(controller)
    }

    private inner class OrdersObserver : StreamObserver<RouterOrders> {
        override fun onNext(orders: RouterOrders) = loop.execute {
            lastResponseAt = ProcessClock.monotonic()
            view.apply(orders, orders.askedAt)
            onApplied()
        }

        override fun onError(failure: Throwable) = loop.execute { reports = null }

        override fun onCompleted() = loop.execute { reports = null }
    }

    private companion object {
        const val INTERVAL_MILLISECONDS = 100L
        const val SILENCE_MILLISECONDS = 1_500L
    }
}
