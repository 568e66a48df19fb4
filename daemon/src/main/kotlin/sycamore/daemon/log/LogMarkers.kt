package sycamore.daemon.log

import io.github.oshai.kotlinlogging.KMarkerFactory

/** Markers of log lines. */
object LogMarkers {
    internal const val EXCEPTIONAL = "exceptional"

    /** Marks a line that explains a failure, or a request that did not take the usual path. */
    val exceptional = KMarkerFactory.getMarker(EXCEPTIONAL)
}
