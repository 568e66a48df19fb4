package sycamore.entry

import java.io.FilterInputStream
import java.io.InputStream

/** Reads from [input] and calls [onClose] each time it is closed. */
internal class ClosingStream(
    input: InputStream,
    private val onClose: () -> Unit,
) : FilterInputStream(input) {
    override fun close() {
        try {
            super.close()
        } finally {
            onClose()
        }
    }
}
