package sycamore.homes

import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.flow
import sycamore.forwarding.CallUpstream
import sycamore.links.Exchange
import sycamore.links.Message
import sycamore.links.RunPrompt
import sycamore.links.RunTurn
import sycamore.links.TurnRefusal
import sycamore.links.TurnRefused
import sycamore.links.TurnSent
import sycamore.model.Address
import kotlin.time.TimeSource

/** Sends a composed turn to its engine. Yields the messages of the answer, from [TurnSent] to the last one. */
internal typealias SendPrompt = (call: RunTurn, prompt: ByteArray) -> Flow<Message>

/**
 * Sends turns through the gate of the engine that they go to.
 *
 * @property own the engine beside this daemon.
 */
internal class GateRunner(
    private val own: Address?,
    private val gate: EngineGate,
    private val callUpstream: CallUpstream,
    private val exchange: Exchange,
    private val time: TimeSource,
) {
    /** Sends [prompt] by the gate here, by that of another host, or straight to an engine that has none. */
    fun send(
        call: RunTurn,
        prompt: ByteArray,
    ): Flow<Message> {
        val host = call.targetHost
        return when {
            call.target.address == own -> atOwn(call, prompt)
            host != null -> flow { emitAll(exchange(host, RunPrompt(call, prompt))) }
            else ->
                flow {
                    emit(TurnSent)
                    EngineCall(callUpstream, call).run(prompt, call.timeLeft, this)
                }
        }
    }

    /** Sends [prompt] to the engine beside this daemon. */
    fun atOwn(
        call: RunTurn,
        prompt: ByteArray,
    ): Flow<Message> =
        flow {
            val arrived = time.markNow()
            val turn = GateTurn(call.priority, call.timeLeft, call.previous != null, call.engineSlots)
            when (val passage = gate.pass(turn)) {
                is Passage.Refused -> emit(TurnRefused(TurnRefusal.NOT_NOW, passage.detail, passage.retryAfter))
                is Passage.Granted ->
                    try {
                        emit(TurnSent)
                        EngineCall(callUpstream, call).run(prompt, call.timeLeft - arrived.elapsedNow(), this)
                    } finally {
                        passage.release()
                    }
            }
        }
}
