package org.tanagergap.standins.engine;

import java.nio.charset.StandardCharsets;

/** Rolling digest of prompt text; appending its segments in order gives the same value. */
public final class PromptDigest {

    /** Digest of the empty text. */
    public static final long EMPTY = 0xcbf29ce484222325L;

    // Constants of the 64-bit FNV-1a hash.
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final int VOCABULARY_SIZE = 10_000;

    private PromptDigest() {}

    /** Extends a digest by more text. */
    public static long append(long digest, String text) {
        long result = digest;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            result = (result ^ (b & 0xff)) * FNV_PRIME;
        }
        return result;
    }

    /** Text of the output token at an index; every engine generates the same text. */
    public static String outputToken(long promptDigest, long index) {
        long hash = append(promptDigest, Long.toString(index));
        return " w" + Long.remainderUnsigned(hash, VOCABULARY_SIZE);
    }
}
