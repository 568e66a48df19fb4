package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import sycamore.daemon.log.event
import sycamore.forwarding.CallUpstream
import sycamore.forwarding.LeavingUpstreams
import sycamore.links.Exchange
import sycamore.links.Message
import sycamore.links.RunPrompt
import sycamore.links.RunTurn
import sycamore.links.TurnRefusal
import sycamore.links.TurnRefused
import sycamore.links.TurnSent
import sycamore.model.Address
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/** Sends a composed turn to its engine. Yields the messages of the answer, from [TurnSent] to the last one. */
internal typealias SendPrompt = (call: RunTurn, prompt: ByteArray) -> Flow<Message>

/**
 * Sends turns through the gate of the engine that they go to.
 *
 * @property own the engine beside this daemon.
 * @property leaving engines that said that they leave. They get no turn that comes after that.
 */
internal class GateRunner(
    private val own: Address?,
    private val gate: EngineGate,
    private val callUpstream: CallUpstream,
    private val exchange: Exchange,
    private val time: TimeSource,
    private val leaving: LeavingUpstreams = LeavingUpstreams(),
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
            call.target in leaving -> refused(call)
            else ->
                flow {
                    emit(TurnSent)
                    engineCall(call).run(prompt, call.timeLeft, this)
                }
        }
    }

    /** Sends [prompt] to the engine beside this daemon. */
    fun atOwn(
        call: RunTurn,
        prompt: ByteArray,
    ): Flow<Message> = if (call.target in leaving) refused(call) else queued(call, prompt)

    private fun queued(
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
                        engineCall(call).run(prompt, call.timeLeft - arrived.elapsedNow(), this)
                    } finally {
                        passage.release()
                    }
            }
        }

    private fun engineCall(call: RunTurn) = EngineCall(callUpstream, call) { leaves(call) }

    private fun leaves(call: RunTurn) {
        if (leaving.add(call.target)) log.event("upstream-leaves", "upstream" to call.target.id, "request" to call.turn)
    }

    private fun refused(call: RunTurn): Flow<Message> =
        flowOf(TurnRefused(TurnRefusal.TARGET_LEAVES, "${call.target.id} leaves"))
}
