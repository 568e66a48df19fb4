package sycamore.homes

import kotlinx.coroutines.flow.FlowCollector
import sycamore.forwarding.AnswerEvent
import sycamore.forwarding.CallUpstream
import sycamore.forwarding.UpstreamException
import sycamore.forwarding.UpstreamRequest
import sycamore.forwarding.collectWhile
import sycamore.links.HeaderField
import sycamore.links.Message
import sycamore.links.RunTurn
import sycamore.links.TurnBegun
import sycamore.links.TurnBroke
import sycamore.links.TurnBytes
import sycamore.links.TurnRefusal
import sycamore.links.TurnRefused
import sycamore.links.TurnWhole
import sycamore.platform.CallHeaders
import sycamore.platform.ResponseHead
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Sends one composed turn to an engine and passes its answer on as it comes. */
internal class EngineCall(
    private val callUpstream: CallUpstream,
    private val call: RunTurn,
    private val onLeaving: () -> Unit,
) {
    private var head: ResponseHead? = null

    /** Sends [prompt] and hands all messages of the answer to [replies], the last one too. */
    suspend fun run(
        prompt: ByteArray,
        timeLeft: Duration,
        replies: FlowCollector<Message>,
    ) {
        val headers = call.headers.map { it.name to it.value } + CallHeaders.upstreamHeaders(call.target.id, timeLeft)
        val request = UpstreamRequest(call.target.address, call.method, call.path, headers, prompt)
        var end: Message = TurnBroke("the engine's answer has no end")
        try {
            callUpstream(request).collectWhile { event ->
                when (event) {
                    is AnswerEvent.Head -> begin(event, replies)
                    is AnswerEvent.Bytes -> replies.emit(TurnBytes(event.bytes))
                    is AnswerEvent.End -> end = TurnWhole()
                }
                head?.isNotRun != true
            }
            head?.takeIf { it.isNotRun }?.let { end = refusal(it) }
        } catch (e: UpstreamException) {
            end = if (e.sent) TurnBroke("the engine broke off: ${e.message}") else notReached(e)
        } catch (e: UnusableAnswerException) {
            end = TurnBroke(e.message!!)
        }
        replies.emit(end)
    }

    private suspend fun begin(
        event: AnswerEvent.Head,
        replies: FlowCollector<Message>,
    ) {
        val answer = CallHeaders.decodeResponse(event.status, event.headers)
        head = answer
        if (answer.isLeaving) onLeaving()
        if (answer.isNotRun) return
        if (answer.id != call.turn) throw UnusableAnswerException("the engine's answer is to ${answer.id}")
        if (answer.isEncoded) throw UnusableAnswerException("the engine's answer is encoded")
        if (answer.isSuccess && !answer.isStamped) throw UnusableAnswerException("the engine's answer is not signed")
        replies.emit(
            TurnBegun(
                event.status,
                CallHeaders.filterForCaller(event.headers).map { HeaderField(it.first, it.second) },
            ),
        )
    }

    private fun refusal(answer: ResponseHead): TurnRefused =
        when {
            answer.status == MISDIRECTED ->
                TurnRefused(TurnRefusal.TARGET_GONE, "another upstream answers at ${call.target.address}")
            answer.isLeaving -> TurnRefused(TurnRefusal.TARGET_LEAVES, "${call.target.id} leaves")
            else ->
                TurnRefused(
                    TurnRefusal.NOT_NOW,
                    "the engine answered ${answer.status} and did not run the turn",
                    BUSY,
                )
        }

    private fun notReached(e: UpstreamException) =
        TurnRefused(TurnRefusal.TARGET_GONE, "the engine cannot be reached: ${e.message}", BUSY)

    private class UnusableAnswerException(
        message: String,
    ) : Exception(message)

    private companion object {
        const val MISDIRECTED = 421

        /** Until an engine that was full or away is worth another try: a turn takes about this long. */
        val BUSY = 250.milliseconds
    }
}
