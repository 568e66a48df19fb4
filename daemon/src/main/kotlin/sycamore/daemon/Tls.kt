package sycamore.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.eclipse.jetty.util.ssl.SslContextFactory
import kotlin.time.Instant

private val log = KotlinLogging.logger {}

/** Provides a certificate from files to an HTTP server and reloads it while the server runs. */
class Tls private constructor(
    private val settings: TlsSettings,
    private val files: PemFiles,
    initial: PemReadResult.Valid,
    private var lastContents: List<List<Byte>>,
) {
    internal val factory: SslContextFactory.Server =
        SslContextFactory.Server().apply {
            keyStore = initial.keys
            keyStorePassword = ""
        }

    /** The time at which the certificate in use expires. */
    @Volatile
    var expiry: Instant = expiryOf(initial)
        private set

    /** Checks the files for changes at the interval in the settings until cancelled, and applies valid new contents. */
    suspend fun watchFiles() {
        while (true) {
            delay(settings.reloadInterval)
            reload()
        }
    }

    /** Applies the files if they changed and are valid; otherwise keeps the certificate in use. */
    internal fun reload() {
        val contents = files.contents()
        if (contents == lastContents) return
        lastContents = contents
        when (val read = files.read()) {
            is PemReadResult.Valid -> apply(read)
            is PemReadResult.Invalid ->
                log.error { "keeping the certificate in use, new files invalid: ${read.finding}" }
        }
    }

    private fun apply(read: PemReadResult.Valid) {
        factory.reload { it.keyStore = read.keys }
        expiry = expiryOf(read)
        log.info { "certificate with serial ${read.certificate.serialNumber} in use; it expires at $expiry" }
    }

    companion object {
        /** Loads the files in [settings]. If they are invalid, calls [onInvalid], which ends the process or throws. */
        fun load(
            settings: TlsSettings,
            onInvalid: (finding: String) -> Nothing,
        ): Tls {
            val files = PemFiles(settings.certificate, settings.key)
            val contents = files.contents()
            return when (val read = files.read()) {
                is PemReadResult.Valid -> Tls(settings, files, read, contents)
                is PemReadResult.Invalid -> onInvalid(read.finding)
            }
        }

        private fun expiryOf(read: PemReadResult.Valid) = Instant.fromEpochMilliseconds(read.certificate.notAfter.time)
    }
}
