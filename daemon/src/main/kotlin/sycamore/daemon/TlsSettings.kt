package sycamore.daemon

import sycamore.model.TomlReader
import java.io.File
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The settings of the certificate that an HTTP server presents.
 *
 * @property certificate the PEM file with the certificate chain, the server's certificate first.
 * @property key the PEM file with the private key as unencrypted PKCS #8.
 * @property reloadInterval the interval at which the files are checked for a new certificate.
 */
data class TlsSettings(
    val certificate: File,
    val key: File,
    val reloadInterval: Duration = 10.seconds,
) {
    companion object {
        /** Reads the table `[tls]`. */
        internal fun from(reader: TomlReader): TlsSettings =
            TlsSettings(
                certificate = File(reader.string("certificate")),
                key = File(reader.string("key")),
                reloadInterval = reader.duration("reload", 10.seconds),
            )
    }
}
