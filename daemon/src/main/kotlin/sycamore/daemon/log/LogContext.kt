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

/** Properties of the process that are added to every line of its log. */
object LogContext {
    internal const val HOST = "host"
    internal const val GENERATION = "generation"
    internal const val EPOCH = "epoch"
    internal const val PROGRAM = "program"
    internal const val CALL = "call"

    /** Sets the host whose daemon this process is. */
    fun setHost(host: HostName) = put(HOST, host.value)

    /** Sets the generation of the configuration in force. */
    fun setGeneration(generation: Generation) = put(GENERATION, generation.toString())

    /** Sets the epoch of the home that this process serves. */
    fun setEpoch(epoch: Epoch) = put(EPOCH, epoch.toString())

    private fun put(
        name: String,
        value: String,
    ) {
        (LoggerFactory.getILoggerFactory() as? LoggerContext)?.putProperty(name, value)
    }
}

/**
 * Fields of one line of the log. A field that is null is taken from [LogContext], or else is null in the line.
 *
 * @property program the program that the line refers to.
 * @property call the call that the line refers to.
 * @property epoch the epoch of the program's home, if it differs from that of this process.
 */
data class LogFields(
    val program: ProgramId? = null,
    val call: CallId? = null,
    val epoch: Epoch? = null,
) {
    internal val values: Map<String, Any?>
        get() =
            buildMap {
                program?.let { put(LogContext.PROGRAM, it) }
                call?.let { put(LogContext.CALL, it) }
                epoch?.let { put(LogContext.EPOCH, it.value) }
            }
}

/** Logs [message] at [level] with [fields] and [more]. */
fun KLogger.at(
    level: Level,
    fields: LogFields,
    more: Map<String, Any?> = emptyMap(),
    message: () -> String,
) = at(level) {
    this.message = message()
    payload = fields.values + more
}

/** Logs [message] with [fields] at the info level. */
fun KLogger.info(
    fields: LogFields,
    message: () -> String,
) = at(Level.INFO, fields, message = message)

/** Logs [message] with [fields] as a warning. */
fun KLogger.warn(
    fields: LogFields,
    message: () -> String,
) = at(Level.WARN, fields, message = message)
