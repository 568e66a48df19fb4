package sycamore.entry

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flowOf
import sycamore.links.Call
import sycamore.links.Message
import sycamore.links.StartProgram
import sycamore.links.Unsupported
import sycamore.model.HostName
import sycamore.model.ProgramId
import sycamore.model.Service

/** Carries callers' calls to the homes of their programs. HTTP is on top of it, in [EntryHttp]. */
class EntryDaemon internal constructor(
    world: EntryWorld,
) {
    private val router = Router(world.members, world.exchange)

    /** Runs [call] of [service] and yields its answer. */
    fun call(
        service: Service,
        call: Call,
    ): Flow<Message> = router.send(service, call)

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
    @Suppress("UNUSED_PARAMETER")
    fun serve(
        from: HostName,
        message: Message,
    ): Flow<Message> = flowOf(Unsupported)

    /** Does the daemon's background work until cancelled. */
    suspend fun run(): Unit = awaitCancellation()
}
