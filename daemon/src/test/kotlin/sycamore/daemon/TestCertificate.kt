package sycamore.daemon

import org.bouncycastle.asn1.x500.X500Name
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder
import java.io.File
import java.math.BigInteger
import java.security.KeyPairGenerator
import java.util.Base64
import java.util.Date

/** A self-signed certificate and its key, as PEM text. */
internal class TestCertificate(
    serial: Long,
    algorithm: String = "EC",
) {
    private val pair = KeyPairGenerator.getInstance(algorithm).generateKeyPair()
    private val signature = if (algorithm == "EC") "SHA256withECDSA" else "SHA256withRSA"

    val certificate: String = pem("CERTIFICATE", certificate(serial))

    /** The private key in PKCS #8 format. */
    val key: String = pem("PRIVATE KEY", pair.private.encoded)

    private fun certificate(serial: Long): ByteArray {
        val name = X500Name("CN=entry")
        val builder =
            JcaX509v3CertificateBuilder(
                name,
                BigInteger.valueOf(serial),
                Date(0),
                Date(EXPIRY_MILLIS),
                name,
                pair.public,
            )
        return builder.build(JcaContentSignerBuilder(signature).build(pair.private)).encoded
    }

    private fun pem(
        type: String,
        bytes: ByteArray,
    ) = "-----BEGIN $type-----\n${Base64.getMimeEncoder().encodeToString(bytes)}\n-----END $type-----\n"

    /** Writes both as files into [directory] and returns the settings that refer to them. */
    fun write(directory: File): TlsSettings {
        val settings = TlsSettings(File(directory, "server.pem"), File(directory, "server.key"))
        settings.certificate.writeText(certificate)
        settings.key.writeText(key)
        return settings
    }

    private companion object {
        const val EXPIRY_MILLIS = 4_102_444_800_000
    }
}
