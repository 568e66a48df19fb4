package sycamore.gateway

import sycamore.links.HomeAt
import sycamore.model.PlaceName
import sycamore.model.ServiceName
import sycamore.routing.UpstreamId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Which engine a turn goes to, for callers of [place]. */
internal class EngineChoice(
    private val place: PlaceName,
    private val board: GateBoard,
) {
    /** Where a new program of [service] lives: beside the best engine but those [excluded]; null when none takes turns. */
    fun newHome(
        service: ServiceName,
        excluded: Set<UpstreamId>,
    ): HomeAt? = best(service, excluded)?.let { HomeAt(it.status!!.home, it.address) }

    /** The engine beside [home] if it takes turns of [service], or else the best other one. */
    fun target(
        home: HomeAt,
        service: ServiceName,
        excluded: Set<UpstreamId>,
    ): EngineHost? {
        val own = board.at(home.address)?.takeIf { takesTurns(it, service, excluded) }
        return own ?: best(service, excluded)
    }

    private fun best(
        service: ServiceName,
        excluded: Set<UpstreamId>,
    ): EngineHost? =
        board.all
            .filter { takesTurns(it, service, excluded) && it.status?.isReady == true }
            .minByOrNull(::cost)

    private fun takesTurns(
        host: EngineHost,
        service: ServiceName,
        excluded: Set<UpstreamId>,
    ): Boolean = !host.upstream.isLeaving && host.upstream.service == service && host.upstream.id !in excluded

    private fun cost(host: EngineHost): Duration {
        val status = host.status!!
        val distance = if (host.upstream.place == place) Duration.ZERO else DISTANCE
        val load = LOAD * (status.running + status.waiting + host.placed)
        return status.wait + distance + load
    }

    private companion object {
        /** What an engine in another region costs in time: the way there and back, and bytes that are paid for. */
        val DISTANCE = 60.milliseconds

        /** What each turn at an engine adds to the time of another. */
        val LOAD = 6.milliseconds
    }
}
