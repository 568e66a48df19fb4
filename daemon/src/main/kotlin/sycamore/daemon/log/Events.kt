package sycamore.daemon.log

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.Level

/** Logs the event called [name] with the [fields] that are not null. */
fun KLogger.event(
    name: String,
    vararg fields: Pair<String, Any?>,
    level: Level = Level.INFO,
) = at(level) {
    message = name
    payload = fields.filter { it.second != null }.toMap()
}

/** Logs the event called [name] as a warning. */
fun KLogger.warning(
    name: String,
    vararg fields: Pair<String, Any?>,
) = event(name, fields = fields, level = Level.WARN)
