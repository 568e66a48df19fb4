package sycamore.model

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** The kind of upstreams that a service has. */
@Serializable
enum class ServiceKind {
    /** Model engines, which serve chat completions. */
    MODEL,

    /** Plain services, called over HTTP. */
    SERVICE,
}

/** The properties of one method of a service that the operators guarantee. */
@Serializable
data class Contract(
    val method: String,
    val path: String,
    val idempotent: Boolean,
    val deadline: Duration = DEFAULT_DEADLINE,
) {
    /**
     * Whether this contract applies to [method] on [path]. The query part of [path] is ignored.
     *
     * A contract whose path ends in `*` applies to all paths with that prefix.
     */
    fun covers(
        method: String,
        path: String,
    ): Boolean {
        if (this.method != "*" && !this.method.equals(method, ignoreCase = true)) return false
        val requested = path.substringBefore('?')
        if (this.path.endsWith("*")) return requested.startsWith(this.path.dropLast(1))
        return this.path == requested
    }

    companion object {
        /** The deadline of calls whose contract sets none. */
        val DEFAULT_DEADLINE = 60.seconds

        /** The contract of a method that no contract covers: its calls may not be repeated. */
        fun nonIdempotent(
            method: String,
            path: String,
        ): Contract = Contract(method, path, idempotent = false)
    }
}

/** The upper limits of the resources that a program and its sub-agents together may consume. */
@Serializable
data class Budget(
    val tokens: Long = 1_000_000,
    val calls: Long = 1_000,
    val elapsed: Duration = 24.hours,
)

/**
 * The weights of the costs that placement minimizes.
 *
 * @property latency the cost of one second of a program's time.
 * @property waste the cost of one second of repeated prefill, or of its transfer across a billed link.
 */
@Serializable
data class Weights(
    val latency: Double = 1.0,
    val waste: Double = 1.0,
)

/**
 * The limits of one account on one service, in addition to the limits of the account on all services together.
 *
 * @property rate the limit of calls per second, on average; null for no limit on this service alone.
 * @property concurrency the limit of concurrent calls; null for no limit on this service alone.
 * @property tokensPerMinute the limit of prompt and answer tokens per minute; null for no limit.
 */
@Serializable
data class AccountLimit(
    val caller: CallerName,
    val rate: Double? = null,
    val concurrency: Int? = null,
    val tokensPerMinute: Long? = null,
)

/**
 * A service as its file describes it.
 *
 * @property idleLimit the time after which an idle program ends.
 * @property models the models that the service offers; each needs an upstream that may load it.
 * @property deadline the deadline of calls that no contract covers.
 */
@Serializable
data class Service(
    val name: ServiceName,
    val kind: ServiceKind,
    val upstreams: List<Upstream>,
    val contracts: List<Contract> = emptyList(),
    val budget: Budget = Budget(),
    val weights: Weights = Weights(),
    val idleLimit: Duration = DEFAULT_IDLE_LIMIT,
    val models: List<ModelName> = emptyList(),
    val deadline: Duration = Contract.DEFAULT_DEADLINE,
    val limits: List<AccountLimit> = emptyList(),
) {
    /** The upstreams that can serve [model]: those that list it, or all if none does. */
    fun upstreamsFor(model: ModelName?): List<Upstream> = upstreams.filter { model in it.models }.ifEmpty { upstreams }

    /** The first contract that covers [method] on [path], or the contract of methods that none covers. */
    fun contract(
        method: String,
        path: String,
    ): Contract =
        contracts.firstOrNull { it.covers(method, path) }
            ?: Contract.nonIdempotent(method, path).copy(deadline = deadline)

    /** The limits of [caller] on this service, or null if it has none. */
    fun limit(caller: CallerName): AccountLimit? = limits.firstOrNull { it.caller == caller }

    /** The number of calls that all upstreams together can process concurrently. */
    val capacity: Int get() = upstreams.sumOf { it.capacity }

    companion object {
        /** The time after which an idle program ends, for services that set no limit. */
        val DEFAULT_IDLE_LIMIT = 30.minutes
    }
}

/**
 * An account.
 *
 * @property salt a random text that is prepended to the key before hashing.
 * @property keyHash the digest of the salt followed by the key.
 * @property rate the limit of calls per second, on average.
 * @property concurrency the limit of concurrent calls.
 */
@Serializable
data class Caller(
    val name: CallerName,
    val salt: String,
    val keyHash: Digest,
    val rate: Double = DEFAULT_RATE,
    val concurrency: Int = DEFAULT_CONCURRENCY,
) {
    /** Whether [key] is this account's key. */
    fun matchesKey(key: String): Boolean = Digest.sha256((salt + key).encodeToByteArray()) == keyHash

    companion object {
        /** The rate limit of accounts whose entry sets none, in calls per second. */
        const val DEFAULT_RATE = 100.0

        /** The limit of concurrent calls of accounts whose entry sets none. */
        const val DEFAULT_CONCURRENCY = 100
    }
}

/**
 * One publish in the sequence of publishes that led to a configuration.
 *
 * @property by the operator who published.
 * @property replaced the parts that the publish changed, each with its previous digest; null for a new part.
 */
@Serializable
data class PublishMark(
    val generation: Generation,
    val publishId: String,
    val by: String,
    val at: Instant,
    val replaced: Map<String, Digest?>,
)

/**
 * The complete configuration that a publish puts in force.
 *
 * @property publishes the last publishes including this one, oldest first; daemons do not keep them.
 */
@Serializable
data class Configuration(
    val generation: Generation,
    val publishId: String,
    val places: List<Place>,
    val links: List<Link>,
    val callers: List<Caller>,
    val services: List<Service>,
    val publishes: List<PublishMark> = emptyList(),
) {
    /** The service called [name], or null. */
    fun service(name: ServiceName): Service? = services.firstOrNull { it.name == name }

    /** The upstream that runs on [host], with its service; null if there is none. */
    fun upstreamOf(host: HostName): Pair<Service, Upstream>? =
        services.firstNotNullOfOrNull { service ->
            service.upstreams.firstOrNull { it.host == host }?.let { service to it }
        }
}
