package sycamore.decisions.accounts

import kotlinx.collections.immutable.ImmutableMap
import kotlin.time.Duration

/**
 * What a gateway asks for one account.
 *
 * @property waiting requests that wait for credit.
 * @property ahead credit for requests that are expected soon.
 * @property arrived requests since the last ask: all continuations and ordinary ones, and the starts that were admitted.
 */
data class CreditWish(
    val waiting: RequestCounts,
    val ahead: RequestCounts = RequestCounts.NONE,
    val arrived: RequestCounts = RequestCounts.NONE,
)

/**
 * Credit granted to a gateway for one account.
 *
 * @property life time after the sending of the ask at which the credit expires.
 * @property retryAfter for each kind of which a waiting request got no credit, the time until a request of this kind can get some.
 * @property generation configuration whose limit was applied.
 */
data class CreditGrant(
    val granted: RequestCounts,
    val life: Duration,
    val retryAfter: ImmutableMap<RequestKind, Duration>,
    val generation: Long,
)
