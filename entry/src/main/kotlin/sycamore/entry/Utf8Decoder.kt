package sycamore.entry

import java.nio.ByteBuffer
import java.nio.CharBuffer
import java.nio.charset.CodingErrorAction

/** Decodes UTF-8 that arrives in pieces, which may end in the middle of a character. */
internal class Utf8Decoder {
    private val decoder =
        Charsets.UTF_8
            .newDecoder()
            .onMalformedInput(CodingErrorAction.REPLACE)
            .onUnmappableCharacter(CodingErrorAction.REPLACE)
    private var incomplete = ByteArray(0)

    /** Returns the characters that are complete after [bytes]. */
    fun decode(bytes: ByteArray): String {
        val input = ByteBuffer.wrap(incomplete + bytes)
        val output = CharBuffer.allocate(input.remaining() + 1)
        decoder.decode(input, output, false)
        incomplete = ByteArray(input.remaining()).also { input.get(it) }
        return output.flip().toString()
    }

    /** Ends the text: returns a replacement character if its last character is incomplete, else nothing. */
    fun finish(): String = incomplete.decodeToString().also { incomplete = ByteArray(0) }
}
