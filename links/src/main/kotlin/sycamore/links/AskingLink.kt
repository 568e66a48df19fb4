package sycamore.links

import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withContext
import sycamore.model.Address
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** The dialling end of a link. Sends messages and delivers the replies of each exchange to its collector. */
internal class AskingLink(
    pipe: Pipe,
    private val to: Address,
    private val bounds: LinkBounds,
    private val time: TimeSource,
) {
    private val connection = Connection(pipe, bounds, time, pings = true) { exchanges.isNotEmpty() }
    private val exchanges = ConcurrentHashMap<Long, Channel<Message>>()
    private val nextStream = AtomicLong()

    @Volatile
    private var lastUse: TimeMark = time.markNow()

    @Volatile
    private var isLeaving = false

    /** Whether new exchanges can begin. */
    val isOpen: Boolean get() = connection.closeReason == null && !isLeaving

    /** Whether no exchange has used the link for [LinkBounds.unusedTimeout]. */
    val isUnused: Boolean get() = exchanges.isEmpty() && lastUse.elapsedNow() > bounds.unusedTimeout

    /** Runs the link until it is lost, then fails all exchanges on it. */
    suspend fun run() {
        try {
            connection.run(::handle)
        } finally {
            val lost = LinkException("link to $to was lost: ${connection.closeReason}", sent = true)
            exchanges.values.forEach { it.close(lost) }
        }
    }

    /** Closes the link. */
    fun close(reason: String) = connection.close(reason)

    /** See [Connection.check]. */
    fun check(wasPaused: Boolean) = connection.check(wasPaused)

    /** Sends [message] and emits the replies. Cancels the exchange at the peer if the collector stops early. */
    fun exchange(message: Message): Flow<Message> =
        flow {
            val stream = nextStream.incrementAndGet()
            val replies = Channel<Message>(bounds.window + 1)
            exchanges[stream] = replies
            lastUse = time.markNow()
            try {
                sendRequest(stream, message)
                var consumed = 0
                for (reply in replies) {
                    emit(reply)
                    if (++consumed >= bounds.window / 2) {
                        grantCredit(stream, consumed)
                        consumed = 0
                    }
                }
            } finally {
                release(stream)
            }
        }

    private suspend fun sendRequest(
        stream: Long,
        message: Message,
    ) {
        val bytes = FrameCodec.encodeMessage(message)
        if (bytes.size > bounds.maxFrameBytes - MAX_ENVELOPE_BYTES) {
            throw LinkException("a message of ${bytes.size} bytes is too large", sent = false)
        }
        if (!isOpen) throw LinkException("link to $to is closed", sent = false)
        connection.probe()
        try {
            connection.send(Frame.Ask(stream, bytes, bounds.window))
        } catch (e: IOException) {
            throw LinkException("link to $to was lost: ${e.message}", sent = true)
        }
    }

    private suspend fun grantCredit(
        stream: Long,
        count: Int,
    ) {
        if (!exchanges.containsKey(stream)) return
        try {
            connection.send(Frame.Credit(stream, count))
        } catch (_: IOException) {
            // The lost link fails the exchange.
        }
    }

    /** Forgets exchange [stream], and cancels it at the peer if it has not ended. */
    private suspend fun release(stream: Long) {
        lastUse = time.markNow()
        if (exchanges.remove(stream) == null || connection.closeReason != null) return
        withContext(NonCancellable) {
            try {
                connection.send(Frame.Cancel(stream))
            } catch (_: IOException) {
                // The peer cancels the exchanges of a lost link by itself.
            }
        }
    }

    private fun handle(frame: Frame) {
        when (frame) {
            is Frame.Reply -> deliver(frame)
            is Frame.End -> exchanges.remove(frame.stream)?.close()
            is Frame.Fail -> {
                val failure = LinkException("$to failed: ${frame.reason}", sent = frame.ran)
                exchanges.remove(frame.stream)?.close(failure)
            }
            Frame.Bye -> isLeaving = true
            else -> throw ProtocolException("expected a reply, found ${frame::class.simpleName}")
        }
        if (isLeaving && exchanges.isEmpty()) connection.close("the peer is leaving")
    }

    private fun deliver(frame: Frame.Reply) {
        val replies = (if (frame.isLast) exchanges.remove(frame.stream) else exchanges[frame.stream]) ?: return
        val message = FrameCodec.decodeMessage(frame.message) ?: Unsupported
        if (replies.trySend(message).isFailure) throw ProtocolException("more replies than the window allows")
        if (frame.isLast) replies.close()
    }

    private companion object {
        /** Upper bound of the bytes that an [Envelope] adds to its message. */
        const val MAX_ENVELOPE_BYTES = 64
    }
}
