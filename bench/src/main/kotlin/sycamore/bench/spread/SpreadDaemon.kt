package sycamore.bench.spread

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.launch
import sycamore.daemon.ControlPlane
import sycamore.daemon.InForce
import sycamore.daemon.Members
import sycamore.links.LinkClient
import sycamore.links.LinkServer
import sycamore.links.Role
import sycamore.links.Unsupported
import sycamore.model.Host
import sycamore.services.KeyValue
import sycamore.services.ListedHost
import sycamore.services.keyValueClient

/** The control plane of one daemon, with links over loopback. */
internal class SpreadDaemon private constructor(
    val inForce: InForce,
    private val server: LinkServer,
    private val client: LinkClient,
    private val calls: () -> Long,
) : AutoCloseable {
    /** Calls to the key-value service. */
    val keyValueCalls: Long get() = calls()

    /** Bytes of frames, both directions. */
    val bytes: Long get() =
        server.traffic.sentBytes + server.traffic.receivedBytes + client.traffic.sentBytes +
            client.traffic.receivedBytes

    override fun close() {
        client.close()
        server.close()
    }

    companion object {
        /** Starts the daemon of [self] among [listed]. */
        suspend fun start(
            scope: CoroutineScope,
            self: Host,
            listed: List<ListedHost>,
            keys: KeyValue,
        ): SpreadDaemon {
            val inForce = InForce()
            val members = Members().apply { update(listed) }
            val counted = keyValueClient(keys)
            val client = LinkClient(self.name)
            val control = ControlPlane(self, Role.HOST, members, inForce, counted, client::exchange)
            val server =
                LinkServer.listen(self.name, self.address, serve = control.wrapHandler { _, _ -> flowOf(Unsupported) })
            scope.launch { control.run() }
            return SpreadDaemon(inForce, server, client) { counted.counts.total }
        }
    }
}
