package sycamore.ctl

import kotlinx.cli.ArgType
import sycamore.model.Digest
import java.security.SecureRandom
import kotlin.io.encoding.Base64

/** `sycamorectl key`: generates the key of an account, and the salt and hash that `fleet.toml` keeps of it. */
internal class KeyCommand(
    terminal: Terminal,
) : Command("key", "Make the key of an account, and the lines of fleet.toml that accept it", terminal) {
    private val caller by argument(ArgType.String, description = "Name of the account")
    private val random = SecureRandom()

    override suspend fun run(): Exit {
        val key = Base64.UrlSafe.withPadding(Base64.PaddingOption.ABSENT).encode(bytes(KEY_BYTES))
        val salt = bytes(SALT_BYTES).toHexString()
        terminal.printNotice("key for $caller, shown only now: $key")
        terminal.printLine("[[callers]]")
        terminal.printLine("name = \"$caller\"")
        terminal.printLine("salt = \"$salt\"")
        terminal.printLine("key_hash = \"${Digest.sha256((salt + key).encodeToByteArray())}\"")
        return Exit.DONE
    }

    private fun bytes(count: Int) = ByteArray(count).also(random::nextBytes)

    private companion object {
        const val KEY_BYTES = 32
        const val SALT_BYTES = 16
    }
}
