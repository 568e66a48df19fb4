package sycamore.host

import kotlinx.coroutines.delay
import sycamore.daemon.Background
import sycamore.daemon.Directory
import sycamore.daemon.Peers
import sycamore.links.Declined
import sycamore.links.Done
import sycamore.links.Elsewhere
import sycamore.links.EndReservation
import sycamore.links.Message
import sycamore.links.ReserveTokens
import sycamore.links.TokensReserved
import sycamore.model.CallId
import sycamore.model.ProgramId
import sycamore.programs.BudgetLimit
import sycamore.programs.BudgetReserved
import sycamore.programs.BudgetSettled
import sycamore.programs.LiveProgram
import sycamore.programs.Reservation
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What a home holds of a root's budget for one attempt to run a call. */
internal sealed interface Hold {
    /** [tokens] are held for this attempt. */
    data class Granted(
        val tokens: Long,
    ) : Hold

    /** The budget is spent. */
    data class Exhausted(
        val limit: BudgetLimit,
    ) : Hold

    /** The root's home did not answer; part of the budget may be held. */
    data object Unreachable : Hold
}

/** Reserves and settles budgets of root programs, here or at another home. */
internal class Budgets(
    private val journal: Journal,
    private val directory: Directory,
    private val peers: Peers,
    private val background: Background,
    private val clock: Clock,
) {
    /** Holds part of a budget as [reserve] asks. */
    suspend fun reserve(reserve: ReserveTokens): Hold {
        reserveHere(reserve)?.let { return it }
        return when (val reply = askRoot(reserve.root, reserve)) {
            is TokensReserved -> reply.limit?.let { Hold.Exhausted(it) } ?: Hold.Granted(reply.tokens)
            else -> Hold.Unreachable
        }
    }

    /** Ends the reservation that [settle] is about; again and again until the root's home has heard of it. */
    fun settle(settle: EndReservation) {
        if (settleHere(settle)) return
        background.launch("settling ${settle.call}") {
            while (askRoot(settle.root, settle) !is Done) delay(RETRY)
        }
    }

    /** Answers [reserve] of another home, once the reservation is safe. */
    suspend fun answer(reserve: ReserveTokens): Message {
        val hold = reserveHere(reserve) ?: return elsewhere(reserve.call, reserve.root)
        if (!journal.awaitSafe(
                setOf(reserve.root),
                SAFE_LIMIT,
            )
        ) {
            return Declined("the reservation is not safe yet", RETRY)
        }
        return when (hold) {
            is Hold.Granted -> TokensReserved(hold.tokens)
            is Hold.Exhausted -> TokensReserved(0, hold.limit)
            Hold.Unreachable -> Declined("the root's home cannot be reached", RETRY)
        }
    }

    /** Answers [settle] of another home. */
    suspend fun answer(settle: EndReservation): Message =
        if (settleHere(settle)) Done else elsewhere(settle.call, settle.root)

    private fun reserveHere(reserve: ReserveTokens): Hold? =
        journal.table.update(reserve.root) { root -> reserve(root, reserve) }

    private fun reserve(
        root: LiveProgram,
        reserve: ReserveTokens,
    ): Hold {
        val state = root.state
        if (state.ended != null) return Hold.Exhausted(BudgetLimit.ENDED)
        val elapsed = clock.now() - state.startedAt
        val before = state.account.reserved[reserve.call] ?: 0
        val reservation =
            state.account.reserve(state.budget, reserve.call, reserve.prompt, reserve.answer, elapsed, reserve.again)
        if (reservation is Reservation.Exhausted) return Hold.Exhausted(reservation.limit)
        val total = (reservation as Reservation.Granted).tokens
        val isNew = reserve.call !in state.account.reserved && reserve.call !in state.account.settled
        if (isNew || reserve.again) journal.record(root, BudgetReserved(state.id, reserve.call, total))
        return Hold.Granted(if (reserve.again) total - before else total)
    }

    private fun settleHere(settle: EndReservation): Boolean =
        journal.table.update(settle.root) { root ->
            val held = root.state.account.reserved[settle.call]
            if (held != null) {
                val spent = if (settle.counted) maxOf(0, held - settle.unused) else 0
                journal.record(root, BudgetSettled(settle.root, settle.call, spent, settle.counted))
            }
        } != null

    private suspend fun askRoot(
        root: ProgramId,
        message: Message,
    ): Message? {
        val home = directory.lastKnownSuccessor(root.origin)
        val reply =
            peers.request(home.host, message)
                ?: directory.fetchLastSuccessor(home)?.let { peers.request(it.host, message) }
        if (reply !is Elsewhere) return reply
        directory.recordSuccessor(home, reply.home)
        return peers.request(reply.home.host, message)
    }

    private suspend fun elsewhere(
        call: CallId,
        root: ProgramId,
    ): Message {
        val home = directory.fetchLastSuccessor(root.origin) ?: return Declined("the root's home is not known", RETRY)
        return if (home == journal.log.home) Declined("no program $root lives here") else Elsewhere(call, home)
    }

    private companion object {
        val RETRY: Duration = 1.seconds
        val SAFE_LIMIT: Duration = 2.seconds
    }
}
