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
 * What is known of a program: the fold of its records.
 *
 * @property version how many records were folded.
 * @property turn the last turn that was taken.
 * @property contextTokens prompt and answer of the last chat completion, which the next prompt repeats.
 * @property usage tokens of all calls that were answered.
 * @property account what was spent; of use in root programs only.
 * @property residents tokens that engines may hold in their caches, by host.
 * @property repeats how often in a row the same call got the same answer.
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
    /** Calls that were accepted and have not ended. */
    val unresolved: List<CallState> get() = calls.values.filter { it.result == null }

    /** Whether it ended and no engine holds cache of it. Its calls are still known then, for late repeats. */
    val isFreed: Boolean get() = ended != null && residents.isEmpty() && unresolved.isEmpty()

    /** The state after [record]. */
    fun apply(record: Record): ProgramState {
        val next = change(record).copy(version = version + 1)
        return if (next.ended != null && next.unresolved.isEmpty()) next.copy(history = persistentListOf()) else next
    }

    private fun change(record: Record): ProgramState =
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
        val reached =
            if (call.messages.isEmpty()) {
                residents
            } else {
                residents.put(
                    record.gate,
                    residents[record.gate] ?: 0,
                )
            }
        return copy(calls = calls.put(call.id, call.copy(intents = call.intents + intent)), residents = reached)
    }

    private fun answer(record: CallAnswered): ProgramState {
        val call = calls[record.call] ?: return this
        val done = call.copy(messages = emptyList(), result = CallResult.Answered(record.answer))
        val isSame = call.digest == lastCall && record.answer.digest == lastAnswer
        val next =
            copy(
                calls = forgetOld(call.turn).put(call.id, done),
                repeats = if (isSame) repeats + 1 else 1,
                lastCall = call.digest,
                lastAnswer = record.answer.digest,
                usage = usage + record.answer.usage,
            )
        return if (call.messages.isEmpty() || !record.answer.isSuccess) next else next.converse(call, record.answer)
    }

    private fun forgetOld(turn: Int): PersistentMap<CallId, CallState> {
        val old = calls.values.filter { it.turn <= turn - KEPT_ANSWERS && it.result is CallResult.Answered }
        return old.fold(calls) { kept, call -> kept.put(call.id, call.copy(result = CallResult.Forgotten)) }
    }

    private fun converse(
        call: CallState,
        answer: Answer,
    ): ProgramState {
        val reply = ChatMessage("assistant", answer.body.decodeToString(), answer.toolCalls)
        return copy(history = history.addAll(call.messages).add(reply), contextTokens = answer.usage.total)
    }

    private fun refuse(record: CallRefused): ProgramState {
        val call = calls[record.call] ?: return this
        if (record.refusal.outcome == Outcome.NOT_RUN) return copy(calls = calls.remove(call.id), turn = call.turn - 1)
        val ended = call.copy(messages = emptyList(), result = CallResult.Ended(record.refusal))
        return copy(calls = calls.put(call.id, ended))
    }

    companion object {
        /** How many answers of a program are kept for repeats. */
        const val KEPT_ANSWERS = 32

        /** The state after the first record of a program. */
        fun of(record: ProgramStarted): ProgramState =
            ProgramState(
                id = record.program,
                caller = record.caller,
                service = record.service,
                parent = record.parent,
                root = record.root,
                budget = record.budget,
                startedAt = record.at,
            )

        /** Folds [records], the first of which has to be a [ProgramStarted]; null when it is not. */
        fun fold(records: List<Record>): ProgramState? {
            val first = records.firstOrNull() as? ProgramStarted ?: return null
            return records.drop(1).fold(of(first), ProgramState::apply)
        }
    }
}
