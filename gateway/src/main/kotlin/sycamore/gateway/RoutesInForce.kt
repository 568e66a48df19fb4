package sycamore.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import sycamore.daemon.log.event
import sycamore.daemon.log.warning
import sycamore.model.Generation
import sycamore.platform.AccountFinding
import sycamore.platform.Configurations
import sycamore.platform.StoreKeys
import sycamore.routing.RouteTable
import sycamore.services.Item
import sycamore.services.KeyValue
import sycamore.services.WatchAge
import sycamore.services.WatchEvent
import sycamore.services.follow
import kotlin.time.Duration
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/** Follows the configuration and provides the routes of its newest generation. An older generation is ignored. */
class RoutesInForce(
    private val keyValue: KeyValue,
    time: TimeSource = TimeSource.Monotonic,
) {
    private val state = MutableStateFlow<RouteTable?>(null)

    /** The current routes; null until a configuration was read. */
    val table: StateFlow<RouteTable?> = state.asStateFlow()

    private val watchAge = WatchAge(time)

    /** The time since the store last confirmed that there is no newer configuration; null before the first answer. */
    val age: Duration? get() = watchAge.elapsed

    /** Watches the configuration until cancelled. */
    suspend fun run() {
        keyValue.follow(StoreKeys.CONFIGURATION, ::logFailure, age = watchAge) { watched ->
            when (watched) {
                is WatchEvent.Snapshot -> watched.items.forEach { applyConfiguration(it, read = "list") }
                is WatchEvent.Changes -> watched.items.forEach { applyConfiguration(it, read = "watch") }
                is WatchEvent.Unreachable -> logUnreachable(watched.reason)
            }
        }
    }

    private fun logUnreachable(reason: String) =
        log.event(
            "cannot watch the configuration at present: $reason",
            "version" to state.value?.generation,
            "config_age_ms" to age?.inWholeMilliseconds,
        )

    private fun logFailure(cause: Exception) =
        log.error(cause) { "following the configuration failed; it is read again" }

    private fun applyConfiguration(
        item: Item,
        read: String,
    ) {
        if (item.key != StoreKeys.CONFIGURATION) return
        val value = item.value ?: return
        val configuration = Configurations.decode(value)
        if (configuration == null) {
            log.error { "ignored the configuration at revision ${item.version}: its value is invalid" }
            return
        }
        val table = configuration.table
        val current = state.value
        if (current != null && table.generation <= current.generation) return
        state.value = table
        log.event(
            "applied configuration ${table.generation} with ${table.routes.size} routes",
            "revision" to item.version,
            "read" to read,
            "config_age_ms" to age?.inWholeMilliseconds,
        )
        logFindings(table.generation, configuration.findings)
    }

    private fun logFindings(
        generation: Generation,
        findings: List<AccountFinding>,
    ) {
        findings.take(MAX_FINDINGS).forEach {
            log.warning("configuration-finding", "version" to generation, "detail" to it)
        }
        if (findings.size > MAX_FINDINGS) {
            val omitted = "${findings.size - MAX_FINDINGS} more findings"
            log.warning("configuration-finding", "version" to generation, "detail" to omitted)
        }
    }

    private companion object {
        /** Bounds the lines that one configuration causes. */
        const val MAX_FINDINGS = 50
    }
}
