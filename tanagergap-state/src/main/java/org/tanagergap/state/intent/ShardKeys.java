package org.tanagergap.state.intent;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/**
 * Keys of one shard in the key-value service.
 *
 * @param service name of the plain service
 * @param shard number of the shard
 */
record ShardKeys(String service, int shard) {

    /** Shard of a key; the hash must be the same in every process and version. */
    static ShardKeys of(IntentKey key, int shardCount) {
        String text = key.service() + '\0' + key.workspace() + '\0' + key.idempotencyKey();
        CRC32 checksum = new CRC32();
        checksum.update(text.getBytes(StandardCharsets.UTF_8));
        return new ShardKeys(key.service(), (int) (checksum.getValue() % shardCount));
    }

    /** Key of a record; padded, so that records sort by number. */
    String record(long number) {
        return prefix() + String.format("%019d", number);
    }

    /** First key after all records; the character after the digits. */
    String recordsEnd() {
        return prefix() + ":";
    }

    /** Key of the lowest number that is still kept. */
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
