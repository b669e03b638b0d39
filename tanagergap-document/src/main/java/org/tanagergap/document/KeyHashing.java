package org.tanagergap.document;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;
import java.util.regex.Pattern;
import org.tanagergap.api.configuration.KeyDefinition;
import org.tanagergap.api.finding.Finding;
import org.tanagergap.api.finding.InvalidInputException;

/** Generates and verifies bearer keys of the form {@code <id>.<secret>}. */
public final class KeyHashing {

    private static final int SECRET_BYTES = 32;
    private static final int SALT_BYTES = 16;
    private static final Pattern ID_PATTERN = Pattern.compile("[A-Za-z0-9_-]{1,64}");
    private static final SecureRandom RANDOM = new SecureRandom();

    private KeyHashing() {}

    /**
     * Generates a key with a random secret.
     *
     * @throws InvalidInputException when the id is not valid
     */
    public static NewKey create(String id) {
        Objects.requireNonNull(id, "id must not be null");
        if (!ID_PATTERN.matcher(id).matches()) {
            throw new InvalidInputException(
                    List.of(
                            new Finding(
                                    "key id",
                                    "\""
                                            + id
                                            + "\" is not valid; expected 1 to 64 letters, digits,"
                                            + " hyphens or underscores")));
        }
        String secret =
                Base64.getUrlEncoder().withoutPadding().encodeToString(random(SECRET_BYTES));
        byte[] salt = random(SALT_BYTES);
        HexFormat hex = HexFormat.of();
        KeyDefinition definition =
                new KeyDefinition(id, hex.formatHex(salt), hex.formatHex(hash(salt, secret)));
        return new NewKey(id + "." + secret, definition);
    }

    /** Verifies the text of a key against its definition; compares secrets in constant time. */
    public static boolean matches(KeyDefinition definition, String keyText) {
        int dot = keyText.indexOf('.');
        if (dot < 0 || !keyText.substring(0, dot).equals(definition.id())) {
            return false;
        }
        HexFormat hex = HexFormat.of();
        byte[] actual = hash(hex.parseHex(definition.salt()), keyText.substring(dot + 1));
        return MessageDigest.isEqual(actual, hex.parseHex(definition.hash()));
    }

    private static byte[] hash(byte[] salt, String secret) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(salt);
            return digest.digest(secret.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available; expected on every Java platform", e);
        }
    }

    private static byte[] random(int length) {
        byte[] bytes = new byte[length];
        RANDOM.nextBytes(bytes);
        return bytes;
    }
}
