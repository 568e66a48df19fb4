package sycamore.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import sycamore.platform.Configurations
import sycamore.platform.StoreKeys
import sycamore.routing.RouteTable
import sycamore.services.Backoff
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.WatchEvent
import sycamore.services.watch

private val log = KotlinLogging.logger {}

/** The newest configuration that this process has seen. It never goes back to an older one. */
class RoutesInForce(
    private val keys: KeyValue,
) {
    private val state = MutableStateFlow<RouteTable?>(null)

    /** The routes; null until a configuration was read. */
    val table: StateFlow<RouteTable?> = state.asStateFlow()

    /** Follows the configuration until cancelled. */
    suspend fun run() {
        keys.watch(StoreKeys.CONFIGURATION, backoff = Backoff.shortPauses()).collect { watched ->
            when (watched) {
                is WatchEvent.Snapshot -> watched.items.forEach(::learn)
                is WatchEvent.Changes -> watched.items.forEach(::learn)
                is WatchEvent.Unreachable -> log.info { "the configuration cannot be followed now: ${watched.reason}" }
            }
        }
    }

    private fun learn(item: Item) {
        if (item.key != StoreKeys.CONFIGURATION) return
        val value = item.value ?: return
        val table = Configurations.decode(value)
        if (table == null) {
            log.error { "the configuration at revision ${item.version} cannot be read and is passed over" }
            return
        }
        val current = state.value
        if (current != null && table.generation <= current.generation) return
        state.value = table
        log.info { "configuration ${table.generation} is in force with ${table.routes.size} routes" }
    }
}
