package sycamore.homes

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import sycamore.daemon.log.event
import sycamore.decisions.pace.LearnedPace
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
import sycamore.routing.ListedUpstream
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

// Log lines carry this logger name, which is independent of the class name.
private val log = KotlinLogging.logger("sycamore.homes.GateRunner")

/**
 * Sends the prompt of a turn to its engine and returns the messages of the answer, from [TurnSent] to the one that ends
 * it.
 */
internal typealias SendPrompt = (call: RunTurn, prompt: ByteArray) -> Flow<Message>

/**
 * Sends prompts to engines through the gate of each engine.
 *
 * @property localEngine the address of the engine on the host of this daemon; null if it has none.
 * @property hasLeftSince returns whether an engine has registered as leaving while a turn has waited for it.
 * @property leaving the engines that have announced that they are leaving. They get no further turns.
 */
internal class PromptSender(
    private val localEngine: Address?,
    private val gate: EngineGate,
    private val callUpstream: CallUpstream,
    private val exchange: Exchange,
    private val hasLeftSince: suspend (arrived: ComparableTimeMark, engine: ListedUpstream) -> Boolean,
    private val time: TimeSource.WithComparableMarks,
    private val leaving: LeavingUpstreams = LeavingUpstreams(),
) {
    private val paceMeter = EnginePaceMeter(time) { gate.running }

    /** The learned pace of the engine on this host; null if it is not known. */
    val pace: LearnedPace? get() = paceMeter.pace

    /**
     * Sends [prompt] through the local gate, through the gate of another host, or directly to an upstream without a gate.
     */
    fun send(
        call: RunTurn,
        prompt: ByteArray,
    ): Flow<Message> {
        val host = call.targetHost
        return when {
            call.target.address == localEngine -> sendToLocalEngine(call, prompt)
            host != null -> flow { emitAll(exchange(host, RunPrompt(call, prompt))) }
            else -> flow { sendInTime(call, prompt, call.timeLeft) }
        }
    }

    /** Sends [prompt] to the engine on this host. */
    fun sendToLocalEngine(
        call: RunTurn,
        prompt: ByteArray,
    ): Flow<Message> = if (call.target in leaving) refuseLeaving(call) else sendThroughGate(call, prompt)

    private fun sendThroughGate(
        call: RunTurn,
        prompt: ByteArray,
    ): Flow<Message> =
        flow {
            val arrived = time.markNow()
            val turn =
                GateTurn(
                    call.priority,
                    call.timeLeft,
                    call.previous != null,
                    call.engineSlots,
                    call.finishIn,
                    call.target,
                )
            when (val decision = gate.awaitSlot(turn)) {
                is SlotDecision.Refused -> emit(TurnRefused(TurnRefusal.NOT_NOW, decision.detail, decision.retryAfter))
                // Other engines and homes can run it.
                SlotDecision.Closed -> emit(TurnRefused(TurnRefusal.TARGET_GONE, "the engine's host is leaving"))
                SlotDecision.EngineLeaves -> emit(leavingRefusal(call))
                is SlotDecision.Granted ->
                    try {
                        if (hasLeftSince(arrived, call.target)) addLeaving(call)
                        paceMeter.measure(call, this).sendInTime(call, prompt, call.timeLeft - arrived.elapsedNow())
                    } finally {
                        decision.release()
                    }
            }
        }

    /** Sends [prompt] if its engine is not leaving and its caller still waits for the answer. */
    private suspend fun FlowCollector<Message>.sendInTime(
        call: RunTurn,
        prompt: ByteArray,
        timeLeft: Duration,
    ) {
        if (call.target in leaving) return emit(leavingRefusal(call))
        if (timeLeft <= Duration.ZERO) return emit(TurnRefused(TurnRefusal.NOT_NOW, "the turn's time is over"))
        emit(TurnSent)
        engineCall(call).run(prompt, timeLeft, this)
    }

    private fun engineCall(call: RunTurn) = EngineCall(callUpstream, call) { addLeaving(call) }

    private fun addLeaving(call: RunTurn) {
        if (!leaving.add(call.target)) return
        log.event("upstream-leaves", "upstream" to call.target.id, "request" to call.turn)
        gate.refuseWaiting { it in leaving }
    }

    private fun refuseLeaving(call: RunTurn): Flow<Message> = flowOf(leavingRefusal(call))

    private fun leavingRefusal(call: RunTurn) = TurnRefused(TurnRefusal.TARGET_LEAVES, "${call.target.id} leaves")
}
