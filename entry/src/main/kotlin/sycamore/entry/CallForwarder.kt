package sycamore.entry

import kotlinx.coroutines.delay
import sycamore.daemon.Directory
import sycamore.daemon.Peers
import sycamore.links.Begun
import sycamore.links.Call
import sycamore.links.Elsewhere
import sycamore.links.Homed
import sycamore.links.LinkException
import sycamore.links.Message
import sycamore.links.Part
import sycamore.links.Refused
import sycamore.links.Whole
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.ProgramId
import sycamore.model.Service
import sycamore.programs.Outcome
import sycamore.programs.Refusal
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Forwards one call to the home of its program and relays the replies.
 *
 * When the home is lost or ends, the call is sent again under the same id to the home that serves the program then,
 * with the bytes of the answer that the caller has already received.
 */
internal class CallForwarder(
    private val service: Service,
    private val call: Call,
    private var host: HostName,
    private val peers: Peers,
    private val directory: Directory,
    private val takeoverClient: TakeoverClient,
    time: TimeSource.WithComparableMarks,
) {
    private val start = time.markNow()
    private val releasedBytes = ByteArrayOutputStream()
    private var program: ProgramId? = call.program
    private var home: HomeId? = call.program?.let { directory.lastKnownSuccessor(it.origin) }
    private var hasBegun = false
    private var wasSent = false

    /** The result of one attempt to get the call answered. */
    private sealed interface Attempt {
        data object Completed : Attempt

        data object Moved : Attempt

        data class Failed(
            val detail: String?,
        ) : Attempt
    }

    private val timeLeft: Duration get() = call.timeLeft - start.elapsedNow()

    /** Sends the call, again if necessary, until it has ended, and passes each reply for the caller to [emit]. */
    suspend fun run(emit: suspend (Message) -> Unit) {
        var failures = 0
        while (true) {
            when (val result = attempt(emit)) {
                Attempt.Completed -> return
                Attempt.Moved -> failures++
                is Attempt.Failed -> {
                    failures++
                    recover(failures)?.let { return emit(refused(it, result.detail)) }
                }
            }
            if (failures > MAX_FAILED_ATTEMPTS || timeLeft < MIN_TIME_LEFT) return emit(refused(TOO_MANY_MOVES, null))
            delay(BACKOFF_STEP * failures)
        }
    }

    private suspend fun attempt(emit: suspend (Message) -> Unit): Attempt {
        var result: Attempt? = null
        try {
            peers.stream(host, message()).collect { reply -> result = handle(reply, emit) ?: result }
        } catch (e: LinkException) {
            wasSent = wasSent || e.sent
            return Attempt.Failed(e.message)
        }
        if (result == null) wasSent = true
        return result ?: Attempt.Failed("the answer of $host broke off")
    }

    /** Handles one reply. Returns the result of the attempt if this reply ends it, else null. */
    private suspend fun handle(
        reply: Message,
        emit: suspend (Message) -> Unit,
    ): Attempt? {
        when (reply) {
            is Homed -> recordHome(reply)
            is Begun -> if (!hasBegun) emit(reply).also { hasBegun = true }
            is Part -> newBytes(reply)?.let { emit(it) }
            is Whole -> return complete(reply, emit)
            is Refused -> return emit(reply).let { Attempt.Completed }
            is Elsewhere -> return redirect(reply)
            else -> Unit
        }
        return null
    }

    private fun recordHome(reply: Homed) {
        wasSent = true
        program = reply.program
        home = reply.home
    }

    /** Returns the bytes of [part] that the caller has not received yet, or null when there are none. */
    private fun newBytes(part: Part): Part? {
        val skip = releasedBytes.size() - part.offset
        if (skip < 0) throw LinkException("a part of the answer is missing", sent = true)
        if (skip >= part.bytes.size) return null
        val bytes = part.bytes.copyOfRange(skip.toInt(), part.bytes.size)
        val offset = releasedBytes.size().toLong()
        releasedBytes.write(bytes)
        return Part(part.id, offset, bytes)
    }

    private suspend fun complete(
        reply: Whole,
        emit: suspend (Message) -> Unit,
    ): Attempt {
        if (reply.length != releasedBytes.size().toLong()) return Attempt.Failed("the answer of $host is incomplete")
        emit(reply)
        return Attempt.Completed
    }

    private fun redirect(reply: Elsewhere): Attempt {
        home?.takeIf { it != reply.home }?.let { directory.recordSuccessor(it, reply.home) }
        home = reply.home
        host = reply.home.host
        return Attempt.Moved
    }

    /** Determines where to send the call after [failures] failures. Returns why not when that is impossible now. */
    private suspend fun recover(failures: Int): Successor.Unavailable? {
        if (failures == 1 && peers.status(host)?.home == home && home != null) return null
        val lost =
            home
                ?: directory.homeOn(host)
                ?: return Successor.Unavailable("host $host cannot be reached", RETRY_AFTER)
        while (true) {
            val found = findHome(lost)
            if (found is Successor.At) {
                home = found.home
                host = found.home.host
                return null
            }
            if (timeLeft < call.timeLeft * MIN_SHARE_OF_TIME_LEFT) return found as Successor.Unavailable
            delay(HOME_SEARCH_INTERVAL)
        }
    }

    /** Finds the home that serves the programs of [old] now. */
    private suspend fun findHome(old: HomeId): Successor {
        val now = peers.status(old.host)?.home
        if (now != null &&
            now != old
        ) {
            return Successor.At(directory.lastKnownSuccessor(old).takeIf { it != old } ?: old)
        }
        if (now == old) return Successor.At(old)
        return takeoverClient.requestTakeover(old, service)
    }

    private fun message(): Call =
        call.copy(
            program = program,
            isStart = call.isStart || call.program == null,
            released = releasedBytes.size().toLong(),
            releasedBody = releasedBytes.toByteArray(),
            timeLeft = timeLeft,
            mayRepeat = call.mayRepeat || wasSent,
        )

    private fun refused(
        reason: Successor.Unavailable,
        detail: String?,
    ): Refused {
        val mayHaveRun = wasSent || call.mayRepeat
        val outcome = if (mayHaveRun) Outcome.UNKNOWN else Outcome.NOT_RUN
        val text = listOfNotNull(reason.reason, detail).joinToString("; ")
        return Refused(call.id, Refusal(outcome, UNAVAILABLE, text, reason.retryAfter), program)
    }

    private companion object {
        const val UNAVAILABLE = 503
        const val MAX_FAILED_ATTEMPTS = 8

        /**
         * When less than this share of the call's time is left, the search for a home ends, so that a call that cannot
         * be forwarded is refused early.
         */
        const val MIN_SHARE_OF_TIME_LEFT = 0.5
        val MIN_TIME_LEFT: Duration = 100.milliseconds
        val BACKOFF_STEP: Duration = 50.milliseconds
        val HOME_SEARCH_INTERVAL: Duration = 500.milliseconds
        val RETRY_AFTER: Duration = 3.seconds
        val TOO_MANY_MOVES = Successor.Unavailable("the home of the program changed too often", RETRY_AFTER)
    }
}
