package sycamore.gateway

import sycamore.model.HomeId
import sycamore.model.ServiceName
import sycamore.platform.Header
import sycamore.routing.CallerHead
import sycamore.routing.Route
import sycamore.routing.UpstreamId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/**
 * A caller's call that a route takes.
 *
 * @property target path and query as the caller sent them.
 * @property forwarded headers that its upstream gets.
 * @property service the one of the route's services that it goes to.
 * @property until when it has to be answered: the caller's deadline, or the route's timeout if that is earlier.
 */
internal class AcceptedCall(
    val route: Route,
    val service: ServiceName,
    val head: CallerHead,
    val method: String,
    val target: String,
    val forwarded: List<Header>,
    val body: ByteArray,
    val until: ComparableTimeMark,
) {
    /** What became of the call, for the log. */
    val trace = CallTrace()

    /** Time until the call has to be answered. */
    val timeLeft: Duration get() = -until.elapsedNow()
}

/** What a call went through, for the log. */
internal class CallTrace {
    /** The upstream that it was sent to last. */
    @Volatile
    var upstream: UpstreamId? = null

    /** The home that it was sent to last. */
    @Volatile
    var home: HomeId? = null

    /** How often it was sent. */
    @Volatile
    var sends = 0

    /** Why it was not answered by an upstream. */
    @Volatile
    var detail: String? = null
}
