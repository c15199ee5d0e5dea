/*
 * The interim response for which a caller waits before it sends the body of a request. It is sent once all earlier
 * responses of the connection have ended, and bypasses the encoder, which matches responses to requests by their order.
 */
package rhubarbspool.entry

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpServerCodec

/** The interim response of one connection. */
internal class InterimResponse {
    private var isExpected = false

    /** The caller expects the response; it is sent over the connection of [context] if it [canSend]. */
    fun expect(context: ChannelHandlerContext, canSend: Boolean) {
        isExpected = true
        if (canSend) send(context)
    }

    /** Sends the response over the connection of [context] if it is expected. */
    fun send(context: ChannelHandlerContext) {
        if (!isExpected) return
        isExpected = false
        context.pipeline().context(HttpServerCodec::class.java)
            .writeAndFlush(Unpooled.copiedBuffer(CONTINUE, Charsets.US_ASCII))
    }

    /** The response is not expected any more. */
    fun cancel() {
        isExpected = false
    }

    private companion object {
        const val CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n"
    }
}
