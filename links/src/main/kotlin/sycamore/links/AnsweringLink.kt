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

/** The accepting end of a link: answers messages with [serve]. */
internal class AnsweringLink(
    pipe: Pipe,
    private val peer: HostName,
    private val bounds: LinkBounds,
    time: TimeSource,
    private val serve: Serve,
) {
    private val connection = Connection(pipe, bounds, time, pings = false) { exchanges.isNotEmpty() }
    private val exchanges = ConcurrentHashMap<Long, Answering>()

    @Volatile
    private var isLeaving = false

    private class Answering(
        val job: Job,
        val credit: MutableStateFlow<Int>,
    )

    /** Whether exchanges are in progress, or their last replies wait to be written. */
    val isBusy: Boolean get() = exchanges.isNotEmpty() || connection.isWriting

    /** Runs the link until it is lost; then cancels what is still being answered. */
    suspend fun run(): String =
        coroutineScope {
            val answers = CoroutineScope(coroutineContext + SupervisorJob(coroutineContext.job))
            try {
                connection.run { handle(it, answers) }
            } finally {
                answers.cancel()
            }
        }

    /** Takes no new exchanges from now on. */
    suspend fun leave() {
        isLeaving = true
        sendOrDrop(Frame.Bye)
    }

    /** Closes the link. */
    fun close(reason: String) = connection.close(reason)

    /** See [Connection.check]. */
    fun check(wasPaused: Boolean) = connection.check(wasPaused)

    private suspend fun handle(
        frame: Frame,
        answers: CoroutineScope,
    ) {
        when (frame) {
            is Frame.Ask -> begin(frame, answers)
            is Frame.Cancel -> exchanges.remove(frame.stream)?.job?.cancel()
            is Frame.Credit -> credit(frame)
            else -> throw ProtocolException("expected an ask, found ${frame::class.simpleName}")
        }
    }

    private fun credit(frame: Frame.Credit) {
        if (frame.count !in 1..bounds.window) throw ProtocolException("expected a credit of 1 to ${bounds.window}")
        exchanges[frame.stream]?.credit?.update { minOf(it + frame.count, bounds.window) }
    }

    private suspend fun begin(
        ask: Frame.Ask,
        answers: CoroutineScope,
    ) {
        if (isLeaving) return sendOrDrop(Frame.Fail(ask.stream, ran = false, "the daemon is leaving"))
        if (exchanges.size >= bounds.exchanges) {
            return sendOrDrop(Frame.Fail(ask.stream, ran = false, "${bounds.exchanges} exchanges are in progress"))
        }
        val credit = MutableStateFlow(ask.window.coerceIn(1, bounds.window))
        val job = answers.launch(start = CoroutineStart.LAZY) { answer(ask, credit) }
        if (exchanges.putIfAbsent(ask.stream, Answering(job, credit)) != null) {
            throw ProtocolException("exchange ${ask.stream} is in progress already")
        }
        job.start()
    }

    private suspend fun answer(
        ask: Frame.Ask,
        credit: MutableStateFlow<Int>,
    ) {
        try {
            val message = FrameCodec.decodeMessage(ask.message)
            val replies = if (message == null) flowOf(Unsupported) else serve(peer, message)
            var hasEnded = false
            replies.collect { reply ->
                reply(ask.stream, reply, credit)
                hasEnded = reply is LastReply
            }
            if (hasEnded) exchanges.remove(ask.stream) else end(Frame.End(ask.stream))
        } catch (e: CancellationException) {
            exchanges.remove(ask.stream)
            throw e
        } catch (_: IOException) {
            exchanges.remove(ask.stream)
        } catch (e: Exception) {
            log.warn(e) { "answering $peer failed" }
            end(Frame.Fail(ask.stream, ran = true, "${e::class.simpleName}: ${e.message}"))
        }
    }

    private suspend fun reply(
        stream: Long,
        message: Message,
        credit: MutableStateFlow<Int>,
    ) {
        credit.first { it > 0 }
        credit.update { it - 1 }
        connection.send(Frame.Reply(stream, FrameCodec.encodeMessage(message), isLast = message is LastReply))
    }

    private suspend fun end(frame: Frame) {
        sendOrDrop(frame)
        exchanges.remove(if (frame is Frame.End) frame.stream else (frame as Frame.Fail).stream)
    }

    private suspend fun sendOrDrop(frame: Frame) {
        try {
            connection.send(frame)
        } catch (_: IOException) {
            // The reader notices a lost connection by itself.
        }
    }
}
