package org.tanagergap.console;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.tanagergap.api.configuration.KeyDefinition;
import org.tanagergap.document.KeyHashing;
import org.tanagergap.runtime.settings.SettingsReader;

/** Keys that open a session, as salted hashes. */
final class OperatorKeys {

    static final String FLAG = "--operator-key";

    private static final Pattern FORMAT =
            Pattern.compile("[A-Za-z0-9_-]{1,64}:([0-9a-f]{2}){8,64}:[0-9a-f]{64}");

    private final List<KeyDefinition> mKeys;

    OperatorKeys(List<KeyDefinition> keys) {
        mKeys = List.copyOf(keys);
    }

    /** Reads {@code id:salt:hash,...}; the message omits the value, which may be a key's text. */
    static OperatorKeys read(SettingsReader reader, String flagValue) {
        List<KeyDefinition> keys = new ArrayList<>();
        String setting = reader.optionalText(FLAG, flagValue).orElse("");
        for (String item : setting.split(",")) {
            String text = item.trim();
            if (FORMAT.matcher(text).matches()) {
                String[] parts = text.split(":");
                keys.add(new KeyDefinition(parts[0], parts[1], parts[2]));
            } else {
                reader.reject(
                        FLAG, "expected id:salt:hash,... as printed by tanagergap-ctl hash-key");
            }
        }
        return new OperatorKeys(keys);
    }

    /** Id of the key with the given text. */
    Optional<String> operator(String keyText) {
        return mKeys.stream()
                .filter(key -> KeyHashing.matches(key, keyText))
                .map(KeyDefinition::id)
                .findFirst();
    }
}
