package org.tanagergap.console;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.tanagergap.api.configuration.KeyDefinition;
import org.tanagergap.document.KeyHashing;
import org.tanagergap.runtime.settings.SettingsReader;

/** Salted hashes of the operator keys that can open a session. */
final class OperatorKeys {

    static final String FLAG = "--operator-key";

    private static final Pattern FORMAT =
            Pattern.compile("[A-Za-z0-9_-]{1,64}:([0-9a-f]{2}){8,64}:[0-9a-f]{64}");

    private final List<KeyDefinition> mKeys;

    OperatorKeys(List<KeyDefinition> keys) {
        mKeys = List.copyOf(keys);
    }

    /** Parses {@code id:salt:hash,...}; the finding omits the value, which may be a secret. */
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

    /** Returns the id of the operator key with the given text, or empty if none matches. */
    Optional<String> operator(String keyText) {
        return mKeys.stream()
                .filter(key -> KeyHashing.matches(key, keyText))
                .map(KeyDefinition::id)
                .findFirst();
    }
}
