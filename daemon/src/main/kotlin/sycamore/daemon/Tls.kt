package sycamore.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.eclipse.jetty.util.ssl.SslContextFactory
import kotlin.time.Instant

private val log = KotlinLogging.logger {}

/** Shows a certificate from files and takes over a new one while the server runs. */
class Tls private constructor(
    private val settings: TlsSettings,
    private val files: PemFiles,
    first: ReadPem.Valid,
    private var seen: List<List<Byte>>,
) {
    internal val factory: SslContextFactory.Server =
        SslContextFactory.Server().apply {
            keyStore = first.keys
            keyStorePassword = ""
        }

    /** When the certificate in use expires. */
    @Volatile
    var expiry: Instant = expiryOf(first)
        private set

    /** Looks at the files again and again until cancelled, and takes over what is new and right. */
    suspend fun follow() {
        while (true) {
            delay(settings.reload)
            reload()
        }
    }

    /** Takes over the files when they changed and are right; otherwise keeps the certificate in use. */
    internal fun reload() {
        val contents = files.contents()
        if (contents == seen) return
        seen = contents
        when (val read = files.read()) {
            is ReadPem.Valid -> use(read)
            is ReadPem.Invalid -> log.error { "kept the certificate that is in use: ${read.finding}" }
        }
    }

    private fun use(read: ReadPem.Valid) {
        factory.reload { it.keyStore = read.keys }
        expiry = expiryOf(read)
        log.info { "the certificate with serial ${read.certificate.serialNumber} is in use until $expiry" }
    }

    companion object {
        /** Reads the files of [settings]; [refuse] ends the process or fails when they are wrong. */
        fun of(
            settings: TlsSettings,
            refuse: (finding: String) -> Nothing,
        ): Tls {
            val files = PemFiles(settings.certificate, settings.key)
            val contents = files.contents()
            return when (val read = files.read()) {
                is ReadPem.Valid -> Tls(settings, files, read, contents)
                is ReadPem.Invalid -> refuse(read.finding)
            }
        }

        private fun expiryOf(read: ReadPem.Valid) = Instant.fromEpochMilliseconds(read.certificate.notAfter.time)
    }
}
