package org.tanagergap.state.intent;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/**
 * Keys of one shard in the key-value store.
 *
 * @param service name of the plain service
 * @param shard number of the shard
 */
record ShardKeys(String service, int shard) {

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

    long number(String recordKey) {
        return Long.parseLong(recordKey.substring(prefix().length()));
    }

    private String prefix() {
        String name = URLEncoder.encode(service, StandardCharsets.UTF_8);
        return "/tanagergap/intents/" + name + "/" + shard + "/";
    }
}
