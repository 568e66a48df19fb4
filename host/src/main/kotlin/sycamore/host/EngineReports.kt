package sycamore.host

import kotlinx.coroutines.CoroutineDispatcher
import org.http4k.core.HttpHandler
import sycamore.decisions.ResidencyEvent
import sycamore.model.Upstream
import sycamore.services.EngineLoad
import sycamore.services.EngineReply
import sycamore.services.HttpEngineControl

/**
 * What an engine tells about itself. Each returns null when the engine cannot be asked now.
 *
 * @property events cache events above a number.
 * @property listing all that the cache holds.
 * @property load the engine's own report of its work and size.
 */
class EngineReports(
    val events: suspend (upstream: Upstream, after: Long) -> List<ResidencyEvent>? = { _, _ -> null },
    val listing: suspend (upstream: Upstream) -> CacheState? = { null },
    val load: suspend (upstream: Upstream) -> EngineLoad? = { null },
) {
    companion object {
        /** Reports of engines over HTTP. */
        fun over(
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
