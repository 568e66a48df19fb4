package sycamore.daemon.log

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.Level

/** Logs the event [name] with those of [fields] whose values are not null. */
fun KLogger.event(
    name: String,
    vararg fields: Pair<String, Any?>,
    level: Level = Level.INFO,
) = at(level) {
    message = name
    payload = fields.filter { it.second != null }.toMap()
}

/** Logs the event [name] as a warning, with those of [fields] whose values are not null. */
fun KLogger.warning(
    name: String,
    vararg fields: Pair<String, Any?>,
) = event(name, fields = fields, level = Level.WARN)
