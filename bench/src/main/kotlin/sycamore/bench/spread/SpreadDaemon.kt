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

/** The control plane of one daemon, connected to other daemons by links over loopback. */
internal class SpreadDaemon private constructor(
    val inForce: InForce,
    private val server: LinkServer,
    private val client: LinkClient,
    private val countKeyValueCalls: () -> Long,
) : AutoCloseable {
    /** Number of calls to the key-value service. */
    val keyValueCalls: Long get() = countKeyValueCalls()

    /** Number of bytes in link frames, sent and received. */
    val bytes: Long get() =
        server.traffic.sentBytes + server.traffic.receivedBytes + client.traffic.sentBytes +
            client.traffic.receivedBytes

    override fun close() {
        client.close()
        server.close()
    }

    companion object {
        /** Starts the daemon [self], which links to the other hosts in [listed]. */
        suspend fun start(
            scope: CoroutineScope,
            self: Host,
            listed: List<ListedHost>,
            keyValue: KeyValue,
        ): SpreadDaemon {
            val inForce = InForce()
            val members = Members().apply { update(listed) }
            val countingClient = keyValueClient(keyValue)
            val client = LinkClient(self.name)
            val control = ControlPlane(self, Role.HOST, members, inForce, countingClient, client::exchange)
            val server =
                LinkServer.listen(self.name, self.address, serve = control.wrapHandler { _, _ -> flowOf(Unsupported) })
            scope.launch { control.run() }
            return SpreadDaemon(inForce, server, client) { countingClient.counts.total }
        }
    }
}
