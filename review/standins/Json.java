import java.util.*;

/** A small JSON reader for the bodies that daemons send to the store. */
final class Json {
    private final String text;
    private int at = 0;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    static String text(Object object, String key) {
        return (String) ((Map<?, ?>) object).get(key);
    }

    static long number(Object object, String key) {
        Object value = ((Map<?, ?>) object).get(key);
        return value == null ? 0 : ((Double) value).longValue();
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object object, String key) {
        Object value = ((Map<?, ?>) object).get(key);
        return value == null ? List.of() : (List<Object>) value;
    }

    static String quote(String text) {
        return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) at++;
        return text.charAt(at);
    }

    private Object value() {
        char c = next();
        if (c == '{') return object();
        if (c == '[') return array();
        if (c == '"') return string();
        int begin = at;
        while (at < text.length() && ",]} \n".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(begin, at);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> Double.valueOf(word);
        };
    }

    private Map<String, Object> object() {
        Map<String, Object> fields = new LinkedHashMap<>();
        at++;
        while (next() != '}') {
            if (next() == ',') { at++; continue; }
            String key = string();
            next();
            at++;
            fields.put(key, value());
        }
        at++;
        return fields;
    }

    private List<Object> array() {
        List<Object> entries = new ArrayList<>();
        at++;
        while (next() != ']') {
            if (next() == ',') { at++; continue; }
            entries.add(value());
        }
        at++;
        return entries;
    }

    private String string() {
        next();
        int end = text.indexOf('"', at + 1);
        if (text.lastIndexOf('\\', end) < at) {
            String plain = text.substring(at + 1, end);
            at = end + 1;
            return plain;
        }
        StringBuilder value = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
            char c = text.charAt(at);
            if (c != '\\') { value.append(c); continue; }
            c = text.charAt(++at);
            if (c == 'u') {
                value.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                at += 4;
            } else {
                value.append(c == 'n' ? '\n' : c == 't' ? '\t' : c == 'r' ? '\r' : c);
            }
        }
        at++;
        return value.toString();
    }
}
