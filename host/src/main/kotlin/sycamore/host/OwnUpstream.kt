package sycamore.host

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.launch
import sycamore.decisions.GateDecision
import sycamore.decisions.UpstreamLimits
import sycamore.decisions.UpstreamState
import sycamore.links.Forward
import sycamore.model.ModelName
import sycamore.model.ProgramId
import sycamore.model.ServiceKind
import sycamore.model.Upstream
import sycamore.programs.Refusal
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val log = KotlinLogging.logger {}

/** The queue, circuit breaker and cache view of this host's upstream, updated by configuration and engine reports. */
internal class OwnUpstream(
    private val environment: HostEnvironment,
) {
    private val decisions = DecisionLog()
    private val evictions = Channel<String>(MAX_QUEUED_EVICTIONS)
    private val queue =
        GateQueue(
            GateRules(
                limits = UpstreamLimits(INITIAL_CAPACITY),
                evict = { evictions.trySend(it) },
                onDecision = ::onDecision,
            ),
            environment.time,
        )
    private val admission = GateAdmission(queue, environment.time)
    private val metrics: MeterRegistry = environment.metrics

    @Volatile
    private var models: Set<ModelName> = emptySet()

    @Volatile
    private var memoryTokens = 0L

    /** Calls the model engine and reports the results to the queue and the circuit breaker. */
    val engine: CallUpstream = admission.observed(environment.engine)

    /** Calls the plain service and reports the results to the queue and the circuit breaker. */
    val service: CallUpstream = admission.observed(environment.service)

    /** Whether the circuit breaker lets calls through to the upstream. */
    val isAccepting: Boolean get() = admission.isAccepting

    init {
        Gauge.builder("sycamore.gate.queued") { state().queued }.register(metrics)
        Gauge.builder("sycamore.gate.running") { state().running }.register(metrics)
        Gauge.builder("sycamore.gate.wait.seconds") { state().wait / 1.seconds }.register(metrics)
        Gauge.builder("sycamore.gate.accepting") { if (isAccepting) 1 else 0 }.register(metrics)
    }

    /** See [Admit]. */
    suspend fun admit(
        upstream: Upstream,
        forward: Forward,
        run: suspend () -> Unit,
    ): Refusal? {
        if (queue.limits.capacity != upstream.capacity) resize(upstream)
        return admission.admit(forward, run)
    }

    /** Removes the state and evicts the cache of [program], which has ended. */
    fun programEnded(program: ProgramId) {
        queue.end(program.toString())
        decisions.remove(program.toString())
    }

    /** Returns the gate's decisions on [program] as text, oldest first. */
    fun decisionsOn(program: ProgramId): List<String> = decisions.decisionsOn(program.toString())

    /** Returns the state of the upstream that placement decides by. */
    fun state(): UpstreamState =
        queue.state(environment.self.name, environment.self.place).copy(isAccepting = isAccepting, models = models)

    /** Carries out evictions and follows the configuration, cache and load of the upstream until cancelled. */
    suspend fun run(): Nothing =
        coroutineScope {
            launch { evict() }
            launch {
                environment.inForce.configuration
                    .filterNotNull()
                    .collect { upstream()?.let(::resize) }
            }
            launch { CacheFollower(queue, ::events, ::listing).run() }
            followLoad()
        }

    private suspend fun followLoad(): Nothing {
        while (true) {
            engineUpstream()?.let { upstream ->
                environment.reports.load(upstream)?.let {
                    models = it.models
                    memoryTokens = it.memoryTokens
                    resize(upstream)
                }
            }
            delay(LOAD_PERIOD)
        }
    }

    private fun resize(upstream: Upstream) {
        val limits = UpstreamLimits(upstream.capacity, memoryTokens)
        if (queue.limits != limits) queue.updateLimits(limits)
    }

    private suspend fun events(after: Long) = engineUpstream()?.let { environment.reports.events(it, after) }

    private suspend fun listing() = engineUpstream()?.let { environment.reports.listing(it) }

    private fun upstream(): Upstream? =
        environment.inForce.configuration.value
            ?.upstreamOf(environment.self.name)
            ?.second

    private fun engineUpstream(): Upstream? {
        val (service, upstream) =
            environment.inForce.configuration.value
                ?.upstreamOf(environment.self.name) ?: return null
        return upstream.takeIf { service.kind == ServiceKind.MODEL }
    }

    /** Carries out the evictions of the queue. If one keeps failing, the engine still evicts on its own. */
    private suspend fun evict() {
        for (program in evictions) {
            val id = ProgramId.parse(program) ?: continue
            val upstream = engineUpstream() ?: continue
            var attempts = 1
            while (!environment.evictCache(upstream, id) && attempts++ < MAX_EVICTION_ATTEMPTS) {
                delay(EVICTION_RETRY_PAUSE)
            }
        }
    }

    private fun onDecision(decision: GateDecision) {
        decisions.add(decision)
        metrics.counter("sycamore.gate.decisions", "kind", decision::class.simpleName.orEmpty()).increment()
        log.debug { "program ${decision.program}: $decision" }
    }

    private companion object {
        const val INITIAL_CAPACITY = 1
        const val MAX_QUEUED_EVICTIONS = 10_000
        const val MAX_EVICTION_ATTEMPTS = 3
        val LOAD_PERIOD = 1.seconds
        val EVICTION_RETRY_PAUSE = 200.milliseconds
    }
}
