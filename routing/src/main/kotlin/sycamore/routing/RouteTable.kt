package sycamore.routing

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toPersistentMap
import sycamore.model.Generation
import sycamore.model.ServiceName

/** All routes of one published configuration. */
class RouteTable(
    val generation: Generation,
    val routes: ImmutableList<Route>,
    services: Collection<RoutedService>,
    val limits: CallerLimits,
    val accounts: AccountDirectory = AccountDirectory.EMPTY,
) {
    /** The services by name. */
    val services: ImmutableMap<ServiceName, RoutedService> = services.associateBy { it.name }.toImmutableMap()

    private val maxTokensPerEvent: Int = services.mapNotNull { it.engine?.tokensPerEvent }.maxOrNull() ?: 1

    /**
     * The number of tokens that each event of a stream of [service] counts in the budget of a program. The configuration states it for
     * engines only. An event of another service counts as much as the largest one of all engines, so that a program exceeds its budget
     * nowhere, and as one token if there are none.
     */
    fun tokensPerEvent(service: ServiceName): Int = services[service]?.engine?.tokensPerEvent ?: maxTokensPerEvent

    private val byHost: ImmutableMap<String, List<Route>> =
        routes
            .groupBy { it.host.lowercase() }
            .mapValues { (_, routes) -> routes.sortedByDescending { it.prefix.length } }
            .toPersistentMap()

    /**
     * The route of [path] at [host]: the one with the longest prefix, or null when none fits. A port in [host] is
     * ignored.
     */
    fun find(
        host: String,
        path: String,
    ): Route? {
        val bare = path.substringBefore('?')
        return byHost[host.substringBefore(':').lowercase()]?.firstOrNull { bare.startsWith(it.prefix) }
    }
}
