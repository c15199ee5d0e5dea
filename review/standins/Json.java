package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists, numbers are longs or doubles. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    /** Parses a JSON object. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) new Json(text).value();
    }

    /** Quotes a string. */
    static String quote(String value) {
        return "\"" + value.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }

    private Object value() {
        skipSpace();
        char first = text.charAt(position);
        if (first == '{') {
            Map<String, Object> result = new LinkedHashMap<>();
            position++;
            skipSpace();
            while (text.charAt(position) != '}') {
                String name = (String) value();
                skipSpace();
                position++;
                result.put(name, value());
                skipSpace();
                if (text.charAt(position) == ',') position++;
                skipSpace();
            }
            position++;
            return result;
        }
        if (first == '[') {
            List<Object> result = new ArrayList<>();
            position++;
            skipSpace();
            while (text.charAt(position) != ']') {
                result.add(value());
                skipSpace();
                if (text.charAt(position) == ',') position++;
                skipSpace();
            }
            position++;
            return result;
        }
        if (first == '"') {
            StringBuilder result = new StringBuilder();
            position++;
            while (text.charAt(position) != '"') {
                if (text.charAt(position) == '\\') position++;
                result.append(text.charAt(position++));
            }
            position++;
            return result.toString();
        }
        int start = position;
        while (position < text.length() && ",]} \n\r\t".indexOf(text.charAt(position)) < 0) position++;
        String word = text.substring(start, position);
        if (word.equals("true")) return Boolean.TRUE;
        if (word.equals("false")) return Boolean.FALSE;
        if (word.equals("null")) return null;
        return word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
    }

    private void skipSpace() {
        while (position < text.length() && Character.isWhitespace(text.charAt(position))) position++;
    }
}
