import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader for the bodies of the platform's pages. */
final class Json {
    private final String mText;
    private int mNext;

    private Json(String text) {
        mText = text;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) new Json(text).value();
    }

    static String quoted(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private Object value() {
        skipBlanks();
        char first = mText.charAt(mNext);
        if (first == '{') {
            return members();
        }
        if (first == '[') {
            return elements();
        }
        if (first == '"') {
            return text();
        }
        int start = mNext;
        while (mNext < mText.length() && ",]} \n\r\t".indexOf(mText.charAt(mNext)) < 0) {
            mNext++;
        }
        String word = mText.substring(start, mNext);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> Double.valueOf(word);
        };
    }

    private Map<String, Object> members() {
        Map<String, Object> members = new LinkedHashMap<>();
        mNext++;
        while (!ends('}')) {
            skipBlanks();
            String name = text();
            skipBlanks();
            mNext++; // the colon
            members.put(name, value());
        }
        return members;
    }

    private List<Object> elements() {
        List<Object> elements = new ArrayList<>();
        mNext++;
        while (!ends(']')) {
            elements.add(value());
        }
        return elements;
    }

    private boolean ends(char end) {
        skipBlanks();
        if (mText.charAt(mNext) == ',') {
            mNext++;
            skipBlanks();
        }
        if (mText.charAt(mNext) == end) {
            mNext++;
            return true;
        }
        return false;
    }

    private String text() {
        StringBuilder text = new StringBuilder();
        mNext++;
        while (mText.charAt(mNext) != '"') {
            char c = mText.charAt(mNext++);
            if (c == '\\') {
                char escaped = mText.charAt(mNext++);
                if (escaped == 'u') {
                    text.append((char) Integer.parseInt(mText.substring(mNext, mNext + 4), 16));
                    mNext += 4;
                } else {
                    int known = "nrtbf".indexOf(escaped);
                    text.append(known < 0 ? escaped : "\n\r\t\b\f".charAt(known));
                }
            } else {
                text.append(c);
            }
        }
        mNext++;
        return text.toString();
    }

    private void skipBlanks() {
        while (mNext < mText.length() && mText.charAt(mNext) <= ' ') {
            mNext++;
        }
    }
}
