package sycamore.forwarding

import sun.misc.Signal
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Guards against a daemon that ends with code 129 because SIGHUP arrives while it starts. Without the handler, the
 * signal ends the JVM of this test.
 */
class ReloadSignalTest {
    @Test
    fun `a reload that is requested while a daemon starts takes effect once its settings can be read`() {
        PlatformDaemon.metricsPort("sycamore-test", emptyArray())
        Signal.raise(Signal("HUP"))
        val reloaded = CountDownLatch(1)
        ReloadSignal.onReload { reloaded.countDown() }
        assertTrue(reloaded.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "expected a reload")
    }

    private companion object {
        const val TIMEOUT_SECONDS = 10L
    }
}
