package sycamore.routing

import kotlinx.serialization.Serializable
import sycamore.model.ServiceName
import kotlin.time.Duration

/** What may be repeated, and how the answer comes. */
enum class Repeat {
    /** May run more than once. */
    IDEMPOTENT,

    /** Runs at most once for each attempt of the caller. */
    ONCE,

    /** Runs at most once; the answer is a stream of events. */
    ONCE_STREAMED,
}

/** One of the services that a route's calls go to, and its share of them. */
@Serializable
data class WeightedService(
    val service: ServiceName,
    val weight: Int,
)

/**
 * Which calls go to which service, and what holds for them.
 *
 * @property prefix begins the path of the route's calls; it begins and ends with a slash.
 * @property timeout how long a caller is kept waiting at most.
 * @property target within which an answer is on time; for a stream, its first event.
 * @property priority 0 is the most urgent.
 * @property attempts upstreams that one call may be sent to.
 * @property retention how long a turn can be continued from its end on; null if the route keeps no history.
 * @property pauseTarget longest pause between two events of a stream that is on time.
 * @property hasAffinity whether an upstream that handled the same subject lately is faster.
 */
data class Route(
    val name: String,
    val host: String,
    val prefix: String,
    val repeat: Repeat,
    val timeout: Duration,
    val target: Duration,
    val priority: Int,
    val services: List<WeightedService>,
    val attempts: Int,
    val retention: Duration? = null,
    val pauseTarget: Duration? = null,
    val hasAffinity: Boolean = false,
)

/**
 * What a model engine can take.
 *
 * @property slots requests that it runs at once.
 * @property cacheTokens its memory.
 * @property tokensPerEvent tokens in each event of a stream.
 */
data class EngineProfile(
    val slots: Int,
    val cacheTokens: Long,
    val tokensPerEvent: Int,
)

/**
 * A service that routes lead to.
 *
 * @property maxConnections that one of its upstreams accepts, from all callers together.
 * @property engine what its model engines can take; null for a plain service.
 */
data class RoutedService(
    val name: ServiceName,
    val healthPath: String?,
    val maxConnections: Int?,
    val engine: EngineProfile?,
)

/** Bounds of what callers may send, and how long they may take or stay idle. */
data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Long,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)
