package sycamore.rehearsal

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import java.nio.file.Files
import kotlin.test.Test
import kotlin.test.assertEquals

class RehearsalTest {
    /** The whole path over loopback. It waits for answers, and asserts nothing about how long they take. */
    @Test
    fun `turns and plain calls are served by the daemons together, also after a home has stopped`() {
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
