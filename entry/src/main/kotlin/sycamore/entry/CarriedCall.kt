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
 * One call on its way through an entry. When its home is lost or ends, the call is sent again under the same id, with
 * the bytes that its caller has already got, to whoever serves the program then.
 */
internal class CarriedCall(
    private val service: Service,
    private val call: Call,
    private var host: HostName,
    private val peers: Peers,
    private val directory: Directory,
    private val lostHomes: LostHomes,
    time: TimeSource.WithComparableMarks,
) {
    private val began = time.markNow()
    private val released = ByteArrayOutputStream()
    private var program: ProgramId? = call.program
    private var home: HomeId? = call.program?.let { directory.lastKnownSuccessor(it.origin) }
    private var hasBegun = false
    private var wasSent = false

    /** How one attempt ended. */
    private sealed interface End {
        data object Final : End

        data object Moved : End

        data class Lost(
            val detail: String?,
        ) : End
    }

    private val timeLeft: Duration get() = call.timeLeft - began.elapsedNow()

    /** Carries the call to its end and hands each reply for the caller to [emit]. */
    suspend fun run(emit: suspend (Message) -> Unit) {
        var failures = 0
        while (true) {
            when (val end = attempt(emit)) {
                End.Final -> return
                End.Moved -> failures++
                is End.Lost -> {
                    failures++
                    recover(failures)?.let { return emit(refused(it, end.detail)) }
                }
            }
            if (failures > MAX_FAILURES || timeLeft < LEAST_TIME) return emit(refused(TOO_OFTEN, null))
            delay(BACKOFF * failures)
        }
    }

    private suspend fun attempt(emit: suspend (Message) -> Unit): End {
        var end: End? = null
        try {
            peers.stream(host, message()).collect { reply -> end = take(reply, emit) ?: end }
        } catch (e: LinkException) {
            wasSent = wasSent || e.sent
            return End.Lost(e.message)
        }
        if (end == null) wasSent = true
        return end ?: End.Lost("the answer of $host broke off")
    }

    /** Handles one reply; returns the end of the attempt if this is it. */
    private suspend fun take(
        reply: Message,
        emit: suspend (Message) -> Unit,
    ): End? {
        when (reply) {
            is Homed -> homed(reply)
            is Begun -> if (!hasBegun) emit(reply).also { hasBegun = true }
            is Part -> release(reply)?.let { emit(it) }
            is Whole -> return whole(reply, emit)
            is Refused -> return emit(reply).let { End.Final }
            is Elsewhere -> return moved(reply)
            else -> Unit
        }
        return null
    }

    private fun homed(reply: Homed) {
        wasSent = true
        program = reply.program
        home = reply.home
    }

    /** The bytes of [part] that the caller has not got yet; null when there are none. */
    private fun release(part: Part): Part? {
        val skip = released.size() - part.offset
        if (skip < 0) throw LinkException("a part of the answer is missing", sent = true)
        if (skip >= part.bytes.size) return null
        val bytes = part.bytes.copyOfRange(skip.toInt(), part.bytes.size)
        val offset = released.size().toLong()
        released.write(bytes)
        return Part(part.id, offset, bytes)
    }

    private suspend fun whole(
        reply: Whole,
        emit: suspend (Message) -> Unit,
    ): End {
        if (reply.length != released.size().toLong()) return End.Lost("the answer of $host is not whole")
        emit(reply)
        return End.Final
    }

    private fun moved(reply: Elsewhere): End {
        home?.takeIf { it != reply.home }?.let { directory.recordSuccessor(it, reply.home) }
        home = reply.home
        host = reply.home.host
        return End.Moved
    }

    /** Finds out where to send the call after [failures] failures; returns why that is not possible now. */
    private suspend fun recover(failures: Int): Recovered.NotNow? {
        if (failures == 1 && peers.status(host)?.home == home && home != null) return null
        val lost = home ?: directory.homeOn(host) ?: return Recovered.NotNow("host $host cannot be reached", LATER)
        while (true) {
            val found = next(lost)
            if (found is Recovered.At) {
                home = found.home
                host = found.home.host
                return null
            }
            if (timeLeft < call.timeLeft * PATIENCE) return found as Recovered.NotNow
            delay(RETRY)
        }
    }

    private suspend fun next(lost: HomeId): Recovered {
        val present = peers.status(lost.host)?.home
        if (present != null &&
            present != lost
        ) {
            return Recovered.At(directory.lastKnownSuccessor(lost).takeIf { it != lost } ?: lost)
        }
        if (present == lost) return Recovered.At(lost)
        return lostHomes.successor(lost, service)
    }

    private fun message(): Call =
        call.copy(
            program = program,
            isStart = call.isStart || call.program == null,
            released = released.size().toLong(),
            releasedBody = released.toByteArray(),
            timeLeft = timeLeft,
            mayRepeat = call.mayRepeat || wasSent,
        )

    private fun refused(
        reason: Recovered.NotNow,
        detail: String?,
    ): Refused {
        val mayHaveRun = wasSent || call.mayRepeat
        val outcome = if (mayHaveRun) Outcome.UNKNOWN else Outcome.NOT_RUN
        val text = listOfNotNull(reason.reason, detail).joinToString("; ")
        return Refused(call.id, Refusal(outcome, UNAVAILABLE, text, reason.retryAfter), program)
    }

    private companion object {
        const val UNAVAILABLE = 503
        const val MAX_FAILURES = 8

        /** Share of the caller's time that is kept, so that a call which cannot be carried is refused early. */
        const val PATIENCE = 0.5
        val LEAST_TIME: Duration = 100.milliseconds
        val BACKOFF: Duration = 50.milliseconds
        val RETRY: Duration = 500.milliseconds
        val LATER: Duration = 3.seconds
        val TOO_OFTEN = Recovered.NotNow("the home of the program changed too often", LATER)
    }
}
