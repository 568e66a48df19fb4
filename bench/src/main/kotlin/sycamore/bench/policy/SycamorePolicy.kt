package sycamore.bench.policy

import sycamore.decisions.MoveDecision
import sycamore.decisions.MovePolicy
import sycamore.decisions.Placement
import sycamore.decisions.PlacementRequest
import sycamore.decisions.Placer
import sycamore.decisions.UpstreamState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The system's own policy. Placement uses states of the gates that are up to [SUMMARY_PERIOD] old. */
internal class SycamorePolicy(
    fleet: PolicyFleet,
    private val engines: List<RunEngine>,
    private val now: () -> Duration,
) {
    private val placer = Placer(fleet.network, fleet.weights)
    private val moves = MovePolicy()
    private val byHost = engines.associateBy { it.host }
    private var states: List<UpstreamState> = emptyList()

    /** The policy as a run uses it. */
    val policy = Policy(PolicyKind.SYCAMORE.text, hasQueue = true, sendsHistory = false, ::choose, ::onProgramEnded)

    /** Fetches the states of all gates. */
    fun updateStates() {
        states = engines.map { it.queue!!.state(it.host, it.fleetEngine.place) }
    }

    private fun choose(
        program: RunProgram,
        turn: TurnPlan,
    ): RunEngine {
        val home = program.home
        val request = placementRequest(program, turn)
        val chosen = if (home == null) place(request) else moveOrStay(program, home, request)
        program.home = chosen
        states = states.map { if (it.host == chosen.host) it.afterPlacing(request) else it }
        return chosen
    }

    private fun place(request: PlacementRequest): RunEngine {
        val placement = placer.place(request, states) as Placement.Chosen
        return byHost.getValue(placement.best.host)
    }

    private fun moveOrStay(
        program: RunProgram,
        home: RunEngine,
        request: PlacementRequest,
    ): RunEngine {
        if (!home.fits(request.tokens)) return place(request)
        if (request.isResidentAt(home.host)) return home
        val stay = placer.evaluate(request, states.first { it.host == home.host })
        val since = program.movedAt?.let { now() - it }
        val decision = moves.decide(stay, placer.place(request, states), since)
        if (decision !is MoveDecision.Move) return home
        program.movedAt = now()
        home.queue!!.end(program.plan.id)
        return byHost.getValue(decision.to.host)
    }

    private fun placementRequest(
        program: RunProgram,
        turn: TurnPlan,
    ): PlacementRequest {
        val home = program.home
        val isNew = home == null
        return PlacementRequest(
            from = program.plan.from,
            newTokens = turn.newTokens + if (isNew) program.historyTokens else 0,
            historyTokens = if (isNew) 0 else program.historyTokens,
            outputTokens = EXPECTED_OUTPUT_TOKENS,
            turns = maxOf(EXPECTED_TURNS, program.turnIndex.toDouble()),
            bytesPerTurn = BYTES_PER_TURN,
            home = home?.host,
            resident =
                if (home ==
                    null
                ) {
                    emptyMap()
                } else {
                    mapOf(home.host to home.queue!!.residentTokens(program.plan.id))
                },
        )
    }

    private fun onProgramEnded(program: RunProgram) {
        program.home?.queue?.end(program.plan.id)
    }

    companion object {
        /** Interval at which gates report their state to the entries. */
        val SUMMARY_PERIOD = 250.milliseconds

        private const val EXPECTED_TURNS = 6.0
        private const val EXPECTED_OUTPUT_TOKENS = 128L
        private const val BYTES_PER_TURN = 2_500L
    }
}
