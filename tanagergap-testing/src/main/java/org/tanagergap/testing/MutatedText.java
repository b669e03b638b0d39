package org.tanagergap.testing;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Changes valid JSON texts at random, for tests of decoders; equal seeds give equal texts. */
public final class MutatedText {

    /** A field name with its colon, or a scalar value. */
    private static final Pattern TOKEN =
            Pattern.compile(
                    "(?<field>\"[^\"\\\\]*+(?:\\\\.[^\"\\\\]*+)*+\")\\s*:"
                            + "|(?<value>\"[^\"\\\\]*+(?:\\\\.[^\"\\\\]*+)*+\""
                            + "|-?[0-9][0-9.eE+-]*+|true|false|null)");

    private static final List<String> VALUES =
            List.of(
                    "null",
                    "true",
                    "{}",
                    "[]",
                    "[null]",
                    "[[1]]",
                    "{\"a\":{}}",
                    "\"\"",
                    "\"x y\"",
                    "\"-1\"",
                    "\"9999999999999999999999\"",
                    "\"\\u0000\\uD800\"",
                    "0",
                    "-1",
                    "1.5",
                    "70000",
                    "1e400",
                    "-1e400",
                    "9223372036854775807",
                    "-9223372036854775808",
                    "9999999999999999999999",
                    "[".repeat(900) + "]".repeat(900),
                    "{\"a\":".repeat(5_000) + "1" + "}".repeat(5_000));

    private static final String CHARACTERS = "{}[]\":,\\ 0-1e.nx\u0000\u00e9\ud800";

    private final Random mRandom;

    public MutatedText(Random random) {
        mRandom = Objects.requireNonNull(random, "random must not be null");
    }

    /** Replaces up to three scalar values and field names; the text stays valid JSON. */
    public String values(String json) {
        String text = json;
        for (int i = mRandom.nextInt(3); i >= 0; i--) {
            text =
                    mRandom.nextInt(4) == 0
                            ? replaced(text, "field", "\"field" + mRandom.nextInt(3) + "\"")
                            : replaced(text, "value", VALUES.get(mRandom.nextInt(VALUES.size())));
        }
        return text;
    }

    /** Replaces, removes or inserts up to five characters, or cuts the text off. */
    public String characters(String json) {
        StringBuilder text = new StringBuilder(json);
        for (int i = mRandom.nextInt(5); i >= 0 && text.length() > 0; i--) {
            int position = mRandom.nextInt(text.length());
            char character = CHARACTERS.charAt(mRandom.nextInt(CHARACTERS.length()));
            switch (mRandom.nextInt(8)) {
                case 0 -> text.setLength(position);
                case 1, 2 -> text.deleteCharAt(position);
                case 3, 4 -> text.insert(position, character);
                default -> text.setCharAt(position, character);
            }
        }
        return text.toString();
    }

    private String replaced(String text, String kind, String replacement) {
        List<int[]> places = new ArrayList<>();
        Matcher matcher = TOKEN.matcher(text);
        while (matcher.find()) {
            if (matcher.group(kind) != null) {
                places.add(new int[] {matcher.start(kind), matcher.end(kind)});
            }
        }
        if (places.isEmpty()) {
            return text;
        }
        int[] place = places.get(mRandom.nextInt(places.size()));
        return text.substring(0, place[0]) + replacement + text.substring(place[1]);
    }
}
