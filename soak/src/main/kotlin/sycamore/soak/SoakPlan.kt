package sycamore.soak

import java.io.File
import kotlin.time.Duration

/**
 * The size and the seed of one run.
 *
 * @property seed determines the choice of faults, targets and calls. Their times also depend on the machine.
 * @property length the time during which faults are injected.
 * @property hosts the number of gateways, and of homes with an engine each.
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
    val outsideFaults: List<OutsideFault> = OutsideFault.entries,
) {
    val retainers: Int get() = maxOf(MIN_RETAINERS, hosts / HOSTS_PER_RETAINER)

    val callers: Int get() = hosts * CALLERS_PER_HOST

    private companion object {
        const val MIN_RETAINERS = 3
        const val HOSTS_PER_RETAINER = 4
        const val CALLERS_PER_HOST = 6
    }
}
