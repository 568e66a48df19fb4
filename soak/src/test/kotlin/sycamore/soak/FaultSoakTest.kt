package sycamore.soak

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.condition.EnabledIfSystemProperty
import java.io.File
import java.nio.file.Files
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against promises to callers that break only when faults of upstreams, of the store and of the daemons
 * themselves overlap. The daemons are processes of their own. The test asserts nothing about their latency.
 */
class FaultSoakTest {
    @Test
    fun `no promise is broken under faults, and everything is served after them`() {
        run { folder -> SoakPlan(SEED, LENGTH, hosts = 2, CLASS_PATH, folder, accounts = 3) }
    }

    @Test
    fun `calls run once while most upstreams are full and write refusals again`() {
        val counts =
            run { folder ->
                SoakPlan(
                    SEED,
                    LENGTH,
                    hosts = 2,
                    CLASS_PATH,
                    folder,
                    listOf(UpstreamFault.REFUSAL_TWICE, UpstreamFault.REFUSAL_TWICE_LATE),
                    outsideFaults = emptyList(),
                    kinds = listOf(CallKind.ONCE),
                    plainUpstreams = 6,
                    callersPerHost = 8,
                    limits = FULL,
                )
            }.upstreams
        assertTrue(counts.repeatedRefusals.get() > 0, "found $counts")
    }

    @Test
    @EnabledIfSystemProperty(named = PLANNED_WORK, matches = "true")
    fun `requests that a gateway has accepted are answered while it stops`() {
        val kinds = listOf(CallKind.ONCE, CallKind.REPEATABLE)
        run { folder -> stop(Role.GATEWAY, kinds, callers = 20, work = 4.seconds, folder) }
    }

    @Test
    fun `requests are answered while a home stops`() {
        run { folder -> stop(Role.HOME, CallKind.entries, callers = 10, work = 200.milliseconds, folder) }
    }

    @Test
    @EnabledIfSystemProperty(named = PLANNED_WORK, matches = "true")
    fun `no request reaches an upstream that has announced that it leaves`() {
        val counts =
            run { folder ->
                SoakPlan(
                    SEED,
                    LENGTH,
                    hosts = 2,
                    CLASS_PATH,
                    folder,
                    upstreamFaults = emptyList(),
                    outsideFaults = listOf(OutsideFault.LEAVE),
                    plainUpstreams = 4,
                )
            }.upstreams
        assertTrue(counts.leavingAnnounced.get() > 0, "found $counts")
    }

    /**
     * Guards against DRAIN and LOST: requests reached an upstream long after it had registered as leaving, since the connections of the
     * gateway to the store had fallen silent.
     */
    @Test
    fun `no call reaches an upstream registered as leaving although connections to the store fall silent`() {
        run { folder ->
            SoakPlan(
                SEED,
                length = 25.seconds,
                hosts = 2,
                CLASS_PATH,
                folder,
                upstreamFaults = emptyList(),
                outsideFaults = listOf(OutsideFault.SILENCE, OutsideFault.LEAVE),
                kinds = listOf(CallKind.ONCE, CallKind.REPEATABLE),
                plainUpstreams = 6,
                maxGap = 4.seconds,
            )
        }
    }

    /**
     * Guards against UNASKED and LOST: turns that a configuration moved to a service without engines ran without their history, and
     * were not kept for the turns that continued them.
     */
    @Test
    fun `turns keep their history while configurations move them between services and homes end`() {
        run { folder ->
            SoakPlan(
                SEED,
                LENGTH,
                hosts = 2,
                CLASS_PATH,
                folder,
                outsideFaults = listOf(OutsideFault.MOVE_TURNS, OutsideFault.KILL, OutsideFault.TERMINATE),
                kinds = listOf(CallKind.TURN),
                homes = 3,
                roles = listOf(Role.HOME),
            )
        }
    }

    /**
     * Guards against CONFIG: routes were added or dropped long after they had to be, since some of the connections of the gateway to the
     * store had fallen silent, or all of them after an outage of the store.
     */
    @Test
    fun `routes are in force in time although connections to the store fall silent, some or all, in outages as well`() {
        run { folder ->
            SoakPlan(
                SEED,
                length = 25.seconds,
                hosts = 2,
                CLASS_PATH,
                folder,
                upstreamFaults = emptyList(),
                outsideFaults = listOf(OutsideFault.SILENCE, OutsideFault.CONFIGURE, OutsideFault.STORE),
                kinds = listOf(CallKind.ONCE, CallKind.REPEATABLE),
                callersPerHost = 1,
                maxGap = 3.seconds,
            )
        }
    }

    /** Stops one daemon with [role] after the other, while calls, or the pauses in the answers to turns, take up to [work]. */
    private fun stop(
        role: Role,
        kinds: List<CallKind>,
        callers: Int,
        work: Duration,
        folder: File,
    ) = SoakPlan(
        SEED,
        LENGTH,
        hosts = 2,
        CLASS_PATH,
        folder,
        upstreamFaults = emptyList(),
        outsideFaults = listOf(OutsideFault.TERMINATE),
        kinds = kinds,
        callersPerHost = callers,
        limits = UpstreamLimits(slots = 40, work = work),
        deadline = 12.seconds,
        roles = listOf(role),
        isSequential = true,
        maxPause = Duration.ZERO,
    )

    private fun run(plan: (folder: File) -> SoakPlan): SoakResult {
        val folder = Files.createTempDirectory("fault-soak").toFile()
        val result = runBlocking { FaultSoak(plan(folder)).run() }
        println(result)
        assertEquals(emptyList(), result.violations, "details in $folder")
        assertTrue(result.answers.getOrDefault(OK, 0) > 0, "expected answers, found ${result.answers}")
        folder.deleteRecursively()
        return result
    }

    private companion object {
        /** The property that selects the tests of stopping gateways and leaving upstreams, which take longer. */
        const val PLANNED_WORK = "soak.planned"
        const val SEED = 7L
        const val OK = 200
        val LENGTH = 15.seconds
        val CLASS_PATH: String = System.getProperty("java.class.path")
        val FULL =
            UpstreamLimits(
                slots = 2,
                connections = 6,
                idleTimeout = 300.milliseconds,
                work = 200.milliseconds,
                faultyShare = 0.1,
            )
    }
}
