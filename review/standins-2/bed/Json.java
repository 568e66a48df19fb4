package bed;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, strings, numbers and booleans. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) at++;
        return text.charAt(at);
    }

    private Object value() {
        char first = next();
        if (first == '{') return map();
        if (first == '[') return list();
        if (first == '"') return string();
        int from = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(from, at);
        if (word.equals("true") || word.equals("false")) return Boolean.valueOf(word);
        return word.equals("null") ? null : Double.valueOf(word);
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        while (next() != '}') {
            String key = string();
            next();
            at++;
            map.put(key, value());
            if (next() == ',') at++;
        }
        at++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        at++;
        while (next() != ']') {
            list.add(value());
            if (next() == ',') at++;
        }
        at++;
        return list;
    }

    private String string() {
        next();
        StringBuilder result = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
            char c = text.charAt(at);
            if (c != '\\') {
                result.append(c);
                continue;
            }
            c = text.charAt(++at);
            switch (c) {
                case 'n' -> result.append('\n');
                case 't' -> result.append('\t');
                case 'r' -> result.append('\r');
                case 'b' -> result.append('\b');
                case 'f' -> result.append('\f');
                case 'u' -> {
                    result.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                    at += 4;
                }
                default -> result.append(c);
            }
        }
        at++;
        return result.toString();
    }

    static String quote(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }
}
