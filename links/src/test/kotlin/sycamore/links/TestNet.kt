package sycamore.links

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.testTimeSource
import sycamore.model.Address
import sycamore.model.HostName

/** A client and an acceptor in virtual time, connected by pipes in memory. */
internal class TestNet(
    private val scope: TestScope,
    private val bounds: LinkBounds = LinkBounds(),
    clientKeys: LinkKeys = LinkKeys.NONE,
    serverKeys: LinkKeys = LinkKeys.NONE,
    clientVersions: Versions = Versions(),
    handler: MessageHandler,
) {
    val address = Address("10.0.0.1", 1)
    val connections = ArrayList<TestConnection>()
    val acceptor = LinkAcceptor(Handshake(HostName("server"), serverKeys), bounds, scope.testTimeSource, handler)
    private val dial: Dial = { TestConnection(scope.backgroundScope, acceptor).also(connections::add).dialled }
    private val clientHandshake = Handshake(HostName("client"), clientKeys, clientVersions)
    private val client =
        LinkClient(
            clientHandshake,
            bounds,
            scope.testTimeSource,
            scope.backgroundScope.coroutineContext,
            dial,
        )

    init {
        scope.backgroundScope.launch { acceptor.monitor() }
    }

    fun ask(message: Message = Done): Flow<Message> = client.exchange(address, message)

    fun close() = client.close()
}
