package sycamore.links

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import sycamore.model.HostName
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/**
 * The accepting end of a link. Passes each message that arrives to [handler] and sends the replies back.
 *
 * @param peer the process at the dialling end, as named in the handshake.
 */
internal class AnsweringLink(
    pipe: Pipe,
    private val peer: HostName,
    private val bounds: LinkBounds,
    time: TimeSource,
    private val handler: MessageHandler,
) {
    private val connection = Connection(pipe, bounds, time, pings = false) { exchanges.isNotEmpty() }
    private val exchanges = ConcurrentHashMap<Long, OpenExchange>()

    @Volatile
    private var isLeaving = false

    /**
     * An exchange that is being answered.
     *
     * @property credit number of replies that the peer accepts before it grants more.
     */
    private class OpenExchange(
        val job: Job,
        val credit: MutableStateFlow<Int>,
    )

    /** Whether exchanges are in progress, or their last replies are still queued for writing. */
    val isBusy: Boolean get() = exchanges.isNotEmpty() || connection.isWriting

    /** Runs the link until it is lost, then cancels the exchanges in progress. Returns why the link was lost. */
    suspend fun run(): String =
        coroutineScope {
            val answerScope = CoroutineScope(coroutineContext + SupervisorJob(coroutineContext.job))
            try {
                connection.run { handle(it, answerScope) }
            } finally {
                answerScope.cancel()
            }
        }

    /** Rejects new exchanges from now on, and notifies the peer of that. */
    suspend fun leave() {
        isLeaving = true
        sendIfOpen(Frame.Bye)
    }

    /** Closes the link. */
    fun close(reason: String) = connection.close(reason)

    /** See [Connection.check]. */
    fun check(wasPaused: Boolean) = connection.check(wasPaused)

    private suspend fun handle(
        frame: Frame,
        answerScope: CoroutineScope,
    ) {
        when (frame) {
            is Frame.Ask -> startExchange(frame, answerScope)
            is Frame.Cancel -> exchanges.remove(frame.stream)?.job?.cancel()
            is Frame.Credit -> addCredit(frame)
            else -> throw ProtocolException("expected an ask, found ${frame::class.simpleName}")
        }
    }

    private fun addCredit(frame: Frame.Credit) {
        if (frame.count !in 1..bounds.window) throw ProtocolException("expected a credit of 1 to ${bounds.window}")
        exchanges[frame.stream]?.credit?.update { minOf(it + frame.count, bounds.window) }
    }

    private suspend fun startExchange(
        ask: Frame.Ask,
        answerScope: CoroutineScope,
    ) {
        if (isLeaving) return sendIfOpen(Frame.Fail(ask.stream, ran = false, "the daemon is leaving"))
        if (exchanges.size >= bounds.maxExchanges) {
            return sendIfOpen(Frame.Fail(ask.stream, ran = false, "${bounds.maxExchanges} exchanges are in progress"))
        }
        val credit = MutableStateFlow(ask.window.coerceIn(1, bounds.window))
        val job = answerScope.launch(start = CoroutineStart.LAZY) { runExchange(ask, credit) }
        if (exchanges.putIfAbsent(ask.stream, OpenExchange(job, credit)) != null) {
            throw ProtocolException("exchange ${ask.stream} is in progress already")
        }
        job.start()
    }

    private suspend fun runExchange(
        ask: Frame.Ask,
        credit: MutableStateFlow<Int>,
    ) {
        try {
            val message = FrameCodec.decodeMessage(ask.message)
            val replies = if (message == null) flowOf(Unsupported) else handler(peer, message)
            var hasSentLast = false
            replies.collect { reply ->
                sendReply(ask.stream, reply, credit)
                hasSentLast = reply is LastReply
            }
            if (hasSentLast) exchanges.remove(ask.stream) else endExchange(Frame.End(ask.stream))
        } catch (e: CancellationException) {
            exchanges.remove(ask.stream)
            throw e
        } catch (_: IOException) {
            exchanges.remove(ask.stream)
        } catch (e: Exception) {
            log.warn(e) { "the handler of a message from $peer failed" }
            endExchange(Frame.Fail(ask.stream, ran = true, "${e::class.simpleName}: ${e.message}"))
        }
    }

    private suspend fun sendReply(
        stream: Long,
        message: Message,
        credit: MutableStateFlow<Int>,
    ) {
        credit.first { it > 0 }
        credit.update { it - 1 }
        connection.send(Frame.Reply(stream, FrameCodec.encodeMessage(message), isLast = message is LastReply))
    }

    private suspend fun endExchange(frame: Frame) {
        sendIfOpen(frame)
        exchanges.remove(if (frame is Frame.End) frame.stream else (frame as Frame.Fail).stream)
    }

    private suspend fun sendIfOpen(frame: Frame) {
        try {
            connection.send(frame)
        } catch (_: IOException) {
            // The loop that reads from this connection detects the loss and ends the link.
        }
    }
}
