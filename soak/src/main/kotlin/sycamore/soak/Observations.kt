package sycamore.soak

import sycamore.platform.Header
import sycamore.platform.SampleDocuments
import sycamore.routing.AccountLimit
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * What callers and upstreams saw, and the violations found in it. Safe for use by several threads.
 *
 * @param limits the limits of client accounts.
 */
internal class Observations(
    private val faults: FaultLog,
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    limits: Map<String, AccountLimit> = emptyMap(),
) {
    private val accounts =
        AccountChecks(faults, limits) { rule, attempt, detail ->
            report(rule, attempt.id, "${describe(attempt)}: $detail")
        }
    private val attempts = ConcurrentHashMap<String, Attempt>()
    private val found = ConcurrentLinkedQueue<Violation>()
    private val ended: MutableSet<String> = ConcurrentHashMap.newKeySet()
    private val unplannedCuts = AtomicInteger()

    /** When a gateway first passed on an answer with which an upstream announced that it leaves. */
    private val announcements = ConcurrentHashMap<Pair<Daemon, String>, ComparableTimeMark>()

    /** When each start of an upstream was registered as leaving, or unregistered. */
    private val departures = ConcurrentHashMap<String, ComparableTimeMark>()
    private val start = time.markNow()

    val violations: List<Violation> get() = found.toList()

    /** The number of answers by status; 0 counts attempts without a response. */
    val answers = ConcurrentHashMap<Int, Int>()
    val runCount: Int get() = attempts.values.sumOf { it.runs.size }

    fun report(
        rule: Rule,
        subject: String,
        detail: String,
    ) {
        found += Violation(rule, subject, start.elapsedNow().inWholeMilliseconds, detail)
    }

    /** Records that [upstream] ends all its connections. */
    fun recordEnd(upstream: String) {
        ended += upstream
    }

    fun begin(attempt: Attempt) {
        attempts[attempt.id] = attempt
    }

    /** Checks the [headers] with which the request [id] arrived at an upstream. */
    fun checkHeaders(
        id: String,
        headers: List<Header>,
    ) {
        attempts[id]?.let { accounts.checkHeaders(it, headers) }
    }

    /** Checks whether more requests of an account ran than its limit allows. */
    fun checkLimits() = accounts.checkLimits(attempts.values)

    /** Records that a request arrived at an upstream, and checks that this address did not receive it before. */
    fun recordReceipt(
        id: String,
        upstream: String,
        address: String,
        connection: Int,
        request: Int,
        outcome: String,
    ) {
        val attempt = attempts[id] ?: return
        val millis = start.elapsedNow().inWholeMilliseconds
        if (outcome != MISDIRECTED) {
            checkDrained(attempt, upstream)
            checkRegistered(attempt, upstream)
        }
        val isResent = attempt.receipts.any { it.address == address }
        attempt.receipts += Receipt(upstream, address, connection, request, millis, outcome)
        // An engine that refused a turn may get it again from another home.
        if (isResent && attempt.kind != CallKind.TURN) {
            report(Rule.RESENT, id, "${describe(attempt)}: $address received it before")
        }
    }

    /** Checks that the gateway of [attempt] has not passed on too long ago that [upstream] leaves. */
    private fun checkDrained(
        attempt: Attempt,
        upstream: String,
    ) {
        val announced = announcements[attempt.gateway to upstream] ?: return
        val late = attempt.at - announced - SampleDocuments.drainTime
        if (late <= Duration.ZERO || faults.wasInterrupted(attempt.gateway, announced)) return
        report(Rule.DRAIN, attempt.id, "${describe(attempt)} reached $upstream and was sent $late after its drain time")
    }

    /** Records that the store names [upstream] as leaving from now on, or no longer names it. */
    fun recordLeaving(upstream: String) {
        departures[upstream] = time.markNow()
    }

    /** Checks that [upstream] was not registered as leaving too long before [attempt]. */
    private fun checkRegistered(
        attempt: Attempt,
        upstream: String,
    ) {
        val registered = departures[upstream] ?: return
        val settled = faults.settledAfterSilence(attempt.gateway) ?: registered
        val late = attempt.at - maxOf(registered + SampleDocuments.drainTime, settled)
        if (attempt.kind == CallKind.TURN || late <= Duration.ZERO) return
        if (faults.wasInterrupted(attempt.gateway, registered)) return
        report(
            Rule.DRAIN,
            attempt.id,
            "${describe(attempt)} reached $upstream $late after it had to be known as leaving",
        )
    }

    /** What upstreams saw of the attempt with [id]. */
    fun receipts(id: String): List<Receipt> = attempts[id]?.receipts.orEmpty()

    /** Records that [upstream] starts to run the request [id], and checks that it may. */
    fun recordRun(
        id: String,
        path: String,
        prompt: String,
        run: Run,
    ) {
        val attempt = attempts[id] ?: return report(Rule.UNASKED, id, "${run.upstream} runs an id that no caller sent")
        accounts.checkRun(attempt)
        if (!attempt.isForeign && (path != attempt.path || prompt != attempt.prompt)) {
            val found = "$path with ${prompt.length} bytes ...${prompt.takeLast(SHOWN)}"
            val expected = "${attempt.path} with ${attempt.prompt.length} bytes ...${attempt.prompt.takeLast(SHOWN)}"
            report(Rule.UNASKED, id, "${run.upstream} received $found, expected $expected")
        }
        synchronized(attempt) {
            attempt.runs += run
            if (attempt.kind == CallKind.REPEATABLE) return
            if (attempt.runs.size > 1) report(Rule.TWICE, id, "${describe(attempt)} ran ${attempt.runs.size} times")
            attempt.promise?.let { report(Rule.REFUSED, id, "${describe(attempt)} runs after it was answered $it") }
        }
    }

    /**
     * Records the [response] to [attempt], null if the connection ended without one, and checks it. Returns whether it
     * is a complete success, with a body that is a run's.
     */
    fun recordResponse(
        attempt: Attempt,
        response: ReceivedResponse?,
        isTimeout: Boolean,
    ): Boolean {
        val status = response?.head?.status ?: 0
        answers.merge(status, 1, Int::plus)
        if (response == null || !response.isComplete) {
            if (!isTimeout) checkCut(attempt)
            if (response == null) return false
        }
        attempt.runs.filter { it.isLeaving }.forEach {
            announcements.putIfAbsent(attempt.gateway to it.upstream, time.markNow())
        }
        val id = SampleDocuments.requestId(response.head.headers)
        if (id != null && id != attempt.id) {
            report(Rule.MIXED, attempt.id, "${describe(attempt)}: the response belongs to $id")
        }
        if (status in attempt.kind.promises) checkPromise(attempt, status)
        accounts.checkAnswer(attempt, status)
        val isKeyRefused = status == AccountChecks.UNAUTHENTICATED && attempt.key != null
        if (status in DENIALS && !isKeyRefused) report(Rule.DENIED, attempt.id, "${describe(attempt)}: status $status")
        return status in SUCCESSES && checkBody(attempt, response)
    }

    private fun checkPromise(
        attempt: Attempt,
        status: Int,
    ) {
        synchronized(attempt) {
            attempt.promise = status
            if (attempt.kind == CallKind.REPEATABLE || attempt.runs.isEmpty()) return
            report(Rule.REFUSED, attempt.id, "${describe(attempt)} was answered $status and ran")
        }
    }

    private fun checkBody(
        attempt: Attempt,
        response: ReceivedResponse,
    ): Boolean {
        val isStream = attempt.kind == CallKind.TURN
        val body = response.body
        if (!response.isComplete) {
            if (isStream && attempt.runs.none { startsWith(it.body, body) }) {
                report(Rule.ORDER, attempt.id, "${describe(attempt)}: ${body.size} bytes are no part of a run's stream")
            }
            return false
        }
        if (!SampleDocuments.isSigned(response.head.headers)) {
            report(Rule.MIXED, attempt.id, "${describe(attempt)}: a success without a signature")
        }
        if (attempt.runs.any { it.isWritten && it.body.contentEquals(body) }) return true
        val rule = if (isStream) Rule.ORDER else Rule.MIXED
        val run = attempt.runs.firstOrNull { startsWith(it.body, body) }
        val what = if (run == null) "is not the body of a run" else "is framed as complete, and the run's is not"
        report(rule, attempt.id, "${describe(attempt)}: a body of ${body.size} bytes $what")
        return false
    }

    /** Checks whether an attempt may end without a complete response. */
    private fun checkCut(attempt: Attempt) {
        val runs = attempt.runs
        if (runs.isEmpty() || runs.any { it.fault != null || !it.isConnectionClean }) return
        if (faults.wasDisrupted(attempt)) return
        val detail = "${describe(attempt)}: the connection ended without a complete response"
        when {
            faults.outlastedStop(attempt) || runs.any { it.upstream in ended } -> return
            faults.wasPlanned(attempt) -> report(Rule.LOST, attempt.id, "$detail, during planned work")
            unplannedCuts.incrementAndGet() > MAX_CUTS -> report(Rule.LOST, attempt.id, detail)
        }
    }

    fun describe(attempt: Attempt): String {
        val runs = attempt.runs.joinToString { "${it.upstream}${it.fault?.let { f -> " $f" } ?: ""}" }
        return "${attempt.kind} ${attempt.id} at ${attempt.gateway.name}, runs [$runs]"
    }

    private companion object {
        val SUCCESSES = 200..299

        /** Statuses that end a proper request for good although every configuration allows it. */
        val DENIALS = setOf(400, 401, 403, 413, 431)
        const val MISDIRECTED = "421"
        const val SHOWN = 60

        /** The number of connections that may end without a response while nothing is disrupted. */
        const val MAX_CUTS = 3

        fun startsWith(
            whole: ByteArray,
            part: ByteArray,
        ): Boolean = part.size <= whole.size && whole.copyOf(part.size).contentEquals(part)
    }
}
