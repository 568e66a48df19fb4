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

/** Work of a daemon that goes on when whoever asked for it is gone. It is done while [run] runs. */
class Background {
    private class Task(
        val name: String,
        val work: suspend () -> Unit,
    ) {
        val started = CompletableDeferred<Job>()
    }

    private val tasks = Channel<Task>(Channel.UNLIMITED)

    /** Starts [work], called [name] in the log should it fail. Yields its job once it has started. */
    fun launch(
        name: String,
        work: suspend () -> Unit,
    ): Deferred<Job> {
        val task = Task(name, work)
        tasks.trySend(task)
        return task.started
    }

    /** Does the work until cancelled. */
    suspend fun run() {
        supervisorScope {
            for (task in tasks) task.started.complete(launch { attempt(task) })
        }
    }

    private suspend fun attempt(task: Task) {
        try {
            task.work()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.error(e) { "${task.name} failed" }
        }
    }
}
