package sycamore.bench.history

import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import sycamore.model.HostName
import sycamore.standins.FaultyKeyValue
import sycamore.standins.KeyValueStore
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * One run of callers against a fleet under faults, in virtual time: the same seed gives the same history.
 *
 * @property length how long faults are injected and new programs begin; [QUIET_TIME] without faults follows.
 */
internal class HistoryRun(
    private val seed: Long,
    private val length: Duration,
    private val kinds: List<FaultKind>,
) {
    private val scheduler = TestCoroutineScheduler()
    private val dispatcher = StandardTestDispatcher(scheduler)
    private val failures = ArrayList<Throwable>()
    private val onFailure = CoroutineExceptionHandler { _, e -> failures += e }
    private val scope = CoroutineScope(dispatcher + SupervisorJob() + onFailure)
    private val recorder = Recorder { scheduler.currentTime.milliseconds }
    private val state = FaultState { fleet.regionOf(it) }
    private val upstreams = Upstreams(scope, recorder, Random(seed + 1)) { it in state.hungHosts }
    private val network = Network(Random(seed + 2), { a, b -> fleet.latency(a, b) }, state::linkState)
    private val store = KeyValueStore(scheduler.timeSource)
    private val keys = FaultyKeyValue(store, scheduler.timeSource)
    private val clock = clockOf(scheduler)
    private val fleet: Fleet = Fleet(scope, dispatcher, clock, scheduler.timeSource, keys, recorder, upstreams, network)
    private val faults = Faults(kinds, Random(seed + 3), state, keys, fleet, recorder)

    /**
     * The result of a run.
     *
     * @property faults the number of faults that were begun.
     * @property failures the exceptions that nothing caught.
     */
    class Result(
        val history: History,
        val faults: Int,
        val failures: List<Throwable>,
    )

    /** Carries out the run. [progress] receives the virtual time that has passed, every ten virtual seconds. */
    fun run(progress: (Duration) -> Unit = {}): Result {
        scope.launch { runWorkload() }
        var passed = Duration.ZERO
        while (passed < length + QUIET_TIME) {
            scheduler.advanceTimeBy(PROGRESS_INTERVAL)
            passed += PROGRESS_INTERVAL
            progress(passed)
        }
        recordCaches()
        scope.cancel()
        return Result(recorder.history(), faults.count, failures)
    }

    private suspend fun runWorkload() {
        keys.setFaults { it.copy(delay = KEY_VALUE_LATENCY) }
        fleet.start()
        scope.launch { recordConfigurations() }
        delay(START_UP_TIME)
        val faultJob = scope.launch { faults.run(scope) }
        val agents = List(AGENT_COUNT) { number -> scope.launch { runAgents(number) } }
        delay(length)
        faultJob.cancel()
        agents.forEach { it.join() }
    }

    private suspend fun runAgents(number: Int) {
        val random = Random(seed * AGENT_COUNT + number)
        var program = 0
        while (scope.isActive && scheduler.currentTime.milliseconds < length) {
            program++
            Agent(fleet, recorder, random, Tag("p$number-$program")).run(scope)
        }
    }

    private suspend fun recordConfigurations() {
        while (true) {
            delay(CONFIGURATION_SAMPLE_INTERVAL)
            fleet.runningDaemons().forEach { daemon ->
                recorder.record { InForceSeen(it, daemon.host.name, daemon.run, daemon.inForce.generation) }
            }
        }
    }

    private fun recordCaches() {
        fleet.hosts.forEach { host: HostName ->
            upstreams.cachedPrograms(host).forEach { tag -> recorder.record { CacheLeft(it, host, tag) } }
        }
    }

    private companion object {
        const val AGENT_COUNT = 6
        val START_UP_TIME = 3.seconds
        val PROGRESS_INTERVAL = 10.seconds
        val CONFIGURATION_SAMPLE_INTERVAL = 1.seconds

        /** The time without faults at the end of a run, enough for every retry and every idle limit to pass. */
        val QUIET_TIME = 180.seconds

        fun clockOf(scheduler: TestCoroutineScheduler): Clock =
            object : Clock {
                private val epoch = Instant.parse("2026-01-01T00:00:00Z")

                override fun now(): Instant = epoch + scheduler.currentTime.milliseconds
            }
    }
}
