/*
 * A listening socket that accepts the connections in its backlog before it closes. The kernel establishes connections
 * before they are accepted, and resets those that are still in the backlog when the socket closes.
 */
package rhubarbspool.router

import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel

/** Accepts all connections in the backlog on close. */
internal class DrainingServerChannel : NioServerSocketChannel() {
    override fun doClose() {
        val listening = javaChannel()
        if (listening.isOpen && isActive) {
            generateSequence { listening.accept() }.forEach { pipeline().fireChannelRead(NioSocketChannel(this, it)) }
            pipeline().fireChannelReadComplete()
        }
        super.doClose()
    }
}
