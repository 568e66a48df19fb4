package sycamore.links

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import sycamore.decisions.accounts.RequestCounts
import sycamore.decisions.accounts.RequestKind
import sycamore.model.CallerName
import sycamore.model.Generation
import sycamore.model.HomeId
import kotlin.time.Duration

/**
 * The credit that a gateway asks for on behalf of one account.
 *
 * @property rate the account's limit in requests per second.
 * @property burst the number of requests that the account may send at once after a pause.
 * @property generation the configuration that the limit is from.
 * @property waiting requests that wait for credit.
 * @property ahead credit for requests that are expected soon.
 * @property arrived requests since the last ask; of starts of programs only those that were admitted.
 */
@Serializable
data class WantedCredit(
    @CborLabel(1) val account: CallerName,
    @CborLabel(2) val rate: Double,
    @CborLabel(3) val burst: Double,
    @CborLabel(4) val waiting: RequestCounts = RequestCounts.NONE,
    @CborLabel(5) val ahead: RequestCounts = RequestCounts.NONE,
    @CborLabel(6) val arrived: RequestCounts = RequestCounts.NONE,
    @CborLabel(7) val generation: Generation,
)

/**
 * Request of a gateway to the home that decides for [accounts]. Answered by [CreditGranted]. Without accounts it lets a home that owns a
 * partition become its decider.
 */
@Serializable
@SerialName("credit?")
data class AskCredit(
    @CborLabel(1) val accounts: List<WantedCredit>,
) : Message

/**
 * The credit that one account got.
 *
 * @property life the time after the sending of the ask at which the credit expires.
 * @property retryAfter the time until the decider can grant credit to kinds of which a waiting request got none.
 * @property generation the configuration whose limit was applied.
 */
@Serializable
data class GrantedCredit(
    @CborLabel(1) val account: CallerName,
    @CborLabel(2) val granted: RequestCounts,
    @CborLabel(3) val life: Duration,
    @CborLabel(4) val retryAfter: Map<RequestKind, Duration> = emptyMap(),
    @CborLabel(5) val generation: Generation,
)

/**
 * Reply to [AskCredit].
 *
 * @property home the home of the sender.
 * @property accounts the credit of each account that [home] decides for; the others have to ask another home.
 */
@Serializable
@SerialName("credit")
data class CreditGranted(
    @CborLabel(1) val home: HomeId,
    @CborLabel(2) val accounts: List<GrantedCredit>,
) : LastReply

/**
 * Request of the new owner of [partitions] of accounts to a home: stop to decide for them, and promise not to begin again on grounds of a
 * revision of the key-value service up to [revision]. Answered by [LimitsPromised].
 */
@Serializable
@SerialName("claim-limits")
data class ClaimLimits(
    val to: HomeId,
    val partitions: Set<Int>,
    val revision: Long,
) : Message

/**
 * Reply to [ClaimLimits].
 *
 * @property home the home of the sender; another one than the claimed home if that has ended.
 * @property promised the partitions that [home] promises.
 */
@Serializable
@SerialName("limits-promised")
data class LimitsPromised(
    val home: HomeId,
    val promised: Set<Int>,
) : LastReply
