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
 * The dispatcher of the coroutines of one simulated process, which can be killed or paused.
 *
 * After [kill], none of its coroutines runs any more, not even their cleanup. While the process is paused its timers
 * continue, and what they start runs after [resume].
 *
 * @property simulationScope the scope of the timers.
 * @property delegate the dispatcher that runs the tasks of all processes.
 */
@OptIn(InternalCoroutinesApi::class)
internal class ProcessDispatcher(
    private val simulationScope: CoroutineScope,
    private val delegate: CoroutineDispatcher,
) : CoroutineDispatcher(),
    Delay {
    private val heldTasks = ArrayDeque<Pair<CoroutineContext, Runnable>>()

    /** Whether the process has not been killed; a paused process is alive. */
    var isAlive = true
        private set
    private var isPaused = false

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) {
        if (!isAlive) return
        if (isPaused) heldTasks += context to block else delegate.dispatch(context, guarded(block))
    }

    private fun guarded(block: Runnable) =
        Runnable {
            if (isAlive && isPaused) heldTasks += simulationScope.coroutineContext to block
            if (isAlive && !isPaused) block.run()
        }

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>,
    ) {
        val timer =
            simulationScope.launch(delegate) {
                delayMillis(timeMillis)
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
            simulationScope.launch(delegate) {
                delayMillis(timeMillis)
                dispatch(context, block)
            }
        return DisposableHandle { timer.cancel() }
    }

    /** Kills the process and discards its pending tasks. */
    fun kill() {
        isAlive = false
        heldTasks.clear()
    }

    /** Suspends all tasks of the process until [resume]. */
    fun pause() {
        isPaused = true
    }

    /** Continues a paused process with the tasks that were held back, in their order. */
    fun resume() {
        isPaused = false
        while (heldTasks.isNotEmpty()) {
            heldTasks.removeFirst().let { (context, block) ->
                delegate.dispatch(context, guarded(block))
            }
        }
    }
}

private suspend fun delayMillis(timeMillis: Long) = kotlinx.coroutines.delay(timeMillis)
