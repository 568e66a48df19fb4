package sycamore.daemon.log

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.ConfiguratorRank
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase
import org.slf4j.Logger

/**
 * The logs of daemons on the users' platform: bounded lines of JSON on standard output.
 *
 * They are set up in code, since reading a file for it would make each start later. In force where the system property
 * [PROPERTY] is `true`; `SYCAMORE_LOG` sets the level.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
class PlatformLogs :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus {
        if (System.getProperty(PROPERTY) != "true") return Configurator.ExecutionStatus.NEUTRAL
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.toLevel(System.getenv(LEVEL), Level.INFO)
        root.addAppender(budget(context))
        context.getLogger(JETTY).level = Level.WARN
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun budget(logs: LoggerContext): LineBudget {
        val budget = LineBudget()
        budget.name = "budget"
        budget.context = logs
        budget.addAppender(output(logs))
        budget.start()
        return budget
    }

    private fun output(logs: LoggerContext): ConsoleAppender<ILoggingEvent> {
        val lines = JsonLineEncoder()
        lines.context = logs
        lines.omitNulls = true
        lines.start()
        val output = ConsoleAppender<ILoggingEvent>()
        output.name = "stdout"
        output.context = logs
        output.encoder = lines
        output.start()
        return output
    }

    private companion object {
        const val PROPERTY = "sycamore.platform.logs"
        const val LEVEL = "SYCAMORE_LOG"
        const val JETTY = "org.eclipse.jetty"
    }
}
