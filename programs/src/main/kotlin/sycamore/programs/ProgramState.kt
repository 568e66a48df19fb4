package sycamore.programs

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import sycamore.model.Budget
import sycamore.model.CallId
import sycamore.model.CallerName
import sycamore.model.Digest
import sycamore.model.HomeId
import sycamore.model.HostName
import sycamore.model.Incarnation
import sycamore.model.ProgramId
import sycamore.model.ServiceName
import kotlin.time.Instant

/**
 * The state of a program, computed by folding its records.
 *
 * @property version the number of records folded.
 * @property turn the last turn that was used.
 * @property contextTokens the tokens of prompt and answer of the last chat completion, which the next prompt repeats.
 * @property usage the tokens of all calls that were answered.
 * @property account the budget that was spent and reserved; only used in root programs.
 * @property residents the tokens that the engine beside each host may hold in its cache.
 * @property repeats the number of consecutive calls with the same request and the same answer.
 * @property lastCall the digest of the request of the last call that was answered.
 * @property lastAnswer the digest of the answer of that call.
 * @property movedTo the home that serves the program after a move, or null when it has not moved.
 * @property ended the reason for which the program ended, or null while it runs.
 */
data class ProgramState(
    val id: ProgramId,
    val caller: CallerName,
    val service: ServiceName,
    val parent: ProgramId?,
    val root: ProgramId,
    val budget: Budget,
    val startedAt: Instant,
    val version: Long = 1,
    val history: PersistentList<ChatMessage> = persistentListOf(),
    val calls: PersistentMap<CallId, CallState> = persistentMapOf(),
    val turn: Int = 0,
    val contextTokens: Long = 0,
    val usage: Usage = Usage(),
    val account: Account = Account(),
    val residents: PersistentMap<HostName, Long> = persistentMapOf(),
    val repeats: Int = 0,
    val lastCall: Digest? = null,
    val lastAnswer: Digest? = null,
    val movedTo: HomeId? = null,
    val ended: String? = null,
    val endedAt: Instant? = null,
) {
    /** The calls that were accepted and have no result yet. */
    val unresolved: List<CallState> get() = calls.values.filter { it.result == null }

    /** Whether the program has ended and no engine caches any of it. Its calls are still kept, for late repeats. */
    val isEndedAndEvicted: Boolean get() = ended != null && residents.isEmpty() && unresolved.isEmpty()

    /** Returns the state after applying [record]. */
    fun apply(record: Record): ProgramState {
        val next = applyChange(record).copy(version = version + 1)
        return if (next.ended != null && next.unresolved.isEmpty()) next.copy(history = persistentListOf()) else next
    }

    private fun applyChange(record: Record): ProgramState =
        when (record) {
            is ProgramStarted -> this
            is CallAccepted -> accept(record)
            is CallIntended -> intend(record)
            is CallAnswered -> answer(record)
            is CallRefused -> refuse(record)
            is BudgetReserved -> copy(account = account.apply(record))
            is BudgetSettled -> copy(account = account.apply(record))
            is CacheHeld -> copy(residents = residents.put(record.host, record.tokens))
            is CacheEvicted -> copy(residents = residents.remove(record.host))
            is ProgramMoved -> copy(movedTo = record.to)
            is ProgramEnded -> copy(ended = record.reason, endedAt = record.at)
        }

    private fun accept(record: CallAccepted): ProgramState {
        val call = CallState(record.call, record.turn, record.digest, record.messages, record.idempotent)
        return copy(calls = calls.put(record.call, call), turn = record.turn)
    }

    private fun intend(record: CallIntended): ProgramState {
        val call = calls[record.call] ?: return this
        val intent = Intent(record.service, record.gate, Incarnation(record.gateIncarnation), record.held)
        val nextResidents =
            if (call.messages.isEmpty()) {
                residents
            } else {
                residents.put(record.gate, residents[record.gate] ?: 0)
            }
        return copy(calls = calls.put(call.id, call.copy(intents = call.intents + intent)), residents = nextResidents)
    }

    private fun answer(record: CallAnswered): ProgramState {
        val call = calls[record.call] ?: return this
        val answered = call.copy(messages = emptyList(), result = CallResult.Answered(record.answer))
        val isRepeat = call.digest == lastCall && record.answer.digest == lastAnswer
        val next =
            copy(
                calls = discardOldAnswers(call.turn).put(call.id, answered),
                repeats = if (isRepeat) repeats + 1 else 1,
                lastCall = call.digest,
                lastAnswer = record.answer.digest,
                usage = usage + record.answer.usage,
            )
        return if (call.messages.isEmpty() || !record.answer.isSuccess) next else next.addToHistory(call, record.answer)
    }

    private fun discardOldAnswers(turn: Int): PersistentMap<CallId, CallState> {
        val old = calls.values.filter { it.turn <= turn - MAX_RETAINED_ANSWERS && it.result is CallResult.Answered }
        return old.fold(calls) { kept, call -> kept.put(call.id, call.copy(result = CallResult.AnswerDiscarded)) }
    }

    private fun addToHistory(
        call: CallState,
        answer: Answer,
    ): ProgramState {
        val reply = ChatMessage("assistant", answer.body.decodeToString(), answer.toolCalls)
        return copy(history = history.addAll(call.messages).add(reply), contextTokens = answer.usage.total)
    }

    private fun refuse(record: CallRefused): ProgramState {
        val call = calls[record.call] ?: return this
        if (record.refusal.outcome == Outcome.NOT_RUN) return copy(calls = calls.remove(call.id), turn = call.turn - 1)
        val refused = call.copy(messages = emptyList(), result = CallResult.Refused(record.refusal))
        return copy(calls = calls.put(call.id, refused))
    }

    companion object {
        /** The number of answers of a program that are kept for repeats. */
        const val MAX_RETAINED_ANSWERS = 32

        /** The state after the first record of a program. */
        fun initial(record: ProgramStarted): ProgramState =
            ProgramState(
                id = record.program,
                caller = record.caller,
                service = record.service,
                parent = record.parent,
                root = record.root,
                budget = record.budget,
                startedAt = record.at,
            )

        /** Folds [records] into a state, or returns null when the first of them is not a [ProgramStarted]. */
        fun fold(records: List<Record>): ProgramState? {
            val first = records.firstOrNull() as? ProgramStarted ?: return null
            return records.drop(1).fold(initial(first), ProgramState::apply)
        }
    }
}
