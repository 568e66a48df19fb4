package sycamore.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import sycamore.daemon.HostLoads
import sycamore.daemon.InForce
import sycamore.daemon.Members
import sycamore.decisions.Network
import sycamore.decisions.Placement
import sycamore.decisions.PlacementRequest
import sycamore.decisions.Placer
import sycamore.links.Call
import sycamore.model.HostName
import sycamore.model.PlaceName
import sycamore.model.Service

private val log = KotlinLogging.logger {}

/** Chooses a host as the home of a new program; null when none is known to be able to serve it. */
internal typealias HomeChooser = (service: Service, call: Call) -> HostName?

/** Chooses homes for new programs by expected wait, prefill and bytes across billed links. */
internal class HomePlacement(
    private val from: PlaceName,
    private val inForce: InForce,
    private val members: Members,
    private val loads: HostLoads,
) {
    /** Implements [HomeChooser]. */
    fun choose(
        service: Service,
        call: Call,
    ): HostName? {
        val configuration = inForce.configuration.value ?: return null
        val present = members.all.filterNot { it.leaving }.mapTo(HashSet()) { it.name }
        val suitable = service.upstreamsFor(call.model).mapTo(HashSet()) { it.host }
        val states = loads.statesOf(service).filter { it.host in present && it.host in suitable }
        val request = placementRequest(call)
        val placer = Placer(Network(configuration.places, configuration.links), service.weights)
        val placement = placer.place(request, states)
        log.debug { "call ${call.id} of ${service.name}: $placement" }
        val best = (placement as? Placement.Chosen)?.best ?: return null
        loads.recordPlacement(best.host, request)
        return best.host
    }

    private fun placementRequest(call: Call): PlacementRequest {
        val bytes =
            call.request.body.size
                .toLong()
        return PlacementRequest(
            from = from,
            newTokens = bytes / Placer.BYTES_PER_TOKEN,
            turns = EXPECTED_TURNS,
            bytesPerTurn = bytes + EXPECTED_ANSWER_BYTES,
        )
    }

    private companion object {
        const val EXPECTED_TURNS = 6.0
        const val EXPECTED_ANSWER_BYTES = 512L
    }
}
