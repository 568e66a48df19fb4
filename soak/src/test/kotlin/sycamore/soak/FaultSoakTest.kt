package sycamore.soak

import kotlinx.coroutines.runBlocking
import java.nio.file.Files
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against promises to callers that break only when faults of upstreams, of the store and of the daemons
 * themselves overlap. The daemons are processes of their own. The test asserts nothing about their latency.
 */
class FaultSoakTest {
    @Test
    fun `no promise is broken under faults, and everything is served after them`() {
        val folder = Files.createTempDirectory("fault-soak").toFile()
        val plan = SoakPlan(SEED, LENGTH, hosts = 2, System.getProperty("java.class.path"), folder)
        val result = runBlocking { FaultSoak(plan).run() }
        println(result)
        assertEquals(emptyList(), result.violations, "details in $folder")
        assertTrue(result.answers.getOrDefault(OK, 0) > 0, "expected answers, found ${result.answers}")
        folder.deleteRecursively()
    }

    private companion object {
        const val SEED = 7L
        const val OK = 200
        val LENGTH = 15.seconds
    }
}
