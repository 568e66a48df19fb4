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

/** The result of reserving part of a root program's budget for one attempt to run a call. */
internal sealed interface BudgetHold {
    /** [tokens] were reserved for this attempt. */
    data class Granted(
        val tokens: Long,
    ) : BudgetHold

    /** Nothing was reserved, since [limit] of the budget is reached. */
    data class Exhausted(
        val limit: BudgetLimit,
    ) : BudgetHold

    /** The root's home did not respond or declined. It may have reserved part of the budget nevertheless. */
    data object Unreachable : BudgetHold
}

/**
 * Reserves and settles parts of the budgets of root programs, at this home or at the other home that serves the root.
 */
internal class Budgets(
    private val journal: Journal,
    private val directory: Directory,
    private val peers: Peers,
    private val background: Background,
    private val clock: Clock,
) {
    /** Reserves the part of a budget that [reserve] describes. */
    suspend fun reserve(reserve: ReserveTokens): BudgetHold {
        reserveLocally(reserve)?.let { return it }
        return when (val reply = requestFromRoot(reserve.root, reserve)) {
            is TokensReserved -> reply.limit?.let { BudgetHold.Exhausted(it) } ?: BudgetHold.Granted(reply.tokens)
            else -> BudgetHold.Unreachable
        }
    }

    /** Ends the reservation that [settle] names. Retries until the root's home has acknowledged it. */
    fun settle(settle: EndReservation) {
        if (settleLocally(settle)) return
        background.launch("settling ${settle.call}") {
            while (requestFromRoot(settle.root, settle) !is Done) delay(RETRY_DELAY)
        }
    }

    /** Handles [reserve] of another home. Replies once the reservation is durable. */
    suspend fun handleReserve(reserve: ReserveTokens): Message {
        val result = reserveLocally(reserve) ?: return redirect(reserve.call, reserve.root)
        if (!journal.awaitDurable(setOf(reserve.root), DURABILITY_TIMEOUT)) {
            return Declined("the reservation is not durable yet", RETRY_DELAY)
        }
        return when (result) {
            is BudgetHold.Granted -> TokensReserved(result.tokens)
            is BudgetHold.Exhausted -> TokensReserved(0, result.limit)
            BudgetHold.Unreachable -> Declined("the root's home cannot be reached", RETRY_DELAY)
        }
    }

    /** Handles [settle] of another home. */
    suspend fun handleSettle(settle: EndReservation): Message =
        if (settleLocally(settle)) Done else redirect(settle.call, settle.root)

    private fun reserveLocally(reserve: ReserveTokens): BudgetHold? =
        journal.table.update(reserve.root) { root -> reserve(root, reserve) }

    private fun reserve(
        root: LiveProgram,
        reserve: ReserveTokens,
    ): BudgetHold {
        val state = root.state
        if (state.ended != null) return BudgetHold.Exhausted(BudgetLimit.ENDED)
        val elapsed = clock.now() - state.startedAt
        val before = state.account.reserved[reserve.call] ?: 0
        val reservation =
            state.account.reserve(state.budget, reserve.call, reserve.prompt, reserve.answer, elapsed, reserve.again)
        if (reservation is Reservation.Exhausted) return BudgetHold.Exhausted(reservation.limit)
        val total = (reservation as Reservation.Granted).tokens
        val isNew = reserve.call !in state.account.reserved && reserve.call !in state.account.settled
        if (isNew || reserve.again) journal.record(root, BudgetReserved(state.id, reserve.call, total))
        return BudgetHold.Granted(if (reserve.again) total - before else total)
    }

    private fun settleLocally(settle: EndReservation): Boolean =
        journal.table.update(settle.root) { root ->
            val held = root.state.account.reserved[settle.call]
            if (held != null) {
                val spent = if (settle.counted) maxOf(0, held - settle.unused) else 0
                journal.record(root, BudgetSettled(settle.root, settle.call, spent, settle.counted))
            }
        } != null

    /**
     * Sends [message] to the home that serves [root], following one redirection. Returns null if it does not respond.
     */
    private suspend fun requestFromRoot(
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

    /** Replies to a request for [root], which this home does not serve. */
    private suspend fun redirect(
        call: CallId,
        root: ProgramId,
    ): Message {
        val home =
            directory.fetchLastSuccessor(root.origin) ?: return Declined("the root's home is not known", RETRY_DELAY)
        return if (home == journal.log.home) Declined("program $root is not at this home") else Elsewhere(call, home)
    }

    private companion object {
        val RETRY_DELAY: Duration = 1.seconds

        /** Limit of the wait until a reservation is durable. */
        val DURABILITY_TIMEOUT: Duration = 2.seconds
    }
}
