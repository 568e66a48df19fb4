package sycamore.daemon

import sycamore.model.TomlReader
import java.io.File
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The certificate that an HTTP server shows.
 *
 * @property certificate PEM file with the server's certificate first, then those that vouch for it.
 * @property key PEM file with the private key as PKCS #8, not encrypted.
 * @property reload how often the files are looked at for a new certificate.
 */
data class TlsSettings(
    val certificate: File,
    val key: File,
    val reload: Duration = 10.seconds,
) {
    companion object {
        /** Reads the table `[tls]`. */
        internal fun from(reader: TomlReader): TlsSettings =
            TlsSettings(
                certificate = File(reader.string("certificate")),
                key = File(reader.string("key")),
                reload = reader.duration("reload", 10.seconds),
            )
    }
}
