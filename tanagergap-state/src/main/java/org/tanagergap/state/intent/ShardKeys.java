package org.tanagergap.state.intent;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import java.util.zip.CRC32;

/**
 * Keys of one shard in the key-value store.
 *
 * @param service name of the plain service
 * @param shard number of the shard
 */
record ShardKeys(String service, int shard) {

    private static final Pattern NUMBER = Pattern.compile("[0-9]{19}");

    /** Returns the shard of a key. The hash must not differ between processes or versions. */
    static ShardKeys of(IntentKey key, int shardCount) {
        String text = key.service() + '\0' + key.workspace() + '\0' + key.idempotencyKey();
        CRC32 checksum = new CRC32();
        checksum.update(text.getBytes(StandardCharsets.UTF_8));
        return new ShardKeys(key.service(), (int) (checksum.getValue() % shardCount));
    }

    /** Key of a record; the number is zero-padded so that keys sort by number. */
    String record(long number) {
        return prefix() + String.format("%019d", number);
    }

    /** Exclusive upper bound of the record keys; a colon follows the digits in ASCII. */
    String recordsEnd() {
        return prefix() + ":";
    }

    /** Key whose value is the lowest record number that has not been compacted. */
    String floor() {
        return prefix() + "floor";
    }

    /** Returns the number of a record; empty for a key that {@link #record} does not create. */
    OptionalLong number(String key) {
        String digits = key.startsWith(prefix()) ? key.substring(prefix().length()) : "";
        if (!NUMBER.matcher(digits).matches()) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(Long.parseLong(digits));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    private String prefix() {
        String name = URLEncoder.encode(service, StandardCharsets.UTF_8);
        return "/tanagergap/intents/" + name + "/" + shard + "/";
    }
}
