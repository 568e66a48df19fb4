package sycamore.homes

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.test.runTest
import sycamore.homes.HomeFixture.Companion.address
import sycamore.homes.HomeFixture.Companion.outcome
import sycamore.links.GateStatus
import sycamore.links.GetGateStatus
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

/** Guards against a home that runs out of memory, and ends, while faulty engines send answers that never end. */
class AnswerMemoryTest {
    @Test
    fun `answers that are smaller than the average are not aborted`() {
        val memory = AnswerMemory(maxBytes = 1000)
        val small = memory.open()
        val large = memory.open()
        assertTrue(small.resize(100))
        assertTrue(large.resize(900))
        assertFalse(large.resize(901))
        assertTrue(small.resize(110))
        large.close()
        assertTrue(small.resize(1000))
        assertFalse(small.resize(1001))
    }

    /** Each answer alone is within the limit of one answer. The home is a process with the heap that the deploy file gives it. */
    @Test
    fun `a home with a heap of 96 MB survives endless answers of six engines with eight slots`() {
        val java =
            ProcessHandle
                .current()
                .info()
                .command()
                .get()
        val command =
            listOf(java, "-Xmx96m", "-XX:+UseSerialGC", "-XX:+ExitOnOutOfMemoryError", "-cp") +
                System.getProperty("java.class.path") + EndlessAnswers::class.java.name
        val process = ProcessBuilder(command).redirectErrorStream(true).start()
        val output = process.inputStream.bufferedReader().readText()
        assertTrue(process.waitFor(1, TimeUnit.MINUTES), "the process did not end")
        assertEquals(0, process.exitValue(), output.takeLast(2000))
    }
}

/** Runs turns at the same time whose answers never end, and then a regular one. */
internal object EndlessAnswers {
    private const val TURNS = 6 * 8
    private const val CHUNK_BYTES = 16 * 1024

    @JvmStatic
    fun main(args: Array<String>) =
        runTest {
            val fixture = HomeFixture(this)
            (1..3).forEach { fixture.startRetainer(it) }
            (0..TURNS).forEach { fixture.startHome(it) }
            while (!(fixture.exchange(address(0), GetGateStatus).first() as GateStatus).isReady) delay(10.milliseconds)
            fixture.answerTime = 10.milliseconds
            fixture.endlessChunk = "a".repeat(CHUNK_BYTES).encodeToByteArray()
            val turns =
                (1..TURNS).map {
                    async {
                        val call = fixture.runTurnMessage(it, "a$it", program = "q$it")
                        val outcomes = HashSet<String>()
                        fixture.exchange(address(0), call).collect { reply -> outcomes += listOf(reply).outcome() }
                        outcomes
                    }
                }
            assertTrue(turns.awaitAll().all { "broke" in it })
            fixture.endlessChunk = null
            assertEquals("whole", fixture.exchange(address(0), fixture.runTurnMessage(0, "b")).toList().outcome())
        }
}
