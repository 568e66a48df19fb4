package sycamore.programs

import sycamore.model.CallId
import sycamore.model.Digest
import sycamore.programs.ProgramStateTest.Companion.answer
import sycamore.programs.ProgramStateTest.Companion.id
import sycamore.programs.ProgramStateTest.Companion.started
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Instant

/**
 * Guards against two calls of a program running at once, out of turn, or twice: calls arrive before earlier turns, are
 * repeated by callers, or were left without a result by a takeover.
 */
class LiveProgramTest {
    private val live = LiveProgram(ProgramState.initial(started))
    private val first = CallId("first")
    private val second = CallId("second")
    private val digest = Digest.sha256(ByteArray(1))

    @Test
    fun `a call ahead of its turn waits for the missing turns`() {
        assertEquals(Admission.Wait, live.admit(second, 2, digest))
        assertEquals(Admission.Run(1), live.admit(first, 1, digest))
        assertEquals(Admission.Wait, live.admit(second, 2, digest))
        finish(first, 1)
        assertEquals(Admission.Run(2), live.admit(second, 2, digest))
    }

    @Test
    fun `calls without an explicit turn run in order of arrival`() {
        assertEquals(Admission.Run(1), live.admit(first, null, digest))
        assertEquals(Admission.Wait, live.admit(second, null, digest))
        assertEquals(Admission.Wait, live.admit(CallId("third"), null, digest))
        finish(first, 1)
        assertEquals(Admission.Wait, live.admit(CallId("third"), null, digest))
        assertEquals(Admission.Run(2), live.admit(second, null, digest))
    }

    @Test
    fun `a repeat attaches while the call runs and gets the stored answer afterwards`() {
        live.admit(first, 1, digest)
        assertEquals(Admission.Attach, live.admit(first, 1, digest))
        finish(first, 1)
        assertEquals(Admission.Completed(1, CallResult.Answered(answer("hi"))), live.admit(first, 1, digest))
    }

    @Test
    fun `a different request with the same call id is refused`() {
        live.admit(first, 1, digest)
        assertEquals(Admission.RequestMismatch, live.admit(first, 1, Digest.sha256(ByteArray(2))))
        finish(first, 1)
        assertEquals(Admission.RequestMismatch, live.admit(first, 1, Digest.sha256(ByteArray(2))))
    }

    @Test
    fun `a turn that was used is not given to another call`() {
        live.admit(first, 1, digest)
        finish(first, 1)
        assertEquals(Admission.TurnTaken(2), live.admit(second, 1, digest))
    }

    @Test
    fun `after a takeover a call without a result is resumed before any other`() {
        live.apply(CallAccepted(id, first, 1, digest, emptyList(), idempotent = false, at = Instant.DISTANT_PAST))
        assertEquals(Admission.Wait, live.admit(second, 2, digest))
        assertIs<Admission.Resume>(live.admit(first, 1, digest))
        assertEquals(Admission.Attach, live.admit(first, 1, digest))
    }

    private fun finish(
        call: CallId,
        turn: Int,
    ) {
        live.apply(CallAccepted(id, call, turn, digest, emptyList(), idempotent = true, at = Instant.DISTANT_PAST))
        live.apply(CallAnswered(id, call, answer("hi")))
        live.release(call)
    }
}
