package sycamore.homes

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import sycamore.model.HomeId
import sycamore.routing.ProgramName
import sycamore.services.Backoff
import sycamore.services.KeyValue
import sycamore.services.Revision
import sycamore.services.WriteResult
import sycamore.turns.SpentKeys
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * The marks of programs in the key-value service that get no provisional turn: they have spent their budgets, or have had a
 * provisional turn.
 *
 * Such a program may send another turn to a home that cannot reach the directory to find out which home served it. That
 * home checks the marks instead. They outlast the homes, so that all homes together give a program one provisional turn.
 *
 * @param scope runs the writes. Programs that wait to be marked are written together in one call.
 */
internal class SpentPrograms(
    private val keys: KeyValue,
    scope: CoroutineScope,
) {
    /** Programs that this process marks; each value completes once the mark is written. */
    private val marks = ConcurrentHashMap<ProgramName, CompletableDeferred<Unit>>()

    /** Programs that are not marked yet. */
    private val waiting = Channel<ProgramName>(Channel.UNLIMITED)

    init {
        scope.launch { run() }
    }

    /** Marks [program] in the key-value service, and returns once the mark is written. */
    suspend fun mark(program: ProgramName) {
        val done = CompletableDeferred<Unit>()
        val other = marks.putIfAbsent(program, done)
        if (other == null) waiting.send(program)
        (other ?: done).await()
    }

    private suspend fun run() {
        val backoff = Backoff.shortPauses()
        for (first in waiting) {
            val batch = arrayListOf(first)
            while (!write(batch)) delay(backoff.next())
            backoff.reset()
            batch.forEach { marks.getValue(it).complete(Unit) }
        }
    }

    /**
     * Adds the programs that wait by now to [batch], as many as fit into one call, and marks them all; false if the
     * call failed.
     */
    private suspend fun write(batch: MutableList<ProgramName>): Boolean {
        while (batch.size < KeyValue.MAX_KEYS) batch += waiting.tryReceive().getOrNull() ?: break
        return keys.putEmpty(batch.map(SpentKeys::key), MARK_TTL) is WriteResult.Applied
    }

    /**
     * Reserves the provisional turn of [program] for [home]. Returns false if the program is marked already, unless it is by an
     * earlier reservation for [home], or if the key-value service does not answer within [RESERVATION_TIMEOUT].
     */
    suspend fun reserveProvisionalTurn(
        program: ProgramName,
        home: HomeId,
    ): Boolean {
        val mark = home.toString().encodeToByteArray()
        val write =
            withTimeoutOrNull(RESERVATION_TIMEOUT) {
                keys.put(SpentKeys.key(program), mark, Revision.ABSENT, MARK_TTL)
            }
        return when (write) {
            is WriteResult.Applied -> true
            is WriteResult.Conflict -> write.current?.value.contentEquals(mark)
            is WriteResult.NotSent, is WriteResult.OutcomeUnknown, null -> false
        }
    }

    private companion object {
        /** Longer than any route keeps a turn. */
        val MARK_TTL = 10.minutes

        /** A slow service answers within this time. The caller of a turn waits meanwhile, and leaves after two seconds. */
        val RESERVATION_TIMEOUT = 300.milliseconds
    }
}
