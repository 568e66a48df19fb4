package sycamore.bench.slopes

import java.lang.management.ManagementFactory

/** Measures memory and processor time within this process. */
internal object Meter {
    /** The serial collector leaves some garbage in place; only each fourth full collection moves everything. */
    private const val COLLECTIONS = 4
    private const val BATCHES = 5
    private const val NANOS_PER_MICRO = 1000.0
    private val memory = ManagementFactory.getMemoryMXBean()
    private val threads = ManagementFactory.getThreadMXBean()

    /** Bytes of heap that the value of [build] keeps alive. It is built once before, so that nothing else is new. */
    fun heapBytes(build: () -> Any): Double {
        build()
        val before = used()
        val kept = build()
        val after = used()
        check(kept.hashCode() != Int.MIN_VALUE) { "the value has to stay alive until here" }
        return (after - before).toDouble()
    }

    private fun used(): Long {
        repeat(COLLECTIONS) { System.gc() }
        return memory.heapMemoryUsage.used
    }

    /** Processor time of one [run] in microseconds: the median of batches of [count] after a warm-up. */
    fun cpuMicros(
        count: Int,
        run: () -> Any?,
    ): Double {
        batch(count, run)
        return List(BATCHES) { batch(count, run) }.sorted()[BATCHES / 2]
    }

    private fun batch(
        count: Int,
        run: () -> Any?,
    ): Double {
        val before = threads.currentThreadCpuTime
        var sink = 0
        repeat(count) { sink += run().hashCode() }
        val spent = threads.currentThreadCpuTime - before
        check(sink != Int.MIN_VALUE) { "the results have to be used" }
        return spent / NANOS_PER_MICRO / count
    }
}
