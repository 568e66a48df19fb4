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

/** Forwards callers' calls to the homes of their programs. [EntryHttp] serves it to callers over HTTP. */
class EntryDaemon internal constructor(
    environment: EntryEnvironment,
) {
    private val self = environment.self
    private val inForce = environment.inForce
    private val directory = Directory(environment.keys)
    private val peers = Peers(environment.self.name, environment.members, environment.exchange)
    private val time = ClockTime.timeSourceOf(environment.clock)
    private val loads = HostLoads(peers, inForce, time)
    private val placement = HomePlacement(self.place, inForce, environment.members, loads)
    private val router = Router(environment.members, peers, directory, time, placement::choose)
    private val retained = RetainedRecords()

    private val inProgress = AtomicInteger()

    /** The number of calls in progress. */
    val callsInProgress: Int get() = inProgress.get()

    /** Sends [call] of [service] to the home of its program and emits the replies. */
    fun call(
        service: Service,
        call: Call,
    ): Flow<Message> =
        router
            .send(service, call)
            .onStart { inProgress.incrementAndGet() }
            .onCompletion { inProgress.decrementAndGet() }

    /** Starts a program of [service] and emits its view, or a refusal. */
    fun start(
        service: Service,
        start: StartProgram,
    ): Flow<Message> = router.start(service, start)

    /** Sends [message] about [program] to its home and emits the answer. */
    fun ask(
        program: ProgramId,
        message: Message,
    ): Flow<Message> = router.ask(program, message)

    /** Answers [message], which another daemon sent. */
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

    /** Polls the loads of the hosts until cancelled. */
    suspend fun run(): Unit = loads.run()

    private fun retain(retain: RetainRecords): Message {
        val isKept = retained.retain(retain.home, retain.committed, retain.records)
        return if (isKept) Done else Declined("the home has ended or there is no room", RETAIN_RETRY_AFTER)
    }

    private fun fence(fence: FenceHome): Message {
        directory.recordSuccessor(fence.home, fence.successor)
        val isKnown = retained.hasRetained(fence.home)
        return FencedHomeRecords(fence.home, retained.end(fence.home), isKnown)
    }

    private fun configuration(request: GetConfiguration): Flow<Message> {
        val configuration = inForce.configuration.value
        if (configuration == null || configuration.generation <= request.above) return flowOf()
        return flowOf(ConfigurationText(configuration.generation, ConfigurationCodec.toJson(configuration)))
    }

    private companion object {
        val RETAIN_RETRY_AFTER = 1.seconds
    }
}
