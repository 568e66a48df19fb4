package sycamore.daemon.log

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.Level

/**
 * Logs the event [name] with those of [fields] whose values are not null.
 *
 * @param isExceptional whether the line explains a failure, or a request that did not take the usual path. Such lines
 *   are the last to be omitted when there are too many; see [RateLimitedAppender].
 */
fun KLogger.event(
    name: String,
    vararg fields: Pair<String, Any?>,
    level: Level = Level.INFO,
    isExceptional: Boolean = false,
) = at(level, if (isExceptional) LogMarkers.exceptional else null) {
    message = name
    payload = fields.filter { it.second != null }.toMap()
}

/** Logs the event [name] as a warning, with those of [fields] whose values are not null. */
fun KLogger.warning(
    name: String,
    vararg fields: Pair<String, Any?>,
) = event(name, fields = fields, level = Level.WARN)
