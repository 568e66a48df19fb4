package bed;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads messages of HTTP/1.1. */
final class Http {
    private Http() {}

    /** The first line and the headers of a message, with their names in lower case. */
    record Head(String line, Map<String, String> headers) {}

    /** Reads a head; null if the connection ends before it. */
    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        while (true) {
            String field = readLine(in);
            if (field == null) throw new EOFException("the head is not complete");
            if (field.isEmpty()) return new Head(line, headers);
            int colon = field.indexOf(':');
            headers.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
        }
    }

    /** Reads the body of a message with [head]; one without a length and chunks ends with the connection if [isResponse]. */
    static byte[] readBody(InputStream in, Head head, boolean isResponse) throws IOException {
        if ("chunked".equalsIgnoreCase(head.headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) throw new EOFException("the body is not complete");
                int length = Integer.parseInt(size.trim(), 16);
                body.write(readFully(in, length));
                readLine(in);
                if (length == 0) return body.toByteArray();
            }
        }
        String length = head.headers.get("content-length");
        if (length != null) return readFully(in, Integer.parseInt(length));
        return isResponse ? in.readAllBytes() : new byte[0];
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("the body is not complete");
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }
}
