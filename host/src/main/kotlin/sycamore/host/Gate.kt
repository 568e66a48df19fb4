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
 * Admits a call to an upstream: invokes `run` once the call may be sent, or returns a refusal if it will not be sent.
 *
 * A refused call has not run.
 */
internal typealias Admit = suspend (upstream: Upstream, forward: Forward, run: suspend () -> Unit) -> Refusal?

/** Sends the calls of homes to the upstream of this host, each at most once. */
internal class Gate(
    private val self: Host,
    private val callEngine: CallUpstream,
    private val callService: CallUpstream,
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

    /** Whether new calls are rejected because the host is leaving. */
    @Volatile
    var isLeaving = false

    /** The number of calls that are queued or running at the upstream. */
    val calls: Int get() = running.size

    /** Runs [forward] on [upstream] of [service], or attaches to its earlier run if there is one. Emits the replies. */
    fun run(
        service: Service,
        upstream: Upstream,
        forward: Forward,
    ): Flow<Message> {
        val rejection = rejection(forward)
        if (rejection != null) return rejected(forward.id, rejection, forward)
        val baseOffset = if (service.kind == ServiceKind.MODEL) forward.released else 0
        dropRunBeyond(forward, baseOffset)
        val known = ledger.find(forward.id)
        if (known != null) return known.stream.follow(forward.released)
        val rejectionOfNew = rejectionOfNew(forward)
        if (rejectionOfNew != null) return rejected(forward.id, rejectionOfNew, forward)
        return enter(service, upstream, forward, baseOffset)
    }

    /** Bars the call of [bar] if it has never run here, else emits the replies of its run. */
    fun bar(bar: BarCall): Flow<Message> {
        if (bar.gate != null && bar.gate != self.incarnation) return rejected(bar.id, Rejection.OTHER_INCARNATION)
        return when (val barring = ledger.bar(bar.id)) {
            BarResult.Barred -> rejected(bar.id, Rejection.BARRED)
            is BarResult.Known -> barring.value.stream.follow(0)
        }
    }

    /**
     * Ends the running calls of [program] and evicts its cache from [upstream]. Returns whether the engine acknowledged
     * the eviction.
     */
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

    /** Removes ended calls from the ledger that are too old to be repeated by a home. */
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

    /** Drops the run of an idempotent call if its buffer begins after [offset], where the home's answer ends. */
    private fun dropRunBeyond(
        forward: Forward,
        offset: Long,
    ) {
        val known = ledger.find(forward.id) ?: return
        if (!forward.idempotent || known.stream.baseOffset <= offset) return
        ledger.withdraw(forward.id)
        known.stop(rejectedMessage(forward.id, Rejection.BROKEN))
    }

    private fun enter(
        service: Service,
        upstream: Upstream,
        forward: Forward,
        baseOffset: Long,
    ): Flow<Message> =
        when (val entering = ledger.enter(forward.id, forward.age) { LedgerCall(forward, baseOffset) }) {
            is EnterResult.New -> {
                val call = entering.value
                running[forward.id] = call
                background.launch("call ${forward.id}") { process(service, upstream, call) }
                call.stream.follow(forward.released)
            }
            is EnterResult.Known -> entering.value.stream.follow(forward.released)
            EnterResult.Barred -> rejected(forward.id, Rejection.BARRED)
            EnterResult.TooOld -> rejected(forward.id, Rejection.TOO_OLD)
            EnterResult.Full -> rejected(forward.id, Rejection.FULL)
        }

    private suspend fun process(
        service: Service,
        upstream: Upstream,
        call: LedgerCall,
    ) {
        try {
            val refusal = admit(upstream, call.forward) { runUpstream(service, upstream, call) }
            if (refusal != null) endNotRun(call, Refused(call.forward.id, refusal))
        } finally {
            running.remove(call.forward.id, call)
            if (call.forward.idempotent) ledger.withdraw(call.forward.id)
        }
    }

    /**
     * Sends the call and waits until the upstream has answered or the deadline has passed. The upstream call has a job
     * of its own, so that the wait ends at the deadline even if that job does not react to cancellation.
     */
    private suspend fun runUpstream(
        service: Service,
        upstream: Upstream,
        call: LedgerCall,
    ) {
        if (call.stream.isEnded) return
        call.job = background.launch("upstream call") { collect(service, upstream, call) }.await()
        val isEnded = withTimeoutOrNull(call.forward.timeLeft) { call.ended.await() }
        if (isEnded == null) call.stop(unknown(call, DEADLINE_PASSED, "the upstream did not answer in time"))
    }

    private suspend fun collect(
        service: Service,
        upstream: Upstream,
        call: LedgerCall,
    ) {
        val send = if (service.kind == ServiceKind.MODEL) callEngine else callService
        try {
            send(upstream, call.forward).collect { event -> accept(call, event) }
            if (!call.stream.isEnded) endBroken(call, "the upstream's answer has no end")
        } catch (e: CancellationException) {
            throw e
        } catch (e: ConnectException) {
            endNotRun(call, rejectedMessage(call.forward.id, Rejection.UNREACHED))
        } catch (e: Exception) {
            endBroken(call, e.message ?: "the upstream broke off")
        }
    }

    private fun accept(
        call: LedgerCall,
        event: UpstreamEvent,
    ) {
        val forward = call.forward
        when (event) {
            is UpstreamEvent.Head -> {
                call.stream.begin(Begun(forward.id, forward.program, turn = 0, event.status, event.contentType))
            }
            is UpstreamEvent.Bytes -> call.stream.append(call.stream.endOffset, event.bytes)
            is UpstreamEvent.End -> call.end(completion(call, event))
        }
    }

    private fun completion(
        call: LedgerCall,
        end: UpstreamEvent.End,
    ): Whole {
        val answer = Answer(end.status, end.contentType, ByteArray(0), end.toolCalls, end.finishReason, end.usage)
        return Whole(call.forward.id, call.stream.endOffset, answer)
    }

    private fun endBroken(
        call: LedgerCall,
        detail: String,
    ) {
        val isIdempotent = call.forward.idempotent
        if (isIdempotent) ledger.withdraw(call.forward.id)
        val broken = rejectedMessage(call.forward.id, Rejection.BROKEN)
        call.end(if (isIdempotent) broken else unknown(call, BAD_GATEWAY, detail))
    }

    private fun endNotRun(
        call: LedgerCall,
        finalMessage: Message,
    ) {
        ledger.withdraw(call.forward.id)
        call.end(finalMessage)
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
    baseOffset: Long,
) {
    val stream = AnswerStream(forward.id, baseOffset)
    val ended = CompletableDeferred<Unit>()

    @Volatile
    var job: Job? = null

    /** Ends the answer with [finalMessage]. */
    fun end(finalMessage: Message) {
        stream.end(finalMessage)
        ended.complete(Unit)
    }

    /** Ends the answer with [finalMessage] and cancels the call to the upstream. */
    fun stop(finalMessage: Message) {
        end(finalMessage)
        job?.cancel()
    }
}
