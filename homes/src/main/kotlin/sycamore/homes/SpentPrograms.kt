package sycamore.homes

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import sycamore.routing.ProgramName
import sycamore.services.KeyValue
import sycamore.services.Read
import sycamore.services.Revision
import sycamore.services.Write
import sycamore.turns.SpentKeys
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * Programs that spent their budgets, as the key-value service names them.
 *
 * Such a program may come back to a home that cannot ask the directory where it lived; that home asks here instead.
 */
internal class SpentPrograms(
    private val keys: KeyValue,
    private val scope: CoroutineScope,
) {
    private val marked = ConcurrentHashMap<ProgramName, CompletableDeferred<Unit>>()

    /** Writes the name of [program] down, and returns once it is there. */
    suspend fun mark(program: ProgramName) {
        val done = CompletableDeferred<Unit>()
        val other = marked.putIfAbsent(program, done)
        if (other != null) return other.await()
        scope.launch {
            write(program)
            done.complete(Unit)
        }
        done.await()
    }

    private suspend fun write(program: ProgramName) {
        while (true) {
            val write = keys.put(SpentKeys.key(program), ByteArray(0), Revision.ABSENT, KEEP)
            if (write is Write.Taken || write is Write.Conflict) return
            delay(RETRY)
        }
    }

    /** Whether [program] may be written down: it is, or the service cannot tell now. */
    suspend fun mayBeMarked(program: ProgramName): Boolean {
        val read = keys.get(SpentKeys.key(program))
        return read !is Read.Found || read.value != null
    }

    private companion object {
        /** Longer than any route keeps a turn. */
        val KEEP = 10.minutes
        val RETRY = 300.milliseconds
    }
}
