package sycamore.soak

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import sycamore.platform.StoreKeys
import sycamore.standins.KeyValueFaults
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Injects faults into [deployment] in an order that the seed of [plan] determines. Faults overlap. */
internal class FaultInjector(
    private val plan: SoakPlan,
    private val deployment: Deployment,
    private val log: FaultLog,
) {
    private val random = Random(plan.seed)
    private val daemons = deployment.daemons.filter { it.role in plan.roles }
    private val leaving = deployment.upstreams.associateWith { Mutex() }
    private val locks = deployment.daemons.associateWith { Mutex() }

    /** Injects faults for the length of the plan, and returns when all have ended. */
    suspend fun run() {
        val begin = TimeSource.Monotonic.markNow()
        deployment.upstreams.forEach { it.faults = plan.upstreamFaults }
        coroutineScope {
            while (begin.elapsedNow() < plan.length) {
                delay(random.nextLong(plan.maxGap.inWholeMilliseconds).milliseconds)
                if (plan.outsideFaults.isEmpty()) continue
                val fault = plan.outsideFaults.random(random)
                if (plan.isSequential) coroutineScope { inject(fault) } else inject(fault)
            }
        }
        deployment.upstreams.forEach { it.faults = emptyList() }
    }

    /** Chooses the details of [fault] at once, so that they depend on the seed only, and lets it run. */
    private fun CoroutineScope.inject(fault: OutsideFault) {
        val length = random.nextLong(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS).milliseconds
        val series = if (random.nextInt(SERIES_ONE_IN) == 0) 1 + random.nextInt(daemons.size) else 1
        val targets = daemons.shuffled(random).take(series)
        when (fault) {
            OutsideFault.TERMINATE -> targets.forEach { stopAndStart(fault, it, length, it::terminate) }
            OutsideFault.KILL -> targets.forEach { stopAndStart(fault, it, length, it::kill) }
            OutsideFault.FREEZE -> targets.forEach { freeze(it, length) }
            OutsideFault.RELOAD -> targets.forEach { launch { log.record(fault, it) { it.signal("HUP") } } }
            OutsideFault.CONFIGURE -> configure(random.nextBoolean())
            OutsideFault.MOVE_TURNS -> moveTurns(TurnPlacement.entries.random(random))
            OutsideFault.STORE -> disturbStore(storeFaults.random(random), targets, length)
            OutsideFault.UPSTREAMS -> changeUpstreams(length)
            OutsideFault.LEAVE -> leave(length)
            OutsideFault.SILENCE -> targets.forEach { silence(it, silentShares.random(random)) }
        }
    }

    private fun CoroutineScope.stopAndStart(
        fault: OutsideFault,
        target: Daemon,
        length: Duration,
        stop: () -> Unit,
    ) {
        launch {
            locks.getValue(target).withLock {
                log.record(fault, target) {
                    stop()
                    delay(length)
                    target.start()
                }
            }
        }
    }

    private fun CoroutineScope.freeze(
        target: Daemon,
        length: Duration,
    ) {
        launch {
            locks.getValue(target).withLock {
                log.record(OutsideFault.FREEZE, target) {
                    target.signal("STOP")
                    delay(length)
                    target.signal("CONT")
                }
            }
        }
    }

    private fun CoroutineScope.silence(
        target: Daemon,
        share: Double,
    ) {
        val choices = Random(random.nextLong())
        launch {
            log.record(OutsideFault.SILENCE, target) {
                deployment.silenceStore(target) { choices.nextDouble() < share }
            }
        }
    }

    private fun CoroutineScope.configure(hasExtraRoute: Boolean) {
        val keyChoices = if (deployment.accounts == null) null else Random(random.nextLong())
        launch {
            log.record(OutsideFault.CONFIGURE, target = null) { deployment.configure(hasExtraRoute, keyChoices) }
        }
    }

    private fun CoroutineScope.moveTurns(placement: TurnPlacement) {
        launch {
            log.record(OutsideFault.MOVE_TURNS, target = null) { deployment.moveTurns(placement) }
        }
    }

    private fun CoroutineScope.disturbStore(
        faults: KeyValueFaults,
        targets: List<Daemon>,
        length: Duration,
    ) {
        for (target in targets) {
            launch {
                val store = deployment.stores.getValue(target)
                log.record(OutsideFault.STORE, target) {
                    store.setFaults(faults)
                    delay(length)
                    store.setFaults(KeyValueFaults())
                }
            }
        }
    }

    /** Lets upstreams leave and replaces them. An upstream that is leaving is passed over. */
    private fun CoroutineScope.leave(length: Duration) {
        val plain = deployment.upstreams.filter { !it.isEngine }.shuffled(random)
        val engines = deployment.upstreams.filter { it.isEngine }.shuffled(random)
        val count = if (random.nextInt(SERIES_ONE_IN) == 0) plan.plainUpstreams / 2 else 1
        val targets = plain.take(count) + engines.take(minOf(count, engines.size / 2))
        for (target in targets) {
            val departure =
                Departure(
                    registration = listOf(Registration.READY, Registration.DRAINING, Registration.NONE).random(random),
                    extra = length,
                    absence = random.nextLong(MAX_FAULT_MILLIS).milliseconds,
                    isMoving = random.nextBoolean(),
                    hasSameId = random.nextInt(SAME_ID_ONE_IN) == 0,
                    // Otherwise the gateways would not need the store to find out.
                    isAnnounced = OutsideFault.SILENCE !in plan.outsideFaults,
                )
            launch {
                val lock = leaving.getValue(target)
                if (!lock.tryLock()) return@launch
                try {
                    log.record(OutsideFault.LEAVE, target = null) { deployment.leave(target, departure) }
                } finally {
                    lock.unlock()
                }
            }
        }
    }

    /** Restarts an upstream under another id, lets registrations lapse, or writes entries that name no upstream. */
    private fun CoroutineScope.changeUpstreams(length: Duration) {
        val targets = deployment.upstreams.shuffled(random).take(1 + random.nextInt(2))
        val odd = deployment.oddEntries().shuffled(random).take(ODD_ENTRIES)
        when (random.nextInt(UPSTREAM_CHANGES)) {
            0 -> launch { log.record(OutsideFault.UPSTREAMS, target = null) { targets.forEach(Upstream::restart) } }
            1 -> launch { log.record(OutsideFault.UPSTREAMS, target = null) { lapse(targets, length) } }
            else -> launch { odd.forEach { putOddEntries(it, length) } }
        }
    }

    private suspend fun lapse(
        targets: List<Upstream>,
        length: Duration,
    ) {
        deployment.lapsed += targets
        delay(LAPSE_TIME + length)
        deployment.lapsed -= targets.toSet()
    }

    private suspend fun putOddEntries(
        entry: ByteArray,
        length: Duration,
    ) {
        val key = StoreKeys.UPSTREAMS + "odd" + entry.size
        deployment.put(key, entry)
        delay(length / ODD_ENTRIES)
        deployment.put(key, entry + entry)
        deployment.put(key, null)
    }

    private companion object {
        const val MIN_FAULT_MILLIS = 200L
        const val MAX_FAULT_MILLIS = 4_000L

        /** One fault of this many affects several daemons. */
        const val SERIES_ONE_IN = 4
        const val UPSTREAM_CHANGES = 3
        const val SAME_ID_ONE_IN = 4
        const val ODD_ENTRIES = 3
        val LAPSE_TIME = 3.seconds

        /** The shares of a daemon's connections to the store that fall silent. */
        val silentShares = listOf(0.3, 0.6, 1.0)

        val storeFaults =
            listOf(
                KeyValueFaults(down = true),
                KeyValueFaults(delay = 700.milliseconds),
                KeyValueFaults(delay = 30.seconds),
                KeyValueFaults(lostAnswers = 3),
                KeyValueFaults(callsPerSecond = 2.0),
            )
    }
}
