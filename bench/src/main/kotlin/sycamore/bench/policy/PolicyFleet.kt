package sycamore.bench.policy

import sycamore.decisions.Network
import sycamore.model.HostName
import sycamore.model.Link
import sycamore.model.Place
import sycamore.model.PlaceName
import sycamore.model.RegionName
import sycamore.model.Weights
import sycamore.standins.engine.EngineSpec
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/** One engine of a fleet. */
internal data class FleetEngine(
    val host: HostName,
    val place: PlaceName,
    val spec: EngineSpec,
)

/** The places, engines and placement weights of the fleet of one user. */
internal class PolicyFleet(
    val name: String,
    val places: List<Place>,
    val engines: List<FleetEngine>,
    val weights: Weights,
    val clientLatency: Duration,
) {
    /** The network between the places. */
    val network = Network(places, links(places))

    /**
     * Returns the programs per second that keep every engine busy all the time if every prefix is cached. Each engine
     * then runs the largest batch that fits its memory, and computes each token once.
     */
    fun saturation(sample: List<ProgramPlan>): Double {
        val calls = sample.flatMap { CallSizes.ofProgram(it) }
        val context = calls.sumOf { it.contextTokens }.toDouble() / calls.size
        val new = calls.sumOf { it.newTokens }.toDouble() / calls.size
        val output = calls.sumOf { it.outputTokens }.toDouble() / calls.size
        val callsPerSecond = engines.sumOf { 1 / callSeconds(it.spec, context, new, output) }
        return callsPerSecond * sample.size / calls.size
    }

    private fun callSeconds(
        spec: EngineSpec,
        context: Double,
        new: Double,
        output: Double,
    ): Double {
        val batch = minOf(spec.maxBatch.toDouble(), spec.memoryTokens / context).toInt().coerceAtLeast(1)
        val step = spec.stepDuration(batch, (batch * context).toLong(), 0)
        return (spec.prefillPerToken * new + step * (output / batch)) / ONE_SECOND
    }

    companion object {
        private val ONE_SECOND = 1_000.milliseconds
        private val REGION_LATENCY = 12.milliseconds

        /** Tokens of the system prompt that all programs of a service share. */
        const val SYSTEM_TOKENS = 1_500

        private val large = spec(8.milliseconds, 80.microseconds, 32, 400_000)
        private val medium = spec(12.milliseconds, 130.microseconds, 24, 250_000)
        private val small = spec(20.milliseconds, 220.microseconds, 16, 160_000)

        private fun spec(
            step: Duration,
            prefill: Duration,
            batch: Int,
            memory: Long,
        ) = EngineSpec(
            stepBase = step,
            stepPerSequence = 200.microseconds,
            stepPerContextToken = 15.nanoseconds,
            prefillPerToken = prefill,
            chunkTokens = 256,
            maxBatch = batch,
            memoryTokens = memory,
        )

        /** The fleets by the name of their users. */
        val all: Map<String, PolicyFleet> = listOf(falgverket(), kumasi()).associateBy { it.name }

        private fun falgverket(): PolicyFleet {
            val places = places("svea", "gota", "norr")
            val specs = listOf(large, medium, small, large, small, medium)
            return PolicyFleet("falgverket", places, engines(places, specs), Weights(1.0, 0.5), 3.milliseconds)
        }

        private fun kumasi(): PolicyFleet {
            val places = places("ashanti", "accra", "tamale")
            val specs = listOf(large, medium, medium, small, medium, small)
            return PolicyFleet("kumasi", places, engines(places, specs), Weights(0.5, 2.0), 1.milliseconds)
        }

        private fun places(vararg regions: String) = regions.map { Place(PlaceName("$it-a"), RegionName(it)) }

        private fun engines(
            places: List<Place>,
            specs: List<EngineSpec>,
        ) = specs.mapIndexed { i, spec -> FleetEngine(HostName("h$i"), places[i % places.size].name, spec) }

        private fun links(places: List<Place>): List<Link> =
            places.flatMapIndexed { i, a ->
                places.drop(i + 1).map { Link(a.region, it.region, REGION_LATENCY, billed = true) }
            }
    }
}

/** Token counts of one call: its history, the new part of its prompt, and its answer. */
internal data class CallTokens(
    val contextTokens: Long,
    val newTokens: Long,
    val outputTokens: Long,
)

/** Computes the token counts of a program's calls. */
internal object CallSizes {
    /** Returns the token counts of the calls of [plan] and its sub-agents. */
    fun ofProgram(plan: ProgramPlan): List<CallTokens> {
        var context = PolicyFleet.SYSTEM_TOKENS.toLong()
        return plan.turns.flatMap { turn ->
            val call = CallTokens(context, turn.newTokens.toLong(), turn.outputTokens.toLong())
            context += turn.newTokens + turn.outputTokens
            listOf(call) + turn.children.flatMap(::ofProgram)
        }
    }
}
