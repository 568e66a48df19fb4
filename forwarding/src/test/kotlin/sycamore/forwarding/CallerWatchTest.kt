package sycamore.forwarding

import org.eclipse.jetty.io.AbstractConnection
import org.eclipse.jetty.io.ByteArrayEndPoint
import org.eclipse.jetty.io.Connection
import org.eclipse.jetty.util.BufferUtil
import java.nio.ByteBuffer
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

/**
 * Guards against an open connection of a caller that is closed, or whose next request is lost: the watch of its previous request
 * was still reading when Jetty began to read.
 */
class CallerWatchTest {
    private val events = CopyOnWriteArrayList<String>()
    private var received = ByteBuffer.allocate(0)
    private var stopper: Thread? = null
    private val endPoint = StoppingEndPoint()
    private val watch = CallerWatch(RecordingConnection())

    @Test
    fun `no read is pending after a watch that was stopped while it read nothing`() {
        watch.start { events += "gone" }
        endPoint.fillInterest.fillable()
        stopper!!.join()
        assertFalse(endPoint.isFillInterested)
        assertEquals(listOf("stopped"), events)
    }

    @Test
    fun `the beginning of the next request is handed over before the watch is stopped`() {
        received = ByteBuffer.wrap("GET".encodeToByteArray())
        watch.start { events += "gone" }
        endPoint.fillInterest.fillable()
        stopper!!.join()
        assertEquals(listOf("handed over GET", "stopped"), events)
    }

    /** Has the watch stopped by another thread while it reads [received]. */
    private inner class StoppingEndPoint : ByteArrayEndPoint() {
        override fun fill(buffer: ByteBuffer): Int {
            val other =
                thread {
                    watch.stop()
                    events += "stopped"
                }
            stopper = other
            while (other.isAlive && other.state != Thread.State.BLOCKED) Thread.onSpinWait()
            return BufferUtil.append(buffer, received)
        }
    }

    private inner class RecordingConnection :
        AbstractConnection(endPoint, Runnable::run),
        Connection.UpgradeTo {
        override fun onFillable() = error("Jetty does not read in this test")

        override fun onUpgradeTo(buffer: ByteBuffer) {
            events += "handed over ${BufferUtil.toString(buffer)}"
        }
    }
}
