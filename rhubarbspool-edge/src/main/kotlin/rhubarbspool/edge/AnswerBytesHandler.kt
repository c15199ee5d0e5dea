/*
 * Bounds the bytes that a server sends in response to one call, whatever they are: interim responses, the head, the
 * body and its framing.
 */
package rhubarbspool.edge

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/** Calls [onExcess] once more than [limit] bytes have arrived, and discards all bytes from then on. */
internal class AnswerBytesHandler(private val limit: Int, private val onExcess: () -> Unit) :
    ChannelInboundHandlerAdapter() {
    private var received = 0L

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val wasExceeded = received > limit
        if (message is ByteBuf) received += message.readableBytes()
        if (received <= limit) {
            context.fireChannelRead(message)
        } else {
            ReferenceCountUtil.release(message)
            if (!wasExceeded) onExcess()
        }
    }
}
