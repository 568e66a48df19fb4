package sycamore.routing

import kotlinx.serialization.Serializable
import sycamore.model.CallerName

/**
 * Name of an agent program. Its callers choose it, and each account has names of its own.
 *
 * @property value the account's name, a line feed and the name that the callers chose; only the latter for a program without account.
 */
@Serializable
@JvmInline
value class ProgramName(
    val value: String,
) {
    /** The account that the program belongs to; null if it belongs to none. */
    val account: CallerName?
        get() = value.indexOf(SEPARATOR).takeIf { it >= 0 }?.let { CallerName(value.substring(0, it)) }

    /** The name for logs, in one line. */
    override fun toString(): String = value.replace(SEPARATOR, '/')

    companion object {
        /** Neither header values nor names of accounts contain it. */
        private const val SEPARATOR = '\n'

        /** The program that the callers of [account] call [name]. */
        fun of(
            account: CallerName?,
            name: String,
        ): ProgramName = ProgramName(if (account == null) name else "$account$SEPARATOR$name")
    }
}
