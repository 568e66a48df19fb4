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
 * The reports of the daemons.
 *
 * @property places a summary of each place that has answered.
 * @property daemons the last reported state of each daemon in those places.
 * @property unresponsive the places of which no daemon answered.
 */
internal class FleetReport(
    val places: List<PlaceSummary>,
    val daemons: List<ReportedState>,
    val unresponsive: List<PlaceName>,
) {
    /** Counts the daemons that have [generation] or a later one. */
    fun countAtLeast(generation: Generation): Int = daemons.count { it.generation >= generation }
}

/** Requests a report on each place from one of its daemons, or from another one when that does not answer. */
internal class Survey(
    private val exchange: Exchange,
) {
    /** Collects the reports on the places of [hosts]. */
    suspend fun collect(hosts: List<ListedHost>): FleetReport =
        coroutineScope {
            val byPlace = hosts.groupBy { it.place }.toSortedMap(compareBy { it.value })
            val reports = byPlace.map { (place, listed) -> async { place to reportOf(place, listed) } }.awaitAll()
            FleetReport(
                places = reports.mapNotNull { (place, report) -> report?.places?.find { it.place == place } },
                daemons = reports.flatMap { it.second?.members.orEmpty() }.sortedBy { it.host.name.value },
                unresponsive = reports.filter { it.second == null }.map { it.first },
            )
        }

    private suspend fun reportOf(
        place: PlaceName,
        listed: List<ListedHost>,
    ): PlaceReport? =
        listed.shuffled().take(MAX_DAEMONS_PER_PLACE).firstNotNullOfOrNull { host ->
            request(host)?.takeIf { report -> report.places.any { it.place == place } }
        }

    private suspend fun request(host: ListedHost): PlaceReport? =
        try {
            withTimeoutOrNull(REPLY_TIMEOUT) { exchange(host.address, GetPlaceReport).firstOrNull() as? PlaceReport }
        } catch (_: LinkException) {
            null
        }

    private companion object {
        const val MAX_DAEMONS_PER_PLACE = 5
        val REPLY_TIMEOUT = 3.seconds
    }
}
