package sycamore.routing

import kotlinx.serialization.Serializable
import sycamore.model.ServiceName
import kotlin.time.Duration

/** Whether a call may be repeated, and in which form its answer arrives. */
enum class RepeatPolicy {
    /** The call may run more than once. */
    IDEMPOTENT,

    /** The call runs at most once for each attempt of the caller. */
    ONCE,

    /** The call runs at most once, and its answer is a stream of events. */
    ONCE_STREAMED,
}

/** One of the services that a route sends its calls to, with its share of the calls as a [weight]. */
@Serializable
data class WeightedService(
    val service: ServiceName,
    val weight: Int,
)

/**
 * Rule that sends certain calls to certain services, with the settings for these calls.
 *
 * @property host host name that the route's calls are addressed to.
 * @property prefix prefix of the path of the route's calls; it begins and ends with a slash.
 * @property timeout maximum time that a caller is kept waiting.
 * @property target time within which an answer is on time; for a stream, the time of its first event.
 * @property priority priority of the calls; 0 is the most urgent.
 * @property attempts maximum number of upstreams that one call may be sent to.
 * @property retention time after its end for which a turn can be continued; null if the route keeps no history.
 * @property pauseTarget longest pause between two events of a stream that is on time.
 * @property hasAffinity whether an upstream that recently handled the same subject is faster.
 * @property isResumable whether an upstream can continue the stream of another one after any of its events. Such a call may run
 * more than once.
 * @property allowsAnonymous whether a call needs no account, although the configuration has accounts.
 */
data class Route(
    val name: String,
    val host: String,
    val prefix: String,
    val repeat: RepeatPolicy,
    val timeout: Duration,
    val target: Duration,
    val priority: Int,
    val services: List<WeightedService>,
    val attempts: Int,
    val retention: Duration? = null,
    val pauseTarget: Duration? = null,
    val hasAffinity: Boolean = false,
    val allowsAnonymous: Boolean = false,
    val isResumable: Boolean = false,
)

/**
 * Capacity of a model engine.
 *
 * @property slots maximum number of requests that it runs at once.
 * @property cacheTokens number of tokens that fit into its memory.
 * @property tokensPerEvent number of tokens in each event of a stream.
 */
data class EngineProfile(
    val slots: Int,
    val cacheTokens: Long,
    val tokensPerEvent: Int,
)

/**
 * A service that routes send calls to.
 *
 * @property healthPath path of its health check, or null if it has none.
 * @property maxConnections maximum number of connections that one of its upstreams accepts from all callers together.
 * @property engine capacity of its model engines; null for a service without engines.
 */
data class RoutedService(
    val name: ServiceName,
    val healthPath: String?,
    val maxConnections: Int?,
    val engine: EngineProfile?,
)

/**
 * Limits on the size of callers' requests, on the time in which their headers arrive, and on the idle time of
 * connections.
 */
data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Long,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)
