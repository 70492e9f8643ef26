package org.tarragonlug.gateway;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import org.tarragonlug.caller.ForwardedCall;

/** Hashes everything that makes two requests of callers equal: method, host, target and body. */
final class ContentHash {
    private ContentHash() {}

    /** Returns a hash that is the same at all instances. */
    static long of(ForwardedCall call) {
        HashStream64 stream = Hashing.xxh3_64().hashStream();
        stream.putString(call.method());
        stream.putString(call.headers().getOrDefault("host", ""));
        stream.putString(call.target());
        // Whatever the parts, the hash is that of the whole body in one array.
        call.body().parts().forEach(stream::putBytes);
        stream.putInt(call.body().length());
        return stream.getAsLong();
    }
}
