/*
 * Bounds what is read from one connection in one turn of its event loop, and with it the messages that are handled
 * before the other connections and the timers have their turn. By default it is 1 MB, which is 170,000 chunks of a
 * byte.
 */
package rhubarbspool.edge

import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.RecvByteBufAllocator

/** The budget of each connection; an option of the bootstraps that create connections. */
object ReadBudget {
    /** Initial size of a read; small messages need no more. */
    private const val INITIAL_BYTES = 2_048
    private const val MINIMUM_BYTES = 64

    /** Size of the largest part of a body that a decoder passes on. */
    private const val MAXIMUM_BYTES = 16_384
    private const val READS = 2

    /** An allocator of the buffers that are read into, for the option `RECVBUF_ALLOCATOR`. */
    fun allocator(): RecvByteBufAllocator =
        AdaptiveRecvByteBufAllocator(MINIMUM_BYTES, INITIAL_BYTES, MAXIMUM_BYTES).maxMessagesPerRead(READS)
}
