package sycamore.model

import kotlinx.serialization.Serializable

/**
 * What turns the configuration of generation [from] into that of generation [to].
 *
 * @property services changed services without their upstreams, or new ones.
 * @property upstreams changed and new upstreams, by service.
 * @property digest of the names and values of the result, so that a delta applied to another base is noticed.
 */
@Serializable
data class ConfigurationDelta(
    val from: Generation,
    val to: Generation,
    val publishId: String,
    val digest: String,
    val places: List<Place>? = null,
    val links: List<Link>? = null,
    val callers: List<Caller> = emptyList(),
    val removedCallers: List<CallerName> = emptyList(),
    val services: List<Service> = emptyList(),
    val removedServices: List<ServiceName> = emptyList(),
    val upstreams: Map<ServiceName, List<Upstream>> = emptyMap(),
    val removedUpstreams: Map<ServiceName, List<HostName>> = emptyMap(),
) {
    companion object {
        /** What turns [old] into [new]. */
        fun between(
            old: Configuration,
            new: Configuration,
        ): ConfigurationDelta {
            val before = old.services.associateBy { it.name }
            val after = new.services.associateBy { it.name }
            return ConfigurationDelta(
                from = old.generation,
                to = new.generation,
                publishId = new.publishId,
                digest = digestOf(new),
                places = new.places.takeIf { it != old.places },
                links = new.links.takeIf { it != old.links },
                callers = new.callers - old.callers.toSet(),
                removedCallers = old.callers.map { it.name } - new.callers.mapTo(HashSet()) { it.name },
                services = new.services.filter { it.head() != before[it.name]?.head() }.map { it.head() },
                removedServices = (before.keys - after.keys).toList(),
                upstreams = grouped(new) { it.upstreams - before[it.name]?.upstreams.orEmpty().toSet() },
                removedUpstreams =
                    grouped(old) { service ->
                        val kept = after[service.name]?.upstreams.orEmpty().mapTo(HashSet()) { it.host }
                        service.upstreams.map { it.host } - kept
                    },
            )
        }

        /** Depends on all values, in any order of callers, services and upstreams. */
        internal fun digestOf(configuration: Configuration): String {
            val services = configuration.services.sortedBy { it.name.value }
            val parts =
                listOf(
                    configuration.places,
                    configuration.links,
                    configuration.callers.sortedBy { it.name.value },
                    services.map { service -> service.copy(upstreams = service.upstreams.sortedBy { it.host.value }) },
                )
            return Digest.of(parts.toString().encodeToByteArray()).hex.take(DIGEST_CHARACTERS)
        }

        private const val DIGEST_CHARACTERS = 16

        private fun <T> grouped(
            configuration: Configuration,
            items: (Service) -> List<T>,
        ): Map<ServiceName, List<T>> =
            configuration.services.associate { it.name to items(it) }.filterValues { it.isNotEmpty() }
    }
}

/** This configuration changed by [delta], or null when the delta belongs to another. */
fun Configuration.changedBy(delta: ConfigurationDelta): Configuration? {
    if (delta.from != generation) return null
    val changedCallers = delta.callers.mapTo(HashSet()) { it.name } + delta.removedCallers
    val heads = delta.services.associateBy { it.name }
    val known = services.filterNot { it.name in delta.removedServices }
    val added = delta.services.filter { head -> services.none { it.name == head.name } }
    val result =
        copy(
            generation = delta.to,
            publishId = delta.publishId,
            places = delta.places ?: places,
            links = delta.links ?: links,
            callers = (callers.filterNot { it.name in changedCallers } + delta.callers).sortedBy { it.name.value },
            services =
                (known + added)
                    .map { service -> (heads[service.name] ?: service).copy(upstreams = service.upstreamsAfter(delta)) }
                    .sortedBy { it.name.value },
        )
    return result.takeIf { ConfigurationDelta.digestOf(it) == delta.digest }
}

private fun Service.head(): Service = copy(upstreams = emptyList())

private fun Service.upstreamsAfter(delta: ConfigurationDelta): List<Upstream> {
    val changed = delta.upstreams[name].orEmpty()
    val gone = changed.mapTo(HashSet()) { it.host } + delta.removedUpstreams[name].orEmpty()
    return (upstreams.filterNot { it.host in gone } + changed).sortedBy { it.host.value }
}
