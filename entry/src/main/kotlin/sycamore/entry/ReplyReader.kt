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
 * Reads the replies of the call [id] for the blocking thread that serves the caller.
 *
 * Checks that the parts follow each other without a gap up to the length of the complete answer. A failure that
 * leaves the answer incomplete is returned as the last reply, as a [Refused].
 *
 * @param replyTimeout the longest time between two replies.
 */
internal class ReplyReader(
    private val id: CallId,
    flow: Flow<Message>,
    private val replyTimeout: Duration,
    private val trace: RequestTrace,
) : AutoCloseable {
    /** Unconfined, so that the thread that reads the link wakes the caller's thread without a thread between. */
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Unconfined)
    private val channel: ReceiveChannel<Message> =
        scope.produce(capacity = BUFFERED_REPLIES) { flow.collect { send(it) } }
    private var received = 0L

    /** Waits for the next reply: one [Begun] and any number of [Part], then one [Whole] or [Refused]. */
    fun next(): Message {
        val result = poll() ?: runBlocking { withTimeoutOrNull(replyTimeout) { channel.receiveCatching() } }
        if (result == null) return fail(HttpStatus.GATEWAY_TIMEOUT, "no reply for $replyTimeout")
        return result.getOrNull()?.let(::validate) ?: fail(HttpStatus.BAD_GATEWAY, reason(result))
    }

    /** Returns the next reply if it has already arrived, without the cost of an event loop. */
    private fun poll(): ChannelResult<Message>? = channel.tryReceive().takeIf { it.isSuccess }

    private fun reason(result: ChannelResult<Message>): String =
        result.exceptionOrNull()?.message?.let { "the answer broke off: $it" } ?: "the answer broke off"

    private fun validate(reply: Message): Message =
        when (reply) {
            is Begun -> if (reply.id == id) recordBegun(reply) else mismatch(reply.id)
            is Part -> if (reply.id == id) withoutKnownBytes(reply) else mismatch(reply.id)
            is Whole -> if (reply.id == id) checkLength(reply) else mismatch(reply.id)
            is Refused -> reply
            else -> fail(HttpStatus.BAD_GATEWAY, "the home sent ${reply::class.simpleName} instead of an answer")
        }

    private fun recordBegun(begun: Begun): Message = begun.also { trace.program = it.program }

    private fun withoutKnownBytes(part: Part): Message {
        trace.recordPart()
        if (part.offset > received) return gap(part.offset)
        val known = (received - part.offset).coerceAtMost(part.bytes.size.toLong()).toInt()
        val fresh = if (known == 0) part else part.copy(offset = received, bytes = part.bytes.drop(known).toByteArray())
        received += fresh.bytes.size
        return fresh
    }

    private fun checkLength(whole: Whole): Message = if (whole.length == received) whole else gap(whole.length)

    private fun gap(offset: Long) = fail(HttpStatus.BAD_GATEWAY, "bytes $received to $offset of the answer are missing")

    private fun mismatch(other: CallId) =
        fail(HttpStatus.BAD_GATEWAY, "an answer to call $other came instead of the one to $id")

    /** Closes this reader and returns the refusal for an answer that [reply], out of order, makes unusable. */
    fun outOfOrder(reply: Message): Refusal =
        fail(HttpStatus.BAD_GATEWAY, "${reply::class.simpleName} came out of order").refusal

    private fun fail(
        status: Int,
        detail: String,
    ): Refused {
        close()
        return Refused(id, Refusal(Outcome.UNKNOWN, status, detail))
    }

    /** Records that the answer is cut off because of [refusal]. */
    fun recordCutOff(refusal: Refusal) {
        trace.cutOffReason = refusal
    }

    override fun close() = channel.cancel()

    private companion object {
        const val BUFFERED_REPLIES = 64
    }
}
