package sycamore.gateway

import kotlinx.coroutines.flow.StateFlow
import sycamore.decisions.accounts.RequestKind
import sycamore.model.Generation
import sycamore.routing.AccountLimit
import sycamore.routing.CallKind
import sycamore.routing.ClientAccount
import sycamore.routing.ProgramName
import sycamore.routing.RouteTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Holds calls of accounts to the limits of these, and passes all others on. */
internal class LimitedCalls(
    private val credits: AccountCredits,
    private val table: StateFlow<RouteTable?>,
    private val isKnown: (ProgramName) -> Boolean,
    private val meters: CallMeters,
) {
    /** Calls [forward] if the account of [call] may send it, and else [refuse] with a status, a detail, and the time to wait. */
    suspend fun serve(
        call: AcceptedCall,
        refuse: suspend (GatewayError, String, Duration) -> Unit,
        forward: suspend () -> Unit,
    ) {
        val account = call.account ?: return forward()
        val (limit, generation) = limitOf(account) ?: return forward()
        when (val admission = credits.admit(account.name, limit, generation, kindOf(call), call.timeLeft)) {
            is CreditAdmission.Admitted ->
                try {
                    forward()
                } finally {
                    if (!call.mayHaveRun) credits.giveBack(account.name, admission)
                }
            is CreditAdmission.Refused -> {
                meters.recordLimitRefusal("over the limit")
                call.trace.limitRefusal = admission
                call.trace.detail = "the limit of account ${account.name} is reached"
                refuse(GatewayError.OVER_LIMIT, call.trace.detail!!, admission.retryAfter)
            }
            CreditAdmission.Unknown -> {
                meters.recordLimitRefusal("no decider")
                call.trace.detail = "no home decides for account ${account.name} now"
                refuse(GatewayError.NOT_RUN, call.trace.detail!!, RETRY_AFTER)
            }
        }
    }

    /** The limit in the newest configuration, with its generation. An account that it no longer contains keeps its last limit. */
    private fun limitOf(account: ClientAccount): Pair<AccountLimit, Generation>? {
        val current = table.value
        val present =
            current?.accounts?.accounts?.get(account.name) ?: return account.limit?.let { it to Generation(0) }
        return present.limit?.let { it to current.generation }
    }

    private fun kindOf(call: AcceptedCall): RequestKind {
        val program = call.program ?: return RequestKind.ORDINARY
        val isStart = call.kind != CallKind.SINGLE && call.head.previous == null && !isKnown(program)
        return if (isStart) RequestKind.START else RequestKind.CONTINUATION
    }

    private companion object {
        /** Time in which another home is likely to decide. */
        val RETRY_AFTER = 250.milliseconds
    }
}
