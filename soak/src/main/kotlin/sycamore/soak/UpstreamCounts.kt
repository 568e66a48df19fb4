package sycamore.soak

import java.util.concurrent.atomic.AtomicInteger

/** What the upstreams of a run did besides running calls. */
internal class UpstreamCounts {
    val received = AtomicInteger()
    val refused = AtomicInteger()
    val repeatedRefusals = AtomicInteger()
    val connectionsReset = AtomicInteger()
    val idleClosed = AtomicInteger()
    val leavingAnnounced = AtomicInteger()

    override fun toString(): String =
        "{received=$received, refused=$refused, repeated=$repeatedRefusals, reset=$connectionsReset, " +
            "idle=$idleClosed, announced=$leavingAnnounced}"
}
