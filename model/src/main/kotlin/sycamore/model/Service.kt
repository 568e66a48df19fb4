package sycamore.model

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** What the upstreams of a service are. */
@Serializable
enum class ServiceKind {
    /** Model engines, called with chat completions. */
    MODEL,

    /** Plain services, called over HTTP. */
    SERVICE,
}

/** What the operators promise about one method of a service. */
@Serializable
data class Contract(
    val method: String,
    val path: String,
    val idempotent: Boolean,
    val deadline: Duration = DEFAULT_DEADLINE,
) {
    /**
     * Whether this contract is about [method] on [path], whose query part does not matter.
     *
     * A contract's path that ends in `*` covers all that begin with it.
     */
    fun covers(
        method: String,
        path: String,
    ): Boolean {
        if (this.method != "*" && !this.method.equals(method, ignoreCase = true)) return false
        val asked = path.substringBefore('?')
        if (this.path.endsWith("*")) return asked.startsWith(this.path.dropLast(1))
        return this.path == asked
    }

    companion object {
        /** The deadline of a call whose contract names none. */
        val DEFAULT_DEADLINE = 60.seconds

        /** What holds for a method that no contract covers: it may not be repeated. */
        fun unknown(
            method: String,
            path: String,
        ): Contract = Contract(method, path, idempotent = false)
    }
}

/** Upper bounds of what a program and its sub-agents may spend together. */
@Serializable
data class Budget(
    val tokens: Long = 1_000_000,
    val calls: Long = 1_000,
    val elapsed: Duration = 24.hours,
)

/**
 * What placement weighs.
 *
 * @property latency the worth of one second of a program's time.
 * @property waste the worth of one second of prefill computed again, or of its transfer across a billed link.
 */
@Serializable
data class Weights(
    val latency: Double = 1.0,
    val waste: Double = 1.0,
)

/**
 * What one account may ask of one service, below what the account may ask of all together.
 *
 * @property rate calls per second, on average; null sets no limit of its own.
 * @property concurrency calls in progress at once; null sets no limit of its own.
 * @property tokensPerMinute prompt and answer tokens; null sets no limit.
 */
@Serializable
data class AccountLimit(
    val caller: CallerName,
    val rate: Double? = null,
    val concurrency: Int? = null,
    val tokensPerMinute: Long? = null,
)

/**
 * One service as its file describes it.
 *
 * @property models what the service promises to offer; each needs an upstream that may load it.
 * @property deadline of a call that no contract covers.
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
    /** The upstreams that can serve [model]: those that name it, or all when none does. */
    fun upstreamsFor(model: ModelName?): List<Upstream> = upstreams.filter { model in it.models }.ifEmpty { upstreams }

    /** The contract of [method] on [path]. */
    fun contract(
        method: String,
        path: String,
    ): Contract =
        contracts.firstOrNull { it.covers(method, path) } ?: Contract.unknown(method, path).copy(deadline = deadline)

    /** The limit of [caller] on this service, or null. */
    fun limit(caller: CallerName): AccountLimit? = limits.firstOrNull { it.caller == caller }

    /** How many calls all upstreams together may work on at once. */
    val capacity: Int get() = upstreams.sumOf { it.capacity }

    companion object {
        /** How long a program may be idle before it ends, for a service that names no limit. */
        val DEFAULT_IDLE_LIMIT = 30.minutes
    }
}

/**
 * An account.
 *
 * @property salt random text that is hashed before the key.
 * @property keyHash the digest of salt and key.
 * @property rate calls per second, on average.
 * @property concurrency calls in progress at once.
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
    fun owns(key: String): Boolean = Digest.of((salt + key).encodeToByteArray()) == keyHash

    companion object {
        /** Calls per second of an account whose entry names no rate. */
        const val DEFAULT_RATE = 100.0

        /** Calls in progress of an account whose entry names no concurrency. */
        const val DEFAULT_CONCURRENCY = 100
    }
}

/**
 * One publish in the line of publishes that led to a configuration.
 *
 * @property by the operator who published.
 * @property replaced the parts that it changed, with the digest that each had before; null for a new part.
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
 * All that one publish puts in force.
 *
 * @property publishes the last publishes, this one included, oldest first; daemons do not keep them.
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

    /** The service and upstream beside which [host] runs, or null. */
    fun upstreamOf(host: HostName): Pair<Service, Upstream>? =
        services.firstNotNullOfOrNull { service ->
            service.upstreams.firstOrNull { it.host == host }?.let { service to it }
        }
}
