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
 * Configures the logs of daemons on the users' platform: lines of JSON on standard output, at a limited rate.
 *
 * The configuration is in code, since reading a file for it would delay each start. It applies if the system property
 * [ENABLED_PROPERTY] is `true`; the environment variable `SYCAMORE_LOG` sets the level.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
class PlatformLogs :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus {
        if (System.getProperty(ENABLED_PROPERTY) != "true") return Configurator.ExecutionStatus.NEUTRAL
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO)
        root.addAppender(rateLimitedAppender(context))
        context.getLogger(JETTY_LOGGER).level = Level.WARN
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun rateLimitedAppender(loggerContext: LoggerContext): RateLimitedAppender {
        val appender = RateLimitedAppender()
        appender.name = "budget"
        appender.context = loggerContext
        appender.addAppender(consoleAppender(loggerContext))
        appender.start()
        return appender
    }

    private fun consoleAppender(loggerContext: LoggerContext): ConsoleAppender<ILoggingEvent> {
        val encoder = JsonLineEncoder()
        encoder.context = loggerContext
        encoder.omitNulls = true
        encoder.start()
        val console = ConsoleAppender<ILoggingEvent>()
        console.name = "stdout"
        console.context = loggerContext
        console.encoder = encoder
        console.start()
        return console
    }

    private companion object {
        const val ENABLED_PROPERTY = "sycamore.platform.logs"
        const val LEVEL_VARIABLE = "SYCAMORE_LOG"
        const val JETTY_LOGGER = "org.eclipse.jetty"
    }
}
