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

/** Queue, breaker and cache of the upstream beside this host, kept in step with configuration and reports. */
internal class OwnUpstream(
    private val world: HostEnvironment,
) {
    private val decisions = DecisionLog()
    private val evictions = Channel<String>(MAX_EVICTIONS)
    private val queue =
        GateQueue(
            GateRules(
                limits = UpstreamLimits(CAPACITY_BEFORE_CONFIGURED),
                evict = { evictions.trySend(it) },
                decided = ::decided,
            ),
            world.time,
        )
    private val admission = GateAdmission(queue, world.time)
    private val metrics: MeterRegistry = world.metrics

    @Volatile
    private var models: Set<ModelName> = emptySet()

    @Volatile
    private var memoryTokens = 0L

    /** Calls the model engine, observed. */
    val engine: CallUpstream = admission.observed(world.engine)

    /** Calls the plain service, observed. */
    val service: CallUpstream = admission.observed(world.service)

    /** Whether calls are let at the upstream at all. */
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

    /** [program] has ended. */
    fun ended(program: ProgramId) {
        queue.end(program.toString())
        decisions.forget(program.toString())
    }

    /** What was decided about [program], oldest first. */
    fun why(program: ProgramId): List<String> = decisions.about(program.toString())

    /** The upstream as placement sees it. */
    fun state(): UpstreamState =
        queue.state(world.self.name, world.self.place).copy(isAccepting = isAccepting, models = models)

    /** Follows the upstream until cancelled. */
    suspend fun run(): Nothing =
        coroutineScope {
            launch { evict() }
            launch {
                world.inForce.configuration
                    .filterNotNull()
                    .collect { upstream()?.let(::resize) }
            }
            launch { CacheFollower(queue, ::events, ::listing).run() }
            followLoad()
        }

    private suspend fun followLoad(): Nothing {
        while (true) {
            engineUpstream()?.let { upstream ->
                world.reports.load(upstream)?.let {
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
        if (queue.limits != limits) queue.update(limits)
    }

    private suspend fun events(after: Long) = engineUpstream()?.let { world.reports.events(it, after) }

    private suspend fun listing() = engineUpstream()?.let { world.reports.listing(it) }

    private fun upstream(): Upstream? =
        world.inForce.configuration.value
            ?.upstreamOf(world.self.name)
            ?.second

    private fun engineUpstream(): Upstream? {
        val (service, upstream) =
            world.inForce.configuration.value
                ?.upstreamOf(world.self.name) ?: return null
        return upstream.takeIf { service.kind == ServiceKind.MODEL }
    }

    /** Carries out the queue's evictions. One that fails is made up for by the engine's own eviction. */
    private suspend fun evict() {
        for (program in evictions) {
            val id = ProgramId.parse(program) ?: continue
            val upstream = engineUpstream() ?: continue
            var attempts = 1
            while (!world.evictCache(upstream, id) && attempts++ < MAX_ATTEMPTS) delay(EVICT_PAUSE)
        }
    }

    private fun decided(decision: GateDecision) {
        decisions.add(decision)
        metrics.counter("sycamore.gate.decisions", "kind", decision::class.simpleName.orEmpty()).increment()
        log.debug { "program ${decision.program}: $decision" }
    }

    private companion object {
        const val CAPACITY_BEFORE_CONFIGURED = 1
        const val MAX_EVICTIONS = 10_000
        const val MAX_ATTEMPTS = 3
        val LOAD_PERIOD = 1.seconds
        val EVICT_PAUSE = 200.milliseconds
    }
}
