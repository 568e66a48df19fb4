package sycamore.entry

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.flow.onCompletion
import kotlinx.coroutines.flow.onStart
import sycamore.daemon.ClockTime
import sycamore.daemon.ConfigurationCodec
import sycamore.daemon.Directory
import sycamore.daemon.HostLoads
import sycamore.daemon.Peers
import sycamore.links.Call
import sycamore.links.ConfigurationText
import sycamore.links.Declined
import sycamore.links.DiscardRetainedRecords
import sycamore.links.Done
import sycamore.links.FenceHome
import sycamore.links.FencedHomeRecords
import sycamore.links.GetConfiguration
import sycamore.links.GetHostStatus
import sycamore.links.HostStatus
import sycamore.links.Message
import sycamore.links.RetainRecords
import sycamore.links.StartProgram
import sycamore.links.Unsupported
import sycamore.model.HostName
import sycamore.model.ProgramId
import sycamore.model.Service
import sycamore.programs.RetainedRecords
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

/** Carries callers' calls to the homes of their programs. HTTP is on top of it, in [EntryHttp]. */
class EntryDaemon internal constructor(
    world: EntryWorld,
) {
    private val self = world.self
    private val inForce = world.inForce
    private val directory = Directory(world.keys)
    private val peers = Peers(world.self.name, world.members, world.exchange)
    private val time = ClockTime.timeSourceOf(world.clock)
    private val loads = HostLoads(peers, inForce, time)
    private val placement = HomePlacement(self.place, inForce, world.members, loads)
    private val router = Router(world.members, peers, directory, time, placement::choose)
    private val retained = RetainedRecords()

    private val inProgress = AtomicInteger()

    /** How many calls are in progress. */
    val calls: Int get() = inProgress.get()

    /** Runs [call] of [service] and yields its answer. */
    fun call(
        service: Service,
        call: Call,
    ): Flow<Message> =
        router
            .send(service, call)
            .onStart { inProgress.incrementAndGet() }
            .onCompletion { inProgress.decrementAndGet() }

    /** Starts a program of [service] and yields its view. */
    fun start(
        service: Service,
        start: StartProgram,
    ): Flow<Message> = router.start(service, start)

    /** Sends [message] about [program] to its home and yields the answer. */
    fun ask(
        program: ProgramId,
        message: Message,
    ): Flow<Message> = router.ask(program, message)

    /** Answers a message of another daemon. */
    fun serve(
        @Suppress("UNUSED_PARAMETER") from: HostName,
        message: Message,
    ): Flow<Message> =
        when (message) {
            is RetainRecords -> flowOf(retain(message))
            is FenceHome -> flowOf(fence(message))
            is DiscardRetainedRecords -> flowOf(Done.also { retained.discard(message.home) })
            is GetHostStatus -> flowOf(HostStatus(self, leaving = false, queued = 0, running = 0, inForce.generation))
            is GetConfiguration -> configuration(message)
            else -> flowOf(Unsupported)
        }

    /** Does the daemon's background work until cancelled. */
    suspend fun run(): Unit = loads.run()

    private fun retain(retain: RetainRecords): Message {
        val isKept = retained.retain(retain.home, retain.committed, retain.records)
        return if (isKept) Done else Declined("the home has ended or there is no room", RETRY)
    }

    private fun fence(fence: FenceHome): Message {
        directory.recordSuccessor(fence.home, fence.successor)
        val isKnown = retained.hasRetained(fence.home)
        return FencedHomeRecords(fence.home, retained.end(fence.home), isKnown)
    }

    private fun configuration(ask: GetConfiguration): Flow<Message> {
        val configuration = inForce.configuration.value
        if (configuration == null || configuration.generation <= ask.above) return flowOf()
        return flowOf(ConfigurationText(configuration.generation, ConfigurationCodec.toJson(configuration)))
    }

    private companion object {
        val RETRY = 1.seconds
    }
}
