package sycamore.gateway

import sycamore.links.Message
import sycamore.links.TurnComplete
import sycamore.links.TurnInterrupted
import sycamore.links.TurnRefusal
import sycamore.links.TurnRefused
import sycamore.routing.ListedUpstream

/** A turn in progress at its upstream. */
internal sealed interface TargetUse {
    /** Records the end of the turn. [last] is the last reply of its home; null if the home sent none. */
    fun end(last: Message?)
}

/** A turn behind a gate, which reports the load of its engine itself. */
internal data object GatedUse : TargetUse {
    override fun end(last: Message?) = Unit
}

/** A turn of [route] at an upstream without a gate. What it shows of the upstream is recorded in [loads]. */
internal class UngatedUse(
    private val upstream: ListedUpstream,
    private val loads: UpstreamLoads,
    private val route: String,
) : TargetUse {
    private val use = loads.recordStart(upstream)

    override fun end(last: Message?) {
        when (last) {
            is TurnComplete -> loads.recordEnd(upstream, isSuccessful = true, use, route)
            is TurnInterrupted -> loads.recordEnd(upstream, isSuccessful = false)
            // Other refusals are those of the home, which did not send the turn.
            is TurnRefused if last.reason in TARGET_REFUSALS -> loads.recordEnd(upstream, isSuccessful = false)
            else -> loads.recordWithdrawn(upstream)
        }
    }

    private companion object {
        val TARGET_REFUSALS = setOf(TurnRefusal.TARGET_FULL, TurnRefusal.TARGET_GONE, TurnRefusal.TARGET_LEAVES)
    }
}
