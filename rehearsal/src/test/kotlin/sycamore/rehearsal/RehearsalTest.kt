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
        val folder = Files.createTempDirectory("rehearsal-test")
        val scope = CoroutineScope(Dispatchers.Default + SupervisorJob())
        try {
            val result = runBlocking { Rehearsal(scope, folder).run(turns = 4) }
            val output = (1..5).joinToString("") { "word$it\n" }
            assertEquals(RehearsalResult(4, 4, "input0;${output}input1;${output}input2;${output}input3;"), result)
        } finally {
            scope.cancel()
            folder.toFile().deleteRecursively()
        }
    }
}
