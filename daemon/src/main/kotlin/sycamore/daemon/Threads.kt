package sycamore.daemon

import kotlinx.coroutines.ExecutorCoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import java.util.concurrent.Executors

/** Dispatchers that are shared within a daemon. */
object Threads {
    /** Runs blocking calls, each on its own thread from a cached pool. */
    val blocking: ExecutorCoroutineDispatcher by lazy {
        Executors
            .newCachedThreadPool { task -> Thread(task, "blocking").apply { isDaemon = true } }
            .asCoroutineDispatcher()
    }
}
