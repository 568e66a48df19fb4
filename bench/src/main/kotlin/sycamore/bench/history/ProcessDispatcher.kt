package sycamore.bench.history

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.launch
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.resume

/**
 * Runs the coroutines of one process on the dispatcher of [outside], so that the process can be killed or paused.
 *
 * After [kill] nothing of it runs any more, not even its cleanup. While paused its timers go on, and what they start
 * runs after [resume].
 */
@OptIn(InternalCoroutinesApi::class)
internal class ProcessDispatcher(
    private val outside: CoroutineScope,
    private val delegate: CoroutineDispatcher,
) : CoroutineDispatcher(),
    Delay {
    private val held = ArrayDeque<Pair<CoroutineContext, Runnable>>()

    /** Whether the process has not been killed. */
    var isAlive = true
        private set
    private var isPaused = false

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) {
        if (!isAlive) return
        if (isPaused) held += context to block else delegate.dispatch(context, guarded(block))
    }

    private fun guarded(block: Runnable) =
        Runnable {
            if (isAlive && isPaused) held += outside.coroutineContext to block
            if (isAlive && !isPaused) block.run()
        }

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>,
    ) {
        val timer =
            outside.launch(delegate) {
                pass(timeMillis)
                continuation.resume(Unit)
            }
        continuation.invokeOnCancellation { timer.cancel() }
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext,
    ): DisposableHandle {
        val timer =
            outside.launch(delegate) {
                pass(timeMillis)
                dispatch(context, block)
            }
        return DisposableHandle { timer.cancel() }
    }

    /** Ends the process at once. */
    fun kill() {
        isAlive = false
        held.clear()
    }

    /** Stops the process from running anything until [resume]. */
    fun pause() {
        isPaused = true
    }

    /** Lets the process run again. */
    fun resume() {
        isPaused = false
        while (held.isNotEmpty()) {
            held.removeFirst().let { (context, block) ->
                delegate.dispatch(context, guarded(block))
            }
        }
    }
}

private suspend fun pass(timeMillis: Long) = kotlinx.coroutines.delay(timeMillis)
