package sycamore.programs

import sycamore.model.Budget
import sycamore.model.CallId
import sycamore.model.CallerName
import sycamore.model.Digest
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.ProgramId
import sycamore.model.ServiceName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Instant

/**
 * Guards against a wrong state after folding records: a history or turn that counts calls which did not run, caches
 * that are never evicted, and memory that grows with the number of answers.
 */
class ProgramStateTest {
    private val first = CallId("first")
    private val prompt = listOf(ChatMessage("user", "hello"))

    @Test
    fun `an answered chat adds its messages and the answer to the history`() {
        val state = state(accepted(first, 1), CallAnswered(id, first, answer("hi")))

        assertEquals(prompt + ChatMessage("assistant", "hi"), state.history)
        assertEquals(CallResult.Answered(answer("hi")), state.calls.getValue(first).result)
    }

    @Test
    fun `a call that did not run is removed and its turn becomes free`() {
        val refusal = Refusal(Outcome.NOT_RUN, 503, "later")
        val state = state(accepted(first, 1), CallRefused(id, first, refusal))

        assertNull(state.calls[first])
        assertEquals(0, state.turn)
        assertEquals(emptyList(), state.history)
    }

    @Test
    fun `a call with an unknown outcome is kept and uses its turn`() {
        val refusal = Refusal(Outcome.UNKNOWN, 502, "the gate is gone")
        val state = state(accepted(first, 1), CallRefused(id, first, refusal))

        assertEquals(CallResult.Refused(refusal), state.calls.getValue(first).result)
        assertEquals(1, state.turn)
    }

    @Test
    fun `an engine that a chat may have reached counts as caching it until it acknowledges the eviction`() {
        val host = HostName("h1")
        val intended = CallIntended(id, first, ServiceName("llm"), host, "i1")
        val reached = state(accepted(first, 1), intended, CallAnswered(id, first, answer("hi")))
        val ended = reached.apply(ProgramEnded(id, "explicit", Instant.DISTANT_PAST))

        assertEquals(setOf(host), ended.residents.keys)
        assertEquals(false, ended.isEndedAndEvicted)
        assertEquals(true, ended.apply(CacheEvicted(id, host)).isEndedAndEvicted)
    }

    @Test
    fun `the same request with the same answer is counted as a repeat`() {
        val second = CallId("second")
        val state =
            state(
                accepted(first, 1),
                CallAnswered(id, first, answer("hi")),
                accepted(second, 2),
                CallAnswered(id, second, answer("hi")),
            )

        assertEquals(2, state.repeats)
    }

    @Test
    fun `the bodies of old answers are not kept`() {
        val calls = (1..ProgramState.MAX_RETAINED_ANSWERS + 1).map { CallId("call $it") to it }
        val records =
            calls.flatMap { (call, turn) -> listOf(accepted(call, turn), CallAnswered(id, call, answer("hi"))) }
        val state = state(*records.toTypedArray())

        assertEquals(CallResult.AnswerDiscarded, state.calls.getValue(calls[0].first).result)
        assertEquals(CallResult.Answered(answer("hi")), state.calls.getValue(calls[1].first).result)
    }

    @Test
    fun `comparing a conversation with the history finds the first message that differs`() {
        val history = prompt + ChatMessage("assistant", "hi")
        val other = prompt + ChatMessage("assistant", "ho") + ChatMessage("user", "go on")

        assertEquals(HistoryCheck.Differs(1), HistoryCheck.compare(history, other))
        assertEquals(HistoryCheck.Continues(other.drop(2)), HistoryCheck.compare(history, history + other.drop(2)))
    }

    private fun accepted(
        call: CallId,
        turn: Int,
    ) = CallAccepted(id, call, turn, Digest.sha256(ByteArray(1)), prompt, idempotent = true, at = Instant.DISTANT_PAST)

    private fun state(vararg records: Record) = ProgramState.fold(listOf(started) + records)!!

    companion object {
        internal val id = ProgramId(HomeId.parse("svea-a.h1.i1")!!, 1)

        internal val started =
            ProgramStarted(
                id,
                CallerName("shop"),
                ServiceName("llm"),
                parent = null,
                root = id,
                budget = Budget(tokens = 100, calls = 5),
                at = Instant.DISTANT_PAST,
            )

        internal fun answer(text: String) = Answer(200, "text/plain", text.encodeToByteArray())
    }
}
