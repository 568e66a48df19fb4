package sycamore.gateway

import sycamore.daemon.homes.HomeList
import sycamore.links.HomeEndpoint
import sycamore.model.Address
import sycamore.model.ServiceName
import sycamore.routing.ListedUpstream

/**
 * An upstream that was selected for a turn.
 *
 * @property engine the engine, if the turn passes its gate; null if the upstream has no gate, so that the home sends the turn to it
 * directly.
 * @property reason why it was selected, for the log.
 * @property unread the estimated number of prompt tokens that it has to read; null if it is not known.
 */
internal class SelectedTarget(
    val upstream: ListedUpstream,
    val engine: EngineHost?,
    val reason: String,
    val unread: Long? = null,
) {
    /** The address of the daemon with the gate of the upstream; null if it has none. */
    val gate: Address? get() = engine?.address
}

/**
 * Selects the homes of programs and the upstreams that run their turns. Engines are selected by what their gates report. An upstream
 * of a service without engines has no gate and is selected like that of a plain call.
 */
internal class TurnTargets(
    private val engines: EngineSelector,
    private val engineHosts: EngineDirectory,
    private val homeSelector: HomeSelector,
    private val homes: HomeList,
    private val upstreams: UpstreamDirectory,
    private val loads: UpstreamLoads,
) {
    /**
     * Whether turns reach the upstreams of [service] through gates. Gates are part of homes, so that they do not if the service has no
     * engines, or none whose host has a home.
     */
    fun hasGates(service: ServiceName): Boolean {
        if (!engineHosts.hasEngines(service)) return false
        val available = upstreams.available(service)
        if (available.isEmpty() || !homes.isLoaded) return true
        val addresses = homes.view.addresses
        return available.any { engineHosts.daemonAddress(it) in addresses }
    }

    /** Chooses the home of a new program of [service]. Returns null if none accepts turns. */
    suspend fun chooseHome(
        service: ServiceName,
        excluded: Set<Address>,
    ): HomeEndpoint? {
        if (engineHosts.hasEngines(service)) engines.chooseHome(service, excluded)?.let { return it }
        return if (hasGates(service)) null else homeSelector.choose()
    }

    /**
     * Chooses the upstream for [call], a turn with [prompt] of a program whose home is [home], that is not [excluded]. Returns null if
     * there is none.
     */
    suspend fun choose(
        home: HomeEndpoint,
        call: AcceptedCall,
        prompt: TurnPrompt,
        excluded: Set<Address>,
    ): SelectedTarget? {
        if (engineHosts.hasEngines(call.service)) {
            engines.chooseEngine(home, prompt, excluded)?.let {
                return SelectedTarget(it.host.upstream, it.host, it.reason, it.unread)
            }
        }
        return if (hasGates(call.service)) null else chooseUngated(call, excluded)
    }

    private fun chooseUngated(
        call: AcceptedCall,
        excluded: Set<Address>,
    ): SelectedTarget? {
        if (excluded.size >= PlainCalls.MAX_UPSTREAMS_TRIED) return null
        val candidates = upstreams.available(call.service).filter { it.address !in excluded }
        val upstream = loads.choose(candidates, call.affinityKey) ?: return null
        return SelectedTarget(upstream, engine = null, loads.describe(upstream))
    }

    /** Records that [call] is sent to [target]. The end has to be recorded, too. */
    fun recordStart(
        target: SelectedTarget,
        call: AcceptedCall,
    ): TargetUse {
        val gate = target.gate
        if (gate == null) return UngatedUse(target.upstream, loads, call.route.name)
        engineHosts.recordPlacement(gate)
        return GatedUse
    }

    /** Records that [target] has run [turn]. */
    fun recordRun(
        target: SelectedTarget,
        turn: TurnPrompt,
    ) {
        target.engine?.let { engines.recordRun(it, turn) }
    }
}
