package sycamore.rehearsal

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import java.nio.file.Files
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards against faults that occur only between the daemons, such as a turn that loses its history when another
 * home takes over. All daemons run over loopback; the test waits for answers and asserts nothing about their
 * latency.
 */
class RehearsalTest {
    @Test
    fun `the daemons serve turns and plain calls together, even after a home has stopped`() {
        val result = rehearse { run(turns = 4) }
        assertEquals(RehearsalResult(4, 4, promptOf(4)), result)
    }

    /** Guards against UNASKED and LOST: turns at a service without engines ran without their history and were not kept. */
    @Test
    fun `turns continue each other while their route moves to a service without engines and back`() {
        val results = rehearse { runWithMovedTurns(turns = 2) }
        assertEquals(listOf(2, 4, 6).map { RehearsalResult(2, 2, promptOf(it)) }, results)
    }

    /** The prompt of the last one of [turns] turns, which continue each other. */
    private fun promptOf(turns: Int): String {
        val output = (1..5).joinToString("") { "word$it\n" }
        return (0 until turns).joinToString(output) { "input$it;" }
    }

    private fun <T> rehearse(act: suspend Rehearsal.() -> T): T {
        val folder = Files.createTempDirectory("rehearsal-test")
        val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
        return try {
            runBlocking { Rehearsal(scope, folder).act() }
        } finally {
            scope.cancel()
            folder.toFile().deleteRecursively()
        }
    }
}
