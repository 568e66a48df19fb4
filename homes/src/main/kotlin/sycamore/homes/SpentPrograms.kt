package sycamore.homes

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import sycamore.routing.ProgramName
import sycamore.services.Backoff
import sycamore.services.KeyValue
import sycamore.services.ReadResult
import sycamore.services.WriteResult
import sycamore.turns.SpentKeys
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.minutes

/**
 * Programs that spent their budgets, as the key-value service names them.
 *
 * Such a program may come back to a home that cannot ask the directory where it lived; that home asks here instead.
 *
 * @param scope writes names down, those that wait together in one call.
 */
internal class SpentPrograms(
    private val keys: KeyValue,
    scope: CoroutineScope,
) {
    private val marked = ConcurrentHashMap<ProgramName, CompletableDeferred<Unit>>()
    private val waiting = Channel<ProgramName>(Channel.UNLIMITED)

    init {
        scope.launch { run() }
    }

    /** Writes the name of [program] down, and returns once it is there. */
    suspend fun mark(program: ProgramName) {
        val done = CompletableDeferred<Unit>()
        val other = marked.putIfAbsent(program, done)
        if (other == null) waiting.send(program)
        (other ?: done).await()
    }

    private suspend fun run() {
        val backoff = Backoff.shortPauses()
        for (first in waiting) {
            val batch = arrayListOf(first)
            while (!write(batch)) delay(backoff.next())
            backoff.reset()
            batch.forEach { marked.getValue(it).complete(Unit) }
        }
    }

    /** Writes [batch] and the names that wait by now, as many as one call takes. */
    private suspend fun write(batch: MutableList<ProgramName>): Boolean {
        while (batch.size < KeyValue.MAX_KEYS) batch += waiting.tryReceive().getOrNull() ?: break
        return keys.putEmpty(batch.map(SpentKeys::key), KEEP) is WriteResult.Applied
    }

    /** Whether [program] may be written down: it is, or the service cannot tell now. */
    suspend fun mayBeMarked(program: ProgramName): Boolean {
        val read = keys.get(SpentKeys.key(program))
        return read !is ReadResult.Found || read.value != null
    }

    private companion object {
        /** Longer than any route keeps a turn. */
        val KEEP = 10.minutes
    }
}
