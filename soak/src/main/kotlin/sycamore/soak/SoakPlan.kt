package sycamore.soak

import sycamore.routing.AccountLimit
import java.io.File
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The size and the seed of one run.
 *
 * @property seed determines the choice of faults, targets and calls. Their times also depend on the machine.
 * @property length the time during which faults are injected.
 * @property hosts the number of gateways.
 * @property homes the number of homes with an engine each.
 * @property plainUpstreams the number of plain upstreams.
 * @property callersPerHost the number of callers for each gateway.
 * @property kinds the kinds of calls that are sent.
 * @property deadline the time that callers wait for an answer.
 * @property roles the daemons that faults affect.
 * @property isSequential whether each fault ends before the next one begins.
 * @property maxGap the longest time between the beginnings of two faults.
 * @property maxPause the longest time between the answer to a caller and its next call.
 * @property limits what each upstream takes.
 * @property accounts the number of client accounts; 0 for a configuration without accounts.
 * @property accountLimit the limit of each account but the last, which has none; null if no account has one.
 * @property classPath the class path with the daemons to test.
 * @property folder the folder for settings, data, logs and violations.
 */
internal data class SoakPlan(
    val seed: Long,
    val length: Duration,
    val hosts: Int,
    val classPath: String,
    val folder: File,
    val upstreamFaults: List<UpstreamFault> = UpstreamFault.entries,
    val outsideFaults: List<OutsideFault> = OutsideFault.entries - SELECTED_ONLY,
    val kinds: List<CallKind> = CallKind.entries,
    val homes: Int = if (CallKind.TURN in kinds) hosts else 0,
    val plainUpstreams: Int = hosts,
    val callersPerHost: Int = CALLERS_PER_HOST,
    val limits: UpstreamLimits = UpstreamLimits(),
    val deadline: Duration = 5.seconds,
    val roles: List<Role> = Role.entries,
    val isSequential: Boolean = false,
    val maxGap: Duration = 1_500.milliseconds,
    val maxPause: Duration = 60.milliseconds,
    val accounts: Int = 0,
    val accountLimit: AccountLimit? = null,
) {
    val retainers: Int get() = if (homes == 0) 0 else maxOf(MIN_RETAINERS, homes / HOSTS_PER_RETAINER)

    val callers: Int get() = hosts * callersPerHost

    companion object {
        /** The faults that only plans with certain checks or loads contain. */
        val SELECTED_ONLY = setOf(OutsideFault.LEAVE, OutsideFault.SILENCE, OutsideFault.MOVE_TURNS)
        private const val MIN_RETAINERS = 3
        private const val HOSTS_PER_RETAINER = 4
        const val CALLERS_PER_HOST = 6
    }
}
