package sycamore.daemon.log

import ch.qos.logback.classic.LoggerContext
import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.Level
import org.slf4j.LoggerFactory
import sycamore.model.CallId
import sycamore.model.Epoch
import sycamore.model.Generation
import sycamore.model.HostName
import sycamore.model.ProgramId

/** What every line of this process's log says about the process. */
object LogContext {
    internal const val HOST = "host"
    internal const val GENERATION = "generation"
    internal const val EPOCH = "epoch"
    internal const val PROGRAM = "program"
    internal const val CALL = "call"

    /** From now on the process is the daemon on [host]. */
    fun host(host: HostName) = put(HOST, host.value)

    /** From now on [generation] is in force. */
    fun generation(generation: Generation) = put(GENERATION, generation.toString())

    /** From now on this home serves under [epoch]. */
    fun epoch(epoch: Epoch) = put(EPOCH, epoch.toString())

    private fun put(
        name: String,
        value: String,
    ) {
        (LoggerFactory.getILoggerFactory() as? LoggerContext)?.putProperty(name, value)
    }
}

/**
 * What one line of the log is about. Fields that are null are taken from [LogContext] or are null in the line.
 *
 * @property epoch the epoch of the program's home, where it is not that of this process.
 */
data class About(
    val program: ProgramId? = null,
    val call: CallId? = null,
    val epoch: Epoch? = null,
) {
    internal val fields: Map<String, Any?>
        get() =
            buildMap {
                program?.let { put(LogContext.PROGRAM, it) }
                call?.let { put(LogContext.CALL, it) }
                epoch?.let { put(LogContext.EPOCH, it.value) }
            }
}

/** Logs [message] at [level] with the fields of [about] and [more]. */
fun KLogger.at(
    level: Level,
    about: About,
    more: Map<String, Any?> = emptyMap(),
    message: () -> String,
) = at(level) {
    this.message = message()
    payload = about.fields + more
}

/** Logs [message] with the fields of [about] as information. */
fun KLogger.info(
    about: About,
    message: () -> String,
) = at(Level.INFO, about, message = message)

/** Logs [message] with the fields of [about] as a warning. */
fun KLogger.warn(
    about: About,
    message: () -> String,
) = at(Level.WARN, about, message = message)
