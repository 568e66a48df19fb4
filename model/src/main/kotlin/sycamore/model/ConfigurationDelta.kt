package sycamore.model

import kotlinx.serialization.Serializable

/**
 * The difference between the configuration of generation [from] and that of generation [to].
 *
 * @property digest the digest of the names and values of the result, to detect a delta applied to a wrong base.
 * @property places all places, or null if they are unchanged.
 * @property links all links, or null if they are unchanged.
 * @property callers the changed and new callers.
 * @property services the changed and new services, without their upstreams.
 * @property upstreams the changed and new upstreams by service.
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
        /** The delta that changes [old] to [new]. */
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
                services =
                    new.services
                        .filter { it.withoutUpstreams() != before[it.name]?.withoutUpstreams() }
                        .map { it.withoutUpstreams() },
                removedServices = (before.keys - after.keys).toList(),
                upstreams = groupByService(new) { it.upstreams - before[it.name]?.upstreams.orEmpty().toSet() },
                removedUpstreams =
                    groupByService(old) { service ->
                        val kept = after[service.name]?.upstreams.orEmpty().mapTo(HashSet()) { it.host }
                        service.upstreams.map { it.host } - kept
                    },
            )
        }

        /** A digest of all values, independent of the order of callers, services and upstreams. */
        internal fun digestOf(configuration: Configuration): String {
            val services = configuration.services.sortedBy { it.name.value }
            val parts =
                listOf(
                    configuration.places,
                    configuration.links,
                    configuration.callers.sortedBy { it.name.value },
                    services.map { service -> service.copy(upstreams = service.upstreams.sortedBy { it.host.value }) },
                )
            return Digest.sha256(parts.toString().encodeToByteArray()).hex.take(DIGEST_CHARACTERS)
        }

        private const val DIGEST_CHARACTERS = 16

        private fun <T> groupByService(
            configuration: Configuration,
            items: (Service) -> List<T>,
        ): Map<ServiceName, List<T>> =
            configuration.services.associate { it.name to items(it) }.filterValues { it.isNotEmpty() }
    }
}

/** This configuration with [delta] applied, or null if the delta was made for another configuration. */
fun Configuration.applyDelta(delta: ConfigurationDelta): Configuration? {
    if (delta.from != generation) return null
    val changedCallers = delta.callers.mapTo(HashSet()) { it.name } + delta.removedCallers
    val changedServices = delta.services.associateBy { it.name }
    val kept = services.filterNot { it.name in delta.removedServices }
    val added = delta.services.filter { new -> services.none { it.name == new.name } }
    val result =
        copy(
            generation = delta.to,
            publishId = delta.publishId,
            places = delta.places ?: places,
            links = delta.links ?: links,
            callers = (callers.filterNot { it.name in changedCallers } + delta.callers).sortedBy { it.name.value },
            services =
                (kept + added)
                    .map { service ->
                        (changedServices[service.name] ?: service).copy(upstreams = service.upstreamsAfter(delta))
                    }.sortedBy { it.name.value },
        )
    return result.takeIf { ConfigurationDelta.digestOf(it) == delta.digest }
}

private fun Service.withoutUpstreams(): Service = copy(upstreams = emptyList())

private fun Service.upstreamsAfter(delta: ConfigurationDelta): List<Upstream> {
    val changed = delta.upstreams[name].orEmpty()
    val replacedOrRemoved = changed.mapTo(HashSet()) { it.host } + delta.removedUpstreams[name].orEmpty()
    return (upstreams.filterNot { it.host in replacedOrRemoved } + changed).sortedBy { it.host.value }
}
