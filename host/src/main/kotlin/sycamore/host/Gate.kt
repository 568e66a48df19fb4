package sycamore.host

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.daemon.Background
import sycamore.links.BarCall
import sycamore.links.Begun
import sycamore.links.Forward
import sycamore.links.Message
import sycamore.links.Refused
import sycamore.links.Rejected
import sycamore.links.Rejection
import sycamore.links.Whole
import sycamore.model.CallId
import sycamore.model.Host
import sycamore.model.ProgramId
import sycamore.model.Service
import sycamore.model.ServiceKind
import sycamore.model.Upstream
import sycamore.programs.Answer
import sycamore.programs.BarResult
import sycamore.programs.CallLedger
import sycamore.programs.EnterResult
import sycamore.programs.Fences
import sycamore.programs.Outcome
import sycamore.programs.Refusal
import java.net.ConnectException
import java.util.concurrent.ConcurrentHashMap

/**
 * Lets a call at an upstream when it is its turn: runs [run] then, or returns why it never will.
 *
 * A call that is refused has not run.
 */
internal typealias Admit = suspend (upstream: Upstream, forward: Forward, run: suspend () -> Unit) -> Refusal?

/** Sends the calls of homes to the upstream beside this host, each at most once. */
internal class Gate(
    private val self: Host,
    private val engine: CallUpstream,
    private val service: CallUpstream,
    private val evictCache: EvictCache,
    private val ledger: CallLedger<LedgerCall>,
    private val fences: Fences,
    private val background: Background,
    private val admit: Admit = { _, _, run ->
        run()
        null
    },
) {
    private val running = ConcurrentHashMap<CallId, LedgerCall>()

    /** Whether new calls are turned away since the host is leaving. */
    @Volatile
    var isLeaving = false

    /** How many calls are queued or at the upstream. */
    val calls: Int get() = running.size

    /** Runs [forward] on [upstream] of [of], or attaches to it when it runs or ran already, and yields its answer. */
    fun run(
        of: Service,
        upstream: Upstream,
        forward: Forward,
    ): Flow<Message> {
        val rejection = rejection(forward)
        if (rejection != null) return rejected(forward.id, rejection, forward)
        val base = if (of.kind == ServiceKind.MODEL) forward.released else 0
        dropUnfit(forward, base)
        val known = ledger.find(forward.id)
        if (known != null) return known.stream.follow(forward.released)
        val newly = rejectionOfNew(forward)
        if (newly != null) return rejected(forward.id, newly, forward)
        return enter(of, upstream, forward, base)
    }

    /** Bars the call of [bar] if it has never run here, else yields its answer. */
    fun bar(bar: BarCall): Flow<Message> {
        if (bar.gate != null && bar.gate != self.incarnation) return rejected(bar.id, Rejection.OTHER_INCARNATION)
        return when (val barring = ledger.bar(bar.id)) {
            BarResult.Barred -> rejected(bar.id, Rejection.BARRED)
            is BarResult.Known -> barring.value.stream.follow(0)
        }
    }

    /** Ends what runs of [program] and evicts its cache from [upstream]; false when the engine did not acknowledge it. */
    suspend fun evict(
        upstream: Upstream,
        program: ProgramId,
    ): Boolean {
        fences.recordEnded(program)
        running.values.filter { it.forward.program == program }.forEach { call ->
            call.stop(rejectedMessage(call.forward.id, Rejection.PROGRAM_ENDED))
        }
        return evictCache(upstream, program)
    }

    /** Forgets calls that nobody can ask about any more. */
    fun expire() = ledger.expire { !it.stream.isEnded }

    private fun rejection(forward: Forward): Rejection? =
        when {
            fences.successorOf(forward.fence.home) != null -> Rejection.FENCED
            fences.isEnded(forward.program) -> Rejection.PROGRAM_ENDED
            forward.gate != null && forward.gate != self.incarnation -> Rejection.OTHER_INCARNATION
            else -> null
        }

    private fun rejectionOfNew(forward: Forward): Rejection? =
        when {
            forward.attachOnly -> Rejection.NOT_KNOWN
            isLeaving -> Rejection.LEAVING
            !forward.idempotent && !fences.isReady -> Rejection.NOT_READY
            else -> null
        }

    /** Drops an idempotent run whose kept bytes begin after those that the home has. */
    private fun dropUnfit(
        forward: Forward,
        base: Long,
    ) {
        val known = ledger.find(forward.id) ?: return
        if (!forward.idempotent || known.stream.base <= base) return
        ledger.withdraw(forward.id)
        known.stop(rejectedMessage(forward.id, Rejection.BROKEN))
    }

    private fun enter(
        of: Service,
        upstream: Upstream,
        forward: Forward,
        base: Long,
    ): Flow<Message> =
        when (val entering = ledger.enter(forward.id, forward.age) { LedgerCall(forward, base) }) {
            is EnterResult.New -> {
                val call = entering.value
                running[forward.id] = call
                background.launch("call ${forward.id}") { carry(of, upstream, call) }
                call.stream.follow(forward.released)
            }
            is EnterResult.Known -> entering.value.stream.follow(forward.released)
            EnterResult.Barred -> rejected(forward.id, Rejection.BARRED)
            EnterResult.TooOld -> rejected(forward.id, Rejection.TOO_OLD)
            EnterResult.Full -> rejected(forward.id, Rejection.FULL)
        }

    private suspend fun carry(
        of: Service,
        upstream: Upstream,
        call: LedgerCall,
    ) {
        try {
            val refusal = admit(upstream, call.forward) { runUpstream(of, upstream, call) }
            if (refusal != null) endUnrun(call, Refused(call.forward.id, refusal))
        } finally {
            running.remove(call.forward.id, call)
            if (call.forward.idempotent) ledger.withdraw(call.forward.id)
        }
    }

    /** Waits until the upstream has answered or the deadline has passed, even if the upstream never gives way. */
    private suspend fun runUpstream(
        of: Service,
        upstream: Upstream,
        call: LedgerCall,
    ) {
        if (call.stream.isEnded) return
        call.job = background.launch("upstream call") { collect(of, upstream, call) }.await()
        val isEnded = withTimeoutOrNull(call.forward.timeLeft) { call.ended.await() }
        if (isEnded == null) call.stop(unknown(call, DEADLINE_PASSED, "the upstream did not answer in time"))
    }

    private suspend fun collect(
        of: Service,
        upstream: Upstream,
        call: LedgerCall,
    ) {
        val send = if (of.kind == ServiceKind.MODEL) engine else service
        try {
            send(upstream, call.forward).collect { event -> take(call, event) }
            if (!call.stream.isEnded) broken(call, "the upstream's answer has no end")
        } catch (e: CancellationException) {
            throw e
        } catch (e: ConnectException) {
            endUnrun(call, rejectedMessage(call.forward.id, Rejection.UNREACHED))
        } catch (e: Exception) {
            broken(call, e.message ?: "the upstream broke off")
        }
    }

    private fun take(
        call: LedgerCall,
        event: UpstreamEvent,
    ) {
        val forward = call.forward
        when (event) {
            is UpstreamEvent.Head -> {
                call.stream.begin(Begun(forward.id, forward.program, turn = 0, event.status, event.contentType))
            }
            is UpstreamEvent.Bytes -> call.stream.append(call.stream.end, event.bytes)
            is UpstreamEvent.End -> call.end(whole(call, event))
        }
    }

    private fun whole(
        call: LedgerCall,
        end: UpstreamEvent.End,
    ): Whole {
        val answer = Answer(end.status, end.contentType, ByteArray(0), end.toolCalls, end.finishReason, end.usage)
        return Whole(call.forward.id, call.stream.end, answer)
    }

    private fun broken(
        call: LedgerCall,
        detail: String,
    ) {
        val isIdempotent = call.forward.idempotent
        if (isIdempotent) ledger.withdraw(call.forward.id)
        val broken = rejectedMessage(call.forward.id, Rejection.BROKEN)
        call.end(if (isIdempotent) broken else unknown(call, BAD_GATEWAY, detail))
    }

    private fun endUnrun(
        call: LedgerCall,
        last: Message,
    ) {
        ledger.withdraw(call.forward.id)
        call.end(last)
    }

    private fun unknown(
        call: LedgerCall,
        status: Int,
        detail: String,
    ) = Refused(call.forward.id, Refusal(Outcome.UNKNOWN, status, detail))

    private fun rejected(
        id: CallId,
        reason: Rejection,
        forward: Forward? = null,
    ): Flow<Message> = flowOf(rejectedMessage(id, reason, forward))

    private fun rejectedMessage(
        id: CallId,
        reason: Rejection,
        forward: Forward? = null,
    ) = Rejected(id, reason, self.incarnation, forward?.let { fences.successorOf(it.fence.home) })

    private companion object {
        const val BAD_GATEWAY = 502
        const val DEADLINE_PASSED = 504
    }
}

/** A call in a gate's ledger. */
internal class LedgerCall(
    val forward: Forward,
    base: Long,
) {
    val stream = AnswerStream(forward.id, base)
    val ended = CompletableDeferred<Unit>()

    @Volatile
    var job: Job? = null

    /** Ends the answer. */
    fun end(last: Message) {
        stream.end(last)
        ended.complete(Unit)
    }

    /** Ends the answer and lets go of the upstream. */
    fun stop(last: Message) {
        end(last)
        job?.cancel()
    }
}
