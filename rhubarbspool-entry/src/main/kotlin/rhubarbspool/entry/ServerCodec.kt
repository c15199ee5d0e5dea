/*
 * Encodes the request and decodes the response of one exchange. What one read has delivered in many small parts is
 * passed on as one, since each part costs a search for status lines and a system call of its own. A response that
 * consists of little but framing is passed on as an invalid one.
 */
package rhubarbspool.entry

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** The handlers between a connection and the exchange that it carries. */
internal class ServerCodec {
    private val framing = ResponseFraming()
    private val counter = ByteCounter(framing)
    private val codec = HttpClientCodec(MAXIMUM_LINE_BYTES, MAXIMUM_HEADER_BYTES, MAXIMUM_CHUNK_BYTES)
    private val joiner = ContentJoiner(framing)

    /** Adds the handlers to the end of [pipeline]. */
    fun addTo(pipeline: ChannelPipeline) {
        pipeline.addLast(counter, codec, joiner)
    }

    /** Removes the handlers from [pipeline]; what the decoder still holds is passed on. */
    fun removeFrom(pipeline: ChannelPipeline) {
        listOf(codec, counter, joiner).filter { pipeline.context(it) != null }.forEach(pipeline::remove)
    }

    companion object {
        /** Limit of the bytes of a head. */
        const val MAXIMUM_HEADER_BYTES = 32_768
        private const val MAXIMUM_LINE_BYTES = 8_192
        private const val MAXIMUM_CHUNK_BYTES = 16_384
    }
}

private class ByteCounter(private val framing: ResponseFraming) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf) framing.onReceived(message.readableBytes())
        context.fireChannelRead(message)
    }
}

private class ContentJoiner(private val framing: ResponseFraming) : ChannelInboundHandlerAdapter() {
    private var joined: ByteBuf? = null
    private var isInvalid = false

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (isInvalid) {
            ReferenceCountUtil.release(message)
            return
        }
        if (message is HttpContent) framing.onBody(message.content().readableBytes())
        if (isSmallPart(message)) {
            join(context, message as HttpContent)
        } else {
            passJoined(context)
            context.fireChannelRead(message)
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        passJoined(context)
        if (!isInvalid && framing.isExcessive) {
            isInvalid = true
            val invalid = DefaultLastHttpContent()
            invalid.decoderResult = DecoderResult.failure(TooLongFrameException("more framing than body"))
            context.fireChannelRead(invalid)
        }
        context.fireChannelReadComplete()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        passJoined(context)
        context.fireChannelInactive()
    }

    override fun handlerRemoved(context: ChannelHandlerContext) {
        joined?.release()
        joined = null
    }

    private fun isSmallPart(message: Any) = message is HttpContent && message !is LastHttpContent &&
        message.decoderResult().isSuccess && message.content().readableBytes() < SMALL_BYTES

    private fun join(context: ChannelHandlerContext, part: HttpContent) {
        val bytes = joined ?: context.alloc().buffer(SMALL_BYTES).also { joined = it }
        bytes.writeBytes(part.content())
        part.release()
    }

    private fun passJoined(context: ChannelHandlerContext) {
        val bytes = joined ?: return
        joined = null
        context.fireChannelRead(DefaultHttpContent(bytes))
    }

    private companion object {
        /** A part of at least this size is passed on as it is, without being copied. */
        const val SMALL_BYTES = 1_024
    }
}
