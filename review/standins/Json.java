import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Small JSON reader and writer for the stand-ins. */
final class Json {

    private final String mText;
    private int mPos;

    private Json(String text) {
        mText = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return text.isBlank() ? Map.of() : (Map<String, Object>) parse(text);
    }

    static String quote(String text) {
        StringBuilder out = new StringBuilder("\"");
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < 0x20) {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        return out.append('"').toString();
    }

    private char peek() {
        while (Character.isWhitespace(mText.charAt(mPos))) {
            mPos++;
        }
        return mText.charAt(mPos);
    }

    private Object value() {
        char c = peek();
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            mPos++;
            while (peek() != '}') {
                String key = string();
                peek();
                mPos++;
                map.put(key, value());
                if (peek() == ',') {
                    mPos++;
                }
            }
            mPos++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            mPos++;
            while (peek() != ']') {
                list.add(value());
                if (peek() == ',') {
                    mPos++;
                }
            }
            mPos++;
            return list;
        }
        if (c == '"') {
            return string();
        }
        int start = mPos;
        while (mPos < mText.length() && ",]} \r\n\t".indexOf(mText.charAt(mPos)) < 0) {
            mPos++;
        }
        String word = mText.substring(start, mPos);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : Double.parseDouble(word);
        };
    }

    private String string() {
        peek();
        mPos++;
        StringBuilder out = new StringBuilder();
        while (mText.charAt(mPos) != '"') {
            char c = mText.charAt(mPos++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char e = mText.charAt(mPos++);
            switch (e) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(mText.substring(mPos, mPos + 4), 16));
                    mPos += 4;
                }
                default -> out.append(e);
            }
        }
        mPos++;
        return out.toString();
    }
}
