package sycamore.services

import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select

/** Makes a [watch] read its keys again at once, on a new connection, since the one of its call may have fallen silent. */
class Recheck {
    private val requests = Channel<Unit>(Channel.CONFLATED)

    /** Ends the call that waits for changes. Without effect if none is in progress. */
    fun request() {
        requests.trySend(Unit)
    }

    /** Returns the result of [call], or cancels it and returns null on a request. */
    internal suspend fun <T : Any> unlessRequested(call: suspend () -> T): T? {
        requests.tryReceive()
        return coroutineScope {
            val result = async { call() }
            select {
                result.onAwait { it }
                requests.onReceive {
                    result.cancel()
                    null
                }
            }
        }
    }
}
