package sycamore.entry

import java.nio.ByteBuffer
import java.nio.CharBuffer
import java.nio.charset.CodingErrorAction

/** Decodes UTF-8 that arrives in pieces, which may end within a character. */
internal class Utf8Decoder {
    private val decoder =
        Charsets.UTF_8
            .newDecoder()
            .onMalformedInput(CodingErrorAction.REPLACE)
            .onUnmappableCharacter(CodingErrorAction.REPLACE)
    private var rest = ByteArray(0)

    /** The characters that are complete once [bytes] have come. */
    fun decode(bytes: ByteArray): String {
        val input = ByteBuffer.wrap(rest + bytes)
        val output = CharBuffer.allocate(input.remaining() + 1)
        decoder.decode(input, output, false)
        rest = ByteArray(input.remaining()).also { input.get(it) }
        return output.flip().toString()
    }

    /** What is left when no more bytes come: a replacement character for a character that was cut off. */
    fun finish(): String = rest.decodeToString().also { rest = ByteArray(0) }
}
