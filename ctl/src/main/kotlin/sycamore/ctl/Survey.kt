package sycamore.ctl

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.links.Exchange
import sycamore.links.GetPlaceReport
import sycamore.links.LinkException
import sycamore.links.PlaceReport
import sycamore.links.PlaceSummary
import sycamore.links.ReportedState
import sycamore.model.Generation
import sycamore.model.PlaceName
import sycamore.services.ListedHost
import kotlin.time.Duration.Companion.seconds

/**
 * What the daemons report.
 *
 * @property silent places of which no daemon answered.
 */
internal class FleetReport(
    val places: List<PlaceSummary>,
    val daemons: List<ReportedState>,
    val silent: List<PlaceName>,
) {
    /** How many daemons have [generation] or a later one. */
    fun having(generation: Generation): Int = daemons.count { it.generation >= generation }
}

/** Asks one daemon of each place about all of its place; the next one when it does not answer. */
internal class Survey(
    private val exchange: Exchange,
) {
    /** Asks about the places of [hosts]. */
    suspend fun of(hosts: List<ListedHost>): FleetReport =
        coroutineScope {
            val byPlace = hosts.groupBy { it.place }.toSortedMap(compareBy { it.value })
            val reports = byPlace.map { (place, listed) -> async { place to askAny(place, listed) } }.awaitAll()
            FleetReport(
                places = reports.mapNotNull { (place, report) -> report?.places?.find { it.place == place } },
                daemons = reports.flatMap { it.second?.members.orEmpty() }.sortedBy { it.host.name.value },
                silent = reports.filter { it.second == null }.map { it.first },
            )
        }

    private suspend fun askAny(
        place: PlaceName,
        listed: List<ListedHost>,
    ): PlaceReport? =
        listed.shuffled().take(ATTEMPTS).firstNotNullOfOrNull { host ->
            ask(host)?.takeIf { report -> report.places.any { it.place == place } }
        }

    private suspend fun ask(host: ListedHost): PlaceReport? =
        try {
            withTimeoutOrNull(LIMIT) { exchange(host.address, GetPlaceReport).firstOrNull() as? PlaceReport }
        } catch (_: LinkException) {
            null
        }

    private companion object {
        const val ATTEMPTS = 5
        val LIMIT = 3.seconds
    }
}
