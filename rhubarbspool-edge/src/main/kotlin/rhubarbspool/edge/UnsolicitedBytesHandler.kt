/*
 * Closes client connections that receive bytes while no call is in flight: such bytes belong to no response.
 */
package rhubarbspool.edge

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/**
 * Closes a connection that fails or receives bytes while its pipeline has no handler of type [exchangeHandler]; calls
 * [onBytes] for such bytes.
 */
class UnsolicitedBytesHandler(
    private val exchangeHandler: Class<out ChannelHandler>,
    private val onBytes: () -> Unit = {},
) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf && context.pipeline().get(exchangeHandler) == null) {
            ReferenceCountUtil.release(message)
            onBytes()
            context.close()
        } else {
            context.fireChannelRead(message)
        }
    }

    @Deprecated("Overrides a deprecated method of Netty")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (context.pipeline().get(exchangeHandler) != null) context.fireExceptionCaught(cause)
        context.close()
    }
}
