package sycamore.links

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import java.util.concurrent.Executors

/** The threads of links. Work on messages never blocks, so it shares the default dispatcher. */
internal object LinkThreads {
    /** A thread for one selector, which blocks it while nothing happens. */
    fun selector(): CoroutineDispatcher =
        Executors
            .newSingleThreadExecutor { task -> Thread(task, "link-selector").apply { isDaemon = true } }
            .asCoroutineDispatcher()
}
