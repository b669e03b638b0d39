package org.tanagergap.entry.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.tanagergap.api.configuration.KeyDefinition;
import org.tanagergap.api.configuration.WorkspaceDefinition;
import org.tanagergap.entry.configuration.ConfigurationSnapshot;
import org.tanagergap.entry.configuration.WorkspaceKey;

/** Verifies bearer keys against the salted hashes of the configuration. */
final class KeyVerifier {

    /** About 2 MB of memory at 200 bytes per key. */
    private static final int MAX_VERIFIED_KEYS = 10_000;

    // A cached key is valid only while its definition is unchanged, so that a removed or replaced
    // key is refused as soon as the new configuration is in effect.
    private final Map<String, KeyDefinition> mVerified =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, KeyDefinition> eldest) {
                    return size() > MAX_VERIFIED_KEYS;
                }
            };

    /** Workspace of the key; empty if the key is unknown. */
    Optional<WorkspaceDefinition> verify(ConfigurationSnapshot configuration, String key) {
        int dot = key.indexOf('.');
        if (dot <= 0) {
            return Optional.empty();
        }
        Optional<WorkspaceKey> candidate = configuration.key(key.substring(0, dot));
        if (candidate.isEmpty()) {
            return Optional.empty();
        }
        KeyDefinition definition = candidate.get().key();
        if (!isCached(key, definition)) {
            if (!matches(definition, key.substring(dot + 1))) {
                return Optional.empty();
            }
            synchronized (mVerified) {
                mVerified.put(key, definition);
            }
        }
        return candidate.map(WorkspaceKey::workspace);
    }

    private boolean isCached(String key, KeyDefinition definition) {
        synchronized (mVerified) {
            return definition.equals(mVerified.get(key));
        }
    }

    private static boolean matches(KeyDefinition definition, String secret) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(HexFormat.of().parseHex(definition.salt()));
            byte[] actual = digest.digest(secret.getBytes(StandardCharsets.UTF_8));
            return MessageDigest.isEqual(actual, HexFormat.of().parseHex(definition.hash()));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java platform lacks SHA-256", e);
        }
    }
}
