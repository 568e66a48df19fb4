package sycamore.gateway

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import sycamore.forwarding.ConnectionUse
import sycamore.forwarding.PlannedStop
import sycamore.model.HomeId
import sycamore.model.ServiceName
import sycamore.platform.Header
import sycamore.routing.CallKind
import sycamore.routing.CallerHead
import sycamore.routing.ClientAccount
import sycamore.routing.ProgramName
import sycamore.routing.Route
import sycamore.routing.UpstreamId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * A call of a caller that a route accepted.
 *
 * @property service the service of the route that the call is sent to.
 * @property target the path and query as the caller sent them.
 * @property forwarded the headers that are forwarded to the upstream.
 * @property deadline the time by which the call has to be answered: the caller's deadline, or the end of the route's
 *   timeout if that is earlier.
 * @property stop the planned stop of this gateway.
 * @property account the account that the call is made for; null if it has none.
 */
internal class AcceptedCall(
    val route: Route,
    val service: ServiceName,
    val head: CallerHead,
    val method: String,
    val target: String,
    val forwarded: List<Header>,
    val body: ByteArray,
    val deadline: ComparableTimeMark,
    private val stop: PlannedStop,
    val account: ClientAccount? = null,
) {
    /** What the call is to its program. */
    val kind: CallKind = CallKind.of(route, head)

    /** The priority of the call: that of its account, or else of its route. */
    val priority: Int get() = account?.priority ?: route.priority

    /** The program of the call; null if its caller named none. */
    val program: ProgramName? = head.program?.let { ProgramName.of(account?.name, it.value) }

    /** Identifies the subject that an upstream may have handled recently; null if that makes no difference on the route. */
    val affinityKey: String? get() = head.affinityKey.takeIf { route.hasAffinity }

    /** How the call was handled, for the log. */
    val trace = CallTrace()

    /** Whether an upstream may have run the call, or may be running it. */
    @Volatile
    var mayHaveRun = false

    /** The time left until the call has to be answered, which is limited by the stop of this gateway. */
    val timeLeft: Duration get() = minOf(-deadline.elapsedNow(), stop.timeLeft)

    /** Whether the stop of this gateway leaves the call its time, so that it may be sent to an upstream. */
    val isSendable: Boolean get() = stop.admits(-deadline.elapsedNow())
}

/** Collects for the log how a call was handled. */
internal class CallTrace {
    /** The upstream that the call was last sent to. */
    @Volatile
    var upstream: UpstreamId? = null

    /** The home that the call was last sent to. */
    @Volatile
    var home: HomeId? = null

    /** Why the upstream was chosen that the call was last sent to. */
    @Volatile
    var choice: String? = null

    /** The number of times that the call was sent. */
    @Volatile
    var sends = 0

    /** The connection on which the last upstream answered a plain call; null if none did. */
    @Volatile
    var connection: ConnectionUse? = null

    /** The attempts without a complete response, in their order. */
    @Volatile
    var failedAttempts: PersistentList<AttemptTrace> = persistentListOf()
        private set

    /** Whether the call was sent more than once, or an attempt did not lead to a complete response. */
    val isUnusual: Boolean get() = sends > 1 || failedAttempts.isNotEmpty()

    /** Adds [attempt], unless [MAX_ATTEMPTS] are known. */
    fun add(attempt: AttemptTrace) {
        if (failedAttempts.size < MAX_ATTEMPTS) failedAttempts = failedAttempts.add(attempt)
    }

    /** Why the account's limit does not admit the call; null if it does. */
    @Volatile
    var limitRefusal: CreditAdmission.Refused? = null

    /** Why no upstream answered the call; null if one did. */
    @Volatile
    var detail: String? = null

    private companion object {
        /** Above the number of upstreams that a plain call is sent to. Bounds the line of a turn that is sent to many. */
        const val MAX_ATTEMPTS = 8
    }
}
