package sycamore.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import sycamore.platform.Configurations
import sycamore.platform.StoreKeys
import sycamore.routing.RouteTable
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.WatchEvent
import sycamore.services.follow

private val log = KotlinLogging.logger {}

/** Follows the configuration and provides the routes of its newest generation. An older generation is ignored. */
class RoutesInForce(
    private val keyValue: KeyValue,
) {
    private val state = MutableStateFlow<RouteTable?>(null)

    /** The current routes; null until a configuration was read. */
    val table: StateFlow<RouteTable?> = state.asStateFlow()

    /** Watches the configuration until cancelled. */
    suspend fun run() {
        keyValue.follow(StoreKeys.CONFIGURATION, ::logFailure) { watched ->
            when (watched) {
                is WatchEvent.Snapshot -> watched.items.forEach(::applyConfiguration)
                is WatchEvent.Changes -> watched.items.forEach(::applyConfiguration)
                is WatchEvent.Unreachable -> log.info { "cannot watch the configuration at present: ${watched.reason}" }
            }
        }
    }

    private fun logFailure(cause: Exception) =
        log.error(cause) { "following the configuration failed; it is read again" }

    private fun applyConfiguration(item: Item) {
        if (item.key != StoreKeys.CONFIGURATION) return
        val value = item.value ?: return
        val table = Configurations.decode(value)
        if (table == null) {
            log.error { "ignored the configuration at revision ${item.version}: its value is invalid" }
            return
        }
        val current = state.value
        if (current != null && table.generation <= current.generation) return
        state.value = table
        log.info { "applied configuration ${table.generation} with ${table.routes.size} routes" }
    }
}
