package sycamore.standins.engine

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import sycamore.model.ModelName
import sycamore.services.EngineOrder
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a simulation that deviates from a real engine in its batching, its prefix cache, its delayed
 * events or its orders, since policies are compared on it.
 */
class EngineTest {
    private val spec =
        EngineSpec(
            stepBase = 10.milliseconds,
            stepPerSequence = Duration.ZERO,
            stepPerContextToken = Duration.ZERO,
            prefillPerToken = 100.microseconds,
            chunkTokens = 100,
            maxBatch = 2,
            memoryTokens = 1_000,
        )

    private fun TestScope.runner(
        spec: EngineSpec = this@EngineTest.spec,
        faults: EngineFaults = EngineFaults(eventLag = 100.milliseconds),
    ): EngineRunner = EngineRunner(Engine(spec, faults), testTimeSource).also { backgroundScope.launch { it.run() } }

    private fun call(
        id: String,
        program: String = id,
        prompt: List<PromptSpan> = listOf(PromptSpan(id.hashCode().toLong(), 200)),
        output: Int = 10,
    ) = EngineCall(id, program, null, prompt, PromptSpan(id.hashCode() + 1_000_000L, output))

    @Test
    fun `a call takes a step for each prompt chunk and then one for each token`() =
        runTest {
            val end = runner().complete(call("a")) as CallEnd.Finished
            assertEquals(40.milliseconds, end.firstTokenAt)
            assertEquals(140.milliseconds, end.finishedAt)
        }

    @Test
    fun `a cached prefix is not computed again`() =
        runTest {
            val runner = runner()
            val first = call("a")
            runner.complete(first)
            val second = call("b", "a", first.prompt + first.answer + PromptSpan(7, 50))
            val end = runner.complete(second) as CallEnd.Finished
            assertEquals(210, end.cachedTokens)
            assertEquals(50, end.computedTokens)
        }

    @Test
    fun `calls beyond the batch size wait in order of arrival`() =
        runTest {
            val runner = runner()
            val ends = listOf("a", "b", "c").map { async { runner.complete(call(it)) as CallEnd.Finished } }.awaitAll()
            assertTrue(ends[2].firstTokenAt > ends[0].finishedAt, "${ends[2]} began before ${ends[0]} ended")
        }

    @Test
    fun `the least recently used prefix is evicted first, starting with its last block`() =
        runTest {
            val runner = runner()
            runner.complete(call("old", prompt = listOf(PromptSpan(1, 300), PromptSpan(2, 100))))
            runner.complete(call("new", prompt = listOf(PromptSpan(3, 400))))
            runner.complete(call("big", prompt = listOf(PromptSpan(5, 200))))
            val listing = runner.engine.listing().programs
            assertEquals(mapOf("old" to 300L, "new" to 410L, "big" to 210L), listing)
        }

    @Test
    fun `evicting a program keeps the blocks that it shares with other programs`() =
        runTest {
            val runner = runner()
            val system = PromptSpan(1, 100)
            runner.complete(call("a", prompt = listOf(system, PromptSpan(2, 50))))
            runner.complete(call("b", prompt = listOf(system, PromptSpan(3, 50))))
            assertEquals(60, runner.engine.evict("a", runner.now))
            assertEquals(
                100,
                runner.engine
                    .export("b")
                    .spans
                    .sumOf { it.tokens } + 40,
            )
            val again = runner.complete(call("c", prompt = listOf(system, PromptSpan(4, 50)))) as CallEnd.Finished
            assertEquals(100, again.cachedTokens)
        }

    @Test
    fun `cancelling a call frees its place in the batch and its memory at once`() =
        runTest {
            val runner = runner()
            val long = runner.submit(call("long", output = 700))
            runner.submit(call("also"))
            val waits = async { runner.complete(call("waits")) }
            testScheduler.advanceTimeBy(1.seconds)
            assertTrue(runner.cancel("long"))
            assertEquals(CallEnd.Cancelled, long.end.await())
            assertIs<CallEnd.Finished>(waits.await())
        }

    @Test
    fun `cache events are delayed and have gaps in their numbers`() =
        runTest {
            val runner = runner(faults = EngineFaults(eventLag = 100.milliseconds, eventLoss = 0.5, seed = 3))
            repeat(8) { runner.complete(call("p$it", prompt = listOf(PromptSpan(it.toLong(), 10)))) }
            val last = runner.engine.listing().number
            assertTrue(runner.engine.eventsAfter(0, runner.now).none { it.number == last })
            testScheduler.advanceTimeBy(200.milliseconds)
            val numbers = runner.engine.eventsAfter(0, runner.now).map { it.number }
            assertTrue(numbers.size in 1 until last.toInt(), "expected a gap, found $numbers of $last")
        }

    @Test
    fun `an order with an old fencing number is refused only by an engine that checks fencing numbers`() {
        val order = { number: Long -> EngineOrder.Load(number, ModelName("m")) }
        val checking = Engine(spec.copy(checksFencing = true))
        val ignoring = Engine(spec)
        listOf(checking, ignoring).forEach { it.execute(order(5), Duration.ZERO) }
        assertEquals(OrderResult.Stale(5), checking.execute(order(4), Duration.ZERO))
        assertIs<OrderResult.Accepted>(ignoring.execute(order(4), Duration.ZERO))
    }

    @Test
    fun `concurrent loads share the rate of the weight store`() {
        val store = WeightStore(bytesPerSecond = 1_000)
        val two = List(2) { Engine(spec.copy(modelBytes = 1_000, weightsPerSecond = 1_000), store = store) }
        val done = two.map { it.execute(EngineOrder.Load(1, ModelName("m")), Duration.ZERO) as OrderResult.Accepted }
        assertEquals(listOf(2.seconds, 3.seconds), done.map { it.effectiveAt })
    }

    @Test
    fun `an exported cache is used by calls after its import into another engine`() =
        runTest {
            val (from, to) = List(2) { runner() }
            val first = call("a")
            from.complete(first)
            val exported = from.engine.export("a")
            assertEquals(210 * spec.bytesPerToken, exported.bytes)
            to.engine.import(exported, to.now)
            val end = to.complete(call("b", "a", first.prompt + first.answer)) as CallEnd.Finished
            assertEquals(210, end.cachedTokens)
        }
}
