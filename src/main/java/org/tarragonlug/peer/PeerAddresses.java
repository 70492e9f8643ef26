package org.tarragonlug.peer;

import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Parses peer addresses in the text form {@code host:port}. */
public final class PeerAddresses {
    private static final int HIGHEST_PORT = 65_535;

    private PeerAddresses() {}

    /**
     * Parses an address. A host that is not an IP address stays unresolved, so that this method
     * never waits for name resolution.
     *
     * @return the address; empty if the text is not a valid address
     */
    public static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
            return Optional.empty();
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 1 || port > HIGHEST_PORT) {
            return Optional.empty();
        }
        String host = text.substring(0, colon);
        if (NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host)) {
            return Optional.of(new InetSocketAddress(host, port));
        }
        return Optional.of(InetSocketAddress.createUnresolved(host, port));
    }
}
