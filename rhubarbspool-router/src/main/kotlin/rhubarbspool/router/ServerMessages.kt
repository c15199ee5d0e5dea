/*
 * HTTP messages between gate and backend server: requests with their headers, grants, and the server's health report.
 */
package rhubarbspool.router

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import kotlinx.serialization.Serializable
import rhubarbspool.model.Address
import rhubarbspool.routing.KeyLocation

/** Health report of a server; [run] identifies its incarnation, and of the values of [state] only `cold` matters. */
@Serializable
internal data class ServerHealth(
    val run: String = "",
    val state: String = "",
    val draining: Boolean = false,
    val running: Int = 0,
)

/** A grant of [gateEpoch] that expires [remainingMilliseconds] after it arrives. */
@Serializable
internal data class ServerGrant(val gateEpoch: Long, val remainingMilliseconds: Long)

/** Names of the headers between gate and backend server. */
internal object ServerHeaders {
    const val CALL = "rhubarbspool-call"
    const val REMAINING = "rhubarbspool-remaining-milliseconds"
    const val GATE_EPOCH = "rhubarbspool-gate-epoch"
    const val SHARD = "rhubarbspool-shard"
    const val SHARD_EPOCH = "rhubarbspool-shard-epoch"
    const val IDEMPOTENCY_KEY = "idempotency-key"
    private val HOP_BY_HOP = setOf(
        "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect",
        "content-length", "host",
    )

    /** Whether a header applies to a single connection and is not relayed. */
    fun isHopByHop(name: String): Boolean = name.lowercase() in HOP_BY_HOP

    /** Builds the request to the server at [address], which must end within [remainingMilliseconds]. */
    fun request(
        request: IncomingRequest,
        address: Address,
        location: KeyLocation,
        call: String,
        remainingMilliseconds: Long,
    ): FullHttpRequest {
        val method = HttpMethod.valueOf(request.route.method)
        val body = Unpooled.wrappedBuffer(request.body)
        val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, request.target, body)
        val headers = message.headers()
        request.headers.filterNot { isHopByHop(it.name) }.forEach { headers.add(it.name, it.value) }
        headers.set(HttpHeaderNames.HOST, address.toString())
        headers.set(CALL, call)
        headers.set(REMAINING, remainingMilliseconds)
        headers.set(GATE_EPOCH, location.gateEpoch)
        headers.set(SHARD, location.shardKey)
        headers.set(SHARD_EPOCH, location.shardEpoch)
        request.requestId?.let { headers.set(IDEMPOTENCY_KEY, it) }
        if (request.body.isNotEmpty()) HttpUtil.setContentLength(message, request.body.size.toLong())
        return message
    }
}
