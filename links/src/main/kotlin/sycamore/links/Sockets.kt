package sycamore.links

import kotlinx.coroutines.suspendCancellableCoroutine
import sycamore.model.Address
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.SelectionKey
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** Opens a pipe to the daemon at an address. */
internal typealias Dial = suspend (to: Address) -> Pipe

/** Returns a [Dial] that uses TCP. */
internal fun dialTcp(
    loop: LinkLoop,
    traffic: LinkTraffic,
): Dial =
    { to ->
        val channel = SocketChannel.open()
        try {
            loop.connect(channel, to)
            startPipe(channel, loop, traffic)
        } catch (e: Throwable) {
            loop.execute { channel.close() }
            throw e
        }
    }

private fun startPipe(
    channel: SocketChannel,
    loop: LinkLoop,
    traffic: LinkTraffic,
): SocketPipe {
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
    channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true)
    return SocketPipe(channel, loop, traffic).start()
}

private suspend fun LinkLoop.connect(
    channel: SocketChannel,
    to: Address,
) {
    channel.configureBlocking(false)
    if (channel.connect(InetSocketAddress(to.ip, to.port))) return
    suspendCancellableCoroutine { continuation ->
        register(channel, SelectionKey.OP_CONNECT, { key, _ ->
            try {
                channel.finishConnect()
                key.interestOps(0)
                continuation.resume(Unit)
            } catch (e: IOException) {
                continuation.resumeWithException(e)
            }
        })
    }
}

/** Listens on [address], and passes a pipe for each connection to [onAccepted]. */
internal fun LinkLoop.listen(
    address: Address,
    backlog: Int,
    traffic: LinkTraffic,
    onAccepted: (SocketPipe) -> Unit,
): ServerSocketChannel {
    val server = ServerSocketChannel.open()
    try {
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true)
        server.bind(InetSocketAddress(address.ip, address.port), backlog)
    } catch (e: IOException) {
        server.close()
        throw e
    }
    register(server, SelectionKey.OP_ACCEPT, { _, _ ->
        while (true) onAccepted(startPipe(server.accept() ?: break, this, traffic))
    })
    return server
}
