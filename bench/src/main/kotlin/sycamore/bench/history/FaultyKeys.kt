package sycamore.bench.history

import kotlinx.coroutines.delay
import sycamore.platform.Item
import sycamore.platform.KeyValue
import sycamore.platform.Read
import sycamore.platform.Revision
import sycamore.platform.Write
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The key-value service as one daemon sees it under the faults of a run. */
internal class FaultyKeys(
    private val keys: KeyValue,
    private val faults: FaultState,
) : KeyValue {
    override suspend fun get(key: String): Read<Item?> = read { keys.get(key) }

    override suspend fun list(prefix: String): Read<List<Item>> = read { keys.list(prefix) }

    override suspend fun changes(
        prefix: String,
        after: Revision,
        wait: Duration,
    ): Read<List<Item>> = read { keys.changes(prefix, after, wait) }

    override suspend fun put(
        key: String,
        value: ByteArray,
        expected: Revision,
        lease: Duration?,
    ): Write = write { keys.put(key, value, expected, lease) }

    override suspend fun delete(
        key: String,
        expected: Revision,
    ): Write = write { keys.delete(key, expected) }

    private suspend fun <T> read(run: suspend () -> Read<T>): Read<T> {
        delay(LATENCY + faults.keyValueDelay)
        if (faults.isKeyValueDown) return Read.Unreachable("down").also { delay(TIMEOUT) }
        val answer = run()
        return if (faults.isKeyValueDown) Read.Unreachable("down").also { delay(TIMEOUT) } else answer
    }

    private suspend fun write(run: suspend () -> Write): Write {
        delay(LATENCY + faults.keyValueDelay)
        if (faults.isKeyValueDown) return Write.NotKnown("down").also { delay(TIMEOUT) }
        val answer = run()
        delay(LATENCY)
        val isLost = faults.areAnswersLost || faults.isKeyValueDown
        return if (isLost) Write.NotKnown("answer lost").also { delay(TIMEOUT) } else answer
    }

    private companion object {
        val LATENCY = 3.milliseconds
        val TIMEOUT = 2.seconds
    }
}
