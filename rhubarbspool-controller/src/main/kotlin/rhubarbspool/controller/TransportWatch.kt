/*
 * Identifies the connection of each call and reports when a connection has ended. The connection of the local router
 * ends only when its process has ended, or when the router itself closed it after receiving nothing for longer than any
 * permission lasts. The end of a single stream would prove neither.
 */
package rhubarbspool.controller

import io.grpc.Attributes
import io.grpc.Context
import io.grpc.Contexts
import io.grpc.Metadata
import io.grpc.ServerCall
import io.grpc.ServerCallHandler
import io.grpc.ServerInterceptor
import io.grpc.ServerTransportFilter

/** Numbers connections, and calls [onEnded] with the number of each connection that has ended. */
internal class TransportWatch(private val onEnded: (Long) -> Unit) : ServerTransportFilter(), ServerInterceptor {
    private var lastNumber = 0L

    override fun transportReady(attributes: Attributes): Attributes =
        attributes.toBuilder().set(CONNECTION_NUMBER_ATTRIBUTE, ++lastNumber).build()

    override fun transportTerminated(attributes: Attributes?) {
        attributes?.get(CONNECTION_NUMBER_ATTRIBUTE)?.let(onEnded)
    }

    override fun <ReqT : Any, RespT : Any> interceptCall(
        call: ServerCall<ReqT, RespT>,
        headers: Metadata,
        next: ServerCallHandler<ReqT, RespT>,
    ): ServerCall.Listener<ReqT> {
        val number = call.attributes.get(CONNECTION_NUMBER_ATTRIBUTE) ?: 0
        return Contexts.interceptCall(Context.current().withValue(CONNECTION_NUMBER, number), call, headers, next)
    }

    companion object {
        private val CONNECTION_NUMBER_ATTRIBUTE = Attributes.Key.create<Long>("connection-number")

        /** Number of the connection on which the current call arrived. */
        val CONNECTION_NUMBER: Context.Key<Long> = Context.key("connection-number")
    }
}
