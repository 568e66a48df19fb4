package sycamore.soak

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The result of one run.
 *
 * @property answers the number of answers by status; 0 counts attempts without a response.
 */
internal data class SoakResult(
    val seed: Long,
    val answers: Map<Int, Int>,
    val runs: Int,
    val upstreams: UpstreamCounts,
    val faults: Map<OutsideFault, Int>,
    val violations: List<Violation>,
) {
    override fun toString(): String =
        "fault-soak: seed=$seed answers=${answers.toSortedMap()} runs=$runs upstreams=$upstreams faults=$faults " +
            "violations=" + violations.distinctBy { it.rule to it.subject }.groupingBy { it.rule }.eachCount()
}

/** Runs the daemons under faults and checks what callers and upstreams see. */
internal class FaultSoak(
    private val plan: SoakPlan,
) {
    private val faults = FaultLog()
    private val accounts = if (plan.accounts == 0) null else AccountKeys(plan.accounts, plan.accountLimit)
    private val observations = Observations(faults, limits = accounts?.limits.orEmpty())

    suspend fun run(): SoakResult {
        plan.folder.deleteRecursively()
        plan.folder.mkdirs()
        val scope = CoroutineScope(Dispatchers.IO.limitedParallelism(THREADS) + SupervisorJob())
        val deployment = Deployment(plan, observations, scope, accounts)
        try {
            deployment.start()
            awaitService(deployment, "at the start", firstProbe = FIRST_PROBE)
            val callers =
                List(plan.callers) { Caller(it, plan.seed * SEED_FACTOR + it, deployment, observations, plan) }
            val probes = deployment.gateways.map { RouteProbe(it, deployment, observations, faults) }
            val jobs = callers.map { scope.launch { it.run() } } + probes.map { scope.launch { it.run() } }
            FaultInjector(plan, deployment, faults).run()
            val turns = callers.mapNotNull { it.lastTurn }.filter { it.account.budget >= PROBE_BUDGET }
            awaitService(deployment, "after the faults", firstProbe = FIRST_PROBE + deployment.gateways.size, turns)
            jobs.forEach { it.cancelAndJoin() }
        } finally {
            deployment.stop()
            scope.cancel()
        }
        observations.checkLimits()
        deployment.daemons.forEach(::checkLog)
        val result =
            SoakResult(
                plan.seed,
                observations.answers,
                observations.runCount,
                deployment.counts,
                faults.counts,
                observations.violations,
            )
        ViolationReport(plan.folder, deployment.daemons, observations::receipts).write(result.violations)
        return result
    }

    /** Checks that the log of [daemon] contains no key. */
    private fun checkLog(daemon: Daemon) {
        val keys = accounts?.values.orEmpty()
        if (keys.isEmpty() || !daemon.log.exists()) return
        val line = daemon.log.useLines { lines -> lines.firstOrNull { line -> keys.any { it in line } } } ?: return
        observations.report(Rule.KEY, daemon.name, "a log line contains a key: $line")
    }

    /** Checks that each gateway serves each kind of call again, and continues [turns]. */
    private suspend fun awaitService(
        deployment: Deployment,
        moment: String,
        firstProbe: Int,
        turns: List<CompleteTurn> = emptyList(),
    ) = coroutineScope {
        deployment.gateways
            .mapIndexed { index, gateway ->
                async(Dispatchers.IO) {
                    val caller = Caller(firstProbe + index, plan.seed + index, deployment, observations, plan)
                    for (kind in plan.kinds) {
                        val isServed =
                            awaitTrue {
                                caller.changeGateway(gateway)
                                if (kind ==
                                    CallKind.TURN
                                ) {
                                    probeTurn(caller, turns.getOrNull(index))
                                } else {
                                    caller.call(kind)
                                }
                            }
                        if (isServed) continue
                        observations.report(Rule.RECOVER, gateway.name, "$kind is not served $moment")
                    }
                    if (turns.isEmpty() || (accounts?.lastTurns?.size ?: 0) < 2) return@async
                    val isForeignRefused =
                        awaitTrue {
                            caller.changeGateway(gateway)
                            caller.foreignTurn() == NOT_FOUND
                        }
                    if (isForeignRefused) return@async
                    observations.report(Rule.HISTORY, gateway.name, "turns of other accounts do not get 404 $moment")
                }
            }.awaitAll()
    }

    /** Continues [previous] in its own program. */
    private suspend fun probeTurn(
        caller: Caller,
        previous: CompleteTurn?,
    ): Boolean = caller.turn(previous?.account ?: TokenAccount("probe", PROBE_BUDGET), previous) != null

    private suspend fun awaitTrue(test: suspend () -> Boolean): Boolean {
        val begin = TimeSource.Monotonic.markNow()
        while (begin.elapsedNow() < RECOVERY_TIME) {
            if (test()) return true
            delay(PROBE_INTERVAL)
        }
        return false
    }

    private companion object {
        const val THREADS = 1_024
        const val SEED_FACTOR = 1_000_003L

        /** The number of the first caller of probes, above those of all other callers. */
        const val FIRST_PROBE = 10_000
        const val NOT_FOUND = 404
        const val PROBE_BUDGET = 100_000L
        val PROBE_INTERVAL = 200.milliseconds

        /** Generous, so that a busy machine does not fail the check. */
        val RECOVERY_TIME = 40.seconds
    }
}
