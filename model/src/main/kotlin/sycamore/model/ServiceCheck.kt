package sycamore.model

import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/** Checks the values of a service file against each other. */
internal object ServiceCheck {
    private val methods = setOf("*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
    private val deadlines = 1.seconds / 1_000..24.hours
    private val idleLimits = 1.seconds..30.days

    /** Checks [service], whose values are at the positions in [source], and returns all findings. */
    fun check(
        service: Service,
        source: Source,
    ): List<Finding> =
        buildList {
            addAll(checkUpstreams(service, source))
            addAll(checkModels(service, source))
            addAll(checkContracts(service, source))
            addAll(checkLimits(service, source))
            addAll(checkRanges(service, source))
        }

    private fun checkUpstreams(
        service: Service,
        source: Source,
    ): List<Finding> =
        buildList {
            if (service.upstreams.isEmpty()) add(source.finding("name", "no [[upstreams]]", "at least one"))
            duplicateIndexes(service.upstreams) { it.host }.forEach { i ->
                add(source.finding("upstreams[$i].host", "host '${service.upstreams[i].host}' again", "each host once"))
            }
            duplicateIndexes(service.upstreams) { it.address }.forEach { i ->
                val address = service.upstreams[i].address
                add(source.finding("upstreams[$i].address", "address $address again", "each address once"))
            }
        }

    private fun checkModels(
        service: Service,
        source: Source,
    ): List<Finding> =
        buildList {
            val loadable = service.upstreams.flatMapTo(HashSet()) { it.models }
            service.models.filterNot(loadable::contains).forEach { model ->
                add(source.finding("models", "model '$model' without an upstream", "an upstream whose models name it"))
            }
            service.upstreams.forEachIndexed { i, upstream ->
                val isModel = service.kind == ServiceKind.MODEL
                if (isModel && upstream.models.isEmpty()) {
                    add(source.finding("upstreams[$i].models", "no models", "the models that this engine may load"))
                }
                if (!isModel && upstream.models.isNotEmpty()) {
                    add(source.finding("upstreams[$i].models", "models", "none, since kind is \"service\""))
                }
            }
        }

    private fun checkContracts(
        service: Service,
        source: Source,
    ): List<Finding> =
        buildList {
            service.contracts.forEachIndexed { i, contract ->
                val at = "methods[$i]"
                if (contract.method.uppercase() !in methods) {
                    val expected = "one of ${methods.joinToString()}"
                    add(source.finding("$at.method", "\"${contract.method}\"", expected))
                }
                if (!contract.path.startsWith("/") || contract.path.dropLast(1).contains('*')) {
                    val expected = "a path that begins with '/' and has a '*' only at its end"
                    add(source.finding("$at.path", "\"${contract.path}\"", expected))
                }
                if (contract.deadline !in deadlines) {
                    add(source.finding("$at.deadline", "${contract.deadline}", durationWithin(deadlines)))
                }
                val earlier = service.contracts.take(i).firstOrNull { it.shadows(contract) }
                if (earlier != null) {
                    val found = "'${contract.method} ${contract.path}' after '${earlier.method} ${earlier.path}'"
                    add(source.finding("$at.path", found, "the narrower path first, since the first that fits holds"))
                }
            }
        }

    private fun checkLimits(
        service: Service,
        source: Source,
    ): List<Finding> =
        duplicateIndexes(service.limits) { it.caller }.map { i ->
            source.finding("limits[$i].caller", "caller '${service.limits[i].caller}' again", "each caller once")
        }

    private fun checkRanges(
        service: Service,
        source: Source,
    ): List<Finding> =
        buildList {
            if (service.deadline !in deadlines) {
                add(source.finding("deadline", "${service.deadline}", durationWithin(deadlines)))
            }
            if (service.idleLimit !in idleLimits) {
                add(source.finding("idle_limit", "${service.idleLimit}", durationWithin(idleLimits)))
            }
            if (service.budget.elapsed <= Duration.ZERO) {
                add(source.finding("budget.elapsed", "${service.budget.elapsed}", "a duration above 0"))
            }
            if (service.weights.latency + service.weights.waste == 0.0) {
                add(source.finding("weights", "both weights 0", "at least one above 0"))
            }
        }

    private fun durationWithin(range: ClosedRange<Duration>) = "a duration from ${range.start} to ${range.endInclusive}"

    /** Whether this contract covers every call that [other] covers. */
    private fun Contract.shadows(other: Contract): Boolean {
        if (method != "*" && !method.equals(other.method, ignoreCase = true)) return false
        if (path.endsWith("*")) return other.path.startsWith(path.dropLast(1))
        return path == other.path
    }
}

/** The indexes of the items whose [key] equals that of an earlier item. */
internal fun <T, K> duplicateIndexes(
    items: List<T>,
    key: (T) -> K,
): List<Int> {
    val seen = HashSet<K>()
    return items.indices.filterNot { seen.add(key(items[it])) }
}
