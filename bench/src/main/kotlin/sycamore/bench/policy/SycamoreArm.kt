package sycamore.bench.policy

import sycamore.decisions.MoveDecision
import sycamore.decisions.MovePolicy
import sycamore.decisions.Placement
import sycamore.decisions.PlacementRequest
import sycamore.decisions.Placer
import sycamore.decisions.UpstreamState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The system's own policy. Placement sees summaries of the gates that are up to [SUMMARY_PERIOD] old. */
internal class SycamoreArm(
    fleet: PolicyFleet,
    private val engines: List<RunEngine>,
    private val now: () -> Duration,
) {
    private val placer = Placer(fleet.network, fleet.weights)
    private val moves = MovePolicy()
    private val byHost = engines.associateBy { it.host }
    private var states: List<UpstreamState> = emptyList()

    /** The policy for a run. */
    val arm = Arm(ArmKind.SYCAMORE.text, hasQueue = true, sendsHistory = false, ::choose, ::ended)

    /** Takes the summaries of all gates. */
    fun refresh() {
        states = engines.map { it.queue!!.state(it.host, it.at.place) }
    }

    private fun choose(
        program: RunProgram,
        turn: TurnPlan,
    ): RunEngine {
        val home = program.home
        val ask = ask(program, turn)
        val chosen = if (home == null) place(ask) else moveOrStay(program, home, ask)
        program.home = chosen
        states = states.map { if (it.host == chosen.host) it.afterPlacing(ask) else it }
        return chosen
    }

    private fun place(ask: PlacementRequest): RunEngine {
        val placement = placer.place(ask, states) as Placement.Chosen
        return byHost.getValue(placement.best.host)
    }

    private fun moveOrStay(
        program: RunProgram,
        home: RunEngine,
        ask: PlacementRequest,
    ): RunEngine {
        if (!home.fits(ask.tokens)) return place(ask)
        if (ask.isResidentAt(home.host)) return home
        val stay = placer.evaluate(ask, states.first { it.host == home.host })
        val since = program.movedAt?.let { now() - it }
        val decision = moves.decide(stay, placer.place(ask, states), since)
        if (decision !is MoveDecision.Move) return home
        program.movedAt = now()
        home.queue!!.end(program.plan.id)
        return byHost.getValue(decision.to.host)
    }

    private fun ask(
        program: RunProgram,
        turn: TurnPlan,
    ): PlacementRequest {
        val home = program.home
        val isNew = home == null
        return PlacementRequest(
            from = program.plan.from,
            newTokens = turn.newTokens + if (isNew) program.history else 0,
            historyTokens = if (isNew) 0 else program.history,
            outputTokens = EXPECTED_OUTPUT,
            turns = maxOf(EXPECTED_TURNS, program.turn.toDouble()),
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

    private fun ended(program: RunProgram) {
        program.home?.queue?.end(program.plan.id)
    }

    companion object {
        /** How often gates tell the entries how they are. */
        val SUMMARY_PERIOD = 250.milliseconds

        private const val EXPECTED_TURNS = 6.0
        private const val EXPECTED_OUTPUT = 128L
        private const val BYTES_PER_TURN = 2_500L
    }
}
