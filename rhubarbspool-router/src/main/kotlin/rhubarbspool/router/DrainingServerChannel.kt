/*
 * A listening socket that takes what is already connected before it closes. The kernel completes connections before
 * they are accepted, and resets those that are left when the socket closes.
 */
package rhubarbspool.router

import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel

/** Accepts all waiting connections when it is closed. */
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
