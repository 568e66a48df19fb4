package sycamore.homes

import kotlinx.coroutines.flow.FlowCollector
import sycamore.forwarding.CallUpstream
import sycamore.forwarding.ConnectionUse
import sycamore.forwarding.ResponseEvent
import sycamore.forwarding.UpstreamException
import sycamore.forwarding.UpstreamRequest
import sycamore.forwarding.collectWhile
import sycamore.links.HeaderField
import sycamore.links.Message
import sycamore.links.RunTurn
import sycamore.links.TurnBegun
import sycamore.links.TurnBytes
import sycamore.links.TurnComplete
import sycamore.links.TurnInterrupted
import sycamore.links.TurnRefusal
import sycamore.links.TurnRefused
import sycamore.platform.CallHeaders
import sycamore.platform.ResponseHead
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Sends the prompt of one turn to an engine and streams the engine's answer. */
internal class EngineCall(
    private val callUpstream: CallUpstream,
    private val call: RunTurn,
    private val onLeaving: () -> Unit,
) {
    private var head: ResponseHead? = null
    private var connection: ConnectionUse? = null

    /** Sends [prompt] and emits all messages of the answer to [replies], including the one that ends it. */
    suspend fun run(
        prompt: ByteArray,
        timeLeft: Duration,
        replies: FlowCollector<Message>,
    ) {
        val headers = call.headers.map { it.name to it.value } + CallHeaders.upstreamHeaders(call.target.id, timeLeft)
        val request = UpstreamRequest(call.turn, call.target.address, call.method, call.path, headers, prompt)
        var end: Message = TurnInterrupted("the engine's answer ended early")
        try {
            callUpstream(request).collectWhile { event ->
                when (event) {
                    is ResponseEvent.Head -> handleHead(event, replies)
                    is ResponseEvent.Bytes -> replies.emit(TurnBytes(event.bytes))
                    is ResponseEvent.End -> if (head != null) end = TurnComplete()
                }
                head?.isNotRun != true
            }
            head?.takeIf { it.isNotRun }?.let { end = refusalOf(it) }
        } catch (e: UpstreamException) {
            val use = e.connection ?: connection
            end =
                if (e.sent) TurnInterrupted("the engine broke off: ${e.message}${on(use)}") else refusalOfUnreachable(e)
        } catch (e: UnusableAnswerException) {
            end = TurnInterrupted(e.message!!)
        }
        replies.emit(end)
    }

    private suspend fun handleHead(
        event: ResponseEvent.Head,
        replies: FlowCollector<Message>,
    ) {
        val answer = CallHeaders.decodeResponse(event.status, event.headers)
        head = answer
        connection = event.connection
        if (answer.isLeaving) onLeaving()
        if (answer.isNotRun) return
        if (answer.isUnconfirmedRefusal) {
            // The caller would conclude that its turn has not run.
            throw UnusableAnswerException(
                "the engine answered ${answer.status}, not that it did not run the turn${on(connection)}",
            )
        }
        if (answer.isContradictory) {
            throw UnusableAnswerException(
                "the engine answered ${answer.status} and that it did not run the turn${on(connection)}",
            )
        }
        if (answer.isEncoded) throw UnusableAnswerException("the engine's answer is encoded")
        if (answer.isSuccess && !answer.isStamped) throw UnusableAnswerException("the engine's answer is not signed")
        val headers = CallHeaders.filterForCaller(event.headers).map { HeaderField(it.first, it.second) }
        replies.emit(TurnBegun(event.status, headers))
    }

    private fun refusalOf(answer: ResponseHead): TurnRefused =
        when {
            answer.status == MISDIRECTED_REQUEST_STATUS ->
                TurnRefused(
                    TurnRefusal.TARGET_GONE,
                    "another upstream answers at ${call.target.address}${on(connection)}",
                )
            answer.isLeaving ->
                TurnRefused(
                    TurnRefusal.TARGET_LEAVES,
                    "${call.target.id} leaves, and answered ${answer.status}${on(connection)}",
                )
            else ->
                TurnRefused(
                    if (call.targetHost == null) TurnRefusal.TARGET_FULL else TurnRefusal.NOT_NOW,
                    "the engine answered ${answer.status} and did not run the turn${on(connection)}",
                    RETRY_AFTER,
                )
        }

    private fun refusalOfUnreachable(e: UpstreamException) =
        TurnRefused(TurnRefusal.TARGET_GONE, "the engine cannot be reached: ${e.message}", RETRY_AFTER)

    /** Names the connection in the log line of a turn, which may be written on another host. */
    private fun on(use: ConnectionUse?): String =
        use?.let { ", as request ${it.requests} of a connection of ${it.age.inWholeMilliseconds} ms" }.orEmpty()

    private class UnusableAnswerException(
        message: String,
    ) : Exception(message)

    private companion object {
        const val MISDIRECTED_REQUEST_STATUS = 421

        /**
         * Delay after which a caller may try a full or unreachable engine again. A turn takes about this long, so a
         * slot may be free by then.
         */
        val RETRY_AFTER = 250.milliseconds
    }
}
