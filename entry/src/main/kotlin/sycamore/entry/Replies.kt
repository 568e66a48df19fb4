package sycamore.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.channels.ChannelResult
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.channels.produce
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.links.Begun
import sycamore.links.Message
import sycamore.links.Part
import sycamore.links.Refused
import sycamore.links.Whole
import sycamore.model.CallId
import sycamore.programs.Outcome
import sycamore.programs.Refusal
import kotlin.time.Duration

/**
 * Replies of the call [id], read by the blocking thread that serves the caller.
 *
 * Checks that the parts follow each other without a gap up to the length of the whole answer. Whatever keeps the answer
 * from being whole is the last reply, as a [Refused].
 *
 * @param silence the longest time between two replies.
 */
internal class Replies(
    private val id: CallId,
    flow: Flow<Message>,
    private val silence: Duration,
    private val trace: RequestTrace,
) : AutoCloseable {
    /** Unconfined, so that the thread that reads the link wakes the caller's thread without another in between. */
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Unconfined)
    private val channel: ReceiveChannel<Message> =
        scope.produce(capacity = BUFFERED) { flow.collect { send(it) } }
    private var received = 0L

    /** The next reply: one [Begun] and any number of [Part], then one [Whole] or [Refused]. Blocks until there is one. */
    fun next(): Message {
        val result = ready() ?: runBlocking { withTimeoutOrNull(silence) { channel.receiveCatching() } }
        if (result == null) return broken(HttpStatus.GATEWAY_TIMEOUT, "no reply for $silence")
        return result.getOrNull()?.let(::checked) ?: broken(HttpStatus.BAD_GATEWAY, reason(result))
    }

    /** The next reply if there is one already, which costs no event loop. */
    private fun ready(): ChannelResult<Message>? = channel.tryReceive().takeIf { it.isSuccess }

    private fun reason(result: ChannelResult<Message>): String =
        result.exceptionOrNull()?.message?.let { "the answer broke off: $it" } ?: "the answer broke off"

    private fun checked(reply: Message): Message =
        when (reply) {
            is Begun -> if (reply.id == id) begun(reply) else mismatch(reply.id)
            is Part -> if (reply.id == id) part(reply) else mismatch(reply.id)
            is Whole -> if (reply.id == id) whole(reply) else mismatch(reply.id)
            is Refused -> reply
            else -> broken(HttpStatus.BAD_GATEWAY, "the home sent ${reply::class.simpleName} instead of an answer")
        }

    private fun begun(begun: Begun): Message = begun.also { trace.program = it.program }

    private fun part(part: Part): Message {
        trace.partCame()
        if (part.offset > received) return gap(part.offset)
        val known = (received - part.offset).coerceAtMost(part.bytes.size.toLong()).toInt()
        val fresh = if (known == 0) part else part.copy(offset = received, bytes = part.bytes.drop(known).toByteArray())
        received += fresh.bytes.size
        return fresh
    }

    private fun whole(whole: Whole): Message = if (whole.length == received) whole else gap(whole.length)

    private fun gap(offset: Long) =
        broken(HttpStatus.BAD_GATEWAY, "bytes $received to $offset of the answer are missing")

    private fun mismatch(other: CallId) =
        broken(HttpStatus.BAD_GATEWAY, "an answer to call $other came instead of the one to $id")

    /** Why [reply] at its place makes the answer unusable. */
    fun outOfOrder(reply: Message): Refusal =
        broken(HttpStatus.BAD_GATEWAY, "${reply::class.simpleName} came out of order").refusal

    private fun broken(
        status: Int,
        detail: String,
    ): Refused {
        close()
        return Refused(id, Refusal(Outcome.UNKNOWN, status, detail))
    }

    /** Takes note that the answer is cut off because of [refusal]. */
    fun cutOff(refusal: Refusal) {
        trace.cutOff = refusal
    }

    override fun close() = channel.cancel()

    private companion object {
        const val BUFFERED = 64
    }
}
