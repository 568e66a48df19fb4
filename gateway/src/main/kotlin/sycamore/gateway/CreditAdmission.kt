package sycamore.gateway

import sycamore.decisions.accounts.Credit
import sycamore.model.HomeId
import kotlin.time.Duration

/** Whether a request of an account with a limit may be sent. */
internal sealed interface CreditAdmission {
    /** It may be sent. [credit] is given back if it does not run. */
    data class Admitted(
        val credit: Credit,
    ) : CreditAdmission

    /**
     * The account is over its limit.
     *
     * @property retryAfter the time until a request of this kind can get credit.
     * @property decider the home that refused the last request of this kind.
     * @property generation the configuration whose limit was applied.
     */
    data class Refused(
        val retryAfter: Duration,
        val decider: HomeId,
        val generation: Long,
    ) : CreditAdmission

    /** No decider has answered, so it is unknown whether the account is over its limit. */
    data object Unknown : CreditAdmission
}
