package sycamore.model

/** The result of decoding a value that another program wrote. */
sealed interface Decoded<out T> {
    /** The value is valid and means [value]. */
    data class Valid<T>(
        val value: T,
    ) : Decoded<T>

    /** The value is not valid, for [reason]. */
    data class Invalid(
        val reason: String,
    ) : Decoded<Nothing>
}

/** The decoded value; null if it is not valid. */
fun <T> Decoded<T>.validOrNull(): T? = (this as? Decoded.Valid)?.value
