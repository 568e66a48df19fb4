package sycamore.daemon

import kotlinx.coroutines.ExecutorCoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import java.util.concurrent.Executors

/** The threads of a daemon. */
object Threads {
    /** Runs blocking calls, each on a thread of its own that is reused afterwards. */
    val blocking: ExecutorCoroutineDispatcher by lazy {
        Executors
            .newCachedThreadPool { task -> Thread(task, "blocking").apply { isDaemon = true } }
            .asCoroutineDispatcher()
    }
}
