package sycamore.bench.slopes

import java.lang.management.ManagementFactory

/** Measures memory and processor time within this process. */
internal object ResourceMeter {
    /** The serial collector leaves some garbage in place; only every fourth full collection compacts the heap. */
    private const val FULL_COLLECTIONS = 4
    private const val BATCHES = 5
    private const val NANOS_PER_MICRO = 1000.0
    private val memory = ManagementFactory.getMemoryMXBean()
    private val threads = ManagementFactory.getThreadMXBean()

    /**
     * Returns the heap bytes that the value of [build] keeps alive.
     *
     * The value is built once before, so that classes and caches loaded by the first build are not counted.
     */
    fun heapBytes(build: () -> Any): Double {
        build()
        val before = usedHeapBytes()
        val retained = build()
        val after = usedHeapBytes()
        check(retained.hashCode() != Int.MIN_VALUE) { "the value has to stay alive until here" }
        return (after - before).toDouble()
    }

    private fun usedHeapBytes(): Long {
        repeat(FULL_COLLECTIONS) { System.gc() }
        return memory.heapMemoryUsage.used
    }

    /** Returns the processor time of one [run] in microseconds, the median of batches of [count] after a warm-up. */
    fun cpuMicros(
        count: Int,
        run: () -> Any?,
    ): Double {
        batchMicros(count, run)
        return List(BATCHES) { batchMicros(count, run) }.sorted()[BATCHES / 2]
    }

    private fun batchMicros(
        count: Int,
        run: () -> Any?,
    ): Double {
        val before = threads.currentThreadCpuTime
        var sink = 0
        repeat(count) { sink += run().hashCode() }
        val cpuNanos = threads.currentThreadCpuTime - before
        check(sink != Int.MIN_VALUE) { "the results have to be used" }
        return cpuNanos / NANOS_PER_MICRO / count
    }
}
