package sycamore.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.supervisorScope

private val log = KotlinLogging.logger {}

/** Runs tasks that outlive the request that launched them. Tasks are executed while [run] is active. */
class Background {
    private class Task(
        val name: String,
        val work: suspend () -> Unit,
    ) {
        val started = CompletableDeferred<Job>()
    }

    private val tasks = Channel<Task>(Channel.UNLIMITED)

    /** Queues [work]; the result yields its job once [work] has started. A failure is logged under [name]. */
    fun launch(
        name: String,
        work: suspend () -> Unit,
    ): Deferred<Job> {
        val task = Task(name, work)
        tasks.trySend(task)
        return task.started
    }

    /** Executes queued tasks until cancelled. */
    suspend fun run() {
        supervisorScope {
            for (task in tasks) task.started.complete(launch { runTask(task) })
        }
    }

    private suspend fun runTask(task: Task) {
        try {
            task.work()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.error(e) { "${task.name} failed" }
        }
    }
}
