package org.tanagergap.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.Optional;

/** Bytes of a connection that have arrived and are not passed on. Confined to the event loop. */
final class HeldBytes {

    private Optional<ByteBuf> mBytes = Optional.empty();

    boolean isEmpty() {
        return mBytes.isEmpty();
    }

    /** Returns the bytes, which must not be empty; they stay held. */
    ByteBuf bytes() {
        return mBytes.orElseThrow();
    }

    /** Adds bytes, which are released with the others. */
    void add(ByteBufAllocator allocator, ByteBuf added) {
        ByteBuf held = mBytes.orElse(Unpooled.EMPTY_BUFFER);
        mBytes = Optional.of(ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(allocator, held, added));
    }

    /** Returns the first bytes, which the receiver releases. */
    ByteBuf take(int length) {
        ByteBuf taken = bytes().readRetainedSlice(length);
        releaseIfRead();
        return taken;
    }

    /** Returns all bytes, which the receiver releases. */
    Optional<ByteBuf> takeAll() {
        Optional<ByteBuf> taken = mBytes;
        mBytes = Optional.empty();
        return taken;
    }

    /** Releases the memory if all bytes have been read or skipped. */
    void releaseIfRead() {
        if (!bytes().isReadable()) {
            release();
        }
    }

    void release() {
        takeAll().ifPresent(ByteBuf::release);
    }
}
