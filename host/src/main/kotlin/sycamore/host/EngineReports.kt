package sycamore.host

import kotlinx.coroutines.CoroutineDispatcher
import org.http4k.core.HttpHandler
import sycamore.decisions.ResidencyEvent
import sycamore.model.Upstream
import sycamore.services.EngineLoad
import sycamore.services.EngineReply
import sycamore.services.HttpEngineControl

/**
 * Functions that query a model engine for its state. Each returns null if the engine cannot be queried now.
 *
 * @property events the query for the cache events above a number.
 * @property listing the query for the full content of the cache.
 * @property load the query for the engine's report of its load, its models and its memory.
 */
class EngineReports(
    val events: suspend (upstream: Upstream, after: Long) -> List<ResidencyEvent>? = { _, _ -> null },
    val listing: suspend (upstream: Upstream) -> CacheState? = { null },
    val load: suspend (upstream: Upstream) -> EngineLoad? = { null },
) {
    companion object {
        /** Returns the reports of engines that are queried over HTTP. */
        fun overHttp(
            http: HttpHandler,
            blocking: CoroutineDispatcher,
        ): EngineReports {
            val control = { upstream: Upstream -> HttpEngineControl(upstream.address, http, blocking) }
            return EngineReports(
                events = { upstream, after ->
                    valueOf(control(upstream).events(after))?.map { ResidencyEvent(it.number, it.program, it.tokens) }
                },
                listing = { upstream ->
                    valueOf(control(upstream).listing())?.let { CacheState(it.number, it.programs) }
                },
                load = { upstream -> valueOf(control(upstream).load()) },
            )
        }

        private fun <T> valueOf(reply: EngineReply<T>): T? = (reply as? EngineReply.Done)?.value
    }
}
